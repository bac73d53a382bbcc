"""Exchange requests over connections that are kept for the next ones."""

from __future__ import annotations

import http.client
import threading
from collections import deque
from typing import TYPE_CHECKING
from typing import Any

from ..core.ids import Instant
from ..core.task import monotonic
from .answers import read_answer
from .requests import write_request

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..core.ids import EndpointId
    from .answers import ExpectedAnswer
    from .answers import HttpAnswer
    from .connection import Connection
    from .reader import ReadLimits
    from .requests import BackendRequest

MAX_IDLE_CONNECTIONS = 48
"""Idle connections kept per backend server."""


class ConnectionPool:
    """Store idle connections by endpoint, and exchange requests over connections."""

    def __init__(self) -> None:
        self._idle: dict[EndpointId, deque[Connection]] = {}
        self._lock = threading.Lock()

    def take(self, endpoint: EndpointId, request_id: str) -> Connection | None:
        """Return an idle connection; None if there is none.

        A connection on which the same request has failed isn't used for it again: a
        second copy of that answer couldn't be told from the next one.
        """
        now = monotonic()
        while True:
            with self._lock:
                idle = self._idle.get(endpoint)
                conn = idle.pop() if idle else None
            if conn is None:
                return None
            if (
                now < conn.usable_until
                and request_id not in conn.failed
                and not conn.has_unread_input()
            ):
                return conn
            conn.close()

    def exchange(
        self,
        endpoint: EndpointId,
        conn: Connection,
        req: BackendRequest,
        expected: ExpectedAnswer,
        limits: ReadLimits,
        release: Callable[[], Any] | None = None,
    ) -> HttpAnswer:
        """Send a request, return its complete answer, and keep or close the connection.

        ``release`` is called before the connection may serve another request. Raise one
        of EXCHANGE_ERRORS if there is no complete own answer.
        """
        idle_seconds = 0.0
        try:
            complete = write_request(conn, req, limits)
            answer, idle_seconds = read_answer(conn, expected, limits, complete)
        finally:
            if idle_seconds <= 0:
                conn.close()
        if answer.status >= http.client.BAD_REQUEST:
            conn.failed.add(expected.request_id)
        if release is not None:
            release()
        if idle_seconds > 0:
            self._put(endpoint, conn, idle_seconds)
        return answer

    def _put(self, endpoint: EndpointId, conn: Connection, seconds: float) -> None:
        """Keep a connection for a number of seconds; close the oldest of too many."""
        conn.reused = True
        conn.usable_until = Instant(monotonic() + seconds)
        with self._lock:
            idle = self._idle.setdefault(endpoint, deque())
            idle.append(conn)
            evicted = idle.popleft() if len(idle) > MAX_IDLE_CONNECTIONS else None
        if evicted is not None:
            evicted.close()

    def close(self) -> None:
        """Close all idle connections."""
        self.close_except(set())

    def close_except(self, endpoints: set[EndpointId]) -> None:
        """Close the idle connections to all endpoints but these."""
        with self._lock:
            removed = [self._idle.pop(key) for key in set(self._idle) - endpoints]
        for idle in removed:
            for conn in idle:
                conn.close()
