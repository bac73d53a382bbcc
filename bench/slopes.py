"""Hold measurements of slopes and how they are taken."""

from __future__ import annotations

import gc
import statistics
import time
from collections.abc import Callable
from dataclasses import dataclass

from snipecart.core.registry import Registry

ROUNDS = 3


@dataclass(frozen=True)
class Slope:
    """Hold one measured line."""

    name: str
    unit: str
    sizes: tuple[int, ...]
    figures: tuple[float, ...]

    @property
    def fit(self) -> tuple[float, float]:
        """Return the slope and the intercept."""
        line = statistics.linear_regression(self.sizes, self.figures)
        return line.slope, line.intercept


Measure = Callable[[int], float]

SLOPES: Registry[str, tuple[str, tuple[int, ...], Measure]] = Registry("slopes")


def slope(name: str, unit: str, *sizes: int) -> Callable[[Measure], Measure]:
    """File a measurement under its name, with its unit and sizes."""

    def file(measure: Measure) -> Measure:
        SLOPES.register(name)((unit, sizes, measure))
        return measure

    return file


def timed(work: Callable[[], object], count: int) -> float:
    """Return the microseconds of one round of work, the best of several tries."""
    best = float("inf")
    for _ in range(ROUNDS):
        gc.collect()
        began = time.process_time()
        for _ in range(count):
            work()
        best = min(best, (time.process_time() - began) / count * 1e6)
    return best
