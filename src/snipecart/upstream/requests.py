"""Write requests to backend servers."""

from __future__ import annotations

import select
from dataclasses import dataclass
from typing import TYPE_CHECKING

from urllib3._collections import HTTPHeaderDict
from urllib3.util import SKIP_HEADER

from ..core.task import monotonic

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..core.ids import Instant
    from .connection import Connection
    from .headers import Pairs
    from .reader import ReadLimits

SEND_PIECE_BYTES = 8_192
"""Bytes of a long body that are sent at once."""

EARLY_ANSWER_SECONDS = 0.05
"""Time for which the rest of a body is still sent once an answer has arrived.

A body that is sent whole keeps the connection usable.
"""

CLOSED_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR

LIBRARY_HEADERS = ("User-Agent", "Accept-Encoding")
"""Headers that urllib3 would add."""


@dataclass(frozen=True)
class BackendRequest:
    """Store a request as it is sent to a backend server."""

    method: str
    target: str
    headers: Pairs
    body: bytes


def write_request(conn: Connection, req: BackendRequest, limits: ReadLimits) -> bool:
    """Send a request; return whether all of its body was sent."""
    fields = HTTPHeaderDict()
    for name, value in req.headers:
        fields.add(name, value)
    for name in LIBRARY_HEADERS:
        if name not in fields:
            fields[name] = SKIP_HEADER
    sender = None
    if len(req.body) > SEND_PIECE_BYTES:
        fields["Content-Length"] = str(len(req.body))
        sender = BodySender(conn, req.body, limits)
    conn.http.timeout = limits.seconds_left()
    conn.http.sock = conn.sock
    conn.http.request(
        req.method,
        req.target,
        body=sender or req.body or None,
        headers=fields,
        preload_content=False,
        decode_content=False,
    )
    return sender is None or sender.complete


class BodySender:
    """Yield the pieces of a long body, unless the backend server answers before.

    It may answer before it has read the body, and may then read the rest slowly or not
    at all.
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
        answered_at: Instant | None = None
        for start in range(0, len(self._body), SEND_PIECE_BYTES):
            ready = poll.poll(self._limits.seconds_left() * 1000)
            if not ready:
                raise TimeoutError
            events, now = ready[0][1], monotonic()
            if events & select.POLLIN and answered_at is None:
                answered_at = now
            is_late = answered_at is not None and (
                now > answered_at + EARLY_ANSWER_SECONDS
            )
            if is_late or events & CLOSED_EVENTS or not events & select.POLLOUT:
                return
            yield bytes(self._body[start : start + SEND_PIECE_BYTES])
        self.complete = True
