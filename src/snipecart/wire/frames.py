"""Send and receive length-prefixed frames over TCP."""

from __future__ import annotations

import socket
import struct
from typing import TYPE_CHECKING

from .codec import MAX_FRAME_BYTES

if TYPE_CHECKING:
    from collections.abc import Iterator

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


class FrameTooLarge(Exception):
    """Report a frame from a peer that exceeds MAX_FRAME_BYTES."""


def send_frames(sock: socket.socket, frames: list[bytes]) -> None:
    """Send frames in one write, or raise OSError."""
    sock.sendall(b"".join(LENGTH_PREFIX.pack(len(frame)) + frame for frame in frames))


def receive_frames(sock: socket.socket) -> Iterator[bytes]:
    """Yield frames until the peer closes the connection, or raise FrameTooLarge.

    An incomplete last frame is discarded.
    """
    with sock.makefile("rb") as stream:
        while header := stream.read(LENGTH_PREFIX.size):
            if len(header) < LENGTH_PREFIX.size:
                return
            (length,) = LENGTH_PREFIX.unpack(header)
            if length > MAX_FRAME_BYTES:
                raise FrameTooLarge(str(length))
            frame = stream.read(length)
            if len(frame) < length:
                return
            yield frame


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
