"""Read the bodies of answers into memory that they take once."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..core.buffers import SegmentedBuffer
from ..core.chunks import ChunkDecoder
from ..core.chunks import ChunksMalformed
from ..core.failures import AnswerMalformed
from .reader import AnswerRejected
from .reader import CutShort

if TYPE_CHECKING:
    import http.client

    from .reader import KeepAliveReader


def read_body(raw: http.client.HTTPResponse, reader: KeepAliveReader) -> bytes:
    """Return the body of an answer whose head was read, and close the answer.

    The body is collected in segments: a list of its chunks would take many times the
    bytes received. Raise CutShort or AnswerRejected.
    """
    body = SegmentedBuffer()
    if raw.length is not None:
        # Also 0 where an answer has no body whatever its headers say.
        _read_length(reader, body, raw.length)
    elif raw.chunked:
        _read_chunks(reader, body)
    else:
        _read_to_close(reader, body)
    raw.close()
    return body.join()


def _read_chunks(reader: KeepAliveReader, body: SegmentedBuffer) -> None:
    decoder = ChunkDecoder()
    while not decoder.done:
        with reader.next_piece() as piece:
            if not piece:
                raise CutShort
            try:
                used = decoder.feed(piece, body)
            except ChunksMalformed as exc:
                raise AnswerRejected(AnswerMalformed(str(exc))) from exc
            reader.put_back(piece[used:])


def _read_length(reader: KeepAliveReader, body: SegmentedBuffer, size: int) -> None:
    while size:
        with reader.next_piece() as piece:
            if not piece:
                raise CutShort
            body.write(piece[:size])
            reader.put_back(piece[size:])
            size -= min(size, len(piece))


def _read_to_close(reader: KeepAliveReader, body: SegmentedBuffer) -> None:
    while True:
        with reader.next_piece() as piece:
            if not piece:
                return
            body.write(piece)
