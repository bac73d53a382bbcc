"""Bound how much of a region's traffic may move to another at once.

Answers the load of a burst in one region: links between regions and servers elsewhere
must not get in a second what the region can't take.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ...core.ids import Instant

DECAY_TIME = 1.0
"""Seconds in which a placed request's weight falls to a third."""

MAX_SPILLOVER = 0.1
"""Part of the requests that may leave the region that their order begins with."""


@dataclass
class SpilloverMeter:
    """Follow which part of a service's requests leaves its region."""

    total: float = 0.0
    spillover: float = 0.0
    at: float = 0.0

    def record(self, spillover: bool, now: Instant) -> None:
        """Count a placed request."""
        self._decay(now)
        self.total += 1.0
        self.spillover += float(spillover)

    def allows(self, now: Instant) -> bool:
        """Say whether one more request may leave its region."""
        self._decay(now)
        return self.spillover + 1.0 <= MAX_SPILLOVER * (self.total + 1.0)

    def _decay(self, now: Instant) -> None:
        factor = math.exp((self.at - now) / DECAY_TIME)
        self.total *= factor
        self.spillover *= factor
        self.at = now
