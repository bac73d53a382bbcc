"""Test that a backend server can't hold a request or its memory without end."""

from __future__ import annotations

import itertools
import threading
import time
import tracemalloc
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack

import pytest

from snipecart.core.failures import AnswerMalformed
from snipecart.core.failures import AnswerMemoryFull
from snipecart.core.failures import AnswerNotOwn
from snipecart.core.failures import AnswerTooLarge
from snipecart.core.memory import MemoryBudget
from snipecart.core.memory import MemoryReservation
from snipecart.core.states import SendOutcome
from snipecart.gateway.backends import BackendClient
from snipecart.gateway.metrics import ANSWER_BYTES
from snipecart.upstream.reader import MAX_BULK_READERS
from snipecart.upstream.reader import AnswerLimits
from tests.upstream.scripted import CLOSE
from tests.upstream.scripted import scripted_server

from .test_backends import NAMES
from .test_backends import OWN
from .test_backends import answer
from .test_backends import make_routed
from .test_backends import send

LIMITS = AnswerLimits(head_bytes=20_000, body_bytes=300_000)
LARGE = b"x" * 65_536
SECONDS = 0.4
OUTCOMES = {SendOutcome.BROKEN, SendOutcome.TIMED_OUT}


def slowly(first, piece):
    """Yield a piece every 50 ms."""
    yield first
    while True:
        time.sleep(0.05)
        yield piece


def quickly(first, piece):
    """Yield a piece again and again."""
    return itertools.chain([first], itertools.repeat(piece))


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


CHUNKED = OWN + b"Transfer-Encoding: chunked\r\n\r\n"
HUGE = OWN + b"Content-Length: 90000000000\r\n\r\n"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
EARLY_HINTS = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"

ENDLESS = {
    "body until close, fast": quickly(OWN + b"\r\n", LARGE),
    "body until close, slow": slowly(OWN + b"\r\n", b"x"),
    "huge length, fast": quickly(HUGE, LARGE),
    "huge length, slow": slowly(HUGE, b"x"),
    "chunks, fast": quickly(CHUNKED, chunk(LARGE)),
    "chunks, slow": slowly(CHUNKED, chunk(b"x")),
    "small chunks, fast": quickly(CHUNKED, chunk(b"x") * 5000),
    "trailers, fast": quickly(CHUNKED + b"0\r\n", b"A: b\r\n" * 5000),
    "head, fast": quickly(OWN, b"A: b\r\n" * 50),
    "head line, fast": quickly(OWN + b"A: ", LARGE),
    "head line, slow": slowly(OWN + b"A: ", b"x"),
    "status line, slow": slowly(b"HTTP/1.1 200 ", b"x"),
    "no protocol, fast": quickly(b"", LARGE),
    "continue, fast": quickly(CONTINUE, CONTINUE * 100),
    "continue, slow": slowly(CONTINUE, CONTINUE),
    "early hints, fast": quickly(EARLY_HINTS, EARLY_HINTS * 100),
    "early hints, slow": slowly(EARLY_HINTS, EARLY_HINTS),
    "answers to others, fast": quickly(b"", answer(request="other") * 50),
}


@pytest.mark.parametrize("case", ENDLESS)
def test_a_send_ends_by_its_deadline_in_bounded_memory(case):
    backends = BackendClient("127.0.0.1", NAMES, LIMITS)
    routed = make_routed(seconds=SECONDS)
    with scripted_server(ENDLESS[case]) as server:
        started_at = time.monotonic()
        result = send(server, routed, backends)
        seconds = time.monotonic() - started_at
    assert result.end in OUTCOMES and result.answer is None
    assert seconds < SECONDS + 0.1
    assert routed.req.answer_memory.reserved <= LIMITS.body_bytes


@pytest.mark.parametrize(
    "script",
    [
        [OWN + b"Content-Length: 400000\r\n\r\n"],
        [OWN + b"\r\n", LARGE * 5, CLOSE],
        [OWN + b"A: b\r\n" * 90 + b"B: " + b"c" * 20_000 + b"\r\n\r\n"],
    ],
)
def test_an_answer_over_a_limit_has_its_own_failure(script):
    backends = BackendClient("127.0.0.1", NAMES, LIMITS)
    with scripted_server(script) as server:
        result = send(server, backends=backends)
    assert result.end is SendOutcome.BROKEN
    assert isinstance(result.failure, AnswerTooLarge)


def test_answers_share_the_memory_of_the_process():
    budget = MemoryBudget(100_000, ANSWER_BYTES)
    first, second = make_routed(), make_routed()
    for routed in (first, second):
        object.__setattr__(routed.req, "answer_memory", MemoryReservation(budget))
    script = [answer(b"x" * 60_000)]
    with scripted_server(script, script, script) as server:
        assert send(server, first).end is SendOutcome.ANSWERED
        failed = send(server, second)
        assert isinstance(failed.failure, AnswerMemoryFull)
        first.req.answer_memory.clear()
        assert send(server, second).end is SendOutcome.ANSWERED


@pytest.mark.parametrize(
    "lines",
    [
        b"Content-Length: 2\r\nContent-Length: 5\r\n",
        b"Content-Length: 2, 5\r\n",
        b"Content-Length: -1\r\n",
        b"Content-Length: 2x\r\n",
        b"Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
        b"Transfer-Encoding: gzip\r\n",
        b"Transfer-Encoding: chunked\r\n\r\n0x5\r\n",
        b"Transfer-Encoding: chunked\r\n\r\n-5\r\n",
        b"no header\r\nContent-Length: 5\r\n",
    ],
)
def test_an_answer_of_ambiguous_length_is_not_believed(lines):
    with scripted_server([OWN + lines + b"\r\nwhole", CLOSE]) as server:
        result = send(server)
    assert result.end is SendOutcome.BROKEN
    assert isinstance(result.failure, AnswerMalformed)


def test_interim_answers_are_skipped_and_the_connection_is_kept():
    backends = BackendClient("127.0.0.1", NAMES)
    script = [CONTINUE, EARLY_HINTS, answer()]
    with scripted_server(script, [answer()]) as server:
        for _ in range(2):
            assert send(server, backends=backends).answer.body == b"whole"
        assert server.connections == 1


NOT_RUN = b"Snipecart-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
REFUSAL = b"HTTP/1.1 503 Full\r\n" + NOT_RUN
OWN_REFUSAL = b"HTTP/1.1 503 Full\r\nSnipecart-Request: r1\r\n" + NOT_RUN


def test_a_refusal_without_id_is_believed_on_a_new_connection_only():
    backends = BackendClient("127.0.0.1", NAMES)
    with scripted_server([answer()], [REFUSAL, answer()], [REFUSAL]) as server:
        assert send(server, backends=backends).end is SendOutcome.ANSWERED
        running = send(server, backends=backends)
        assert (running.end, running.answer.body) == (SendOutcome.ANSWERED, b"whole")
        assert send(server, backends=backends).end is SendOutcome.REJECTED


@pytest.mark.parametrize("repeated", [REFUSAL, OWN_REFUSAL.replace(b"r1", b"r0")])
def test_a_repeated_refusal_never_counts_as_not_run(repeated):
    backends = BackendClient("127.0.0.1", NAMES)
    with scripted_server([answer()], [repeated, repeated, CLOSE]) as server:
        send(server, backends=backends)
        result = send(server, backends=backends)
    assert result.end is SendOutcome.BROKEN
    assert isinstance(result.failure, AnswerNotOwn)


def test_a_request_is_not_repeated_on_the_connection_of_its_own_refusal():
    backends = BackendClient("127.0.0.1", NAMES)
    with scripted_server([OWN_REFUSAL], [answer()]) as server:
        assert send(server, backends=backends).end is SendOutcome.REJECTED
        assert send(server, backends=backends).end is SendOutcome.ANSWERED
        assert server.connections == 2


def test_an_answer_of_tiny_chunks_takes_the_memory_that_is_reserved_for_it():
    # A list of the chunks took many times the bytes received.
    routed = make_routed(seconds=30.0)
    body = chunk(b"xy") * 300_000
    with scripted_server([CHUNKED + body, b"0\r\n\r\n"]) as server:
        tracemalloc.start()
        result = send(server, routed, BackendClient("127.0.0.1", NAMES))
        peak = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
    assert len(result.answer.body) == 600_000
    assert peak < routed.req.answer_memory.reserved


def test_long_answers_are_read_by_few_threads_at_a_time():
    # Dozens of threads that decode chunks kept all others from running.
    limits = AnswerLimits(body_bytes=10_000_000)
    backends = BackendClient("127.0.0.1", NAMES, limits)
    most, readers, lock, active = [], 8, threading.Lock(), 0

    class CountedTurns:
        """Count the threads that have a turn."""

        def acquire(self, timeout):
            nonlocal active
            taken = turns.acquire(timeout=timeout)
            with lock:
                active += taken
                most.append(active)
            return taken

        def release(self):
            nonlocal active
            with lock:
                active -= 1
            turns.release()

    turns = limits.bulk_readers
    object.__setattr__(limits, "bulk_readers", CountedTurns())
    with ExitStack() as stack:
        servers = [
            stack.enter_context(
                scripted_server(quickly(CHUNKED, chunk(b"x" * 16) * 900))
            )
            for _ in range(readers)
        ]
        with ThreadPoolExecutor(readers) as pool:
            results = list(
                pool.map(
                    lambda server: send(server, make_routed(SECONDS), backends), servers
                )
            )
    assert all(result.answer is None for result in results)
    assert len(most) > readers and max(most) <= MAX_BULK_READERS


def test_an_answer_that_waits_for_its_turn_ends_at_its_deadline():
    limits = AnswerLimits()
    backends = BackendClient("127.0.0.1", NAMES, limits)
    for _ in range(MAX_BULK_READERS):
        limits.bulk_readers.acquire()
    with scripted_server([answer()], [answer(b"x" * 200_000)]) as server:
        assert send(server, backends=backends).end is SendOutcome.ANSWERED
        result = send(server, make_routed(seconds=SECONDS), backends)
    assert result.end is SendOutcome.TIMED_OUT
    assert result.seconds < SECONDS + 0.1


def test_a_head_of_endless_short_lines_is_given_up():
    with scripted_server(quickly(b"", CONTINUE)) as server:
        result = send(server, backends=BackendClient("127.0.0.1", NAMES))
    assert isinstance(result.failure, AnswerTooLarge)
