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


class KeptReader(io.BufferedIOBase):
    """Buffer a socket's bytes over many answers; closing it does nothing."""

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self._held = bytearray()

    @property
    def held(self) -> int:
        """Return how many bytes have arrived that nobody has read."""
        return len(self._held)

    def close(self) -> None:
        """Leave the socket open for the next answer."""

    def readable(self) -> bool:
        """Say that this can be read."""
        return True

    def _fill(self) -> bool:
        chunk = self._sock.recv(RECEIVE_SIZE)
        self._held += chunk
        return bool(chunk)

    def _take(self, size: int) -> bytes:
        taken = bytes(self._held[:size])
        del self._held[:size]
        return taken

    def readline(self, size: int | None = -1) -> bytes:
        """Read up to a line's end, at most ``size`` bytes; raise CutShort at the end.

        A head that ends in its middle must not pass for a whole one.
        """
        most = -1 if size is None else size
        while True:
            end = self._held.find(b"\n") + 1
            if end and (most < 0 or end <= most):
                return self._take(end)
            if 0 <= most <= len(self._held):
                return self._take(most)
            if not self._fill():
                raise CutShort

    def read(self, size: int | None = -1) -> bytes:
        """Read ``size`` bytes, or all until the peer closes."""
        most = -1 if size is None else size
        while (most < 0 or len(self._held) < most) and self._fill():
            pass
        return self._take(len(self._held) if most < 0 else most)

    def read1(self, size: int = -1) -> bytes:
        """Read what one receive brings."""
        if not self._held:
            self._fill()
        return self._take(len(self._held) if size < 0 else size)

    def readinto(self, buffer: Any) -> int:
        """Read into a buffer until it is full or the peer closes."""
        data = self.read(len(buffer))
        buffer[: len(data)] = data
        return len(data)


class KeptSocket:
    """Give every answer of a connection the same reader.

    An HTTP library may close its connection before it has read the answer, so only
    ``end`` closes the socket.
    """

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self.reader = KeptReader(sock)

    def makefile(self, *args: Any, **kwargs: Any) -> KeptReader:
        """Return the connection's one reader."""
        return self.reader

    def close(self) -> None:
        """Leave the socket open until its owner ends it."""

    def end(self) -> None:
        """Close the socket."""
        self._sock.close()

    def __getattr__(self, name: str) -> Any:
        return getattr(self._sock, name)
