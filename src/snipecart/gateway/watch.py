"""Notice clients that leave while their requests wait."""

from __future__ import annotations

import select
from contextlib import contextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from ..core.ids import Instant
from ..core.task import Task

if TYPE_CHECKING:
    from collections.abc import Iterator

    from .request import Cancellation

LOOK_EVERY = 0.2
"""Seconds between two looks at the clients of waiting requests."""

LEFT = select.POLLRDHUP | select.POLLHUP | select.POLLERR | select.POLLNVAL


@dataclass(frozen=True)
class Watch:
    """Start watching a client's connection."""

    descriptor: int
    cancellation: Cancellation


@dataclass(frozen=True)
class Unwatch:
    """Stop watching, as the request has ended."""

    cancellation: Cancellation


class WatchTask(Task):
    """Own the list of connections whose requests wait."""

    def __init__(self) -> None:
        super().__init__("watch", 65_536)
        self._watched: dict[Cancellation, int] = {}
        self._look_due = Instant(0.0)

    @contextmanager
    def watching(self, descriptor: int, cancellation: Cancellation) -> Iterator[None]:
        """Cancel a request as soon as its client's connection ends."""
        self.post(Watch(descriptor, cancellation))
        try:
            yield
        finally:
            self.post(Unwatch(cancellation))

    def next_wait(self, now: Instant) -> float:
        """Block until the next look, or for a message where nobody waits."""
        return self._look_due - now if self._watched else 1.0

    def handle(self, batch: list[Any], now: Instant) -> None:
        """Take notes of requests, and look at their clients when that is due."""
        for message in batch:
            if isinstance(message, Watch):
                self._watched[message.cancellation] = message.descriptor
            else:
                self._watched.pop(message.cancellation, None)
        if self._watched and now >= self._look_due:
            self._look_due = Instant(now + LOOK_EVERY)
            self._look()

    def _look(self) -> None:
        poll = select.poll()
        by_descriptor: dict[int, list[Cancellation]] = {}
        for cancellation, descriptor in self._watched.items():
            poll.register(descriptor, select.POLLRDHUP)
            by_descriptor.setdefault(descriptor, []).append(cancellation)
        for descriptor, events in poll.poll(0):
            if events & LEFT:
                for cancellation in by_descriptor[descriptor]:
                    self._watched.pop(cancellation, None)
                    cancellation.cancel()
