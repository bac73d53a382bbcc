"""Send requests to backend servers over pooled connections."""

from __future__ import annotations

import http.client
import select
import threading
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from urllib3._collections import HTTPHeaderDict
from urllib3.exceptions import HTTPError
from urllib3.util import SKIP_HEADER

from ..core.failures import BackendBroken
from ..core.failures import BackendTimedOut
from ..core.failures import BackendUnreachable
from ..core.failures import DeadlinePassed
from ..core.failures import Failure
from ..core.ids import Instant
from ..core.states import SendOutcome
from ..core.task import monotonic
from .answers import read_answer
from .connection import Connection
from .connection import connect
from .load_report import parse_load_report
from .reader import AnswerRejected
from .reader import ReadLimits
from .request import SendResult

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..core.ids import EndpointId
    from ..core.ids import RequestId
    from .request import Destination
    from .request import HeaderNames
    from .request import HttpAnswer
    from .request import HttpRequest
    from .request import RoutedRequest

RETURN_MARGIN_SECONDS = 0.02
"""Time before the deadline reserved for sending the answer to the client."""

MAX_IDLE_CONNECTIONS = 48
"""Idle connections kept per backend server."""

SEND_PIECE_BYTES = 8_192
"""Bytes of a long body that are sent at once."""

CLOSED_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR

REJECTION_STATUSES = frozenset({400, 429, 503})
"""Statuses with which a backend server may report that it did not run a request."""

MISDIRECTED_STATUS = 421

CONNECTION_ERRORS = (http.client.HTTPException, HTTPError, OSError, ValueError)


@dataclass(frozen=True)
class AnswerLimits:
    """Limit the size of one answer of a backend server."""

    head_bytes: int = 65_536
    """Bytes of its head and of the interim answers before it."""
    body_bytes: int = 32_000_000
    """Bytes of the answer as received."""


DEFAULT_LIMITS = AnswerLimits()


class BackendConnectionPool:
    """Store idle connections to backend servers and send requests over them."""

    def __init__(
        self,
        source_host: str,
        names: HeaderNames,
        limits: AnswerLimits = DEFAULT_LIMITS,
    ) -> None:
        self._source_host = source_host
        self._names = names
        self._limits = limits
        self._idle: dict[tuple[str, int], deque[Connection]] = {}
        self._lock = threading.Lock()

    def send(self, routed: RoutedRequest, destination: Destination) -> SendResult:
        """Send a request to a backend server and read its complete answer."""
        started_at = monotonic()
        conn = self._acquire(destination, routed.req.request_id)
        if conn is None:
            conn = connect(destination, self._source_host, routed.remaining())
            if conn is None:
                seconds = monotonic() - started_at
                return SendResult(
                    SendOutcome.NOT_SENT, seconds, failure=BackendUnreachable()
                )
        if not routed.req.cancellation.set_interrupt(conn.shut_down):
            conn.close()
            return SendResult(SendOutcome.CANCELLED, monotonic() - started_at)
        try:
            return self._exchange(conn, routed, destination, started_at)
        finally:
            routed.req.cancellation.set_interrupt(None)

    def close(self) -> None:
        """Close all idle connections."""
        with self._lock:
            for idle in self._idle.values():
                for conn in idle:
                    conn.close()
            self._idle.clear()

    def close_idle_except(self, endpoints: set[EndpointId]) -> None:
        """Close the idle connections to all endpoints but these."""
        with self._lock:
            for host, port in list(self._idle):
                if f"{host}:{port}" not in endpoints:
                    for conn in self._idle.pop((host, port)):
                        conn.close()

    def _acquire(
        self, destination: Destination, request_id: RequestId
    ) -> Connection | None:
        """Return an idle connection; None if there is none.

        A connection on which the same request was rejected isn't used for it again: a
        second copy of that answer couldn't be told from the next one.
        """
        now = monotonic()
        while True:
            with self._lock:
                idle = self._idle.get((destination.host, destination.port))
                conn = idle.pop() if idle else None
            if conn is None:
                return None
            if (
                now < conn.usable_until
                and request_id not in conn.rejected
                and not conn.has_unread_input()
            ):
                return conn
            conn.close()

    def _release(
        self, destination: Destination, conn: Connection, seconds: float
    ) -> None:
        conn.usable_until = Instant(monotonic() + seconds)
        with self._lock:
            idle = self._idle.setdefault((destination.host, destination.port), deque())
            idle.append(conn)
            evicted = idle.popleft() if len(idle) > MAX_IDLE_CONNECTIONS else None
        if evicted is not None:
            evicted.close()

    def _exchange(
        self,
        conn: Connection,
        routed: RoutedRequest,
        destination: Destination,
        started_at: Instant,
    ) -> SendResult:
        req = routed.req
        deadline = Instant(routed.deadline - RETURN_MARGIN_SECONDS)
        time_left = deadline - monotonic()
        if time_left <= 0:
            conn.close()
            return SendResult(
                SendOutcome.NOT_SENT, monotonic() - started_at, failure=DeadlinePassed()
            )
        req.answer_memory.clear()
        limits = ReadLimits(
            deadline,
            self._limits.head_bytes,
            self._limits.body_bytes,
            req.answer_memory,
        )
        try:
            conn.http.timeout = time_left
            conn.http.sock = conn.sock
            complete = self._write_request(conn, req, destination, limits)
            answer, idle_seconds = read_answer(
                conn, req, self._names.request_id, limits, complete
            )
        except CONNECTION_ERRORS as exc:
            conn.close()
            outcome, failure = _classify_error(routed, exc)
            return SendResult(outcome, monotonic() - started_at, failure=failure)
        result = self._make_result(answer, monotonic() - started_at)
        if complete and idle_seconds > 0:
            conn.reused = True
            if result.end is not SendOutcome.ANSWERED:
                conn.rejected.add(req.request_id)
            self._release(destination, conn, idle_seconds)
        else:
            conn.close()
        return result

    def _write_request(
        self,
        conn: Connection,
        req: HttpRequest,
        destination: Destination,
        limits: ReadLimits,
    ) -> bool:
        """Send the request; return whether all of its body was sent."""
        headers = HTTPHeaderDict()
        for name, value in req.headers:
            headers.add(name, value)
        milliseconds = int(limits.seconds_left() * 1000)
        headers[self._names.deadline_ms] = str(milliseconds)
        headers[self._names.expected_instance] = destination.instance
        for name in ("User-Agent", "Accept-Encoding"):
            if name not in headers:
                headers[name] = SKIP_HEADER
        body: bytes | BodySender | None = req.body or None
        sender = None
        if len(req.body) > SEND_PIECE_BYTES:
            headers["Content-Length"] = str(len(req.body))
            body = sender = BodySender(conn, req.body, limits)
        conn.http.request(
            req.method,
            req.target,
            body=body,
            headers=headers,
            preload_content=False,
            decode_content=False,
        )
        return sender is None or sender.complete

    def _make_result(self, answer: HttpAnswer, seconds: float) -> SendResult:
        headers = {name.lower(): value for name, value in answer.headers}
        load = parse_load_report(headers.get(self._names.load_report.lower(), ""))
        end = SendOutcome.ANSWERED
        if answer.status == MISDIRECTED_STATUS:
            end = SendOutcome.MISDIRECTED
        elif (
            self._names.not_run.lower() in headers
            and answer.status in REJECTION_STATUSES
        ):
            end = SendOutcome.REJECTED
        return SendResult(end, seconds, answer, load)


class BodySender:
    """Yield the pieces of a long body for as long as the backend server reads them.

    It may answer before it has read the body, and may then read no more of it.
    """

    def __init__(self, conn: Connection, body: bytes, limits: ReadLimits) -> None:
        self._conn = conn
        self._body = memoryview(body)
        self._limits = limits
        self.complete = False

    def __iter__(self) -> Iterator[bytes]:
        poll = select.poll()
        poll.register(
            self._conn.sock.fileno(), select.POLLIN | select.POLLOUT | select.POLLRDHUP
        )
        for start in range(0, len(self._body), SEND_PIECE_BYTES):
            ready = poll.poll(self._limits.seconds_left() * 1000)
            if not ready:
                raise TimeoutError
            events = ready[0][1]
            if events & CLOSED_EVENTS or not events & select.POLLOUT:
                return
            yield bytes(self._body[start : start + SEND_PIECE_BYTES])
        self.complete = True


def _classify_error(
    routed: RoutedRequest, exc: Exception
) -> tuple[SendOutcome, Failure]:
    if routed.req.cancellation.cancelled:
        return SendOutcome.CANCELLED, BackendBroken(type(exc).__name__)
    if isinstance(exc, TimeoutError) and routed.remaining() < 2 * RETURN_MARGIN_SECONDS:
        return SendOutcome.TIMED_OUT, BackendTimedOut(type(exc).__name__)
    if isinstance(exc, AnswerRejected):
        return SendOutcome.BROKEN, exc.failure
    return SendOutcome.BROKEN, BackendBroken(type(exc).__name__)
