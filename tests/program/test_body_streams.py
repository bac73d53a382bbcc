"""Test with torn and mutated streams that only whole bodies are accepted."""

from __future__ import annotations

import socket
import threading

from cheroot.makefile import MakeFile
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from snipecart.core.failures import BadCall
from snipecart.core.failures import BodyMemoryFull
from snipecart.core.ids import Instant
from snipecart.core.memory import MemoryBudget
from snipecart.core.memory import reserving
from snipecart.core.task import monotonic
from snipecart.program.body import BodyFraming
from snipecart.program.body import BodySlots
from snipecart.program.body import BodyStream
from snipecart.program.body import read_body

BODY = b"the body of a request"
NEXT = b"GET /next HTTP/1.1\r\n"


def read(pieces, framing):
    """Return the body or the failure, and what follows the body on the connection."""
    reader, writer = socket.socketpair()
    reader.settimeout(5.0)

    def send():
        for piece in pieces:
            writer.sendall(piece)
        writer.shutdown(socket.SHUT_WR)

    thread = threading.Thread(target=send)
    thread.start()
    with reader, writer, reserving(MemoryBudget(1000)) as memory:
        stream = MakeFile(reader, "rb")
        with BodySlots(1).waiting() as slot:
            deadline = Instant(monotonic() + 5.0)
            body_stream = BodyStream(stream, reader, deadline, slot)
            result = read_body(body_stream, framing, memory)
        rest = stream.read() if result.is_ok() else b""
        thread.join()
    return result, rest


@st.composite
def framed(draw):
    """Return a stream with a body and how its length is known."""
    if draw(st.booleans()):
        return BODY, BodyFraming(len(BODY), False, None)
    at = draw(st.integers(1, len(BODY) - 1))
    chunks = b"".join(
        b"%x\r\n%s\r\n" % (len(part), part) for part in (BODY[:at], BODY[at:])
    )
    return chunks + b"0\r\n\r\n", BodyFraming(0, True, None)


@st.composite
def torn(draw, stream):
    """Return a stream in pieces of any size."""
    cuts = sorted(draw(st.lists(st.integers(0, len(stream)), max_size=5)))
    return [stream[a:b] for a, b in zip([0, *cuts], [*cuts, len(stream)], strict=True)]


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.data(), framed())
def test_a_whole_body_leaves_the_next_request_and_a_cut_one_is_rejected(data, item):
    stream, framing = item
    cut = data.draw(st.integers(0, len(stream)))
    whole = cut == len(stream)
    sent = stream + NEXT if whole else stream[:cut]
    result, rest = read(data.draw(torn(sent)), framing)
    if whole:
        assert (result.ok, rest) == (BODY, NEXT)
    else:
        assert isinstance(result.error, BadCall)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.data(), framed())
def test_any_bytes_end_with_a_body_or_a_typed_failure(data, item):
    stream, framing = bytearray(item[0]), item[1]
    for _ in range(data.draw(st.integers(1, 4))):
        at = data.draw(st.integers(0, len(stream)))
        size = data.draw(st.integers(0, 3))
        stream[at : at + size] = data.draw(st.binary(max_size=4))
    result, _ = read(data.draw(torn(bytes(stream))), framing)
    if result.is_error():
        assert isinstance(result.error, (BadCall, BodyMemoryFull))
    elif not framing.chunked:
        assert len(result.ok) == framing.length
