"""Define the data of a routed request at each step of its pipeline."""

from __future__ import annotations

import threading
from contextlib import suppress
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from ..core.ids import Instant
from ..core.memory import MemoryReservation
from ..core.memory import unlimited_reservation
from ..core.task import monotonic
from .server_notice import NO_NOTICE
from .server_notice import ServerNotice

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..core.failures import Failure
    from ..core.ids import InstanceId
    from ..core.ids import KeyDigest
    from ..core.ids import ObjectKey
    from ..core.ids import OrganisationName
    from ..core.ids import RegionName
    from ..core.ids import RequestId
    from ..core.ids import RoutingVersion
    from ..core.ids import ServiceName
    from ..core.states import SendOutcome
    from ..text.routing import Organisation
    from ..text.routing import Route
    from ..upstream.answers import HttpAnswer
    from ..upstream.headers import Pairs
    from .load_report import LoadReport


@dataclass(frozen=True)
class HeaderNames:
    """Store the names of the HTTP headers that clients and backend servers use."""

    request_id: str = "Snipecart-Request"
    object: str = "Snipecart-Object"
    deadline_ms: str = "Snipecart-Deadline-Ms"
    expected_instance: str = "Snipecart-Instance"
    """Header with the instance that a request is meant for."""
    load_report: str = "Snipecart-Load"
    """Header with the load report in an answer, in the format of ``load_report.py``."""
    leaving: str = "Snipecart-Leaving"
    """Header with 1 in the answers of a backend server that will end soon."""
    rate_limit: str = "Snipecart-Limit"
    """Header with the requests per second that a backend server accepts in total."""
    organisation: str = "Snipecart-Organisation"
    """Header with the name of the organisation that a request comes from."""
    not_run: str = "Snipecart-Not-Run"
    """Header of an answer to a request that the backend server did not run."""


class Cancellation:
    """Let another task cancel a request while a worker waits for its answer."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._interrupt: Callable[[], None] | None = None
        self.cancelled = False

    def cancel(self) -> None:
        """Cancel the request and interrupt the wait in progress, if any."""
        with self._lock:
            self.cancelled = True
            if self._interrupt is not None:
                with suppress(OSError):
                    self._interrupt()

    def set_interrupt(self, interrupt: Callable[[], None] | None) -> bool:
        """Set the function that interrupts the next wait; None removes it.

        A removed function isn't running any more. Return whether the request may go on,
        which is False once it is cancelled.
        """
        with self._lock:
            self._interrupt = interrupt
            return not self.cancelled


@dataclass(frozen=True)
class HttpRequest:
    """Store a request as received from its client, with its complete body."""

    method: str
    target: str
    """Path and query string, not decoded."""
    host: str
    headers: Pairs = field(repr=False)
    """End-to-end headers; hop-by-hop headers are removed. One may have an API key."""
    body: bytes
    request_id: RequestId
    object: ObjectKey
    """Object key that the client sent; empty if it sent none."""
    client_timeout_ms: int
    """Timeout from the client in milliseconds; 0 uses the timeout of the route."""
    received_at: Instant
    """When the head was complete."""
    cancellation: Cancellation = field(default_factory=Cancellation, compare=False)
    answer_memory: MemoryReservation = field(
        default_factory=unlimited_reservation, compare=False
    )
    """Memory reserved for the answer until it is written to the client."""
    taken_at: Instant = Instant(0.0)
    """When a thread took the request."""
    read_at: Instant = Instant(0.0)
    """When the body was complete."""
    key: KeyDigest | None = field(default=None, repr=False)
    """Digest of the API key, from ``read_key``; None without one."""


def request_timeout(route: Route, client_timeout_ms: int) -> float:
    """Return the seconds that a request may take, by its route and its client."""
    return min(client_timeout_ms or route.timeout_ms, route.timeout_ms) / 1000


def effective_rank(route: Route, organisation: Organisation | None) -> int:
    """Return the rank of an organisation's requests to a route."""
    if organisation is not None and organisation.rank is not None:
        return organisation.rank
    return route.rank


@dataclass(frozen=True)
class RoutedRequest:
    """Store a request with its route and deadline."""

    req: HttpRequest
    route: Route
    routing_version: RoutingVersion
    deadline: Instant
    more_urgent_ranks: int = 0
    """Number of more urgent ranks in the routing table."""
    organisation: Organisation | None = None
    """Organisation that the request comes from; None for anonymous requests."""
    headers: Pairs | None = None
    """Headers to forward; None for those that the client sent."""

    @property
    def rank(self) -> int:
        """Return the urgency: that of the organisation, or else that of the route."""
        return effective_rank(self.route, self.organisation)

    @property
    def forwarded_headers(self) -> Pairs:
        """Return the headers to forward to a backend server."""
        return self.req.headers if self.headers is None else self.headers

    @property
    def limited_organisation(self) -> OrganisationName | None:
        """Return the organisation whose limit binds; None without a limit."""
        organisation = self.organisation
        if organisation is None or not organisation.is_limited:
            return None
        return organisation.name

    def may_run_in(self, region: RegionName) -> bool:
        """Return whether both the route and the organisation allow a region."""
        limits = [self.route.regions]
        if self.organisation is not None:
            limits.append(self.organisation.regions)
        return all(not allowed or region in allowed for allowed in limits)

    def remaining(self) -> float:
        """Return the seconds until the deadline; negative once it has passed."""
        return self.deadline - monotonic()

    @property
    def object_key(self) -> str:
        """Return the object key, unique across routes; empty without affinity."""
        if not (self.route.affinity and self.req.object):
            return ""
        return f"{self.route.name}\n{self.req.object}"


@dataclass(frozen=True)
class AssignedRequest:
    """Store a request and the backend server selected for it."""

    routed: RoutedRequest
    destination: Destination


@dataclass(frozen=True)
class Destination:
    """Represent the backend server selected for a request."""

    service: ServiceName
    instance: InstanceId
    host: str
    port: int
    expected_wait_ms: int
    """Expected time in the backend server's queue, in milliseconds."""
    estimated_load: float = 0.0
    """Requests estimated at the backend server when it was selected."""
    report_age_ms: int = 0
    """Age of the load report behind the estimate, in milliseconds."""
    due: Instant = Instant(0.0)
    """Instant after which the answer is overdue."""


@dataclass(frozen=True)
class SendResult:
    """Store the result of sending a request to one backend server."""

    end: SendOutcome
    seconds: float
    """Time from the start of the send to its end."""
    answer: HttpAnswer | None = None
    """Complete answer; None if there was none."""
    load_report: LoadReport | None = None
    notice: ServerNotice = NO_NOTICE
    """What the backend server asked for in its answer."""
    failure: Failure | None = None
    """Why there is no complete answer; None if there is one."""


@dataclass(frozen=True)
class Attempt:
    """Store how one send ended, for the log."""

    destination: Destination
    end: SendOutcome
    seconds: float


@dataclass(frozen=True)
class AnsweredRequest:
    """Store the answer for the client and the attempts that led to it."""

    routed: RoutedRequest
    answer: HttpAnswer
    attempts: tuple[Attempt, ...]


@dataclass(frozen=True)
class FailedRequest:
    """Store why a request failed and whether a backend server may have run it."""

    failure: Failure
    may_have_run: bool
    retry_after: float = 0.0
    """Seconds after which the client should retry; 0 sends no ``Retry-After``."""
    routed: RoutedRequest | None = None
    attempts: tuple[Attempt, ...] = ()
