"""Admit requests at the rate that the network link of this VM can carry.

Handles overload of a slow link: once more bytes are in transit than the link carries,
every answer queues behind them until its client has timed out. To prevent this, less
urgent requests are rejected while there is still capacity for more urgent ones.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ...core.ids import Instant
    from ...core.ids import RouteName
    from ...text.routing import Route

MAX_UTILISATION = 0.85
"""Fraction of the link's rate that requests and answers may use."""

BURST_TIME = 0.6
"""Seconds of the usable rate that may be admitted at once."""

RANK_RESERVE = 0.3
"""Fraction of the burst that a rank leaves for each more urgent rank."""

HEAD_BYTES = 600
"""Bytes of a message's head, packet headers and acknowledgements."""

MIN_ANSWER_FRACTION = 0.15
"""Fraction of the usable rate that answers get, however much clients send."""

DECAY_TIME = 1.0
"""Seconds in which the weight of a received request falls to about a third (1/e)."""

DEFAULT_ANSWER_BYTES = 2_000.0
"""Assumed bytes of an answer before the first one of a route."""

ANSWER_EWMA_WEIGHT = 0.05
"""Weight of the latest answer in the moving average of a route's answer sizes."""

BITS = 8
"""Bits of a byte."""


@dataclass
class LinkBudget:
    """Limit bytes on the link by a token bucket that requests and answers share."""

    rate: float = 0.0
    """Usable bytes per second; 0 for no limit."""
    tokens: float = 0.0
    """Bytes of answers that may be admitted now."""
    incoming: float = 0.0
    """Bytes of received requests, with exponential decay."""
    at: float = 0.0
    """When ``tokens`` and ``incoming`` were last updated."""
    answers: dict[RouteName, float] = field(default_factory=dict)
    """Moving average of each route's answer sizes, in bytes."""

    @classmethod
    def from_mbps(cls, mbps: float) -> LinkBudget:
        """Return the budget of a link of ``mbps`` Mbit per second; 0 is no limit."""
        rate = MAX_UTILISATION * mbps * 1_000_000 / BITS
        return cls(rate, rate * BURST_TIME)

    def record_request(self, size: int, now: Instant) -> None:
        """Count the bytes of a received request, admitted or not."""
        if self.rate:
            self._refill(now)
            self.incoming += HEAD_BYTES + size

    def admit(self, route: Route, urgent_ranks: int, now: Instant) -> bool:
        """Reserve the bytes of a request's answer; return False if there are too few.

        ``urgent_ranks`` is the number of ranks that are more urgent than the request's.
        """
        if not self.rate:
            return True
        self._refill(now)
        needed = HEAD_BYTES + self.answers.get(route.name, DEFAULT_ANSWER_BYTES)
        if self.tokens < needed + urgent_ranks * RANK_RESERVE * BURST_TIME * self.rate:
            return False
        self.tokens -= needed
        return True

    def record_answer(self, route: Route, size: int) -> None:
        """Update the average size of a route's answers."""
        average = self.answers.get(route.name, float(size))
        self.answers[route.name] = average + ANSWER_EWMA_WEIGHT * (size - average)

    def _refill(self, now: Instant) -> None:
        elapsed = now - self.at
        self.at = now
        free = max(
            MIN_ANSWER_FRACTION * self.rate, self.rate - self.incoming / DECAY_TIME
        )
        self.tokens = min(self.rate * BURST_TIME, self.tokens + elapsed * free)
        self.incoming *= math.exp(-elapsed / DECAY_TIME)
