"""Limit retries by a budget that gateways share without coordination."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ...core.ids import Instant


BUDGET_USE_FACTOR = 0.6
"""Fraction of the budget that gateways use, because their windows don't align."""


@dataclass(frozen=True)
class BudgetRule:
    """Define a retry budget as a fraction of the first sends plus a fixed number."""

    ratio: float = 0.2
    """Retries allowed per first send."""
    window: float = 10.0
    """Seconds."""
    slack: float = 10.0
    """Retries in a window beyond the ratio, summed over all gateways."""


@dataclass
class RetryBudget:
    """Count first sends and retries of one service in a sliding window."""

    rule: BudgetRule
    first_sends: deque[Instant] = field(default_factory=deque)
    """Times of the first sends in the window."""
    retries: deque[Instant] = field(default_factory=deque)
    """Times of the retries in the window."""

    def record_first(self, now: Instant) -> None:
        """Count a first send."""
        self._remove_expired(now)
        self.first_sends.append(now)

    def try_acquire(self, gateways: int, now: Instant) -> bool:
        """Count a retry; return False where the budget allows none."""
        self._remove_expired(now)
        allowed = self.rule.ratio * len(self.first_sends)
        allowed += self.rule.slack / max(1, gateways)
        if len(self.retries) + 1 > allowed * BUDGET_USE_FACTOR:
            return False
        self.retries.append(now)
        return True

    def _remove_expired(self, now: Instant) -> None:
        """Remove the sends that are no longer in the window."""
        since = now - self.rule.window
        for times in (self.first_sends, self.retries):
            while times and times[0] < since:
                times.popleft()
