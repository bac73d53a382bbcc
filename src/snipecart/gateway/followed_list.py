"""Track the list of backend servers that the followed control process sends."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..core.ids import Instant
from .balancing.view import SyncPoint
from .peers import PEER_TIMEOUT_SECONDS

if TYPE_CHECKING:
    from ..messages.discovery import SyncAnswer
    from .balancing.view import View

READY_TIMEOUT_SECONDS = 1.0
"""Time after the first answer at which an incomplete list of servers is accepted.

Control processes that have just started learn of backend servers only from their
heartbeats.
"""


@dataclass
class FollowedList:
    """Store how far a gateway is with the list of one control process."""

    source: str = ""
    """Run of the process; empty before it has sent a list."""
    revision: int = 0
    limits_revision: int = 0
    """Revision of the rate limits that the process listed last."""
    ready: bool = False
    """Whether the process had a heartbeat of every server."""
    absent_are_gone: bool = False
    """Whether servers that the process does not list are gone."""
    changes_due: Instant = Instant(0.0)
    """When changes may be requested, as no request for them is outstanding."""
    requested_at: Instant | None = None
    """When changes were requested last."""
    denied: bool = False
    """Whether the process had no time to answer that request with a list."""

    def record_request(self, now: Instant) -> None:
        """Record a request for changes."""
        self.requested_at = now
        self.changes_due = Instant(now + PEER_TIMEOUT_SECONDS)

    def record_answer(self, answer: SyncAnswer, now: Instant) -> None:
        """Record an answer of the followed process."""
        self.ready, self.absent_are_gone = answer.ready, answer.absent_are_gone
        self.limits_revision = answer.limits_revision or self.limits_revision
        if answer.source:
            self.source, self.revision = answer.source, answer.revision
            self.changes_due = now
        elif answer.sent_at == self.requested_at:
            self.denied = True

    def is_applied(self, applied: SyncPoint) -> bool:
        """Return whether the balancer has applied the latest answer with a list."""
        return bool(self.source) and applied == SyncPoint(self.source, self.revision)

    def needs_changes(self, applied: SyncPoint, now: Instant) -> bool:
        """Return whether to ask for changes.

        One request at a time: the answer to another one would list the same again. The
        balancer must have applied the last answer, as the request has its digest.
        """
        is_current = not self.source or self.is_applied(applied)
        return is_current and now >= self.changes_due

    def is_complete(
        self, view: View, first_answered_at: Instant | None, now: Instant
    ) -> bool:
        """Return whether the balancer's list of backend servers is complete.

        The balancer must have applied the latest answer of the followed process. A
        service without a server counts as complete only once its servers would count
        as gone: until then their heartbeats may be on their way.
        """
        if first_answered_at is None or not self.is_applied(view.applied):
            return False
        if view.unserved and not self.absent_are_gone:
            return False
        return self.ready or now > first_answered_at + READY_TIMEOUT_SECONDS
