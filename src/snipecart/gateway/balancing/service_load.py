"""Estimate how long requests of a service wait, from the reports of all its servers.

A gateway that handles few requests rarely gets a report from a given server, so it
takes that server for idle although other gateways fill its queue. The reports of all
servers of the same region show how long the queues of the others are.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass
from dataclasses import field
from statistics import median_low
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ...core.ids import Instant

MAX_SAMPLES = 12
"""Latest reports from which a wait is estimated."""

SAMPLE_MAX_AGE = 4.0
"""Seconds for which a report counts."""

MIN_SAMPLES = 3
"""Reports without which nothing is known: one server may be busier than the others."""

RATE_DECAY_TIME = 3.0
"""Seconds in which the weight of a report in the rate of reports falls to 1/e."""


@dataclass
class RecentTimes:
    """Store the latest response times of a route."""

    seconds: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_SAMPLES))

    def work_time(self) -> float | None:
        """Return the lower quartile, which includes little waiting; None at first."""
        if len(self.seconds) < MIN_SAMPLES:
            return None
        return sorted(self.seconds)[len(self.seconds) // 4]


@dataclass
class ServiceLoad:
    """Store the latest load reports of the servers of a service in one region."""

    samples: deque[tuple[Instant, float, float]] = field(
        default_factory=lambda: deque(maxlen=MAX_SAMPLES)
    )
    """When each report came; the wait that it meant for one more request, relative to
    the usual time of a request; and its weight.

    A server sends a report with each answer, so a busy one sends more of them. The
    weight is the time for which a report stands: the reciprocal of the rate.
    """
    reports: float = 0.0
    """Reports, with exponential decay."""
    updated_at: float = 0.0

    def record(self, requests: float, slots: int, now: Instant) -> float:
        """Apply a report of the requests that run or wait at a server.

        Return the wait that it means for one more, relative to the usual time.
        """
        ratio = max(0.0, (requests - slots + 1) / slots)
        weight = 1.0 / (min(requests, slots) + 1.0)
        self.samples.append((now, ratio, weight))
        self._decay(now)
        self.reports += 1.0
        return ratio

    def busy_fraction(self, allowed_ratio: float, now: Instant) -> float:
        """Return the fraction of servers at which requests wait longer than is allowed.

        ``allowed_ratio`` is relative to the usual time of a request. The result is 0
        while too few reports are known. A server with wrong reports counts no more than
        any other.
        """
        recent = [item for item in self.samples if now < item[0] + SAMPLE_MAX_AGE]
        if len(recent) < MIN_SAMPLES:
            return 0.0
        total = sum(weight for _, _, weight in recent)
        busy = sum(weight for _, ratio, weight in recent if ratio > allowed_ratio)
        return busy / total

    def typical_ratio(self, now: Instant) -> float:
        """Return the median wait, relative to the usual time; 0 if it is unknown."""
        recent = [item[1] for item in self.samples if now < item[0] + SAMPLE_MAX_AGE]
        return median_low(recent) if recent else 0.0

    def report_interval(self, servers: int, now: Instant) -> float:
        """Return the mean seconds between two reports of the same server."""
        self._decay(now)
        return servers * RATE_DECAY_TIME / max(self.reports, 1e-9)

    def _decay(self, now: Instant) -> None:
        self.reports *= math.exp((self.updated_at - now) / RATE_DECAY_TIME)
        self.updated_at = now
