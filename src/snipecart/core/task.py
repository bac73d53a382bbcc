"""Provide tasks: threads that own their state and communicate by messages."""

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

from .events import REQUEST_FAILED
from .events import TASK_FAILED
from .events import emit
from .failures import Busy
from .failures import Failure
from .failures import RequestFailed
from .ids import Instant

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

M = TypeVar("M")

MAILBOX_SIZE = 4096
"""Maximum number of messages in a mailbox."""

BATCH_SIZE = 256
"""Maximum number of messages handled between two readings of the clock."""

ANY_TASK_FAILED = threading.Event()
"""Set when any task has failed, so that the program stops."""

QUERY_TIMEOUT = 2.0
"""Seconds to wait for a task to answer a query of its state."""

IDLE_TIMEOUT = 1.0
"""Maximum seconds that a task without a deadline blocks at a time."""


class Stop:
    """Wake a task that is asked to stop."""


@dataclass(frozen=True)
class StateQuery:
    """Ask a task to run ``read`` on itself and to set its result on ``fut``."""

    read: Callable[[Any, Instant], Any]
    fut: Future[Result[Any, Failure]]


class Mailbox(Generic[M]):
    """Queue a bounded number of messages for one task."""

    def __init__(self, size: int = MAILBOX_SIZE) -> None:
        self._queue: Queue[M] = Queue(size)

    def post_blocking(self, message: M) -> None:
        """Add a message, blocking while the mailbox is full."""
        self._queue.put(message)

    def post(self, message: M) -> bool:
        """Add a message, or return False if the mailbox is full."""
        try:
            self._queue.put_nowait(message)
        except Full:
            return False
        return True

    def get_batch(self, timeout: float, limit: int = BATCH_SIZE) -> list[M]:
        """Return up to ``limit`` waiting messages.

        Block for the first one up to ``timeout`` seconds, and at least for 0.5 ms.
        """
        batch: list[M] = []
        try:
            batch.append(self._queue.get(timeout=max(timeout, 0.0005)))
            while len(batch) < limit:
                batch.append(self._queue.get_nowait())
        except Empty:
            pass
        return batch


class Task:
    """Run a thread that owns a mailbox and the state of its subclass."""

    def __init__(self, name: str, mailbox_size: int = MAILBOX_SIZE) -> None:
        self.name = name
        self.mailbox: Mailbox[Any] = Mailbox(mailbox_size)
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)

    def handle(self, batch: list[Any], now: Instant) -> None:
        """Handle a batch of messages, which may be empty."""
        raise NotImplementedError

    def next_wait(self, now: Instant) -> float:
        """Return how many seconds the task may block for messages."""
        return IDLE_TIMEOUT

    def close(self) -> None:
        """Release the resources of the task when it stops."""

    def post(self, message: Any) -> bool:
        """Add a message to the task's mailbox, or return False if it is full."""
        return self.mailbox.post(message)

    def query(self, read: Callable[[Any, Instant], Any]) -> Result[Any, Failure]:
        """Return what ``read`` returns for the task, run in the task's own thread.

        Return Busy if the mailbox is full or no answer arrives within QUERY_TIMEOUT,
        and RequestFailed if ``read`` raises.
        """
        fut: Future[Result[Any, Failure]] = Future()
        if not self.post(StateQuery(read, fut)):
            return Error(Busy(f"mailbox of {self.name} is full"))
        try:
            return fut.result(QUERY_TIMEOUT)
        except TimeoutError:
            return Error(Busy(f"{self.name} did not answer in time"))

    @property
    def alive(self) -> bool:
        """Return whether the task's thread is running."""
        return self._thread.is_alive()

    def start(self) -> None:
        """Start the task's thread."""
        self._thread.start()

    def stop(self, grace: float = 5.0) -> None:
        """Ask the task to stop and wait for it up to ``grace`` seconds."""
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
                    self._answer(query, now)
        except Exception as exc:
            emit(TASK_FAILED, task=self.name, error=repr(exc))
            ANY_TASK_FAILED.set()
            raise

    def _answer(self, query: StateQuery, now: Instant) -> None:
        """Answer a query; one that fails has changed nothing."""

        def refuse(failure: Failure) -> None:
            query.fut.set_result(Error(failure))

        with contained_failure(f"query of {self.name}", refuse):
            query.fut.set_result(Ok(query.read(self, now)))


@contextmanager
def contained_failure(request: str, refuse: Callable[[Failure], Any]) -> Iterator[None]:
    """Refuse a request if the block that handles it raises, and go on.

    Only for blocks that leave the task's state usable wherever they end. Any other
    error must end the process, as it would go on with a wrong state.
    """
    try:
        yield
    except Exception as exc:
        emit(REQUEST_FAILED, request=request, error=repr(exc))
        refuse(RequestFailed(request))


def monotonic() -> Instant:
    """Return the time of a monotonic clock in seconds.

    The clock includes the time for which the machine is suspended.
    """
    return Instant(time.clock_gettime(time.CLOCK_BOOTTIME))


@contextmanager
def running(*tasks: Task) -> Iterator[None]:
    """Start tasks in order, and stop them in reverse order on exit."""
    started: list[Task] = []
    try:
        for task in tasks:
            task.start()
            started.append(task)
        yield
    finally:
        for task in reversed(started):
            task.stop()
