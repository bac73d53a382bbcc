"""Reject connections that wait too long for a thread."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from ..core.ids import Instant
from ..core.task import IDLE_TIMEOUT
from ..core.task import Task

if TYPE_CHECKING:
    from collections.abc import Callable

    from .server import HeadFirstServer

MAX_THREAD_WAIT_SECONDS = 0.5
"""Time for which a request may wait for a thread.

Another process may serve it sooner, and its deadline isn't known before a thread has
read its head.
"""


@dataclass(frozen=True)
class ConnectionWaits:
    """Tell the task that a connection was queued while all threads have one."""


class OverdueTask(Task):
    """Answer the connections that no thread of a server has taken in time."""

    def __init__(
        self, server: HeadFirstServer, make_answer: Callable[[], bytes]
    ) -> None:
        super().__init__("overdue")
        self._server, self._make_answer = server, make_answer

    def next_wait(self, now: Instant) -> float:
        """Return the seconds until the connection that waits longest is overdue."""
        since = self._server.requests.waiting_since
        if since is None:
            return IDLE_TIMEOUT
        return since + MAX_THREAD_WAIT_SECONDS - now

    def handle(self, batch: list[Any], now: Instant) -> None:
        """Reject all overdue connections."""
        before = Instant(now - MAX_THREAD_WAIT_SECONDS)
        while (conn := self._server.requests.take_overdue(before)) is not None:
            self._server.reject(conn, self._make_answer())
