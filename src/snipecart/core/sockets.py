"""Query sockets, and use them without waiting whatever their timeouts."""

from __future__ import annotations

import select
import socket
from contextlib import contextmanager
from contextlib import suppress
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

PEER_CLOSED_EVENTS = (
    select.POLLRDHUP | select.POLLHUP | select.POLLERR | select.POLLNVAL
)
"""Events of a socket whose peer has closed the connection, or that is closed itself."""


def has_peer_closed(descriptor: int) -> bool:
    """Return whether the peer of a connection has closed it."""
    poll = select.poll()
    poll.register(descriptor, select.POLLRDHUP)
    return any(events & PEER_CLOSED_EVENTS for _, events in poll.poll(0))


def receive_available(sock: socket.socket, size: int, flags: int = 0) -> bytes | None:
    """Return bytes that have arrived; None if there are none yet.

    The result is empty if the peer has closed the connection or it is broken. The flag
    MSG_DONTWAIT alone would not do: Python waits for input before it receives from a
    socket with a timeout.
    """
    if not _is_ready(sock, select.POLLIN):
        return None
    try:
        return sock.recv(size, flags | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return None
    except OSError:
        return b""


def send_available(sock: socket.socket, data: bytes) -> None:
    """Send what the connection takes at once; drop the rest, or all if it is broken."""
    if not _is_ready(sock, select.POLLOUT):
        return
    with suppress(OSError):
        sock.send(data, socket.MSG_DONTWAIT)


def _is_ready(sock: socket.socket, event: int) -> bool:
    """Return whether a socket is ready for input or output, closed or broken."""
    if sock.fileno() < 0:
        return True
    poll = select.poll()
    poll.register(sock.fileno(), event)
    return bool(poll.poll(0))


@contextmanager
def socket_timeout(sock: socket.socket, seconds: float) -> Iterator[None]:
    """Change the timeout of a socket until the block ends.

    It limits a whole ``sendall``, but only a single ``recv``.
    """
    usual = sock.gettimeout()
    sock.settimeout(seconds)
    try:
        yield
    finally:
        sock.settimeout(usual)
