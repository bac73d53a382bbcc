"""Cancel calls and close claims without making callers wait."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from ..core.ids import CallId
from ..core.ids import EndpointId
from ..core.ids import Instant
from ..core.task import Task
from ..messages.commands import ClaimClosed

if TYPE_CHECKING:
    from .backend import BackendClient
    from .control_client import ControlClient

CLOSE_TIMEOUT_SECONDS = 5.0
"""Timeout of one request to close a claim."""

CLOSE_RETRY_SECONDS = 2.0
"""Time after a failed request before the next one."""

MAX_OPEN_CLAIMS = 4096
"""Maximum number of claims that wait to be closed; the oldest are dropped first."""


@dataclass(frozen=True)
class CancelCall:
    """Ask the task to cancel a call that a backend server may still run."""

    endpoint: EndpointId
    call_id: CallId


class CancellerTask(Task):
    """Send cancellations to backend servers."""

    def __init__(self, backends: BackendClient) -> None:
        super().__init__("canceller", 1024)
        self._backends = backends

    def handle(self, batch: list[CancelCall], now: Instant) -> None:
        """Send the cancellations."""
        for item in batch:
            self._backends.cancel(item.endpoint, item.call_id)


class ClaimCloserTask(Task):
    """Retry commands that close claims and were not confirmed in time."""

    def __init__(self, control: ControlClient) -> None:
        super().__init__("claim closer", 4096)
        self._control = control
        self._commands: deque[Any] = deque(maxlen=MAX_OPEN_CLAIMS)
        self._next_attempt_at = Instant(0.0)

    def next_wait(self, now: Instant) -> float:
        """Return the seconds until the next attempt; 1.0 if no claim waits."""
        return self._next_attempt_at - now if self._commands else 1.0

    def handle(self, batch: list[Any], now: Instant) -> None:
        """Queue new commands, and send the first one if an attempt is due."""
        self._commands.extend(batch)
        if not self._commands or now < self._next_attempt_at:
            return
        command = self._commands.popleft()
        answer = self._control.ask(command, CLOSE_TIMEOUT_SECONDS)
        if answer.is_error() or not isinstance(answer.ok, ClaimClosed):
            self._commands.append(command)
            self._next_attempt_at = Instant(now + CLOSE_RETRY_SECONDS)
