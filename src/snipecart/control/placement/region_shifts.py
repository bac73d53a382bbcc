"""Limit the requests that moves of objects send to another region."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from math import inf
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ...core.ids import Instant
    from ...core.ids import RegionName
    from .demand import ObjectDemand

REGION_SHIFT_PER_SECOND = 0.05
"""Part of a region's requests that moves may send to another region, each second.

The platform bounds how fast the division of requests among regions may change.
"""

SHIFT_BURST_SECONDS = 1.0
"""Seconds of REGION_SHIFT_PER_SECOND that may be used at once."""


@dataclass
class ShiftAllowance:
    """Store how many requests may change their region now."""

    _rates: dict[RegionName, float] = field(default_factory=dict)
    """Requests per second of each region; negative after a move of many."""
    _refilled_at: float = -inf

    def refill(self, demand: Iterable[ObjectDemand], now: Instant) -> None:
        """Add the allowance of the time since the last call, up to the burst."""
        passed = min(SHIFT_BURST_SECONDS, now - self._refilled_at)
        self._refilled_at = now
        rates: dict[RegionName, float] = {}
        for item in demand:
            for region, rate in item.by_region.items():
                rates[region] = rates.get(region, 0.0) + rate
        self._rates = {
            region: min(
                self._rates.get(region, 0.0) + rate * REGION_SHIFT_PER_SECOND * passed,
                rate * REGION_SHIFT_PER_SECOND * SHIFT_BURST_SECONDS,
            )
            for region, rate in rates.items()
        }

    def take(self, demand: ObjectDemand, copies: int) -> bool:
        """Use the allowance for one copy of an object; return False if there is none.

        It may become negative, as an object can't move in parts.
        """
        if any(self._rates.get(region, 0.0) <= 0 for region in demand.by_region):
            return False
        for region, rate in demand.by_region.items():
            self._rates[region] -= rate / copies
        return True
