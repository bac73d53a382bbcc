"""Limit the fraction of a region's requests that spill over to other regions.

After a burst in one region, the links between regions and the servers of other regions
must not receive all excess requests within a second.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ...core.ids import Instant

DECAY_TIME = 1.0
"""Seconds in which the weight of a request falls to about a third (1/e)."""

MAX_SPILLOVER = 0.1
"""Fraction of requests that may leave the region of their most preferred server."""


@dataclass
class SpilloverMeter:
    """Measure the fraction of a service's requests that spill over."""

    total: float = 0.0
    """Requests, with exponential decay."""
    spillover: float = 0.0
    """Those that left their region."""
    at: float = 0.0
    """When both counts were last updated."""

    def record(self, spillover: bool, now: Instant) -> None:
        """Count a request for which a server was selected."""
        self._decay(now)
        self.total += 1.0
        self.spillover += float(spillover)

    def allows(self, now: Instant) -> bool:
        """Return whether one more request may leave its region."""
        self._decay(now)
        return self.spillover + 1.0 <= MAX_SPILLOVER * (self.total + 1.0)

    def _decay(self, now: Instant) -> None:
        factor = math.exp((self.at - now) / DECAY_TIME)
        self.total *= factor
        self.spillover *= factor
        self.at = now
