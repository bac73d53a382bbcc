"""Serve HTTP connections by threads that start and end with the load."""

from __future__ import annotations

import threading
from queue import Empty
from typing import TYPE_CHECKING
from typing import Any

from cheroot.workers import threadpool

if TYPE_CHECKING:
    from cheroot.server import HTTPServer

    from ..core.ids import Instant

MIN_THREADS = 2
"""Threads that wait for connections while there is no load."""

THREAD_IDLE_SECONDS = 10.0
"""Time without a connection after which a thread over the minimum ends."""


class ElasticThreadPool(threadpool.ThreadPool):
    """Start a thread when a connection would wait for one, up to a maximum.

    cheroot's own pool starts all of its threads at once and keeps them, which costs
    memory and process ids while there is nothing to do.
    """

    def __init__(self, server: HTTPServer, maximum: int) -> None:
        super().__init__(server, min=min(MIN_THREADS, maximum), max=maximum)
        self._lock = threading.Lock()
        self._in_progress = 0
        self._worker = threading.local()
        self.get = self._get_or_end

    @property
    def in_progress(self) -> int:
        """Return how many connections are queued or handled by a thread."""
        return self._in_progress

    @property
    def is_full(self) -> bool:
        """Return whether one more connection would wait for a thread."""
        return self._in_progress >= self.max

    @property
    def waiting_since(self) -> Instant | None:
        """Return since when a connection waits for a thread; None if none does."""
        with self._queue.mutex:
            conn = self._peek()
        return conn.head_at if conn is not None else None

    def take_overdue(self, before: Instant) -> Any:
        """Remove and return a connection that waits since ``before``, else None."""
        with self._queue.mutex:
            conn = self._peek()
            if conn is None or conn.head_at > before:
                return None
            self._queue.queue.popleft()
        with self._lock:
            self._in_progress -= 1
        return conn

    def _peek(self) -> Any:
        """Return the connection that waits longest; None if none does."""
        waiting = self._queue.queue
        is_connection = waiting and waiting[0] is not threadpool._SHUTDOWNREQUEST
        return waiting[0] if is_connection else None

    @property
    def size(self) -> int:
        """Return how many threads there are."""
        return len(self._threads)

    def put(self, obj: Any) -> None:
        """Queue a connection, and start a thread if all have one."""
        with self._lock:
            self._in_progress += 1
            if self._in_progress > len(self._threads):
                self._start_threads(1)
        super().put(obj)

    def grow(self, amount: int) -> None:
        """Start threads, without waiting until they are ready."""
        with self._lock:
            self._start_threads(amount)

    def _start_threads(self, amount: int) -> None:
        for _ in range(min(amount, self.max - len(self._threads))):
            self._threads.append(self._spawn_worker())

    def _get_or_end(self) -> Any:
        """Return the next connection, or end an idle thread over the minimum."""
        with self._lock:
            self._in_progress -= getattr(self._worker, "connections", 0)
            self._worker.connections = 0
        while True:
            try:
                conn = self._queue.get(timeout=THREAD_IDLE_SECONDS)
            except Empty:
                if self._end_current_thread():
                    return threadpool._SHUTDOWNREQUEST
                continue
            self._worker.connections = int(conn is not threadpool._SHUTDOWNREQUEST)
            return conn

    def _end_current_thread(self) -> bool:
        """Remove the current thread from the pool, unless it is needed."""
        current = threading.current_thread()
        with self._lock:
            needed = max(self.min, self._in_progress)
            if len(self._threads) <= needed or current not in self._threads:
                return False
            self._threads.remove(current)
            return True
