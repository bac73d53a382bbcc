"""Define the failures of calls and of the claims of their keys."""

from __future__ import annotations

from .base import Category
from .base import Failure


class UnknownService(Failure):
    """Reject a call to a service that the configuration does not list."""

    category = Category.NOT_FOUND


class UnknownKind(Failure):
    """Reject a kind of call that its service does not list."""

    category = Category.NOT_FOUND


class WrongListener(Failure):
    """Reject a call that arrived at the listener of another rank."""

    category = Category.MISDIRECTED


class MissingKey(Failure):
    """Reject a non-idempotent call without a request key."""


class KeyMalformed(Failure):
    """Reject a request key without its time of issue."""


class KeyReused(Failure):
    """Reject a request key that was used with another body."""

    category = Category.CONFLICT


class KeyExpired(Failure):
    """Reject a request key that is older than the retention time of claims."""

    category = Category.CONFLICT


class KeyFromFuture(Failure):
    """Reject a request key whose time of issue lies in the future."""


class DeadlinePassed(Failure):
    """Reject a call whose deadline has passed."""

    category = Category.TIMEOUT


class CannotMeetDeadline(Failure):
    """Reject a call at once that would wait in the queue past its deadline."""

    category = Category.OVERLOAD


class QueueFull(Failure):
    """Reject a call whose kind or caller has filled its share of the queue."""

    category = Category.OVERLOAD


class DependencyDown(Failure):
    """Reject a call whose service depends on a service without capacity."""

    category = Category.UNAVAILABLE


class LinkCapReached(Failure):
    """Reject a call that only a link at its traffic cap could carry."""

    category = Category.OVERLOAD


class CutOff(Failure):
    """Reject a call while no quorum confirms the configuration of this process."""

    category = Category.UNAVAILABLE


class NoText(Failure):
    """Reject a call before this process has a configuration."""

    category = Category.UNAVAILABLE


class ClaimUnconfirmed(Failure):
    """Report that no quorum confirmed the claim in time."""

    category = Category.UNAVAILABLE


class ClaimHeld(Failure):
    """Report that an earlier attempt with the key has no recorded outcome yet."""

    category = Category.CONFLICT


class ClaimSealed(Failure):
    """Report that the key is sealed: its call did not run and never will."""

    category = Category.CONFLICT
