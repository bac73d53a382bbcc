"""Send requests to backend servers over kept connections."""

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
from ..core.states import SendEnd
from ..core.task import monotonic
from ..wire.frames import keep_alive_options
from .headers import end_to_end
from .metrics import CONNECTIONS
from .reader import KeptSocket
from .request import HttpAnswer
from .request import SendResult

if TYPE_CHECKING:
    from ..core.ids import EndpointId
    from .request import Destination
    from .request import HeaderNames
    from .request import HttpRequest
    from .request import RoutedRequest

CONNECT_LIMIT = 0.5
"""Seconds to wait for a connection."""

MARGIN = 0.02
"""Seconds a request keeps for the way back to its client."""

IDLE_DEFAULT = 4.0
"""Seconds a connection is kept where the backend server names no timeout."""

IDLE_MARGIN = 2.0
"""Seconds before a backend server's idle timeout at which it isn't used again."""

KEPT = 48
"""Idle connections kept for one backend server."""

EXTRA_ANSWERS = 2
"""Answers to other requests that may come before the one awaited."""

REJECTIONS = frozenset({400, 429, 503})
"""Statuses with which a backend server may say that it ran nothing."""

MISDIRECTED = 421

BROKEN = (http.client.HTTPException, HTTPError, OSError, ValueError)


@dataclass
class Connection:
    """Own one connection; ``until`` says how long it may be used again."""

    http: HTTPConnection
    sock: KeptSocket
    until: Instant = Instant(0.0)

    def close(self) -> None:
        """Close the connection."""
        self.http.close()
        self.sock.end()

    def cut(self) -> None:
        """End the connection under a thread that waits for it."""
        self.sock.shutdown(socket.SHUT_RDWR)

    def has_input(self) -> bool:
        """Say whether it has ended, or holds bytes that nobody asked for."""
        if self.sock.reader.held:
            return True
        poll = select.poll()
        poll.register(self.sock.fileno(), select.POLLIN | select.POLLRDHUP)
        return bool(poll.poll(0))


class UnknownAnswer(ValueError):
    """Report an answer to a request that this connection did not carry."""


class BackendConnections:
    """Own the connections to backend servers."""

    def __init__(self, source: str, names: HeaderNames) -> None:
        self._source = (source, 0)
        self._names = names
        self._idle: dict[tuple[str, int], deque[Connection]] = {}
        self._lock = threading.Lock()

    def send(self, routed: RoutedRequest, place: Destination) -> SendResult:
        """Send a request to a backend server and read its whole answer."""
        began = monotonic()
        conn = self._take(place)
        if conn is None:
            conn = self._connect(place, routed.remaining())
            if conn is None:
                took = monotonic() - began
                return SendResult(SendEnd.NOT_SENT, took, detail="no connection")
        if not routed.req.cancellation.guard(conn.cut):
            conn.close()
            return SendResult(SendEnd.CANCELLED, monotonic() - began)
        try:
            return self._exchange(conn, routed, place, began)
        finally:
            routed.req.cancellation.guard(None)

    def close(self) -> None:
        """Close all idle connections."""
        with self._lock:
            for kept in self._idle.values():
                for item in kept:
                    item.close()
            self._idle.clear()

    def forget(self, present: set[EndpointId]) -> None:
        """Close the idle connections to addresses that nobody serves at."""
        with self._lock:
            for host, port in list(self._idle):
                if f"{host}:{port}" not in present:
                    for item in self._idle.pop((host, port)):
                        item.close()

    def _take(self, place: Destination) -> Connection | None:
        now = monotonic()
        while True:
            with self._lock:
                kept = self._idle.get((place.host, place.port))
                item = kept.pop() if kept else None
            if item is None:
                return None
            if now < item.until and not item.has_input():
                return item
            item.close()

    def _keep(self, place: Destination, conn: Connection, seconds: float) -> None:
        conn.until = Instant(monotonic() + seconds)
        with self._lock:
            kept = self._idle.setdefault((place.host, place.port), deque())
            kept.append(conn)
            old = kept.popleft() if len(kept) > KEPT else None
        if old is not None:
            old.close()

    def _connect(self, place: Destination, remaining: float) -> Connection | None:
        limit = max(0.001, min(remaining, CONNECT_LIMIT))
        fresh = HTTPConnection(
            place.host,
            place.port,
            timeout=limit,
            source_address=self._source,
            socket_options=[
                (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
                *keep_alive_options(),
            ],
        )
        try:
            fresh.connect()
        except (NewConnectionError, ConnectTimeoutError, OSError):
            fresh.close()
            return None
        CONNECTIONS.inc()
        return Connection(fresh, KeptSocket(fresh.sock))

    def _exchange(
        self,
        conn: Connection,
        routed: RoutedRequest,
        place: Destination,
        began: Instant,
    ) -> SendResult:
        req = routed.req
        left = routed.remaining() - MARGIN
        if left <= 0:
            conn.close()
            return SendResult(
                SendEnd.NOT_SENT, monotonic() - began, detail="no time left"
            )
        try:
            conn.http.timeout = left
            conn.http.sock = conn.sock
            self._write(conn, req, place, left)
            answer, usable = self._read(conn, routed)
        except BROKEN as exc:
            conn.close()
            took = monotonic() - began
            return SendResult(_end_of(routed, exc), took, detail=type(exc).__name__)
        if usable > 0:
            self._keep(place, conn, usable)
        else:
            conn.close()
        return self._judge(answer, monotonic() - began)

    def _write(
        self, conn: Connection, req: HttpRequest, place: Destination, left: float
    ) -> None:
        headers = HTTPHeaderDict()
        for name, value in req.headers:
            headers.add(name, value)
        headers[self._names.wait_ms] = str(int(left * 1000))
        headers[self._names.expected] = place.instance
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

    def _read(
        self, conn: Connection, routed: RoutedRequest
    ) -> tuple[HttpAnswer, float]:
        """Return the whole answer, and for how long the connection may be kept."""
        raw = http.client.HTTPConnection.getresponse(conn.http)
        body = raw.read()
        kept = _usable(raw, conn.sock)
        for _ in range(EXTRA_ANSWERS):
            said = raw.getheader(self._names.request)
            if said == routed.req.request or (said is None and raw.status >= 300):
                return _whole(raw, body), kept
            conn.sock.settimeout(max(0.001, routed.remaining() - MARGIN))
            raw = http.client.HTTPResponse(conn.sock, method=routed.req.method)
            raw.begin()
            body, kept = raw.read(), 0.0
        raise UnknownAnswer

    def _judge(self, answer: HttpAnswer, took: float) -> SendResult:
        headers = {name.lower(): value for name, value in answer.headers}
        load = _load(headers.get(self._names.load.lower(), ""))
        end = SendEnd.ANSWERED
        if answer.status == MISDIRECTED:
            end = SendEnd.MISDIRECTED
        elif self._names.not_run.lower() in headers and answer.status in REJECTIONS:
            end = SendEnd.REJECTED
        return SendResult(end, took, answer, load)


def _end_of(routed: RoutedRequest, exc: Exception) -> SendEnd:
    if routed.req.cancellation.cancelled:
        return SendEnd.CANCELLED
    if isinstance(exc, TimeoutError) and routed.remaining() < 2 * MARGIN:
        return SendEnd.TIMED_OUT
    return SendEnd.BROKEN


def _whole(raw: http.client.HTTPResponse, body: bytes) -> HttpAnswer:
    return HttpAnswer(raw.status, raw.reason, end_to_end(raw.getheaders()), body)


def _usable(raw: http.client.HTTPResponse, sock: KeptSocket) -> float:
    """Return for how many seconds the connection may be kept idle."""
    if raw.will_close or sock.reader.held:
        return 0.0
    keep_alive = raw.getheader("Keep-Alive", "")
    _, found, rest = keep_alive.partition("timeout=")
    seconds = rest.split(",")[0].strip()
    if found and seconds.isdecimal():
        return max(0.0, int(seconds) - IDLE_MARGIN)
    return IDLE_DEFAULT


def _load(said: str) -> tuple[int, int, int] | None:
    parts = said.split(",")
    if len(parts) != 3 or not all(part.strip().isdecimal() for part in parts):
        return None
    running, waiting, slots = (int(part) for part in parts)
    return running, waiting, slots
