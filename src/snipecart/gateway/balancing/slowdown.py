"""Estimate how long work takes on a backend server's machine, from its load reports.

Backend servers share machines. The reported ratio to the usual time changes many times
a second, so a single report says little about the time that the next request takes.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from ...core.registry import Registry

SMOOTHING_TIME = 2.0
"""Seconds after which a new value accounts for two thirds (1 - 1/e) of the estimate."""

SlowdownRule = Callable[[float, float, float], float]
"""Return the estimate from the last one, a reported ratio and the seconds between."""

SLOWDOWN_RULES: Registry[str, SlowdownRule] = Registry("estimates of slowdowns")


@SLOWDOWN_RULES.register("smoothed")
def smooth_slowdown(before: float, reported: float, seconds: float) -> float:
    """Average the reports over time."""
    weight = 1.0 - math.exp(-seconds / SMOOTHING_TIME)
    return before + weight * (reported - before)


@SLOWDOWN_RULES.register("latest")
def take_latest(before: float, reported: float, seconds: float) -> float:
    """Take the latest report, as a baseline."""
    return reported


@SLOWDOWN_RULES.register("ignored")
def ignore_slowdown(before: float, reported: float, seconds: float) -> float:
    """Assume that work takes as long as usual, as a baseline."""
    return 1.0
