"""Test that a body of unknown size takes its own size in memory."""

from __future__ import annotations

import subprocess
import sys

from hypothesis import given
from hypothesis import strategies as st

from snipecart.core.buffers import SegmentedBuffer

BODY_BYTES = 32_000_000

MAX_GROWTH = 1.25
"""Growth of a process that receives a body, as a multiple of the bytes received."""

RECEIVE_BODY = f"""
import os
from snipecart.core.buffers import SegmentedBuffer
from snipecart.core.chunks import ChunkDecoder

def resident():
    with open("/proc/self/statm") as stream:
        return int(stream.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")

for size in (200_000, 4_000_000, 30_000_000):
    earlier = b"x" * size
    del earlier
stream = (b"3e8\\r\\n" + b"x" * 1000 + b"\\r\\n") * 64
before, at, received = resident(), 0, 0
decoder, body, buffer = ChunkDecoder(), SegmentedBuffer(), bytearray()
while received < {BODY_BYTES}:
    piece = (stream[at:] + stream)[:16_384]
    at = (at + len(piece)) % len(stream)
    buffer += piece
    received += decoder.feed(bytes(buffer), body)
    del buffer[:]
print((resident() - before) / received)
"""
"""Receives chunks after large bodies have raised the allocator's threshold."""


@given(st.lists(st.binary(max_size=200_000), max_size=6))
def test_pieces_are_joined_in_order(pieces):
    body = SegmentedBuffer()
    for piece in pieces:
        body.write(piece)
    assert body.size == sum(map(len, pieces))
    assert body.join() == b"".join(pieces)
    assert body.join() == b""


def test_a_body_without_end_takes_no_more_memory_than_was_received():
    code = [sys.executable, "-c", RECEIVE_BODY]
    growth = float(subprocess.run(code, capture_output=True, check=True).stdout)
    assert growth < MAX_GROWTH
