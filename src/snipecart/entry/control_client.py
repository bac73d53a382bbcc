"""Ask the control processes, following whoever leads."""

from __future__ import annotations

from concurrent.futures import Future
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from expression import Error
from expression import Ok
from expression import Result

from ..core.failures import Busy
from ..core.failures import Failure
from ..core.failures import NoQuorum
from ..core.ids import Instant
from ..core.task import Task
from ..core.task import monotonic
from ..messages.commands import Refused
from ..wire.codec import Envelope
from ..wire.links import Link

if TYPE_CHECKING:
    from ..program.settings import ControlPeer

RESEND = 0.5
"""Seconds without an answer after which another control process is asked."""

REFUSED_WAIT = 0.05
"""Seconds before a refused request is sent elsewhere."""


@dataclass
class Pending:
    """Hold a request that waits for its answer.

    Every request may be sent again: the log answers a repeated one alike.
    """

    message: Any
    fut: Future[Result[Any, Failure]]
    deadline: Instant
    due: Instant
    """When to send it, or to send it again."""
    sent_to: int = -1


@dataclass(frozen=True)
class Request:
    """Ask the leader."""

    message: Any
    fut: Future[Result[Any, Failure]]
    deadline: Instant


class ControlClient(Task):
    """Own the links to the control processes and the requests that wait."""

    def __init__(self, peers: tuple[ControlPeer, ...], source: str) -> None:
        super().__init__("control client", 8192)
        self._links = [
            Link(peer.vm, peer.host, peer.port, source, self._on_frame)
            for peer in peers
        ]
        self._vms = [peer.vm for peer in peers]
        self._target = 0
        self._pending: dict[int, Pending] = {}
        self._number = 0

    def start(self) -> None:
        """Start the links, then this task."""
        for link in self._links:
            link.start()
        super().start()

    def close(self) -> None:
        """Close the links and fail what waits."""
        for pending in self._pending.values():
            pending.fut.set_result(Error(NoQuorum("stopping")))
        for link in self._links:
            link.stop(1.0)

    def ask(self, message: Any, seconds: float) -> Result[Any, Failure]:
        """Block until the leader answers, at most some seconds."""
        fut: Future[Result[Any, Failure]] = Future()
        deadline = Instant(monotonic() + seconds)
        if not self.post(Request(message, fut, deadline)):
            return Error(Busy("control mailbox full"))
        try:
            return fut.result(seconds + 1.0)
        except TimeoutError:
            return Error(NoQuorum("no answer in time"))

    def next_wait(self, now: Instant) -> float:
        """Block until the next request is due or too late."""
        times = [min(item.due, item.deadline) for item in self._pending.values()]
        return min(times) - now if times else 1.0

    def handle(self, batch: list[Any], now: Instant) -> None:
        """Take requests and answers, and send what is due."""
        for message in batch:
            if isinstance(message, Request):
                self._number += 1
                self._pending[self._number] = Pending(
                    message.message, message.fut, message.deadline, now
                )
            else:
                self._take_answer(message, now)
        self._send_due(now)

    def _on_frame(self, framed: Envelope) -> None:
        self.post(framed)

    def _take_answer(self, framed: Envelope, now: Instant) -> None:
        pending = self._pending.get(framed.correlation)
        if pending is None:
            return
        answer = framed.message
        if isinstance(answer, Refused):
            self._follow_hint(pending, answer)
            pending.due = Instant(now + REFUSED_WAIT)
            pending.sent_to = -1
            return
        del self._pending[framed.correlation]
        pending.fut.set_result(Ok(answer))

    def _follow_hint(self, pending: Pending, answer: Refused) -> None:
        if pending.sent_to != self._target:
            return
        hinted = answer.detail.partition("/")[0]
        if hinted in self._vms and self._vms.index(hinted) != self._target:
            self._target = self._vms.index(hinted)
        else:
            self._target = (self._target + 1) % len(self._links)

    def _send_due(self, now: Instant) -> None:
        for number, pending in list(self._pending.items()):
            if now >= pending.deadline:
                del self._pending[number]
                pending.fut.set_result(Error(NoQuorum("no answer in time")))
            elif now >= pending.due:
                if pending.sent_to == self._target:
                    self._target = (self._target + 1) % len(self._links)
                pending.sent_to = self._target
                pending.due = Instant(now + RESEND)
                self._links[self._target].post(Envelope(number, pending.message))
