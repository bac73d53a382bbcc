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

    placed: float = 0.0
    spilled: float = 0.0
    at: float = 0.0

    def record(self, spilled: bool, now: Instant) -> None:
        """Count a placed request."""
        self._decay(now)
        self.placed += 1.0
        self.spilled += float(spilled)

    def allows(self, now: Instant) -> bool:
        """Say whether one more request may leave its region."""
        self._decay(now)
        return self.spilled + 1.0 <= MAX_SPILLOVER * (self.placed + 1.0)

    def _decay(self, now: Instant) -> None:
        kept = math.exp((self.at - now) / DECAY_TIME)
        self.placed *= kept
        self.spilled *= kept
        self.at = now
