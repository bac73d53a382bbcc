"""Read the bodies of client requests into bounded memory.

A body is complete before a backend server is selected: a slow client holds no slot, and
the request can be sent again. The bodies of all requests in progress share one bound.
"""

from __future__ import annotations

import select
import sys
import threading
from contextlib import contextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from expression import Error
from expression import Ok
from expression import Result

from ..core.buffers import SegmentedBuffer
from ..core.chunks import ChunkDecoder
from ..core.chunks import ChunksMalformed
from ..core.failures import BadCall
from ..core.failures import BodyMemoryFull
from ..core.failures import BodySlotsFull
from ..core.failures import BodyTooLarge
from ..core.failures import BodyTooSlow
from ..core.failures import Failure
from ..core.task import monotonic

if TYPE_CHECKING:
    import socket
    from collections.abc import Iterator

    from ..core.ids import Instant
    from ..core.memory import MemoryBudget
    from ..core.memory import MemoryReservation

PIECE_BYTES = 65_536
"""Bytes of a body that are read at once."""


@dataclass(frozen=True)
class BodyFraming:
    """Describe how the length of a body is known, and its limits."""

    length: int
    """Value of ``Content-Length``; not used for a chunked body."""
    chunked: bool
    max_bytes: int | None
    """Limit of the body; None for no limit."""


class _BodyFailed(Exception):
    """Carry the failure that ended the reading of a body."""

    def __init__(self, failure: Failure) -> None:
        super().__init__(failure.reason)
        self.failure = failure


class BodySlots:
    """Limit how many threads wait for the rest of a body at the same time."""

    def __init__(self, count: int) -> None:
        self._semaphore = threading.Semaphore(count)

    @contextmanager
    def waiting(self) -> Iterator[BodySlot]:
        """Free the slot of one body, if it took one, when the block ends."""
        slot = BodySlot(self._semaphore)
        try:
            yield slot
        finally:
            if slot.taken:
                self._semaphore.release()


@dataclass
class BodySlot:
    """Store whether the reading of one body has taken a slot."""

    semaphore: threading.Semaphore
    taken: bool = False

    def take(self) -> bool:
        """Take a slot unless it is already taken; return False if none is free."""
        self.taken = self.taken or self.semaphore.acquire(blocking=False)
        return self.taken


class BodyStream:
    """Read what a client sends, until a deadline."""

    def __init__(
        self, stream: Any, sock: socket.socket, deadline: Instant, slot: BodySlot
    ) -> None:
        self._stream = stream
        self._deadline = deadline
        self._slot = slot
        self._poll = select.poll()
        self._poll.register(sock.fileno(), select.POLLIN)

    def receive(self, size: int) -> bytes:
        """Return up to ``size`` buffered bytes, or the bytes of one receive call.

        The result is empty if the client closes the connection.
        """
        if self._stream.has_data():
            return self._stream.read1(size)
        self._wait()
        return self._stream.raw.read(size)

    def peek(self) -> bytes:
        """Return the buffered bytes, or those of one receive call, and keep them.

        The result is empty if the client closes the connection.
        """
        if not self._stream.has_data():
            self._wait()
        return self._stream.peek(1)

    def skip(self, size: int) -> None:
        """Drop the first bytes of those that ``peek`` returned."""
        self._stream.read1(size)

    def _wait(self) -> None:
        """Wait for bytes, in one of the slots unless they have already arrived."""
        seconds = self._deadline - monotonic()
        if seconds <= 0:
            raise _BodyFailed(BodyTooSlow())
        if self._poll.poll(0):
            return
        if not self._slot.take():
            raise _BodyFailed(BodySlotsFull())
        if not self._poll.poll(seconds * 1000):
            raise _BodyFailed(BodyTooSlow())


def read_body(
    stream: BodyStream, framing: BodyFraming, reservation: MemoryReservation
) -> Result[bytes, Failure]:
    """Return the complete body of a request.

    Fail with BodyTooLarge or BodyMemoryFull, before reading if the length says so, with
    BodyTooSlow at the deadline, with BodySlotsFull if the body has not arrived and too
    many others are waited for, and with BadCall if it is malformed or cut short.
    """
    max_bytes = sys.maxsize if framing.max_bytes is None else framing.max_bytes
    if not framing.chunked:
        if framing.length > max_bytes:
            return Error(BodyTooLarge(f"{framing.length} bytes"))
        if framing.length > reservation.budget.free:
            return Error(_memory_full(framing.length, reservation.budget))
    body = SegmentedBuffer()
    try:
        pieces = (
            _read_chunks(stream)
            if framing.chunked
            else _read_exactly(stream, framing.length)
        )
        for piece in pieces:
            if body.size + len(piece) > max_bytes:
                return Error(BodyTooLarge(f"over {max_bytes} bytes"))
            if not reservation.grow(len(piece)):
                return Error(_memory_full(len(piece), reservation.budget))
            body.write(piece)
    except _BodyFailed as exc:
        return Error(exc.failure)
    return Ok(body.join())


def _memory_full(size: int, budget: MemoryBudget) -> BodyMemoryFull:
    return BodyMemoryFull(f"{size} bytes more, {budget.free} free")


def _read_exactly(stream: BodyStream, size: int) -> Iterator[bytes]:
    while size:
        piece = stream.receive(min(size, PIECE_BYTES))
        if not piece:
            raise _BodyFailed(BadCall("body is cut short"))
        size -= len(piece)
        yield piece


def _read_chunks(stream: BodyStream) -> Iterator[bytes]:
    decoder = ChunkDecoder()
    while not decoder.done:
        piece, data = stream.peek(), SegmentedBuffer()
        if not piece:
            raise _BodyFailed(BadCall("body is cut short"))
        try:
            used = decoder.feed(piece, data)
        except ChunksMalformed as exc:
            raise _BodyFailed(BadCall(str(exc))) from exc
        stream.skip(used)
        yield data.join()
