"""Decide between full and short reports to a control process."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

from ..core.ids import Instant
from ..core.ids import LogIndex
from ..core.ids import RoutingVersion
from ..messages.discovery import SyncAnswer

if TYPE_CHECKING:
    from ..core.ids import RegionName
    from ..messages.alive import AliveAnswer
    from ..messages.discovery import Gateway


@dataclass
class ReportState:
    """Track what one control process knows of this gateway."""

    accepts_short: bool = False
    """Whether the process understands short reports."""
    confirmed: Gateway | None = None
    """The gateway as the process is known to have recorded it."""
    requested: Gateway | None = None
    """The gateway as the last full request described it."""
    requested_at: Instant = Instant(0.0)
    """When the last full request was sent."""
    reported_at: Instant = Instant(0.0)
    """When the last report of either kind was sent."""
    answered: Instant = Instant(0.0)
    """When the latest answered report was sent."""

    def record_request(self, gateway: Gateway, now: Instant) -> None:
        """Record a full request.

        An answer names a request by its time only, so it confirms neither of two that
        were sent at the same time and differ.
        """
        differs = now == self.requested_at and gateway != self.requested
        self.requested = None if differs else gateway
        self.requested_at = self.reported_at = now

    def record_short(self, now: Instant) -> None:
        """Record a short report."""
        self.reported_at = now

    def record_answer(self, answer: SyncAnswer) -> None:
        """Record the answer to a full request."""
        self.accepts_short = answer.accepts_short
        self.answered = max(self.answered, answer.sent_at)
        if answer.sent_at == self.requested_at:
            self.confirmed = self.requested

    def record_short_answer(self, answer: AliveAnswer) -> None:
        """Record the answer to a short report."""
        self.answered = max(self.answered, answer.sent_at)
        if not answer.known:
            self.confirmed = None

    def allows_short(self, gateway: Gateway) -> bool:
        """Return whether a short report tells the process all that a full one would.

        The last report must have been answered: a process that did not answer may have
        started again, and must then learn of the gateway without a further message.
        """
        is_answered = self.answered >= self.reported_at
        return self.accepts_short and is_answered and self.confirmed == gateway


def expand_answer(answer: AliveAnswer, region: RegionName) -> SyncAnswer:
    """Return a short answer as the answer to a full request that lists no changes.

    It names no evacuations and no members, as the short answer doesn't contain them.
    """
    return SyncAnswer(
        source="",
        revision=0,
        complete=False,
        instances=(),
        gone=(),
        routing_version=answer.routing_version,
        routing=b"",
        evacuation_index=0,
        evacuated=(),
        control=(),
        control_index=LogIndex(0),
        gateways=answer.gateways,
        ready=answer.ready,
        absent_are_gone=False,
        may_be_behind=answer.may_be_behind,
        sent_at=answer.sent_at,
        witness=answer.witness,
        leader=answer.leader,
        region=region,
        accepts_short=True,
    )


def without_routing(answer: SyncAnswer) -> SyncAnswer:
    """Return an answer without its routing table and evacuations.

    A gateway without any would act on what a newer table may forbid.
    """
    return replace(
        answer,
        routing_version=RoutingVersion(0),
        routing=b"",
        evacuation_index=0,
        evacuated=(),
    )
