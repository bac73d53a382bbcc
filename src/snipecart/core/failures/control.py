"""Define the failures of requests to control processes."""

from __future__ import annotations

from .base import Category
from .base import Failure


class NotAcknowledged(Failure):
    """Reject a heartbeat whose change some live gateway has not confirmed in time."""

    category = Category.UNAVAILABLE


class VersionReused(Failure):
    """Reject a routing table whose version is stored with other content."""

    category = Category.CONFLICT


class NotLeader(Failure):
    """Redirect to the control process that leads the replicated log."""

    category = Category.MISDIRECTED


class NoQuorum(Failure):
    """Report that no quorum confirmed the request in time."""

    category = Category.UNAVAILABLE


class VersionConflict(Failure):
    """Reject a configuration whose base version is not the latest accepted one."""

    category = Category.CONFLICT


class SubmissionReused(Failure):
    """Reject a submission id that was used with another configuration."""

    category = Category.CONFLICT


class PeerMessageInvalid(Failure):
    """Reject a message from a peer that can't be decoded."""


class MessageUnencodable(Failure):
    """Reject a message with a value that its field can't hold."""
