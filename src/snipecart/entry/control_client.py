"""Send requests to the leader of the control processes."""

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

RESEND_INTERVAL_SECONDS = 0.5
"""Time without an answer after which another control process gets the request."""

REFUSED_RETRY_SECONDS = 0.05
"""Time after a refusal before the request is sent to another control process."""


@dataclass
class PendingRequest:
    """Store a request that waits for its answer.

    Every request may be resent: the replicated log gives a repeated one the same
    answer.
    """

    message: Any
    fut: Future[Result[Any, Failure]]
    deadline: Instant
    send_at: Instant
    """Time of the next send."""
    link_index: int = -1
    """Index of the link it was sent on; -1 before the first send or after a refusal."""


@dataclass(frozen=True)
class ControlRequest:
    """Ask the task to send a message to the leader."""

    message: Any
    fut: Future[Result[Any, Failure]]
    deadline: Instant


class ControlClient(Task):
    """Own the links to the control processes and the pending requests."""

    def __init__(self, peers: tuple[ControlPeer, ...], source_host: str) -> None:
        super().__init__("control client", 8192)
        self._links = [
            Link(peer.vm, peer.host, peer.port, source_host, self._receive_frame)
            for peer in peers
        ]
        self._vms = [peer.vm for peer in peers]
        self._leader_index = 0
        """Index of the link to the presumed leader."""
        self._pending: dict[int, PendingRequest] = {}
        self._last_correlation = 0

    def start(self) -> None:
        """Start the links, then this task."""
        for link in self._links:
            link.start()
        super().start()

    def close(self) -> None:
        """Close the links and fail the pending requests."""
        for pending in self._pending.values():
            pending.fut.set_result(Error(NoQuorum("stopping")))
        for link in self._links:
            link.stop(1.0)

    def ask(self, message: Any, timeout: float) -> Result[Any, Failure]:
        """Send a message to the leader and return its answer.

        Return NoQuorum if no answer arrives within ``timeout`` seconds, and Busy if the
        mailbox is full.
        """
        fut: Future[Result[Any, Failure]] = Future()
        deadline = Instant(monotonic() + timeout)
        if not self.post(ControlRequest(message, fut, deadline)):
            return Error(Busy("control client mailbox full"))
        try:
            return fut.result(timeout + 1.0)
        except TimeoutError:
            return Error(NoQuorum("no answer in time"))

    def next_wait(self, now: Instant) -> float:
        """Return the seconds until a request is due or expires; 1.0 without any."""
        wake_times = [
            min(item.send_at, item.deadline) for item in self._pending.values()
        ]
        return min(wake_times) - now if wake_times else 1.0

    def handle(self, batch: list[Any], now: Instant) -> None:
        """Handle requests and answers, and send the requests that are due."""
        for message in batch:
            if isinstance(message, ControlRequest):
                self._last_correlation += 1
                self._pending[self._last_correlation] = PendingRequest(
                    message.message, message.fut, message.deadline, now
                )
            else:
                self._handle_answer(message, now)
        self._send_due(now)

    def _receive_frame(self, envelope: Envelope) -> None:
        self.post(envelope)

    def _handle_answer(self, envelope: Envelope, now: Instant) -> None:
        pending = self._pending.get(envelope.correlation)
        if pending is None:
            return
        answer = envelope.message
        if isinstance(answer, Refused):
            self._update_leader(pending, answer)
            pending.send_at = Instant(now + REFUSED_RETRY_SECONDS)
            pending.link_index = -1
            return
        del self._pending[envelope.correlation]
        pending.fut.set_result(Ok(answer))

    def _update_leader(self, pending: PendingRequest, answer: Refused) -> None:
        if pending.link_index != self._leader_index:
            return
        leader_vm = answer.detail.partition("/")[0]
        if leader_vm in self._vms and self._vms.index(leader_vm) != self._leader_index:
            self._leader_index = self._vms.index(leader_vm)
        else:
            self._leader_index = (self._leader_index + 1) % len(self._links)

    def _send_due(self, now: Instant) -> None:
        for correlation, pending in list(self._pending.items()):
            if now >= pending.deadline:
                del self._pending[correlation]
                pending.fut.set_result(Error(NoQuorum("no answer in time")))
            elif now >= pending.send_at:
                if pending.link_index == self._leader_index:
                    self._leader_index = (self._leader_index + 1) % len(self._links)
                pending.link_index = self._leader_index
                pending.send_at = Instant(now + RESEND_INTERVAL_SECONDS)
                self._links[self._leader_index].post(
                    Envelope(correlation, pending.message)
                )
