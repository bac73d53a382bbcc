"""Send and receive length-prefixed frames over TCP."""

from __future__ import annotations

import select
import socket
import struct
from typing import TYPE_CHECKING

from ..core.ids import Instant
from ..core.memory import reserving
from ..core.task import monotonic
from .codec import MAX_FRAME_BYTES

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..core.memory import MemoryBudget
    from ..core.memory import MemoryReservation

LENGTH_PREFIX = struct.Struct("<I")
"""Length of the frame that follows, in bytes: 32 bits, little-endian."""

SEND_TIMEOUT = 2.0
"""Seconds for which a write blocks while the receive buffer of the peer is full."""

CONNECT_TIMEOUT = 1.0
"""Seconds to wait for a connection to be established."""

KEEP_ALIVE_INTERVAL = 1
"""Seconds without data before a peer is probed, and between two probes."""

KEEP_ALIVE_PROBES = 2
"""Unanswered probes after which the connection is closed."""

USER_TIMEOUT_MS = 1500
"""Milliseconds for which sent data may stay unacknowledged."""

BACKLOG = 512
"""Maximum number of connections that wait to be accepted."""


RECEIVE_SIZE = 65_536

SMALL_FRAME_BYTES = 65_536
"""Size up to which a frame counts as small and needs no reserved memory."""

FRAME_MEMORY_BYTES = MAX_FRAME_BYTES
"""Memory for the large frames of all connections that a process receives."""

FRAME_SECONDS = 10.0
"""Time from the begin of a frame to its end."""


class FrameRefused(Exception):
    """Report a frame that is too large or slow, or that there is no memory for."""


def send_frames(sock: socket.socket, frames: list[bytes]) -> None:
    """Send frames in one write, or raise OSError."""
    sock.sendall(b"".join(LENGTH_PREFIX.pack(len(frame)) + frame for frame in frames))


def receive_frames(sock: socket.socket, memory: MemoryBudget) -> Iterator[bytes]:
    """Yield frames until the peer closes the connection, or raise FrameRefused.

    An incomplete last frame is discarded. ``memory`` bounds the large frames of all
    connections.
    """
    receiver = FrameReceiver(sock)
    while (length := receiver.read_length()) is not None:
        if length > MAX_FRAME_BYTES:
            raise FrameRefused(f"frame too large: {length} bytes")
        with reserving(memory) as reservation:
            frame = receiver.read_frame(length, reservation)
            if frame is None:
                return
            yield frame


class FrameReceiver:
    """Receive frames and buffer the bytes that follow them."""

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self._buffer = bytearray()
        self._poll = select.poll()
        self._poll.register(sock.fileno(), select.POLLIN)
        self._deadline: Instant | None = None
        """Until when the current frame must be complete; None between two frames."""

    def read_length(self) -> int | None:
        """Wait for a frame and return its length; None if the peer closes."""
        self._deadline = None
        if not self._fill(1):
            return None
        self._deadline = Instant(monotonic() + FRAME_SECONDS)
        if not self._fill(LENGTH_PREFIX.size):
            return None
        return LENGTH_PREFIX.unpack(self._take(LENGTH_PREFIX.size))[0]

    def read_frame(self, length: int, reservation: MemoryReservation) -> bytes | None:
        """Return the rest of a frame; None if the peer closes before its end.

        Reserve memory for a large one as it arrives: a peer that only announces one
        takes none.
        """
        while len(self._buffer) < length:
            before = len(self._buffer)
            if not self._receive():
                return None
            received = len(self._buffer) - before
            if length > SMALL_FRAME_BYTES and not reservation.grow(received):
                raise FrameRefused(f"no memory for {length} bytes")
        return self._take(length)

    def _take(self, size: int) -> bytes:
        with memoryview(self._buffer) as view:
            taken = bytes(view[:size])
        del self._buffer[:size]
        return taken

    def _fill(self, size: int) -> bool:
        """Receive until the buffer has a number of bytes, or the peer closes."""
        while len(self._buffer) < size:
            if not self._receive():
                return False
        return True

    def _receive(self) -> bool:
        """Add the bytes of one receive call; return False if the peer closes."""
        self._wait()
        piece = self._sock.recv(RECEIVE_SIZE)
        self._buffer += piece
        return bool(piece)

    def _wait(self) -> None:
        """Wait for bytes until the deadline, if there is one."""
        if self._deadline is None:
            return
        seconds = self._deadline - monotonic()
        if seconds <= 0 or not self._poll.poll(seconds * 1000):
            raise FrameRefused(f"frame took over {FRAME_SECONDS:g} s")


def open_listener(host: str, port: int) -> socket.socket:
    """Return a socket that listens on an address, or raise OSError."""
    return socket.create_server((host, port), backlog=BACKLOG)


def connect(host: str, port: int, source: str) -> socket.socket:
    """Return a connection from the local address ``source``, or raise OSError."""
    sock = socket.create_connection((host, port), CONNECT_TIMEOUT, (source, 0))
    configure_socket(sock)
    return sock


def keep_alive_options() -> list[tuple[int, int, int]]:
    """Return the socket options that close a connection to an unresponsive peer."""
    tcp = socket.IPPROTO_TCP
    return [
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (tcp, socket.TCP_KEEPIDLE, KEEP_ALIVE_INTERVAL),
        (tcp, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL),
        (tcp, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES),
        (tcp, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    ]


def configure_socket(sock: socket.socket) -> None:
    """Disable Nagle's algorithm, and set timeouts for a peer that does not respond."""
    sock.settimeout(None)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    for level, name, value in keep_alive_options():
        sock.setsockopt(level, name, value)
    timeout = struct.pack("ll", int(SEND_TIMEOUT), 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, timeout)
