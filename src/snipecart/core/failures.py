"""Type every failure, apart from any protocol that carries it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import ClassVar


class Category(StrEnum):
    """Group failures by what the receiver can do about them."""

    INVALID = "invalid"
    NOT_FOUND = "not_found"
    CONFLICT = "conflict"
    OVERLOAD = "overload"
    UNAVAILABLE = "unavailable"
    TIMEOUT = "timeout"
    TOO_LARGE = "too_large"
    MISDIRECTED = "misdirected"
    UPSTREAM = "upstream"


@dataclass(frozen=True)
class Failure:
    """Carry one failure; each subclass is one reason."""

    detail: str = ""
    category: ClassVar[Category] = Category.INVALID

    @property
    def reason(self) -> str:
        """Name the reason as metrics and answers spell it."""
        name = type(self).__name__
        return "".join(
            f"_{char.lower()}" if char.isupper() else char for char in name
        ).lstrip("_")


class BadCall(Failure):
    """Refuse a call whose path or headers can't be read."""


class BodyTooLarge(Failure):
    """Refuse a body over the limit."""

    category = Category.TOO_LARGE


class UnknownService(Failure):
    """Refuse a call to a service the text does not list."""

    category = Category.NOT_FOUND


class UnknownKind(Failure):
    """Refuse a kind of call its service does not list."""

    category = Category.NOT_FOUND


class NoRoute(Failure):
    """Refuse a request that no route of the routing table takes."""

    category = Category.NOT_FOUND


class NoRouting(Failure):
    """Refuse a request before any routing table is in force here."""

    category = Category.UNAVAILABLE


class ServerSaturated(Failure):
    """Refuse at once a request that no backend server could answer in time."""

    category = Category.UNAVAILABLE


class LinkSaturated(Failure):
    """Refuse at once a request whose answer this VM's link could not carry."""

    category = Category.UNAVAILABLE


class ClientGone(Failure):
    """Drop a request whose client has left."""

    category = Category.UPSTREAM


class AttemptsSpent(Failure):
    """Refuse a request that every backend server tried has rejected."""

    category = Category.UNAVAILABLE


class NotAcknowledged(Failure):
    """Refuse a report whose news has not reached every gateway in touch."""

    category = Category.UNAVAILABLE


class VersionReused(Failure):
    """Refuse a routing table whose version is held with other content."""

    category = Category.CONFLICT


class WrongListener(Failure):
    """Refuse a call that came to another rank's listener."""

    category = Category.MISDIRECTED


class MissingKey(Failure):
    """Refuse a non-idempotent call without a request key."""


class KeyMalformed(Failure):
    """Refuse a request key that does not carry its time of issue."""


class KeyReused(Failure):
    """Refuse a request key that was used with another body."""

    category = Category.CONFLICT


class KeyExpired(Failure):
    """Refuse a request key older than claims are kept."""

    category = Category.CONFLICT


class KeyFromFuture(Failure):
    """Refuse a request key issued later than now."""


class DeadlinePassed(Failure):
    """Refuse a call whose deadline has passed."""

    category = Category.TIMEOUT


class CannotMeetDeadline(Failure):
    """Refuse at once a call that would wait past its deadline."""

    category = Category.OVERLOAD


class QueueFull(Failure):
    """Refuse a call whose kind or caller has its share of the queue filled."""

    category = Category.OVERLOAD


class NoEndpoint(Failure):
    """Refuse a call for which no backend server is in reach."""

    category = Category.UNAVAILABLE


class DependencyDown(Failure):
    """Refuse a call whose service depends on one that has no capacity."""

    category = Category.UNAVAILABLE


class LinkCapReached(Failure):
    """Refuse a call that only a capped link could carry."""

    category = Category.OVERLOAD


class CutOff(Failure):
    """Refuse a call while no quorum confirms the text held here."""

    category = Category.UNAVAILABLE


class NoText(Failure):
    """Refuse a call before any text is in force here."""

    category = Category.UNAVAILABLE


class Stopping(Failure):
    """Refuse a call because this process is stopping."""

    category = Category.UNAVAILABLE


class Busy(Failure):
    """Refuse because a bounded mailbox is full."""

    category = Category.OVERLOAD


class ClaimUnconfirmed(Failure):
    """Report that no quorum confirmed the claim in time."""

    category = Category.UNAVAILABLE


class ClaimHeld(Failure):
    """Report that an earlier send of the key has no recorded outcome yet."""

    category = Category.CONFLICT


class ClaimSealed(Failure):
    """Report that the key is sealed as not run."""

    category = Category.CONFLICT


class BackendShed(Failure):
    """Report that the backend server refused before running the call."""

    category = Category.OVERLOAD


class BackendUnreachable(Failure):
    """Report that no byte of the call reached the backend server."""

    category = Category.UNAVAILABLE


class BackendBroken(Failure):
    """Report that the connection broke after the call was sent."""

    category = Category.UPSTREAM


class BackendTimedOut(Failure):
    """Report that the backend server did not answer by the deadline."""

    category = Category.TIMEOUT


class NotLeader(Failure):
    """Point to the leading control process."""

    category = Category.MISDIRECTED


class NoQuorum(Failure):
    """Report that no quorum confirmed the request in time."""

    category = Category.UNAVAILABLE


class VersionConflict(Failure):
    """Refuse a text whose base version is not the one accepted last."""

    category = Category.CONFLICT


class SubmissionReused(Failure):
    """Refuse a submission id that was used with another text."""

    category = Category.CONFLICT


class PeerMessageInvalid(Failure):
    """Refuse a message that can't be decoded."""


class LogCorrupt(Failure):
    """Report a synced record that can't be read back."""


@dataclass(frozen=True)
class Fault:
    """Point at one fault in a JSON text."""

    path: str
    kind: str
    reason: str


@dataclass(frozen=True)
class TextInvalid(Failure):
    """Refuse a whole text with all its faults."""

    faults: tuple[Fault, ...] = ()


@dataclass(frozen=True)
class SettingsInvalid(Failure):
    """Refuse a settings file with all its faults."""

    faults: tuple[Fault, ...] = ()
