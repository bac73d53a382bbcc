"""Admit requests only as fast as this VM's own link can carry them.

Answers the load of a flood on a thin link: once more bytes are on their way than the
link carries, every answer queues behind them until its client has gone. So the less
urgent requests are refused while there is still room for the more urgent ones.
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
"""Part of the link that requests and answers may fill."""

BURST_TIME = 0.6
"""Seconds of the link's rate that may be admitted at once."""

RANK_RESERVE = 0.3
"""Part of the burst that a rank leaves to each more urgent one."""

HEAD_BYTES = 600
"""Bytes of a message's head, and of packets and acknowledgements around it."""

MIN_ANSWER_FRACTION = 0.15
"""Part of the link that answers get, however much clients send."""

DECAY_TIME = 1.0
"""Seconds in which the weight of a request that came in falls to a third."""

DEFAULT_ANSWER_BYTES = 2_000.0
"""Bytes that an answer is taken to have before one was seen."""

ANSWER_EWMA_WEIGHT = 0.05
"""Weight of the latest answer in a route's usual size."""

BITS = 8


@dataclass
class LinkBudget:
    """Hold what the link may still carry, in bytes of one direction."""

    rate: float = 0.0
    """Bytes a second; 0 for a link that never binds."""
    tokens: float = 0.0
    """Bytes of answers that may be admitted now."""
    incoming: float = 0.0
    """Bytes of requests that came in lately."""
    at: float = 0.0
    answers: dict[RouteName, float] = field(default_factory=dict)
    """Usual size of each route's answers."""

    @classmethod
    def from_mbps(cls, mbps: float) -> LinkBudget:
        """Return the budget of a link of some megabits a second, 0 for no limit."""
        rate = MAX_UTILISATION * mbps * 1_000_000 / BITS
        return cls(rate, rate * BURST_TIME)

    def record_request(self, size: int, now: Instant) -> None:
        """Count a request that has come in, whatever becomes of it."""
        if self.rate:
            self._refill(now)
            self.incoming += HEAD_BYTES + size

    def admit(self, route: Route, urgent: int, now: Instant) -> bool:
        """Take room for a request's answer; ``urgent`` counts more urgent ranks."""
        if not self.rate:
            return True
        self._refill(now)
        needed = HEAD_BYTES + self.answers.get(route.name, DEFAULT_ANSWER_BYTES)
        if self.tokens < needed + urgent * RANK_RESERVE * BURST_TIME * self.rate:
            return False
        self.tokens -= needed
        return True

    def record_answer(self, route: Route, size: int) -> None:
        """Learn the usual size of a route's answers."""
        usual = self.answers.get(route.name, float(size))
        self.answers[route.name] = usual + ANSWER_EWMA_WEIGHT * (size - usual)

    def _refill(self, now: Instant) -> None:
        elapsed = now - self.at
        self.at = now
        free = max(
            MIN_ANSWER_FRACTION * self.rate, self.rate - self.incoming / DECAY_TIME
        )
        self.tokens = min(self.rate * BURST_TIME, self.tokens + elapsed * free)
        self.incoming *= math.exp(-elapsed / DECAY_TIME)
