"""Average the demand for objects that gateways report."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from math import exp
from math import sqrt
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ...core.ids import Instant
    from ...core.ids import RegionName
    from ...core.ids import ServiceName
    from ...messages.placement import DemandReport

USUAL_TIME_CONSTANT = 15.0
"""Seconds over which usual demand is averaged; placement follows this."""

PEAK_TIME_CONSTANT = 3.0
"""Seconds over which a surge is averaged; further copies follow this."""

PRIOR_SECONDS = 2.0
"""Weight of the mean demand of all objects, in seconds of observation.

In the first half second most objects have one or two requests, which says little.
"""

PEAK_SIGNIFICANCE = 3.0
"""Standard deviations by which a surge exceeds usual demand before it counts."""

HOME_SIGNIFICANCE = 2.0
"""Standard deviations by which a region's requests exceed half of all."""

DEFAULT_WORK_SECONDS = 0.2
"""Assumed time of warm work before a gateway has measured one."""

WORK_EWMA_WEIGHT = 0.02
"""Weight of one report in the average time of warm work.

A few long requests must not change the servers of an object.
"""

MIN_OBSERVED_SECONDS = 0.25
"""Least time for which demand is divided, so that the first report is no surge.

This is half of the time between two reports of a gateway.
"""

MIN_RATE = 0.1
"""Requests per second of which the chance variation is assumed at least."""

MIN_REQUESTS = 1e-6
"""Sum of a region's requests below which it counts as silent."""

FORGET_AFTER = 30.0
"""Seconds without a request after which an object leaves the plan."""

MAX_TRACKED = 4000
"""Objects of one service whose demand is averaged; further ones are ignored.

Clients choose the keys, so that the memory has to be bounded.
"""

UNKEYED = 0
"""Hash that stands for requests without an object key."""


@dataclass(frozen=True)
class ObjectDemand:
    """Describe the demand for one object."""

    object: int
    rate: float
    """Requests per second."""
    peak: float
    """Requests per second in a surge; ``rate`` without one."""
    work_s: float
    """Time of warm work in seconds."""
    by_region: dict[RegionName, float]
    """Requests per second from the callers of each region."""
    home: RegionName | None = None
    """Region that sends most of the requests; None if no region clearly does."""

    @property
    def load(self) -> float:
        """Return the slots that the object occupies."""
        return self.rate * self.work_s

    @property
    def peak_load(self) -> float:
        """Return the slots that the object occupies in a surge."""
        return self.peak * self.work_s


@dataclass
class Averages:
    """Store the decaying sums of one object's requests."""

    at: Instant
    usual: dict[RegionName, float] = field(default_factory=dict)
    peak: float = 0.0
    work_s: float = 0.0
    requested_at: float = 0.0

    def advance(self, now: Instant) -> None:
        """Decay the sums up to now."""
        passed = max(0.0, now - self.at)
        self.at = now
        factor = exp(-passed / USUAL_TIME_CONSTANT)
        decayed = {region: total * factor for region, total in self.usual.items()}
        self.usual = {
            region: total for region, total in decayed.items() if total > MIN_REQUESTS
        }
        self.peak *= exp(-passed / PEAK_TIME_CONSTANT)


@dataclass
class DemandTable:
    """Store moving averages of demand by service and object."""

    started_at: Instant | None = None
    """Time of the first request; averages are corrected for the time before it."""
    services: dict[ServiceName, dict[int, Averages]] = field(default_factory=dict)

    def record(self, report: DemandReport, now: Instant) -> None:
        """Add a gateway's report."""
        if self.started_at is None and report.demand:
            self.started_at = now
        for part in report.demand:
            objects = self.services.setdefault(part.service, {})
            for item, count in zip(part.objects, part.counts, strict=False):
                if item not in objects and len(objects) >= MAX_TRACKED:
                    continue
                averages = objects.setdefault(item, Averages(now))
                averages.advance(now)
                region = report.region
                averages.usual[region] = averages.usual.get(region, 0.0) + count
                averages.peak += count
                averages.requested_at = now
                _average_work(averages, part.warm_ms / 1000)

    def remove_ended(self, now: Instant) -> None:
        """Remove objects without a request for FORGET_AFTER seconds."""
        for objects in self.services.values():
            for item, averages in list(objects.items()):
                if now > averages.requested_at + FORGET_AFTER:
                    del objects[item]

    def observed_for(self, now: Instant) -> float:
        """Return the seconds since the first request."""
        return 0.0 if self.started_at is None else now - self.started_at

    def _averaged_seconds(self, time_constant: float, now: Instant) -> float:
        """Return the seconds of steady requests that a decaying sum stands for."""
        observed = max(MIN_OBSERVED_SECONDS, self.observed_for(now))
        return time_constant * (1 - exp(-observed / time_constant))

    def objects(self, service: ServiceName, now: Instant) -> list[ObjectDemand]:
        """Return the demand for the objects of a service."""
        known = self.services.get(service, {})
        seconds = self._averaged_seconds(USUAL_TIME_CONSTANT, now)
        peak_seconds = self._averaged_seconds(PEAK_TIME_CONSTANT, now)
        for averages in known.values():
            averages.advance(now)
        keyed = {item: known[item] for item in known if item != UNKEYED}
        sums = {item: sum(averages.usual.values()) for item, averages in keyed.items()}
        prior = sum(sums.values()) / seconds / max(1, len(sums)) * PRIOR_SECONDS
        return [
            _describe(
                item,
                averages,
                (sums[item] + prior) / (seconds + PRIOR_SECONDS),
                averages.peak / peak_seconds,
                peak_seconds,
                seconds,
            )
            for item, averages in keyed.items()
        ]

    def by_region(self, service: ServiceName, now: Instant) -> dict[RegionName, float]:
        """Return a service's requests per second, with and without an object key."""
        seconds = self._averaged_seconds(USUAL_TIME_CONSTANT, now)
        totals: dict[RegionName, float] = {}
        for averages in self.services.get(service, {}).values():
            averages.advance(now)
            for region, total in averages.usual.items():
                totals[region] = totals.get(region, 0.0) + total / seconds
        return totals


def _average_work(averages: Averages, work_s: float) -> None:
    if work_s <= 0:
        return
    if not averages.work_s:
        averages.work_s = work_s
    averages.work_s += WORK_EWMA_WEIGHT * (work_s - averages.work_s)


def _describe(
    item: int,
    averages: Averages,
    rate: float,
    recent: float,
    recent_seconds: float,
    seconds: float,
) -> ObjectDemand:
    """Return an object's demand; a surge counts if chance does not explain it."""
    deviation = sqrt(max(rate, MIN_RATE) / (2 * recent_seconds))
    most = max(averages.usual, key=averages.usual.__getitem__, default=None)
    is_surge = recent > rate + PEAK_SIGNIFICANCE * deviation
    return ObjectDemand(
        item,
        rate,
        recent if is_surge else rate,
        averages.work_s or DEFAULT_WORK_SECONDS,
        {region: total / seconds for region, total in averages.usual.items()},
        most if most and _is_home(averages.usual, most) else None,
    )


def _is_home(usual: dict[RegionName, float], region: RegionName) -> bool:
    """Return whether a region sends most requests, which chance does not explain."""
    count = usual[region]
    return count - HOME_SIGNIFICANCE * sqrt(count) > sum(usual.values()) / 2
