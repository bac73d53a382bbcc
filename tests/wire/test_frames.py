"""Test with torn and mutated streams that only whole frames are received."""

from __future__ import annotations

import socket
import struct
import threading
import time
from contextlib import suppress

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from snipecart.core.memory import MemoryBudget
from snipecart.wire import frames as frames_module
from snipecart.wire.codec import MAX_FRAME_BYTES
from snipecart.wire.frames import FrameRefused
from snipecart.wire.frames import receive_frames

FRAMES = st.lists(st.binary(max_size=200), max_size=5)


def receive(stream, cuts=(), memory=None):
    """Return the frames received from a stream that a peer sends in pieces."""
    reader, writer = socket.socketpair()
    points = [0, *cuts, len(stream)]

    def send():
        for begin, end in zip(points, points[1:], strict=False):
            writer.sendall(stream[begin:end])
        writer.shutdown(socket.SHUT_WR)

    thread = threading.Thread(target=send)
    thread.start()
    with reader, writer:
        try:
            return list(receive_frames(reader, memory or MemoryBudget(1_000_000)))
        finally:
            thread.join()


def make_stream(frames):
    return b"".join(struct.pack("<I", len(frame)) + frame for frame in frames)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.data(), FRAMES)
def test_whole_frames_are_received_and_an_incomplete_one_is_discarded(data, frames):
    stream = make_stream(frames)
    cut = data.draw(st.integers(0, len(stream)))
    cuts = sorted(data.draw(st.lists(st.integers(0, cut), max_size=5)))
    received = receive(stream[:cut], cuts)
    assert received == frames[: len(received)]
    missing = make_stream(frames[: len(received) + 1])
    assert len(received) == len(frames) or cut < len(missing)


def test_a_frame_over_the_limit_is_not_read():
    with pytest.raises(FrameRefused, match="too large"):
        receive(struct.pack("<I", MAX_FRAME_BYTES + 1) + b"x" * 100)


def test_large_frames_share_the_memory_of_the_process():
    memory = MemoryBudget(300_000)
    frame = make_stream([b"x" * 200_000])
    assert memory.try_reserve(250_000)
    with pytest.raises(FrameRefused, match="no memory"):
        receive(frame, memory=memory)
    memory.release(250_000)
    assert len(receive(frame * 3, memory=memory)) == 3
    assert memory.free == 300_000


def test_a_frame_that_comes_slowly_without_end_is_given_up(monkeypatch):
    # A peer that sent a byte now and then held a thread and its frame for good.
    monkeypatch.setattr(frames_module, "FRAME_SECONDS", 0.4)
    reader, writer = socket.socketpair()

    def send():
        with suppress(OSError):
            writer.sendall(struct.pack("<I", 1_000_000))
            while True:
                writer.sendall(b"x")
                time.sleep(0.02)

    thread = threading.Thread(target=send, daemon=True)
    thread.start()
    started_at = time.monotonic()
    with writer:
        with reader, pytest.raises(FrameRefused, match="took over"):
            list(receive_frames(reader, MemoryBudget(1_000_000)))
        assert time.monotonic() < started_at + 2.0
    thread.join()


def test_a_connection_may_be_silent_between_two_frames(monkeypatch):
    monkeypatch.setattr(frames_module, "FRAME_SECONDS", 0.1)
    reader, writer = socket.socketpair()
    with reader, writer:
        frames = receive_frames(reader, MemoryBudget(1_000_000))
        for _ in range(2):
            writer.sendall(make_stream([b"frame"]))
            assert next(frames) == b"frame"
            time.sleep(0.2)
