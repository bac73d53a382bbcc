"""Read answers off a kept connection without losing what follows them."""

from __future__ import annotations

import io
from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    import socket

RECEIVE_SIZE = 65_536


class CutShort(ConnectionError):
    """Report a connection that ended in the middle of an answer's head."""


class KeepAliveReader(io.BufferedIOBase):
    """Buffer a socket's bytes over many answers; closing it does nothing."""

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self._buffer = bytearray()

    @property
    def buffered_bytes(self) -> int:
        """Return how many bytes have arrived that nobody has read."""
        return len(self._buffer)

    def close(self) -> None:
        """Leave the socket open for the next answer."""

    def readable(self) -> bool:
        """Say that this can be read."""
        return True

    def _receive(self) -> bool:
        chunk = self._sock.recv(RECEIVE_SIZE)
        self._buffer += chunk
        return bool(chunk)

    def _consume(self, size: int) -> bytes:
        consumed = bytes(self._buffer[:size])
        del self._buffer[:size]
        return consumed

    def readline(self, size: int | None = -1) -> bytes:
        """Read up to a line's end, at most ``size`` bytes; raise CutShort at the end.

        A head that ends in its middle must not pass for a whole one.
        """
        limit = -1 if size is None else size
        while True:
            end = self._buffer.find(b"\n") + 1
            if end and (limit < 0 or end <= limit):
                return self._consume(end)
            if 0 <= limit <= len(self._buffer):
                return self._consume(limit)
            if not self._receive():
                raise CutShort

    def read(self, size: int | None = -1) -> bytes:
        """Read ``size`` bytes, or all until the peer closes."""
        limit = -1 if size is None else size
        while (limit < 0 or len(self._buffer) < limit) and self._receive():
            pass
        return self._consume(len(self._buffer) if limit < 0 else limit)

    def read1(self, size: int = -1) -> bytes:
        """Read what one receive brings."""
        if not self._buffer:
            self._receive()
        return self._consume(len(self._buffer) if size < 0 else size)

    def readinto(self, buffer: Any) -> int:
        """Read into a buffer until it is full or the peer closes."""
        data = self.read(len(buffer))
        buffer[: len(data)] = data
        return len(data)


class KeepAliveSocket:
    """Give every answer of a connection the same reader.

    An HTTP library may close its connection before it has read the answer, so only
    ``end`` closes the socket.
    """

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self.reader = KeepAliveReader(sock)

    def makefile(self, *args: Any, **kwargs: Any) -> KeepAliveReader:
        """Return the connection's one reader."""
        return self.reader

    def close(self) -> None:
        """Leave the socket open until its owner ends it."""

    def close_socket(self) -> None:
        """Close the socket."""
        self._sock.close()

    def __getattr__(self, name: str) -> Any:
        return getattr(self._sock, name)
