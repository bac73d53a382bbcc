"""Test that bodies are read completely, within their limits and in bounded memory."""

from __future__ import annotations

import socket
import threading
import time
from contextlib import contextmanager

import pytest
from cheroot.makefile import MakeFile

from snipecart.core.ids import Instant
from snipecart.core.memory import MemoryBudget
from snipecart.core.memory import reserving
from snipecart.core.task import monotonic
from snipecart.gateway.metrics import BODY_BYTES
from snipecart.program.body import BodyFraming
from snipecart.program.body import BodySlots
from snipecart.program.body import BodyStream
from snipecart.program.body import read_body

ONE_SLOT = BodySlots(1)


@contextmanager
def sent_by_client(*pieces, pause=0.0, close=True):
    """Yield the reading end of a connection on which a client sends a body."""
    reader, writer = socket.socketpair()
    reader.settimeout(5.0)

    def send():
        try:
            for piece in pieces:
                writer.sendall(piece)
                time.sleep(pause)
        except OSError:
            return
        if close:
            writer.shutdown(socket.SHUT_WR)

    thread = threading.Thread(target=send, daemon=True)
    thread.start()
    with reader, writer:
        stream = MakeFile(reader, "rb")
        stream.socket = reader
        yield stream
        reader.shutdown(socket.SHUT_RDWR)
        thread.join(5.0)


def framing(length=0, *, chunked=False, max_bytes=1_000_000):
    return BodyFraming(length, chunked, max_bytes)


def read(stream, frame, memory=None, seconds=5.0, slots=ONE_SLOT):
    """Return the body, or the reason why it can't be read."""
    memory = memory or MemoryBudget(1_000_000, BODY_BYTES)
    deadline = Instant(monotonic() + seconds)
    with reserving(memory) as reservation, slots.waiting() as slot:
        body_stream = BodyStream(stream, stream.socket, deadline, slot)
        result = read_body(body_stream, frame, reservation)
    return result.ok if result.is_ok() else result.error.reason


def test_a_body_of_known_length_leaves_the_next_request_unread():
    with sent_by_client(b"x" * 200_000, b"yGET /") as stream:
        assert read(stream, framing(200_001)) == b"x" * 200_000 + b"y"
        assert stream.read(5) == b"GET /"


def test_a_body_that_follows_buffered_bytes_arrives_whole():
    with sent_by_client(b"head\r\nab", b"c" * 100_000, pause=0.05) as stream:
        assert stream.readline() == b"head\r\n"
        assert read(stream, framing(100_002)) == b"ab" + b"c" * 100_000


def test_a_chunked_body_arrives_whole_and_its_trailers_are_skipped():
    chunks = b"3\r\none\r\nA;x=y\r\n" + b"t" * 10 + b"\r\n0\r\nName: value\r\n\r\nGET /"
    with sent_by_client(chunks) as stream:
        assert read(stream, framing(chunked=True)) == b"one" + b"t" * 10
        assert stream.read(5) == b"GET /"


@pytest.mark.parametrize(
    "chunks",
    [
        b"0x3\r\none\r\n0\r\n\r\n",
        b"+3\r\none\r\n0\r\n\r\n",
        b"1_0\r\n" + b"t" * 16 + b"\r\n0\r\n\r\n",
        b"\r\none\r\n0\r\n\r\n",
        b"3\none\n0\n\n",
        b"3\r\nonetwo\r\n0\r\n\r\n",
        b"5\r\none",
        b"3\r\none\r\n",
        b"3;" + b"x" * 20_000 + b"\r\none\r\n0\r\n\r\n",
        b"3\r\none\r\n0\r\n" + b"a: b\r\n" * 100 + b"\r\n",
    ],
)
def test_malformed_chunks_are_rejected(chunks):
    with sent_by_client(chunks) as stream:
        assert read(stream, framing(chunked=True)) == "bad_call"


def test_a_body_that_is_cut_short_is_rejected():
    with sent_by_client(b"x" * 10) as stream:
        assert read(stream, framing(11)) == "bad_call"


def test_a_body_over_the_limit_is_rejected_before_it_is_read():
    with sent_by_client(b"x" * 100) as stream:
        assert read(stream, framing(100, max_bytes=99)) == "body_too_large"
        assert stream.read(100) == b"x" * 100
    with sent_by_client(b"64\r\n" + b"x" * 100 + b"\r\n0\r\n\r\n") as stream:
        reason = read(stream, framing(chunked=True, max_bytes=99))
        assert reason == "body_too_large"


def test_a_body_without_room_in_memory_is_rejected_before_it_is_read():
    memory = MemoryBudget(250, BODY_BYTES)
    with reserving(memory) as other:
        assert other.grow(200)
        with sent_by_client(b"x" * 100) as stream:
            assert read(stream, framing(100), memory) == "body_memory_full"
            assert stream.read(100) == b"x" * 100
    with sent_by_client(b"x" * 100) as stream:
        assert read(stream, framing(100), memory) == b"x" * 100
    assert memory.free == 250


def test_a_chunk_larger_than_the_free_memory_is_not_read_whole():
    memory = MemoryBudget(100_000, BODY_BYTES)
    chunk = b"7A1200\r\n" + b"x" * 8_000_000
    with sent_by_client(chunk) as stream:
        frame = framing(chunked=True, max_bytes=64_000_000)
        assert read(stream, frame, memory) == "body_memory_full"
    assert memory.free == 100_000


def test_concurrent_bodies_never_exceed_the_memory():
    memory = MemoryBudget(300_000, BODY_BYTES)
    peak, ends = [], []

    def receive():
        with sent_by_client(*[b"x" * 1000] * 100, pause=0.001) as stream:
            ends.append(read(stream, framing(100_000), memory, slots=BodySlots(8)))

    threads = [threading.Thread(target=receive) for _ in range(8)]
    for thread in threads:
        thread.start()
    while any(thread.is_alive() for thread in threads):
        peak.append(memory.free)
        time.sleep(0.002)
    assert min(peak) >= 0
    assert memory.free == 300_000
    assert "body_memory_full" in ends
    assert b"x" * 100_000 in ends


@pytest.mark.parametrize("chunked", [False, True])
def test_a_client_that_sends_slowly_is_rejected_at_its_deadline(chunked):
    pieces = [b"1\r\nx\r\n" if chunked else b"x"] * 100
    with sent_by_client(*pieces, pause=0.05) as stream:
        begin = time.monotonic()
        frame = framing(100, chunked=chunked)
        assert read(stream, frame, seconds=0.3) == "body_too_slow"
        assert time.monotonic() - begin < 1.0


@pytest.mark.parametrize("chunked", [False, True])
def test_a_client_that_stops_sending_is_rejected_at_its_deadline(chunked):
    with sent_by_client(b"5", close=False) as stream:
        begin = time.monotonic()
        frame = framing(100, chunked=chunked)
        assert read(stream, frame, seconds=0.3) == "body_too_slow"
        assert time.monotonic() - begin < 1.0


def test_a_size_line_in_pieces_is_rejected_at_its_deadline():
    with sent_by_client(*[b"0"] * 100, pause=0.05) as stream:
        begin = time.monotonic()
        frame = framing(chunked=True)
        assert read(stream, frame, seconds=0.3) == "body_too_slow"
        assert time.monotonic() - begin < 1.0


def test_bodies_that_have_arrived_need_no_slot_and_others_are_rejected():
    slots = BodySlots(1)
    with slots.waiting() as taken:
        assert taken.take()
        with sent_by_client(b"x" * 100) as stream:
            time.sleep(0.05)
            assert read(stream, framing(100), slots=slots) == b"x" * 100
        with sent_by_client(b"x" * 50, close=False) as stream:
            assert read(stream, framing(100), slots=slots) == "body_slots_full"
    with sent_by_client(b"x" * 50, b"y" * 50, pause=0.1) as stream:
        assert read(stream, framing(100), slots=slots) == b"x" * 50 + b"y" * 50
