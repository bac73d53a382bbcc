"""Eject backend servers that fail or are slow, as this process observes them.

Consecutive failures eject a server; it is readmitted only after several consecutive
successes while it is probed. This asymmetry, and keeping observations over a restart,
follow "When a Connector Starts Slowing Down at Night: A Health-Aware Circuit Breaker
for Solo Automation".
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

from ...core.ids import Instant
from ...core.states import DispatchOutcome
from ...core.states import Health

FAILURES_TO_EJECT = 3
"""Consecutive failures that eject a server."""

SUCCESSES_TO_READMIT = 3
"""Consecutive successes that readmit a server which is probed."""

BASE_EJECTION_TIME = 1.0
"""Seconds of a first ejection; doubles with each ejection until a readmission."""

MAX_EJECTION_TIME = 30.0
"""Seconds."""

SLOW_RATIO = 3.0
"""Ratio of the latency to the median of the peers above which a server is slow."""

MIN_SLOW_LATENCY = 0.05
"""Seconds of latency up to which no backend server counts as slow."""

EWMA_WEIGHT = 0.2
"""Weight of the latest answer in the moving average of the latency."""

MIN_SAMPLES = 8
"""Answers from which a backend server may count as slow."""


@dataclass
class HealthTracker:
    """Track the latency and the consecutive failures of one backend server."""

    health: Health = Health.TRUSTED
    latency: float = 0.0
    """Moving average of response times in seconds; 0 before the first answer."""
    samples: int = 0
    """Answers since the start or since the server was last probed."""
    failures: int = 0
    """Consecutive failures."""
    successes: int = 0
    """Consecutive answers."""
    ejections: int = 0
    """Ejections since the last readmission, at most 10."""
    probe_at: Instant = field(default=Instant(0.0))
    """End of the last ejection."""

    def record_dispatch(
        self, end: DispatchOutcome, seconds: float, now: Instant
    ) -> None:
        """Update health and latency from the end of one dispatch.

        ``seconds`` is the response time. Any end but an answer counts as a failure.
        """
        if end is DispatchOutcome.ANSWERED:
            self._record_success(seconds)
        else:
            self._record_failure(now)

    def _record_success(self, seconds: float) -> None:
        self.failures = 0
        self.successes += 1
        self.samples += 1
        first = self.samples == 1
        self.latency += (seconds - self.latency) * (1.0 if first else EWMA_WEIGHT)
        if self.health is Health.PROBING and self.successes >= SUCCESSES_TO_READMIT:
            self.health = Health.TRUSTED
            self.ejections = 0

    def _record_failure(self, now: Instant) -> None:
        self.successes = 0
        self.failures += 1
        if self.health is Health.PROBING or self.failures >= FAILURES_TO_EJECT:
            self.eject(now)

    def eject(self, now: Instant) -> None:
        """Eject the backend server for a time that doubles with each ejection."""
        ejection_time = min(BASE_EJECTION_TIME * 2**self.ejections, MAX_EJECTION_TIME)
        self.ejections = min(self.ejections + 1, 10)
        self.health = Health.EJECTED
        self.probe_at = Instant(now + ejection_time)
        self.successes = 0
        self.failures = 0

    def start_probe_if_due(self, now: Instant) -> None:
        """Start to probe the backend server if its ejection has ended."""
        if self.health is Health.EJECTED and now >= self.probe_at:
            self.health = Health.PROBING
            self.samples = 0

    def is_slow(self, median: float) -> bool:
        """Return whether its latency is far above that of its peers.

        ``median`` is the median latency of the peers in seconds.
        """
        has_samples = self.samples >= MIN_SAMPLES
        return has_samples and self.latency > max(MIN_SLOW_LATENCY, SLOW_RATIO * median)
