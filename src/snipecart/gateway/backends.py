"""Send requests to backend servers over pooled connections."""

from __future__ import annotations

import http.client
import select
import socket
import threading
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from urllib3._collections import HTTPHeaderDict
from urllib3.connection import HTTPConnection
from urllib3.exceptions import ConnectTimeoutError
from urllib3.exceptions import HTTPError
from urllib3.exceptions import NewConnectionError
from urllib3.util import SKIP_HEADER

from ..core.ids import Instant
from ..core.states import SendOutcome
from ..core.task import monotonic
from ..wire.frames import keep_alive_options
from .headers import end_to_end
from .load_report import parse_load_report
from .metrics import CONNECTIONS
from .reader import KeepAliveSocket
from .request import HttpAnswer
from .request import SendResult

if TYPE_CHECKING:
    from ..core.ids import EndpointId
    from .request import Destination
    from .request import HeaderNames
    from .request import HttpRequest
    from .request import RoutedRequest

CONNECT_TIMEOUT_SECONDS = 0.5
"""Timeout of opening a connection."""

RETURN_MARGIN_SECONDS = 0.02
"""Time before the deadline reserved for sending the answer to the client."""

DEFAULT_IDLE_SECONDS = 4.0
"""Time an idle connection is kept if the backend server states no timeout."""

IDLE_MARGIN_SECONDS = 2.0
"""Time before the backend server's idle timeout at which reuse stops."""

MAX_IDLE_CONNECTIONS = 48
"""Idle connections kept per backend server."""

MAX_CHECKED_ANSWERS = 2
"""Answers whose request ID is checked before the connection counts as broken.

An answer to an earlier request may precede the expected one.
"""

REJECTION_STATUSES = frozenset({400, 429, 503})
"""Statuses with which a backend server may report that it did not run a request."""

MISDIRECTED_STATUS = 421

CONNECTION_ERRORS = (http.client.HTTPException, HTTPError, OSError, ValueError)


@dataclass
class Connection:
    """Represent one connection to a backend server."""

    http: HTTPConnection
    sock: KeepAliveSocket
    usable_until: Instant = Instant(0.0)
    """Instant until which the idle connection may be reused."""

    def close(self) -> None:
        """Close the connection."""
        self.http.close()
        self.sock.close_socket()

    def shut_down(self) -> None:
        """Shut the connection down, which wakes a thread that waits for it."""
        self.sock.shutdown(socket.SHUT_RDWR)

    def has_unread_input(self) -> bool:
        """Return whether the peer closed it or sent bytes without a request."""
        if self.sock.reader.buffered_bytes:
            return True
        poll = select.poll()
        poll.register(self.sock.fileno(), select.POLLIN | select.POLLRDHUP)
        return bool(poll.poll(0))


class UnknownAnswer(ValueError):
    """Report that all checked answers belong to other requests."""


class BackendConnectionPool:
    """Store idle connections to backend servers and send requests over them."""

    def __init__(self, source_host: str, names: HeaderNames) -> None:
        self._source_address = (source_host, 0)
        self._names = names
        self._idle: dict[tuple[str, int], deque[Connection]] = {}
        self._lock = threading.Lock()

    def send(self, routed: RoutedRequest, destination: Destination) -> SendResult:
        """Send a request to a backend server and read its complete answer."""
        started_at = monotonic()
        conn = self._acquire(destination)
        if conn is None:
            conn = self._connect(destination, routed.remaining())
            if conn is None:
                seconds = monotonic() - started_at
                return SendResult(
                    SendOutcome.NOT_SENT, seconds, detail="connection failed"
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

    def _acquire(self, destination: Destination) -> Connection | None:
        now = monotonic()
        while True:
            with self._lock:
                idle = self._idle.get((destination.host, destination.port))
                conn = idle.pop() if idle else None
            if conn is None:
                return None
            if now < conn.usable_until and not conn.has_unread_input():
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

    def _connect(self, destination: Destination, remaining: float) -> Connection | None:
        limit = max(0.001, min(remaining, CONNECT_TIMEOUT_SECONDS))
        http_conn = HTTPConnection(
            destination.host,
            destination.port,
            timeout=limit,
            source_address=self._source_address,
            socket_options=[
                (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
                *keep_alive_options(),
            ],
        )
        try:
            http_conn.connect()
        except (NewConnectionError, ConnectTimeoutError, OSError):
            http_conn.close()
            return None
        CONNECTIONS.inc()
        return Connection(http_conn, KeepAliveSocket(http_conn.sock))

    def _exchange(
        self,
        conn: Connection,
        routed: RoutedRequest,
        destination: Destination,
        started_at: Instant,
    ) -> SendResult:
        req = routed.req
        time_left = routed.remaining() - RETURN_MARGIN_SECONDS
        if time_left <= 0:
            conn.close()
            return SendResult(
                SendOutcome.NOT_SENT,
                monotonic() - started_at,
                detail="deadline too close to send the request",
            )
        try:
            conn.http.timeout = time_left
            conn.http.sock = conn.sock
            self._write_request(conn, req, destination, time_left)
            answer, idle_seconds = self._read_answer(conn, routed)
        except CONNECTION_ERRORS as exc:
            conn.close()
            seconds = monotonic() - started_at
            return SendResult(
                _classify_error(routed, exc), seconds, detail=type(exc).__name__
            )
        if idle_seconds > 0:
            self._release(destination, conn, idle_seconds)
        else:
            conn.close()
        return self._make_result(answer, monotonic() - started_at)

    def _write_request(
        self,
        conn: Connection,
        req: HttpRequest,
        destination: Destination,
        time_left: float,
    ) -> None:
        headers = HTTPHeaderDict()
        for name, value in req.headers:
            headers.add(name, value)
        headers[self._names.deadline_ms] = str(int(time_left * 1000))
        headers[self._names.expected_instance] = destination.instance
        for name in ("User-Agent", "Accept-Encoding"):
            if name not in headers:
                headers[name] = SKIP_HEADER
        conn.http.request(
            req.method,
            req.target,
            body=req.body or None,
            headers=headers,
            preload_content=False,
            decode_content=False,
        )

    def _read_answer(
        self, conn: Connection, routed: RoutedRequest
    ) -> tuple[HttpAnswer, float]:
        """Return the complete answer and the seconds the connection may stay idle.

        Skip answers with the ID of another request. Raise UnknownAnswer if the
        expected one is not among the first MAX_CHECKED_ANSWERS.
        """
        raw = http.client.HTTPConnection.getresponse(conn.http)
        body = raw.read()
        idle_seconds = _idle_seconds(raw, conn.sock)
        for _ in range(MAX_CHECKED_ANSWERS):
            returned_id = raw.getheader(self._names.request_id)
            if returned_id == routed.req.request_id or (
                returned_id is None and raw.status >= 300
            ):
                return _make_answer(raw, body), idle_seconds
            conn.sock.settimeout(max(0.001, routed.remaining() - RETURN_MARGIN_SECONDS))
            raw = http.client.HTTPResponse(conn.sock, method=routed.req.method)
            raw.begin()
            body, idle_seconds = raw.read(), 0.0
        raise UnknownAnswer

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


def _classify_error(routed: RoutedRequest, exc: Exception) -> SendOutcome:
    if routed.req.cancellation.cancelled:
        return SendOutcome.CANCELLED
    if isinstance(exc, TimeoutError) and routed.remaining() < 2 * RETURN_MARGIN_SECONDS:
        return SendOutcome.TIMED_OUT
    return SendOutcome.BROKEN


def _make_answer(raw: http.client.HTTPResponse, body: bytes) -> HttpAnswer:
    return HttpAnswer(raw.status, raw.reason, end_to_end(raw.getheaders()), body)


def _idle_seconds(raw: http.client.HTTPResponse, sock: KeepAliveSocket) -> float:
    """Return the seconds the connection may be kept idle; 0 if it must be closed."""
    if raw.will_close or sock.reader.buffered_bytes:
        return 0.0
    keep_alive = raw.getheader("Keep-Alive", "")
    _, found, rest = keep_alive.partition("timeout=")
    seconds = rest.split(",")[0].strip()
    if found and seconds.isdecimal():
        return max(0.0, int(seconds) - IDLE_MARGIN_SECONDS)
    return DEFAULT_IDLE_SECONDS
