"""Open and describe connections to backend servers."""

from __future__ import annotations

import select
import socket
from dataclasses import dataclass
from dataclasses import field

from urllib3.exceptions import ConnectTimeoutError
from urllib3.exceptions import NewConnectionError

from ..core.ids import Instant
from ..wire.frames import keep_alive_options
from .reader import KeepAliveSocket
from .status_line import StrictConnection

CONNECT_TIMEOUT_SECONDS = 0.5
"""Timeout of opening a connection."""


@dataclass
class Connection:
    """Represent one connection to a backend server."""

    http: StrictConnection
    sock: KeepAliveSocket
    usable_until: Instant = Instant(0.0)
    """Instant until which the idle connection may be reused."""
    reused: bool = False
    """Whether an earlier request was answered on the connection."""
    failed: set[str] = field(default_factory=set)
    """Ids of requests that the backend server answered with a failure."""

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


def connect(
    host: str, port: int, source_host: str, timeout: float
) -> Connection | None:
    """Return a new connection; None if none was established in time."""
    http_conn = StrictConnection(
        host,
        port,
        timeout=max(0.001, min(timeout, CONNECT_TIMEOUT_SECONDS)),
        source_address=(source_host, 0),
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
    return Connection(http_conn, KeepAliveSocket(http_conn.sock))
