"""Bound how many requests are sent again, without a word to other gateways."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ...core.ids import Instant


BUDGET_USE_FACTOR = 0.6
"""Part of the budget that gateways plan to use, as windows never align."""


@dataclass(frozen=True)
class BudgetRule:
    """Set a budget: a part of the first sends, and a number besides."""

    ratio: float = 0.2
    window: float = 10.0
    """Seconds."""
    slack: float = 10.0
    """Repeats in a window beyond the ratio, over all gateways."""


@dataclass
class RetryBudget:
    """Count first sends and repeats of one service in a sliding window."""

    rule: BudgetRule
    firsts: deque[Instant] = field(default_factory=deque)
    repeats: deque[Instant] = field(default_factory=deque)

    def record_first(self, now: Instant) -> None:
        """Count a first send."""
        self.firsts.append(now)

    def try_acquire(self, gateways: int, now: Instant) -> bool:
        """Spend a repeat, if the budget allows one."""
        since = now - self.rule.window
        for times in (self.firsts, self.repeats):
            while times and times[0] < since:
                times.popleft()
        allowed = self.rule.ratio * len(self.firsts)
        allowed += self.rule.slack / max(1, gateways)
        if len(self.repeats) + 1 > allowed * BUDGET_USE_FACTOR:
            return False
        self.repeats.append(now)
        return True
