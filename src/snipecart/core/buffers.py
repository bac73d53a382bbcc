"""Collect bytes of unknown total size in memory that is taken once."""

from __future__ import annotations

SEGMENT_BYTES = 65_536
"""Size up to which the pieces that are written are put together."""


class SegmentedBuffer:
    """Collect pieces in segments, so that none moves when more arrive.

    A single buffer that grows may have to move, and takes up to twice its size for it.
    """

    def __init__(self) -> None:
        self._full: list[bytes] = []
        self._last = bytearray()
        self.size = 0
        """Bytes written so far."""

    def write(self, piece: bytes) -> None:
        """Append a piece."""
        if len(self._last) + len(piece) > SEGMENT_BYTES:
            self._full.append(bytes(self._last))
            self._last.clear()
        self._last += piece
        self.size += len(piece)

    def join(self) -> bytes:
        """Return all bytes, and forget them."""
        joined = b"".join([*self._full, self._last])
        self._full.clear()
        self._last.clear()
        return joined
