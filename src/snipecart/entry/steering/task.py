"""Own the steering state, and grant slots to the threads that run calls."""

from __future__ import annotations

from concurrent.futures import Future
from contextlib import contextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from expression import Error
from expression import Ok
from expression import Result

from ...core.failures import Busy
from ...core.failures import CannotMeetDeadline
from ...core.failures import Failure
from ...core.ids import CallId
from ...core.ids import Instant
from ...core.task import Task
from ...core.task import monotonic
from . import handlers
from .messages import EndCall
from .messages import Refusal
from .messages import RetrySlotRequest
from .messages import Slot
from .messages import SlotGrant
from .messages import SlotRequest
from .messages import Tick
from .state import SteeringState
from .state import handle_message

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ...core.states import Freshness
    from ...messages.members import Member
    from ...text.model import Text

__all__ = ["ReadState", "SteeringTask", "View", "handlers"]

TICK_INTERVAL = 0.1
"""Seconds between two ticks."""

REFUSAL_GRACE = 0.05
"""Seconds past its deadline for which a call waits for its refusal."""


@dataclass(frozen=True)
class View:
    """Represent the state for other threads; replaced as a whole, never changed."""

    version: int
    text: Text | None
    freshness: Freshness
    confirmed_until: Instant
    members: tuple[Member, ...]
    draining: bool


@dataclass(frozen=True)
class ReadState:
    """Ask the task to run ``read`` on its state and to set its result on ``fut``.

    ``read`` must not change the state.
    """

    read: Any
    fut: Future[Any]


class SteeringTask(Task):
    """Own the configuration, the backend servers and the queues of an entry process."""

    def __init__(self, state: SteeringState) -> None:
        super().__init__("steering", 16_384)
        self._state = state
        self._waiting: dict[CallId, Future[Result[Slot, Failure]]] = {}
        self._tick_due = Instant(0.0)
        self.view = self._make_view(monotonic())

    def next_wait(self, now: Instant) -> float:
        """Return the seconds until the next tick."""
        return self._tick_due - now

    def handle(self, batch: list[Any], now: Instant) -> None:
        """Handle messages in order, and set the results of calls."""
        for message in batch:
            if isinstance(message, ReadState):
                message.fut.set_result(message.read(self._state, now))
            else:
                self._set_results(handle_message(self._state, message, now))
        if now >= self._tick_due:
            self._tick_due = Instant(now + TICK_INTERVAL)
            self._set_results(handle_message(self._state, Tick(), now))
        self.view = self._make_view(now)

    def request_slot(
        self, message: SlotRequest | RetrySlotRequest, deadline: Instant
    ) -> Result[Slot, Failure]:
        """Block until the call gets a slot or is refused, or its deadline passes.

        Return Busy if the mailbox is full.
        """
        fut: Future[Result[Slot, Failure]] = Future()
        self._waiting[message.call] = fut
        if not self.post(message):
            self._waiting.pop(message.call, None)
            return Error(Busy("mailbox of steering is full"))
        try:
            return fut.result(max(0.0, deadline - monotonic()) + REFUSAL_GRACE)
        except TimeoutError:
            return Error(CannotMeetDeadline())

    def read_state(self, read: Any) -> Any:
        """Return what ``read`` returns for the state, run in the task's thread."""
        fut: Future[Any] = Future()
        self.mailbox.post_blocking(ReadState(read, fut))
        return fut.result()

    def post_blocking(self, message: Any) -> None:
        """Add a message, blocking while the mailbox is full, so that none is lost."""
        self.mailbox.post_blocking(message)

    @contextmanager
    def call_scope(self, call: CallId) -> Iterator[None]:
        """Release the slot or the queue entry of a call when the block ends."""
        try:
            yield
        finally:
            self._waiting.pop(call, None)
            self.post_blocking(EndCall(call))

    def _set_results(self, effects: list[SlotGrant | Refusal]) -> None:
        for effect in effects:
            fut = self._waiting.pop(effect.call, None)
            if fut is None:
                continue
            if isinstance(effect, SlotGrant):
                fut.set_result(Ok(effect.slot))
            else:
                fut.set_result(Error(effect.failure))

    def _make_view(self, now: Instant) -> View:
        state = self._state
        return View(
            state.version,
            state.text,
            state.freshness(now),
            state.confirmed_until,
            state.members,
            state.draining,
        )
