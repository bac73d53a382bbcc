"""Read the bodies of client requests into bounded memory.

A body is complete before a backend server is selected: a slow client holds no slot, and
the request can be sent again. The bodies of all requests in progress share one bound.
"""

from __future__ import annotations

import socket
from contextlib import suppress
from dataclasses import dataclass
from io import BytesIO
from typing import TYPE_CHECKING
from typing import Any

from expression import Error
from expression import Ok
from expression import Result

from ..core.failures import BadCall
from ..core.failures import BodyMemoryFull
from ..core.failures import BodyTooLarge
from ..core.failures import BodyTooSlow
from ..core.failures import Failure
from ..core.task import monotonic

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..core.ids import Instant
    from .memory import MemoryBudget
    from .memory import MemoryReservation

PIECE_BYTES = 65_536
"""Bytes of a body that are read at once."""

MAX_LINE_BYTES = 8_192
"""Limit of a line that states a chunk's size, and of a trailer line."""

DISCARD_SECONDS = 0.5
"""Time for which the rest of a rejected body is read and discarded."""

MAX_DISCARDED_BYTES = 4 * 1024 * 1024

MAX_TRAILER_LINES = 64

CRLF = b"\r\n"
HEX_DIGITS = frozenset(b"0123456789abcdefABCDEF")


@dataclass(frozen=True)
class BodyFraming:
    """Describe how the length of a body is known, and its limits."""

    length: int
    """Value of ``Content-Length``; not used for a chunked body."""
    chunked: bool
    max_bytes: int
    """Limit of the body; 0 for none."""
    deadline: Instant
    """Instant at which reading stops."""


class _BodyFailed(Exception):
    """Carry the failure that ended the reading of a body."""

    def __init__(self, failure: Failure) -> None:
        super().__init__(failure.reason)
        self.failure = failure


def read_body(
    stream: Any, framing: BodyFraming, reservation: MemoryReservation
) -> Result[bytes, Failure]:
    """Return the complete body of a request.

    Fail with BodyTooLarge or BodyMemoryFull, before reading if the length says so, with
    BodyTooSlow at the deadline, and with BadCall if the body is malformed or cut short.
    """
    if not framing.chunked:
        if framing.max_bytes and framing.length > framing.max_bytes:
            return Error(BodyTooLarge(f"{framing.length} bytes"))
        if framing.length > reservation.budget.free:
            return Error(_memory_full(framing.length, reservation.budget))
    body = BytesIO()
    try:
        pieces = (
            _read_chunks(stream, framing)
            if framing.chunked
            else _read_exactly(stream, framing.length, framing)
        )
        for piece in pieces:
            if framing.max_bytes and body.tell() + len(piece) > framing.max_bytes:
                return Error(BodyTooLarge(f"over {framing.max_bytes} bytes"))
            if not reservation.grow(len(piece)):
                return Error(_memory_full(len(piece), reservation.budget))
            body.write(piece)
    except _BodyFailed as exc:
        return Error(exc.failure)
    return Ok(body.getvalue())


def discard_input(sock: socket.socket) -> None:
    """Discard what a peer sends until it closes, for DISCARD_SECONDS at most."""
    end = monotonic() + DISCARD_SECONDS
    discarded = 0
    with suppress(OSError):
        sock.shutdown(socket.SHUT_WR)
        while discarded < MAX_DISCARDED_BYTES and (left := end - monotonic()) > 0:
            sock.settimeout(left)
            piece = sock.recv(PIECE_BYTES)
            if not piece:
                return
            discarded += len(piece)


def _memory_full(size: int, budget: MemoryBudget) -> BodyMemoryFull:
    return BodyMemoryFull(f"{size} bytes more, {budget.free} free")


def _read_exactly(stream: Any, size: int, framing: BodyFraming) -> Iterator[bytes]:
    while size:
        if monotonic() > framing.deadline:
            raise _BodyFailed(BodyTooSlow(f"{size} bytes missing"))
        piece = _receive(stream, min(size, PIECE_BYTES))
        if not piece:
            raise _BodyFailed(BadCall("body is cut short"))
        size -= len(piece)
        yield piece


def _receive(stream: Any, size: int) -> bytes:
    """Return up to ``size`` buffered bytes, or the bytes of one receive call."""
    return stream.read1(size) if stream.has_data() else stream.raw.read(size)


def _read_chunks(stream: Any, framing: BodyFraming) -> Iterator[bytes]:
    while size := _read_chunk_size(stream):
        yield from _read_exactly(stream, size, framing)
        if stream.read(len(CRLF)) != CRLF:
            raise _BodyFailed(BadCall("chunk does not end with a line break"))
    for _ in range(MAX_TRAILER_LINES):
        if _read_line(stream) == CRLF:
            return
    raise _BodyFailed(BadCall("too many trailer lines"))


def _read_chunk_size(stream: Any) -> int:
    digits = _read_line(stream).partition(b";")[0].strip()
    if not digits or not HEX_DIGITS.issuperset(digits):
        raise _BodyFailed(BadCall("chunk size is malformed"))
    return int(digits, 16)


def _read_line(stream: Any) -> bytes:
    line = stream.readline(MAX_LINE_BYTES)
    if not line.endswith(CRLF):
        raise _BodyFailed(BadCall("line of a chunked body is malformed"))
    return line
