"""Test over sockets that bodies without end hold neither threads nor memory."""

from __future__ import annotations

import threading
import time
from contextlib import ExitStack
from contextlib import contextmanager
from contextlib import suppress

import pytest

from snipecart.core.memory import MemoryBudget
from snipecart.program.metrics import REJECTED_BODIES
from snipecart.program.wsgi import SMALL_BODY_BYTES
from tests.program.test_server import THREADS
from tests.program.test_server import connect
from tests.program.test_server import read_answer
from tests.program.test_server import server

POST = b"POST /post HTTP/1.1\r\nHost: h\r\n"
HUGE = POST + b"Content-Length: 100000000000\r\n\r\n"
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"
GET = b"GET /other HTTP/1.1\r\nHost: h\r\n\r\n"
PIECE = b"x" * 65_536
TINY = b"1\r\nx\r\n" * 5_000
MAX_BODY_BYTES = 1_000_000


@contextmanager
def sending(head, piece, pause=0.0):
    """Send a head and then pieces without end, until the server closes."""
    with connect(head) as sock:

        def send():
            with suppress(OSError):
                while True:
                    sock.sendall(piece)
                    time.sleep(pause)

        thread = threading.Thread(target=send, daemon=True)
        thread.start()
        yield sock
    thread.join(5.0)


@pytest.mark.parametrize("head", [HUGE, CHUNKED])
@pytest.mark.parametrize("limit", [0, MAX_BODY_BYTES])
def test_a_body_over_the_limit_is_refused_at_once(head, limit):
    # The HTTP library read the whole body of a request before it answered.
    piece = TINY if head == CHUNKED else PIECE
    rejected = REJECTED_BODIES.labels("body_too_large")._value
    before = rejected.get()
    with server(max_body_bytes=limit), sending(head, piece) as sock:
        started_at = time.monotonic()
        assert b" 413 " in read_answer(sock)[:20]
        assert time.monotonic() < started_at + 2.0
    assert rejected.get() == before + 1


@pytest.mark.parametrize("head", [HUGE, CHUNKED])
def test_slow_bodies_hold_only_a_part_of_the_threads(head):
    # Each piece restarted the timeout of the socket, so a slow body had no deadline.
    head = head.replace(b"100000000000", b"900000")
    with server(max_body_bytes=MAX_BODY_BYTES), ExitStack() as stack:
        for _ in range(2 * THREADS):
            stack.enter_context(sending(head, b"1\r\nx\r\n", 0.05))
        time.sleep(0.3)
        started_at = time.monotonic()
        with connect(GET) as sock:
            assert read_answer(sock).endswith(b"/other")
        assert time.monotonic() < started_at + 1.0


def test_a_slow_body_is_refused_at_its_deadline():
    with (
        server(max_body_bytes=MAX_BODY_BYTES, body_seconds=0.5),
        sending(CHUNKED, b"1\r\nx\r\n", 0.05) as sock,
    ):
        started_at = time.monotonic()
        assert b" 503 " in read_answer(sock)[:20]
        assert time.monotonic() < started_at + 1.0


def test_bodies_share_the_memory_of_the_process():
    half = POST + b"Content-Length: 900000\r\n\r\n" + b"x" * 600_000
    with server(max_body_bytes=MAX_BODY_BYTES, body_memory=MemoryBudget(1_000_000)):
        first = connect(half)
        time.sleep(0.2)
        with first, connect(half) as second:
            assert b" 503 " in read_answer(second)[:20]


def test_a_whole_body_reaches_the_application_and_the_connection_is_kept():
    chunked = CHUNKED + b"3\r\none\r\n3\r\ntwo\r\n0\r\n\r\n"
    with server(max_body_bytes=MAX_BODY_BYTES), connect(chunked) as sock:
        assert read_answer(sock).endswith(b"/postonetwo")
        sock.sendall(POST + b"Content-Length: 5\r\n\r\nwhole")
        assert read_answer(sock).endswith(b"/postwhole")


def test_small_bodies_have_a_limit_of_their_own():
    length = b"Content-Length: %d\r\n\r\n" % (SMALL_BODY_BYTES + 1)
    with (
        server(max_body_bytes=MAX_BODY_BYTES, small_body_prefixes=("/small/",)),
        connect(POST.replace(b"/post", b"/small/a") + length) as sock,
    ):
        assert b" 413 " in read_answer(sock)[:20]
