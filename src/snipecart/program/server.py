"""Serve HTTP by threads that clients can't hold by sending slowly or not at all.

The server's own thread, which waits on all sockets, gives a connection to a thread once
the head of a request has arrived. It also discards the rest of rejected requests.
"""

from __future__ import annotations

import socket
import threading
from contextlib import suppress
from dataclasses import dataclass
from types import SimpleNamespace
from typing import TYPE_CHECKING
from typing import Any
from weakref import WeakKeyDictionary

from cheroot.makefile import MakeFile
from cheroot.server import HTTPConnection
from cheroot.server import HTTPServer

from ..core.events import HEAD_TIMED_OUT
from ..core.events import HTTP_THREAD_BLOCKED
from ..core.events import emit
from ..core.ids import Instant
from ..core.sockets import has_peer_closed
from ..core.sockets import receive_available
from ..core.sockets import send_available
from ..core.task import monotonic
from .overdue import ConnectionWaits
from .request_head import StrictRequest

if TYPE_CHECKING:
    from .overdue import OverdueTask

HEAD_TIMEOUT_SECONDS = 10.0
"""Time from the first byte of a head to its last."""

MAX_HEAD_BYTES = 65_536
"""Bytes after which a head is given to a thread, which rejects it."""

MAX_PARTIAL_HEADS = 2_000
"""Connections that may wait without a complete head; the oldest one makes room."""

STOP_ACCEPTING_SECONDS = 2.0
"""Time to wait until the server's own thread has closed the listening socket."""

BLOCKED_SECONDS = 0.1
"""Time for one connection from which the server's own thread counts as blocked."""

WAKE_DELAY_SECONDS = 0.02
"""Time after which a stopping server's own thread is woken, to see that it stops."""

DISCARD_SECONDS = 2.0
"""Time for which the rest of a rejected request is read and discarded."""

MAX_DISCARDED_BYTES = 4 * 1024 * 1024

END_OF_HEAD = b"\r\n\r\n"

TIMEOUT_RESPONSE = (
    b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)


@dataclass
class PartialHead:
    """Store how much of a head has arrived on a connection, and since when."""

    started_at: Instant
    size: int = 0


@dataclass
class DiscardedInput:
    """Store until when, and how much more, input of a connection is discarded."""

    until: Instant
    bytes_left: int = MAX_DISCARDED_BYTES


class ClientConnection(HTTPConnection):
    """Represent a client's connection between its requests and in their queue."""

    RequestHandlerClass = StrictRequest

    head_at = Instant(0.0)
    """When the head of the latest request was complete, before it had a thread."""
    discarded: DiscardedInput | None = None
    """Set once the rest of a rejected request is to be discarded."""


class Wakeup:
    """Wake the server's own thread, which takes it for a connection with input."""

    def __init__(self) -> None:
        self.socket, self._peer = socket.socketpair()
        self.rfile = SimpleNamespace(has_data=lambda: False)
        self.last_used = 0.0

    def send(self) -> None:
        """Wake the thread."""
        with suppress(OSError):
            self._peer.send(b"1")

    def close(self) -> None:
        """Close the sockets."""
        self.socket.close()
        self._peer.close()


class StopAccepting(Wakeup):
    """Ask the server's own thread to stop accepting, and tell when it has."""

    def __init__(self) -> None:
        super().__init__()
        self.done = threading.Event()


class HeadFirstServer(HTTPServer):
    """Wait for complete heads in the server's own thread, which waits on all sockets.

    A thread of the pool would be held by one client for as long as it sends its head.
    The received bytes stay in the socket until a thread reads them.
    """

    ConnectionClass = ClientConnection
    head_timeout = HEAD_TIMEOUT_SECONDS
    stop_requested = False
    """Whether the program stops the server, which then may end."""
    overdue: OverdueTask | None = None
    """Rejects connections that wait too long for a thread; None lets them wait."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._wakeup: Wakeup | None = None
        self._partial: WeakKeyDictionary[ClientConnection, PartialHead] = (
            WeakKeyDictionary()
        )
        """Connections without a complete head, those that have waited longest first."""

    def stop_accepting(self) -> None:
        """Close the listening socket once all waiting connections are accepted.

        The system would go on to complete connections that no one accepts, and their
        requests would be cut off when the process ends.
        """
        if not self.ready or self.socket.fileno() < 0:
            return
        request = StopAccepting()
        self.put_conn(request)
        request.send()
        request.done.wait(STOP_ACCEPTING_SECONDS)
        self._wakeup = Wakeup()
        self.put_conn(self._wakeup)

    def stop(self) -> None:
        """Stop the server, whose own thread may be waiting for input."""
        if self._wakeup is not None:
            wake = threading.Timer(WAKE_DELAY_SECONDS, self._wakeup.send)
            wake.daemon = True
            wake.start()
        super().stop()

    def _close_listener(self) -> None:
        # cheroot has no public way to forget a socket that its own thread waits for.
        self._connections._selector.unregister(self.socket.fileno())
        self.socket.setblocking(False)
        with suppress(BlockingIOError):
            while True:
                sock, address = self.socket.accept()
                sock.settimeout(self.timeout)
                conn = self.ConnectionClass(self, sock, MakeFile)
                conn.remote_addr, conn.remote_port = address[:2]
                self.process_conn(conn)
        self.socket.close()

    def discard_input(self, conn: ClientConnection) -> None:
        """Discard what still arrives on a connection that its thread gives back.

        Closing a connection with unread bytes resets it, and the client would not get
        the answer that was written.
        """
        with suppress(OSError):
            conn.socket.shutdown(socket.SHUT_WR)
        end = Instant(monotonic() + DISCARD_SECONDS)
        conn.discarded = DiscardedInput(end)

    def process_conn(self, conn: ClientConnection | Wakeup) -> None:
        """Process a connection, and log it if that blocked all others."""
        started_at = monotonic()
        self._process_conn(conn)
        seconds = monotonic() - started_at
        if seconds > BLOCKED_SECONDS:
            emit(HTTP_THREAD_BLOCKED, seconds=round(seconds, 2))

    def _process_conn(self, conn: ClientConnection | Wakeup) -> None:
        """Queue a connection with a complete head for a thread, or wait for the rest.

        Close it once the client has closed it or was too slow. A thread also gets what
        it has read itself, beyond the end of an earlier request.
        """
        if isinstance(conn, StopAccepting):
            self._close_listener()
            conn.done.set()
        if isinstance(conn, Wakeup):
            conn.close()
            return
        if conn.discarded is not None:
            self._discard(conn, conn.discarded)
            return
        if conn.rfile.has_data():
            self._queue_for_thread(conn)
            return
        before = self._partial.get(conn) or PartialHead(monotonic())
        received = receive_available(conn.socket, MAX_HEAD_BYTES, socket.MSG_PEEK)
        if _is_complete(received, self.max_request_header_size):
            _set_low_water_mark(conn, 1)
            self._queue_for_thread(conn)
        elif received is None or len(received) > before.size:
            self._wait_for_more(conn, before, received or b"")
        elif received and not has_peer_closed(conn.socket.fileno()):
            # The system doesn't know low water marks: a thread reads the rest.
            self._queue_for_thread(conn)
        else:
            self._partial.pop(conn, None)
            conn.close()

    def _queue_for_thread(self, conn: ClientConnection) -> None:
        self._partial.pop(conn, None)
        conn.head_at = monotonic()
        super().process_conn(conn)
        if self.overdue is not None and self.requests.is_full:
            self.overdue.post(ConnectionWaits())

    def reject(self, conn: ClientConnection, answer: bytes) -> None:
        """Answer a connection that has no thread, and close it once it was read."""
        send_available(conn.socket, answer)
        self.discard_input(conn)
        self.put_conn(conn)

    def _discard(self, conn: ClientConnection, discarded: DiscardedInput) -> None:
        """Discard what has arrived; close a connection that has had its time."""
        while conn.rfile.has_data():
            conn.rfile.read1(MAX_HEAD_BYTES)
        piece = receive_available(conn.socket, MAX_HEAD_BYTES)
        if piece:
            discarded.bytes_left -= len(piece)
        spent = discarded.bytes_left < 0 or monotonic() > discarded.until
        if piece == b"" or spent:
            conn.close()
        else:
            self.put_conn(conn)

    def _wait_for_more(
        self, conn: ClientConnection, head: PartialHead, received: bytes
    ) -> None:
        """Wait until further bytes of a head arrive, unless it takes too long."""
        now = monotonic()
        if not head.size:
            head.started_at = now
        head.size = len(received)
        if now > head.started_at + self.head_timeout:
            self._partial.pop(conn, None)
            emit(HEAD_TIMED_OUT, client=conn.remote_addr, bytes=head.size)
            _close_with_timeout(conn)
            return
        self._make_room()
        self._partial[conn] = head
        _set_low_water_mark(conn, head.size + 1)
        self.put_conn(conn)

    def _make_room(self) -> None:
        """Shut down the connections that have waited longest if too many wait."""
        while len(self._partial) >= MAX_PARTIAL_HEADS:
            conn = next(iter(self._partial))
            del self._partial[conn]
            with suppress(OSError):
                conn.socket.shutdown(socket.SHUT_RDWR)


def _is_complete(received: bytes | None, max_bytes: int) -> bool:
    """Return whether a thread can read a head, or reject it as too long."""
    if received is None:
        return False
    limit = min(max_bytes or MAX_HEAD_BYTES, MAX_HEAD_BYTES)
    return END_OF_HEAD in received or len(received) >= limit


def _set_low_water_mark(conn: ClientConnection, size: int) -> None:
    """Let the socket count as readable once it holds this many bytes."""
    with suppress(OSError):
        conn.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVLOWAT, size)


def _close_with_timeout(conn: ClientConnection) -> None:
    """Answer 408, since nothing was run, and close the connection.

    Read what has arrived: a close with unread bytes would reset the connection.
    """
    send_available(conn.socket, TIMEOUT_RESPONSE)
    receive_available(conn.socket, MAX_HEAD_BYTES)
    conn.close()
