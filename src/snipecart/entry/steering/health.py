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

SUCCESSES_TO_TRUST = 3
"""Successes in a row while probing."""

COOLDOWN = 1.0
"""Seconds before a first probe; doubled at each new ejection."""

MAX_COOLDOWN = 30.0

SLOW_RATIO = 3.0
"""Times the median of its peers that makes a backend server slow."""

SLOW_FLOOR = 0.05
"""Seconds below which no backend server counts as slow."""

SMOOTHING = 0.2

MIN_SAMPLES = 8
"""Samples before slowness is judged."""


@dataclass
class HealthTracker:
    """Hold what was seen of one backend server."""

    health: Health = Health.TRUSTED
    latency: float = 0.0
    """Smoothed seconds of an answer; 0 before the first."""
    samples: int = 0
    bad_in_row: int = 0
    good_in_row: int = 0
    ejections: int = 0
    probe_at: Instant = field(default=Instant(0.0))

    def note(self, end: DispatchOutcome, seconds: float, now: Instant) -> None:
        """Take in the end of one dispatch."""
        if end is DispatchOutcome.ANSWERED:
            self._note_good(seconds)
        else:
            self._note_bad(now)

    def _note_good(self, seconds: float) -> None:
        self.bad_in_row = 0
        self.good_in_row += 1
        self.samples += 1
        fresh = self.samples == 1
        self.latency += (seconds - self.latency) * (1.0 if fresh else SMOOTHING)
        if self.health is Health.PROBING and self.good_in_row >= SUCCESSES_TO_TRUST:
            self.health = Health.TRUSTED
            self.ejections = 0

    def _note_bad(self, now: Instant) -> None:
        self.good_in_row = 0
        self.bad_in_row += 1
        if self.health is Health.PROBING or self.bad_in_row >= FAILURES_TO_EJECT:
            self.eject(now)

    def eject(self, now: Instant) -> None:
        """Give the backend server no calls until a cool-down has passed."""
        span = min(COOLDOWN * 2**self.ejections, MAX_COOLDOWN)
        self.ejections = min(self.ejections + 1, 10)
        self.health = Health.EJECTED
        self.probe_at = Instant(now + span)
        self.good_in_row = 0
        self.bad_in_row = 0

    def refresh(self, now: Instant) -> None:
        """Begin to probe once the cool-down has passed."""
        if self.health is Health.EJECTED and now >= self.probe_at:
            self.health = Health.PROBING
            self.samples = 0

    def is_slow(self, median: float) -> bool:
        """Say whether answers take far longer than those of its peers."""
        enough = self.samples >= MIN_SAMPLES
        return enough and self.latency > max(SLOW_FLOOR, SLOW_RATIO * median)
