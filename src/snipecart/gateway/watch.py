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

POLL_INTERVAL_SECONDS = 0.2
"""Seconds between two looks at the clients of waiting requests."""

DISCONNECT_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR | select.POLLNVAL


@dataclass(frozen=True)
class WatchConnection:
    """Start watching a client's connection."""

    descriptor: int
    cancellation: Cancellation


@dataclass(frozen=True)
class UnwatchConnection:
    """Stop watching, as the request has ended."""

    cancellation: Cancellation


class WatchTask(Task):
    """Own the list of connections whose requests wait."""

    def __init__(self) -> None:
        super().__init__("watch", 65_536)
        self._watched: dict[Cancellation, int] = {}
        self._next_poll_at = Instant(0.0)

    @contextmanager
    def watching(self, descriptor: int, cancellation: Cancellation) -> Iterator[None]:
        """Cancel a request as soon as its client's connection ends."""
        self.post(WatchConnection(descriptor, cancellation))
        try:
            yield
        finally:
            self.post(UnwatchConnection(cancellation))

    def next_wait(self, now: Instant) -> float:
        """Block until the next look, or for a message where nobody waits."""
        return self._next_poll_at - now if self._watched else 1.0

    def handle(self, batch: list[Any], now: Instant) -> None:
        """Take notes of requests, and look at their clients when that is due."""
        for message in batch:
            if isinstance(message, WatchConnection):
                self._watched[message.cancellation] = message.descriptor
            else:
                self._watched.pop(message.cancellation, None)
        if self._watched and now >= self._next_poll_at:
            self._next_poll_at = Instant(now + POLL_INTERVAL_SECONDS)
            self._poll_clients()

    def _poll_clients(self) -> None:
        poll = select.poll()
        by_descriptor: dict[int, list[Cancellation]] = {}
        for cancellation, descriptor in self._watched.items():
            poll.register(descriptor, select.POLLRDHUP)
            by_descriptor.setdefault(descriptor, []).append(cancellation)
        for descriptor, events in poll.poll(0):
            if events & DISCONNECT_EVENTS:
                for cancellation in by_descriptor[descriptor]:
                    self._watched.pop(cancellation, None)
                    cancellation.cancel()
