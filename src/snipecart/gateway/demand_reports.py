"""Decide when a gateway reports its demand, and to which control process."""

from __future__ import annotations

from dataclasses import dataclass
from math import inf
from typing import TYPE_CHECKING

from ..core.ids import Instant
from ..core.ids import VmName
from .balancing.placement import PLAN_LIFETIME

if TYPE_CHECKING:
    from ..messages.discovery import SyncAnswer

DEMAND_INTERVAL = 0.5
"""Seconds between two reports."""

UNPLACED_INTERVAL = 0.2
"""Seconds between two reports while the plan lacks an object that is requested."""

MAX_REPORTS_PER_SECOND = 400
"""Reports of all gateways to the leader, which also serves the log meanwhile.

With more gateways, each of them reports less often.
"""

ENDING_SECONDS = PLAN_LIFETIME + 1.0
"""Seconds for which the balancer checks whether an ended plan is still in use."""


@dataclass
class DemandSchedule:
    """Decide when to report demand."""

    wanted: bool = False
    """Whether a plan places objects, by the followed control process."""
    leader: VmName = VmName("")
    """Leader of the log, to which demand is reported; empty if it isn't known."""
    gateways: int = 1
    """Number of gateways that report."""
    has_unplaced: bool = False
    """Whether the plan lacked an object in the last report."""
    _due: Instant = Instant(0.0)
    _ends_at: Instant = Instant(0.0)
    """Until when the balancer is asked to stop counting, after no plan is in use."""

    def record_answer(
        self, answer: SyncAnswer, now: Instant, *, followed: bool
    ) -> None:
        """Update from an answer of a control process."""
        if answer.leader:
            self.leader = answer.leader
        if not (followed and answer.ready):
            return
        self.gateways = max(1, answer.gateways)
        if self.wanted and not answer.plans:
            self._ends_at = Instant(now + ENDING_SECONDS)
        self.wanted = answer.plans

    def due_at(self) -> Instant:
        """Return when to take the demand; never if it isn't wanted."""
        return self._due if self.wanted or self._due < self._ends_at else Instant(inf)

    def is_due(self, now: Instant) -> bool:
        """Return whether to take the demand now."""
        if now < self.due_at():
            return False
        interval = UNPLACED_INTERVAL if self.has_unplaced else DEMAND_INTERVAL
        interval = max(interval, self.gateways / MAX_REPORTS_PER_SECOND)
        self._due = Instant(now + interval)
        return True
