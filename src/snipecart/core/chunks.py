"""Decode chunked bodies from the pieces in which they arrive."""

from __future__ import annotations

from enum import Enum
from functools import lru_cache
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .buffers import SegmentedBuffer

MAX_LINE_BYTES = 8_192
"""Limit of a line that states a chunk's size, and of a trailer line."""

MAX_TRAILER_LINES = 64

MAX_SIZE_DIGITS = 16
"""Hexadecimal digits of a chunk's size."""

CRLF = b"\r\n"
HEX_DIGITS = frozenset(b"0123456789abcdefABCDEF")


class ChunksMalformed(ValueError):
    """Report bytes that aren't a chunked body, and what is wrong with them."""


class ChunkPart(Enum):
    """List the parts of a chunked body."""

    SIZE = "size"
    DATA = "data"
    DATA_END = "data_end"
    TRAILER = "trailer"
    DONE = "done"


class ChunkDecoder:
    """Decode one chunked body; keep no bytes of it but an incomplete line."""

    def __init__(self) -> None:
        self._part = ChunkPart.SIZE
        self._left = 0
        """Bytes of the current chunk that have not arrived."""
        self._line = b""
        """Begin of a line whose end has not arrived."""
        self._trailer_lines = 0

    @property
    def done(self) -> bool:
        """Return whether the body is complete."""
        return self._part is ChunkPart.DONE

    def feed(self, piece: bytes, body: SegmentedBuffer) -> int:
        """Append the data in a piece to ``body``.

        Return how many bytes of the piece were used: all, unless the body ends within
        it. Raise ChunksMalformed.
        """
        at = 0
        while at < len(piece) and not self.done:
            if self._part is ChunkPart.DATA:
                at = self._take_data(piece, at, body)
            else:
                at = self._take_line(piece, at)
            if self._part is ChunkPart.SIZE and not self._line:
                at = _take_whole_chunks(piece, at, body)
        return at

    def _take_data(self, piece: bytes, at: int, body: SegmentedBuffer) -> int:
        data = piece[at : at + self._left]
        body.write(data)
        self._left -= len(data)
        if not self._left:
            self._part = ChunkPart.DATA_END
        return at + len(data)

    def _take_line(self, piece: bytes, at: int) -> int:
        end = piece.find(b"\n", at) + 1
        line = self._line + piece[at : end or len(piece)]
        if len(line) > MAX_LINE_BYTES:
            raise ChunksMalformed("line is too long")
        if not end:
            self._line = line
            return len(piece)
        self._line = b""
        if not line.endswith(CRLF):
            raise ChunksMalformed("line doesn't end with CRLF")
        self._handle_line(line[:-2])
        return end

    def _handle_line(self, line: bytes) -> None:
        if self._part is ChunkPart.SIZE:
            self._left = _parse_size(line)
            self._part = ChunkPart.DATA if self._left else ChunkPart.TRAILER
        elif self._part is ChunkPart.DATA_END:
            if line:
                raise ChunksMalformed("chunk doesn't end with a line break")
            self._part = ChunkPart.SIZE
        elif not line:
            self._part = ChunkPart.DONE
        else:
            self._trailer_lines += 1
            if self._trailer_lines > MAX_TRAILER_LINES:
                raise ChunksMalformed("too many trailer lines")


def _take_whole_chunks(piece: bytes, at: int, body: SegmentedBuffer) -> int:
    """Append the data of the chunks that lie wholly in a piece, from an offset on.

    Return the offset of what follows them. Small chunks come by the thousand, so this
    takes a few operations for each.
    """
    data: list[bytes] = []
    while (end := piece.find(CRLF, at)) >= 0:
        if end + len(CRLF) - at > MAX_LINE_BYTES:
            raise ChunksMalformed("line is too long")
        size = _parse_size(piece[at:end])
        begin, end = end + len(CRLF), end + len(CRLF) + size
        if not size or piece[end : end + len(CRLF)] != CRLF:
            break
        data.append(piece[begin:end])
        at = end + len(CRLF)
    body.write(b"".join(data))
    return at


def _parse_size(line: bytes) -> int:
    """Return the size that a line states; extensions of the chunk are ignored."""
    return _parse_digits(line.partition(b";")[0].strip()[: MAX_SIZE_DIGITS + 1])


@lru_cache(maxsize=1024)
def _parse_digits(digits: bytes) -> int:
    if not HEX_DIGITS.issuperset(digits) or not 0 < len(digits) <= MAX_SIZE_DIGITS:
        raise ChunksMalformed("chunk size is malformed")
    return int(digits, 16)
