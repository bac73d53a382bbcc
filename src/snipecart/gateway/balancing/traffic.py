"""Measure how many requests a gateway gets."""

from __future__ import annotations

import math
from dataclasses import dataclass

from ...core.ids import Instant

TIME_CONSTANT = 2.0
"""Seconds after which an earlier rate has a weight of 1/e."""


@dataclass
class TrafficMeter:
    """Track a moving average of the requests per second."""

    rate: float = 0.0
    at: Instant = Instant(0.0)
    """When ``rate`` was last updated."""

    def record(self, now: Instant) -> None:
        """Count a request."""
        self.rate = self._decayed(now) + 1 / TIME_CONSTANT
        self.at = now

    def rounded(self, now: Instant) -> int:
        """Return the rate, rounded to a power of two and at least 1.

        The rounding keeps the value the same while the rate varies a little.
        """
        return 2 ** round(math.log2(max(1.0, self._decayed(now))))

    def _decayed(self, now: Instant) -> float:
        return self.rate * math.exp((self.at - now) / TIME_CONSTANT)
