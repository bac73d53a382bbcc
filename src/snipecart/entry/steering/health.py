"""Judge backend servers by what this process sees of them.

The asymmetry (a few failures eject, several successes in a row readmit) and keeping
observations over a restart follow "When a Connector Starts Slowing Down at Night: A
Health-Aware Circuit Breaker for Solo Automation".
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

from ...core.ids import Instant
from ...core.states import DispatchOutcome
from ...core.states import Health

FAILURES_TO_EJECT = 3
"""Failures in a row."""

SUCCESSES_TO_READMIT = 3
"""Successes in a row while probing."""

BASE_EJECTION_TIME = 1.0
"""Seconds before a first probe; doubled at each new ejection."""

MAX_EJECTION_TIME = 30.0

SLOW_RATIO = 3.0
"""Times the median of its peers that makes a backend server slow."""

MIN_SLOW_LATENCY = 0.05
"""Seconds below which no backend server counts as slow."""

EWMA_WEIGHT = 0.2

MIN_SAMPLES = 8
"""Samples before slowness is judged."""


@dataclass
class HealthTracker:
    """Hold what was seen of one backend server."""

    health: Health = Health.TRUSTED
    latency: float = 0.0
    """Smoothed seconds of an answer; 0 before the first."""
    samples: int = 0
    failures: int = 0
    successes: int = 0
    ejections: int = 0
    probe_at: Instant = field(default=Instant(0.0))

    def record_dispatch(
        self, end: DispatchOutcome, seconds: float, now: Instant
    ) -> None:
        """Take in the end of one dispatch."""
        if end is DispatchOutcome.ANSWERED:
            self._record_success(seconds)
        else:
            self._record_failure(now)

    def _record_success(self, seconds: float) -> None:
        self.failures = 0
        self.successes += 1
        self.samples += 1
        fresh = self.samples == 1
        self.latency += (seconds - self.latency) * (1.0 if fresh else EWMA_WEIGHT)
        if self.health is Health.PROBING and self.successes >= SUCCESSES_TO_READMIT:
            self.health = Health.TRUSTED
            self.ejections = 0

    def _record_failure(self, now: Instant) -> None:
        self.successes = 0
        self.failures += 1
        if self.health is Health.PROBING or self.failures >= FAILURES_TO_EJECT:
            self.eject(now)

    def eject(self, now: Instant) -> None:
        """Give the backend server no calls until a cool-down has passed."""
        span = min(BASE_EJECTION_TIME * 2**self.ejections, MAX_EJECTION_TIME)
        self.ejections = min(self.ejections + 1, 10)
        self.health = Health.EJECTED
        self.probe_at = Instant(now + span)
        self.successes = 0
        self.failures = 0

    def start_probe_if_due(self, now: Instant) -> None:
        """Begin to probe once the cool-down has passed."""
        if self.health is Health.EJECTED and now >= self.probe_at:
            self.health = Health.PROBING
            self.samples = 0

    def is_slow(self, median: float) -> bool:
        """Say whether answers take far longer than those of its peers."""
        enough = self.samples >= MIN_SAMPLES
        return enough and self.latency > max(MIN_SLOW_LATENCY, SLOW_RATIO * median)
