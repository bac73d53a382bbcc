"""Run tasks that own their state and talk by messages."""

from __future__ import annotations

import threading
import time
from concurrent.futures import Future
from contextlib import contextmanager
from dataclasses import dataclass
from queue import Empty
from queue import Full
from queue import Queue
from typing import TYPE_CHECKING
from typing import Any
from typing import Generic
from typing import TypeVar

from expression import Error
from expression import Ok
from expression import Result

from .events import TASK_FAILED
from .events import emit
from .failures import Busy
from .failures import Failure
from .ids import Instant

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

M = TypeVar("M")

MAILBOX_SIZE = 4096
"""Messages."""

BATCH_SIZE = 256
"""Messages handled between two looks at the clock."""

ANY_TASK_FAILED = threading.Event()
"""Set where a task failed, so that the program can stop."""

QUERY_TIMEOUT = 2.0
"""Seconds to wait for a task's answer to a look at its state."""

IDLE_TIMEOUT = 1.0
"""Seconds a task with no deadline blocks at a time."""


class Stop:
    """Ask a task to end."""


@dataclass(frozen=True)
class StateQuery:
    """Ask a task for what a function reads from it."""

    read: Callable[[Any, Instant], Any]
    fut: Future[Any]


class Mailbox(Generic[M]):
    """Hold messages for one task, bounded."""

    def __init__(self, size: int = MAILBOX_SIZE) -> None:
        self._queue: Queue[M] = Queue(size)

    def post_blocking(self, message: M) -> None:
        """Add a message, blocking while the mailbox is full."""
        self._queue.put(message)

    def post(self, message: M) -> bool:
        """Add a message; return False where the mailbox is full."""
        try:
            self._queue.put_nowait(message)
        except Full:
            return False
        return True

    def get_batch(self, timeout: float, limit: int = BATCH_SIZE) -> list[M]:
        """Block up to ``wait`` seconds for a first message, then drain."""
        batch: list[M] = []
        try:
            batch.append(self._queue.get(timeout=max(timeout, 0.0005)))
            while len(batch) < limit:
                batch.append(self._queue.get_nowait())
        except Empty:
            pass
        return batch


class Task:
    """Own a thread, a mailbox and whatever state a subclass adds."""

    def __init__(self, name: str, mailbox_size: int = MAILBOX_SIZE) -> None:
        self.name = name
        self.mailbox: Mailbox[Any] = Mailbox(mailbox_size)
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)

    def handle(self, batch: list[Any], now: Instant) -> None:
        """Handle a batch of messages, which may be empty."""
        raise NotImplementedError

    def next_wait(self, now: Instant) -> float:
        """Return how many seconds the task may block."""
        return IDLE_TIMEOUT

    def close(self) -> None:
        """Release what the task owns."""

    def post(self, message: Any) -> bool:
        """Post to the task's mailbox."""
        return self.mailbox.post(message)

    def query(self, read: Callable[[Any, Instant], Any]) -> Result[Any, Failure]:
        """Block until the task has let a function read its state."""
        fut: Future[Any] = Future()
        if not self.post(StateQuery(read, fut)):
            return Error(Busy(f"mailbox of {self.name} full"))
        try:
            return Ok(fut.result(QUERY_TIMEOUT))
        except TimeoutError:
            return Error(Busy(f"{self.name} did not answer in time"))

    @property
    def alive(self) -> bool:
        """Say whether the task's thread runs."""
        return self._thread.is_alive()

    def start(self) -> None:
        """Start the task's thread."""
        self._thread.start()

    def stop(self, grace: float = 5.0) -> None:
        """Ask the task to end and wait up to ``grace`` seconds."""
        self._stopping.set()
        self.mailbox.post(Stop())
        if self._thread.is_alive():
            self._thread.join(grace)

    def _run(self) -> None:
        try:
            while not self._stopping.is_set():
                timeout = self.next_wait(monotonic())
                batch = self.mailbox.get_batch(timeout)
                self._handle([m for m in batch if not isinstance(m, Stop)])
        finally:
            self.close()

    def _handle(self, batch: list[Any]) -> None:
        now = monotonic()
        try:
            self.handle([m for m in batch if not isinstance(m, StateQuery)], now)
            for query in batch:
                if isinstance(query, StateQuery):
                    query.fut.set_result(query.read(self, now))
        except Exception as exc:
            emit(TASK_FAILED, task=self.name, error=repr(exc))
            ANY_TASK_FAILED.set()
            raise


def monotonic() -> Instant:
    """Read the steady clock in seconds, which counts a suspended machine's time too."""
    return Instant(time.clock_gettime(time.CLOCK_BOOTTIME))


@contextmanager
def running(*tasks: Task) -> Iterator[None]:
    """Start tasks in order and stop them in reverse."""
    started: list[Task] = []
    try:
        for task in tasks:
            task.start()
            started.append(task)
        yield
    finally:
        for task in reversed(started):
            task.stop()
