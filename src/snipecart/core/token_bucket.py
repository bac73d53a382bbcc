"""Limit a rate, with a burst, without a clock of its own."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .ids import Instant


@dataclass
class TokenBucket:
    """Limit a rate by tokens that are earned over time."""

    rate: float
    """Tokens per second."""
    burst: float
    """Maximum number of tokens."""
    tokens: float
    at: Instant
    """When ``tokens`` was last updated."""

    def try_acquire(self, now: Instant, amount: float = 1.0) -> bool:
        """Take tokens; return False where there are fewer.

        An amount over the burst is taken from a full bucket, which then is in debt.
        """
        if not self.has(now, amount):
            return False
        self.tokens -= amount
        return True

    def has(self, now: Instant, amount: float = 1.0) -> bool:
        """Return whether tokens could be taken now."""
        self._earn(now)
        return self.tokens >= min(amount, self.burst)

    def set_rate(self, rate: float, now: Instant) -> None:
        """Change the rate; tokens earned so far stay."""
        self._earn(now)
        self.rate = rate

    def _earn(self, now: Instant) -> None:
        self.tokens = min(self.burst, self.tokens + (now - self.at) * self.rate)
        self.at = now
