"""Declare what a routed request is at each step of its pipeline."""

from __future__ import annotations

import threading
from contextlib import suppress
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from ..core.ids import Instant
from ..core.task import monotonic

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..core.failures import Failure
    from ..core.ids import InstanceId
    from ..core.ids import ObjectKey
    from ..core.ids import RequestId
    from ..core.ids import RoutingVersion
    from ..core.ids import ServiceName
    from ..core.states import SendEnd
    from ..text.routing import Route

Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True)
class HeaderNames:
    """Name the headers that clients and backend servers use."""

    request_id: str = "Snipecart-Request"
    object: str = "Snipecart-Object"
    deadline_ms: str = "Snipecart-Deadline-Ms"
    expected_instance: str = "Snipecart-Instance"
    """Names the run of a backend server that a request is meant for."""
    load_report: str = "Snipecart-Load"
    """Carries ``running,waiting,slots`` in an answer."""
    not_run: str = "Snipecart-Not-Run"
    """Marks an answer to a request that the backend server did not run."""


class Cancellation:
    """Let another task cut a request off while a worker waits for it."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._interrupt: Callable[[], None] | None = None
        self.cancelled = False

    def cancel(self) -> None:
        """Cut off whatever the worker waits for."""
        with self._lock:
            self.cancelled = True
            interrupt = self._interrupt
        if interrupt is not None:
            with suppress(OSError):
                interrupt()

    def set_interrupt(self, interrupt: Callable[[], None] | None) -> bool:
        """Set how to cut the next wait; return False where it is too late."""
        with self._lock:
            self._interrupt = interrupt
            return not self.cancelled


@dataclass(frozen=True)
class HttpRequest:
    """Hold a request as its client sent it, its body whole."""

    method: str
    target: str
    """Path and query, as sent."""
    host: str
    headers: Headers
    """Those that concern more than the client's connection."""
    body: bytes
    request_id: RequestId
    object: ObjectKey
    """Empty where the client gave none."""
    client_timeout_ms: int
    """Milliseconds the client waits; 0 leaves it to the route."""
    received_at: Instant
    cancellation: Cancellation = field(default_factory=Cancellation, compare=False)


@dataclass(frozen=True)
class RoutedRequest:
    """Hold a request whose route is known."""

    req: HttpRequest
    route: Route
    routing_version: RoutingVersion
    deadline: Instant
    more_urgent_ranks: int = 0
    """Ranks of the routing table that are more urgent than the route's."""

    def remaining(self) -> float:
        """Return the seconds left."""
        return self.deadline - monotonic()

    @property
    def object_key(self) -> str:
        """Name the object among those of all routes; empty where that is no help."""
        if not (self.route.affinity and self.req.object):
            return ""
        return f"{self.route.name}\n{self.req.object}"


@dataclass(frozen=True)
class AssignedRequest:
    """Hold a request that has a place at a backend server."""

    routed: RoutedRequest
    destination: Destination


@dataclass(frozen=True)
class Destination:
    """Say which backend server a request goes to."""

    service: ServiceName
    instance: InstanceId
    host: str
    port: int
    expected_wait_ms: int
    """How long it is expected to wait there."""
    estimated_load: float = 0.0
    """Requests taken to be there when it was chosen."""
    report_age_ms: int = 0
    """Age of the load report that this rests on."""
    due: Instant = Instant(0.0)
    """When its answer is overdue."""


@dataclass(frozen=True)
class HttpAnswer:
    """Hold a whole answer of a backend server."""

    status: int
    reason: str
    headers: Headers
    body: bytes


@dataclass(frozen=True)
class SendResult:
    """Tell how one send ended; ``answer`` is whole where it was answered."""

    end: SendEnd
    seconds: float
    answer: HttpAnswer | None = None
    load_report: tuple[int, int, int] | None = None
    """Running and waiting requests, and slots."""
    detail: str = ""


@dataclass(frozen=True)
class Attempt:
    """Note one send for the log."""

    destination: Destination
    end: SendEnd
    seconds: float


@dataclass(frozen=True)
class AnsweredRequest:
    """Hold the answer that goes to the client."""

    routed: RoutedRequest
    answer: HttpAnswer
    attempts: tuple[Attempt, ...]


@dataclass(frozen=True)
class FailedRequest:
    """Hold why a request has no answer, and whether it may have run."""

    failure: Failure
    may_have_run: bool
    retry_after: float = 0.0
    """Seconds after which the client should come back; 0 for no hint."""
    routed: RoutedRequest | None = None
    attempts: tuple[Attempt, ...] = ()
