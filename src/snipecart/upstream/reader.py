"""Read HTTP answers from a persistent connection, keeping the bytes that follow."""

from __future__ import annotations

import io
import select
from contextlib import contextmanager
from contextlib import nullcontext
from dataclasses import dataclass
from dataclasses import field
from threading import Semaphore
from typing import TYPE_CHECKING
from typing import Any

from ..core.failures import AnswerMemoryFull
from ..core.failures import AnswerTooLarge
from ..core.task import monotonic

if TYPE_CHECKING:
    import socket
    from collections.abc import Iterator
    from contextlib import AbstractContextManager

    from ..core.failures import Failure
    from ..core.ids import Instant
    from ..core.memory import MemoryReservation

RECEIVE_SIZE = 16_384

BULK_BYTES = 16_384
"""Bytes of an exchange from which the rest of its answer is read in turns."""

MAX_BULK_READERS = 1
"""Threads that receive and decode such rests at the same time.

They need the interpreter's lock all the while; with many of them, the threads of all
other requests would get it too seldom.
"""

MAX_HEAD_LINES = 512
"""Lines of a head and of the interim answers before it."""


class CutShort(ConnectionError):
    """Report a connection that ended within an answer."""


class AnswerRejected(ValueError):
    """Carry the failure for which an answer is not read to its end."""

    def __init__(self, failure: Failure) -> None:
        super().__init__(failure.reason)
        self.failure = failure


def make_bulk_readers() -> Semaphore:
    """Return the turns to read the rests of long answers."""
    return Semaphore(MAX_BULK_READERS)


@dataclass
class ReadLimits:
    """Limit the time and the bytes of one exchange, whatever the peer sends."""

    deadline: Instant
    """Instant at which reading stops."""
    head_bytes: int
    """Bytes of heads that may still be read, those of interim answers included."""
    body_bytes: int
    reservation: MemoryReservation
    bulk_readers: Semaphore = field(default_factory=make_bulk_readers)
    """Turns to read the rest of a long answer."""
    head_lines: int = MAX_HEAD_LINES
    """Lines of heads that may still be read."""

    @contextmanager
    def taking_turn(self) -> Iterator[None]:
        """Wait for a turn, and give it back when the block ends.

        Raise TimeoutError if none is free until the deadline.
        """
        if not self.bulk_readers.acquire(timeout=self.seconds_left()):
            raise TimeoutError
        try:
            yield
        finally:
            self.bulk_readers.release()

    def seconds_left(self) -> float:
        """Return the seconds until the deadline; raise TimeoutError once it passed."""
        seconds = self.deadline - monotonic()
        if seconds <= 0:
            raise TimeoutError
        return seconds

    def count_head(self, size: int) -> None:
        """Count a line of a head and its bytes."""
        self.head_bytes -= size
        self.head_lines -= 1
        if self.head_bytes < 0 or self.head_lines < 0:
            raise AnswerRejected(AnswerTooLarge("head"))

    def count_received(self, size: int) -> None:
        """Count received bytes, which stay in memory until the exchange ends."""
        if self.reservation.reserved + size > self.body_bytes:
            raise AnswerRejected(AnswerTooLarge(f"over {self.body_bytes} bytes"))
        if not self.reservation.grow(size):
            raise AnswerRejected(AnswerMemoryFull())


@dataclass(frozen=True)
class AnswerLimits:
    """Limit the size of one answer of a backend server."""

    head_bytes: int = 65_536
    """Bytes of its head and of the interim answers before it."""
    body_bytes: int = 32_000_000
    """Bytes of the answer as received."""
    bulk_readers: Semaphore = field(default_factory=make_bulk_readers)
    """Turns to read the rest of a long answer, shared by all exchanges."""

    def start(self, deadline: Instant, reservation: MemoryReservation) -> ReadLimits:
        """Return the limits of one exchange, which reserves its own memory."""
        reservation.clear()
        return ReadLimits(
            deadline,
            self.head_bytes,
            self.body_bytes,
            reservation,
            self.bulk_readers,
        )


class KeepAliveReader(io.BufferedIOBase):
    """Buffer the bytes of a socket across several answers.

    ``close`` does nothing, as HTTP libraries call it after each answer.
    """

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self._buffer = bytearray()
        self._limits: ReadLimits | None = None
        self._in_head = False

    def start_answer(self, limits: ReadLimits) -> None:
        """Apply limits to the answer that is read next, starting with its head."""
        self._limits, self._in_head = limits, True

    def end_head(self) -> None:
        """Stop counting lines as part of a head."""
        self._in_head = False

    @property
    def buffered_bytes(self) -> int:
        """Return the number of bytes received but not read yet."""
        return len(self._buffer)

    def close(self) -> None:
        """Do nothing: the socket stays open for the next answer."""

    def readable(self) -> bool:
        """Return True, as the stream is readable."""
        return True

    @contextmanager
    def next_piece(self) -> Iterator[bytes]:
        """Yield the next bytes of a body, to be decoded within the block.

        They are empty once the peer has closed the connection.
        """
        if self._buffer:
            yield self._consume(len(self._buffer))
            return
        with self._turn():
            self._receive()
            yield self._consume(len(self._buffer))

    def _turn(self) -> AbstractContextManager[None]:
        """Return the turn that the next bytes of a long answer need.

        It is taken once they have arrived, so that a slow peer holds none.
        """
        limits = self._limits
        if limits is None or limits.reservation.reserved < BULK_BYTES:
            return nullcontext()
        poll = select.poll()
        poll.register(self._sock.fileno(), select.POLLIN)
        if not poll.poll(limits.seconds_left() * 1000):
            raise TimeoutError
        return limits.taking_turn()

    def put_back(self, data: bytes) -> None:
        """Return the bytes of the last piece that don't belong to its answer."""
        self._buffer[:0] = data

    def _receive(self) -> bool:
        limits = self._limits
        if limits is not None:
            self._sock.settimeout(limits.seconds_left())
        chunk = self._sock.recv(RECEIVE_SIZE)
        if limits is not None:
            limits.count_received(len(chunk))
        self._buffer += chunk
        return bool(chunk)

    def _consume(self, size: int) -> bytes:
        with memoryview(self._buffer) as view:
            consumed = bytes(view[:size])
        del self._buffer[:size]
        return consumed

    def readline(self, size: int | None = -1) -> bytes:
        """Read a line of at most ``size`` bytes.

        Raise CutShort if the connection ends first: an incomplete head must not be
        parsed as a complete one.
        """
        limit = -1 if size is None else size
        while True:
            end = self._buffer.find(b"\n") + 1
            if end and (limit < 0 or end <= limit):
                return self._consume_line(end)
            if 0 <= limit <= len(self._buffer):
                return self._consume_line(limit)
            if not self._receive():
                raise CutShort

    def _consume_line(self, size: int) -> bytes:
        if self._in_head and self._limits is not None:
            self._limits.count_head(size)
        return self._consume(size)

    def read(self, size: int | None = -1) -> bytes:
        """Read ``size`` bytes, or everything until the peer closes."""
        limit = -1 if size is None else size
        while (limit < 0 or len(self._buffer) < limit) and self._receive():
            pass
        return self._consume(len(self._buffer) if limit < 0 else limit)

    def read1(self, size: int = -1) -> bytes:
        """Read at most ``size`` bytes with at most one receive call."""
        if not self._buffer:
            self._receive()
        return self._consume(len(self._buffer) if size < 0 else size)

    def readinto(self, buffer: Any) -> int:
        """Read into a buffer until it is full or the peer closes; return the size."""
        data = self.read(len(buffer))
        buffer[: len(data)] = data
        return len(data)


class KeepAliveSocket:
    """Wrap a socket so that all answers of its connection share one reader.

    An HTTP library may close its connection before it has read the answer, so only
    ``close_socket`` closes the socket.
    """

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self.reader = KeepAliveReader(sock)

    def makefile(self, *args: Any, **kwargs: Any) -> KeepAliveReader:
        """Return the reader that all answers of the connection share."""
        return self.reader

    def close(self) -> None:
        """Do nothing: only ``close_socket`` closes the socket."""

    def close_socket(self) -> None:
        """Close the socket."""
        self._sock.close()

    def __getattr__(self, name: str) -> Any:
        return getattr(self._sock, name)
