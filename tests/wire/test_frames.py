"""Test with torn and mutated streams that only whole frames are received."""

from __future__ import annotations

import socket
import struct
import threading

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from snipecart.wire.codec import MAX_FRAME_BYTES
from snipecart.wire.frames import FrameTooLarge
from snipecart.wire.frames import receive_frames

FRAMES = st.lists(st.binary(max_size=200), max_size=5)


def receive(stream, cuts=()):
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
            return list(receive_frames(reader))
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
    with pytest.raises(FrameTooLarge):
        receive(struct.pack("<I", MAX_FRAME_BYTES + 1) + b"x" * 100)
