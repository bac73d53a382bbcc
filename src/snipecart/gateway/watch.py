"""Detect clients that disconnect while their requests are in progress."""

from __future__ import annotations

import select
from contextlib import contextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from ..core.ids import Instant
from ..core.sockets import PEER_CLOSED_EVENTS
from ..core.task import Task

if TYPE_CHECKING:
    from collections.abc import Iterator

    from .request import Cancellation

POLL_INTERVAL_SECONDS = 0.2
"""Time between two polls of the connections of waiting clients."""


@dataclass(frozen=True)
class WatchConnection:
    """Ask the task to watch a client's connection."""

    descriptor: int
    """File descriptor of the connection."""
    cancellation: Cancellation


@dataclass(frozen=True)
class UnwatchConnection:
    """Ask the task to stop watching, as the request has ended."""

    cancellation: Cancellation


class WatchTask(Task):
    """Poll the connections of clients and cancel the requests of closed ones."""

    def __init__(self) -> None:
        super().__init__("watch", 65_536)
        self._watched: dict[Cancellation, int] = {}
        self._next_poll_at = Instant(0.0)

    @contextmanager
    def watching(self, descriptor: int, cancellation: Cancellation) -> Iterator[None]:
        """Cancel a request if its client disconnects within the block."""
        self.post(WatchConnection(descriptor, cancellation))
        try:
            yield
        finally:
            self.post(UnwatchConnection(cancellation))

    def next_wait(self, now: Instant) -> float:
        """Return the seconds until the next poll; 1.0 if nothing is watched."""
        return self._next_poll_at - now if self._watched else 1.0

    def handle(self, batch: list[Any], now: Instant) -> None:
        """Add and remove connections, and poll them when that is due."""
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
            if events & PEER_CLOSED_EVENTS:
                for cancellation in by_descriptor[descriptor]:
                    self._watched.pop(cancellation, None)
                    cancellation.cancel()
