"""Measure how costs grow with sizes, and fit lines to the measurements."""

from __future__ import annotations

import gc
import statistics
import time
from collections.abc import Callable
from dataclasses import dataclass

from snipecart.core.registry import Registry

TRIES = 3
"""Repetitions of a timing, of which the fastest counts."""


@dataclass(frozen=True)
class Slope:
    """Store the measurements of one cost at several sizes."""

    name: str
    unit: str
    sizes: tuple[int, ...]
    values: tuple[float, ...]

    @property
    def fit(self) -> tuple[float, float]:
        """Return the slope and the intercept of the linear regression."""
        line = statistics.linear_regression(self.sizes, self.values)
        return line.slope, line.intercept


Measure = Callable[[int], float]

SLOPES: Registry[str, tuple[str, tuple[int, ...], Measure]] = Registry("slopes")


def register_slope(name: str, unit: str, *sizes: int) -> Callable[[Measure], Measure]:
    """Register a measurement under a name, with its unit and its sizes."""

    def register_measure(measure: Measure) -> Measure:
        SLOPES.register(name)((unit, sizes, measure))
        return measure

    return register_measure


def measure_us(operation: Callable[[], object], repetitions: int) -> float:
    """Return the CPU time of an operation in microseconds.

    This is the lowest mean over ``repetitions`` runs out of several tries.
    """
    best = float("inf")
    for _ in range(TRIES):
        gc.collect()
        start = time.process_time()
        for _ in range(repetitions):
            operation()
        best = min(best, (time.process_time() - start) / repetitions * 1e6)
    return best
