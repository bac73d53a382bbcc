"""Test over sockets which answers an entry process accepts for a call."""

from __future__ import annotations

import itertools
import time
from types import SimpleNamespace

import pytest

from snipecart.core.states import DispatchOutcome
from snipecart.entry import backend
from snipecart.entry.backend import BackendClient
from snipecart.upstream.reader import AnswerLimits
from tests.upstream.scripted import CLOSE
from tests.upstream.scripted import scripted_server

HEAD = b"HTTP/1.1 200 Fine\r\n"
OWN = HEAD + b"Snipecart-Call: c1\r\n"
WHOLE = b"Content-Length: 5\r\n\r\nwhole"
SHED = b"HTTP/1.1 503 Full\r\nSnipecart-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"


def make_call(call_id="c1", seconds=1.0):
    """Return what a dispatch reads of a resolved call."""
    req = SimpleNamespace(
        call_id=call_id, content_type="text/plain", key="k", body=b"b", kind="book"
    )
    return SimpleNamespace(req=req, remaining=lambda: seconds)


def dispatch(server, client=None, seconds=1.0):
    client = client or BackendClient("127.0.0.1")
    return client.dispatch(make_call(), f"127.0.0.1:{server.port}", seconds)


@pytest.mark.parametrize("head", [OWN, HEAD])
def test_a_whole_answer_is_accepted(head):
    with scripted_server([head + WHOLE]) as server:
        result = dispatch(server)
    assert (result.end, result.answer.body) == (DispatchOutcome.ANSWERED, b"whole")
    lines = server.requests[0].split(b"\r\n")
    assert lines[0] == b"POST /book HTTP/1.1"
    assert b"Snipecart-Key: k" in lines


def test_a_rejection_is_told_from_an_answer():
    with scripted_server([SHED]) as server:
        assert dispatch(server).end is DispatchOutcome.SHED


@pytest.mark.parametrize(
    "script",
    [
        [OWN + b"\r\nuntil close", CLOSE],
        [OWN + b"Content-Length: 9\r\n\r\nshort", CLOSE],
        [OWN.replace(b"c1", b"c0") + WHOLE, CLOSE],
        [OWN + b"Content-Length: 99000000\r\n\r\n"],
        [CLOSE],
    ],
)
def test_other_answers_count_as_broken(script):
    with scripted_server(script) as server:
        assert dispatch(server).end is DispatchOutcome.BROKEN


@pytest.mark.parametrize("repeated", [SHED, HEAD + WHOLE, b"".join([OWN, WHOLE])])
def test_an_answer_without_id_is_not_believed_on_a_kept_connection(repeated):
    client = BackendClient("127.0.0.1")
    own = OWN + b"Content-Length: 3\r\n\r\nown"
    repeated = repeated.replace(b"c1", b"c0")
    with scripted_server([OWN + WHOLE], [repeated, own]) as server:
        dispatch(server, client)
        result = dispatch(server, client)
        assert server.connections == 1
    assert (result.end, result.answer.body) == (DispatchOutcome.ANSWERED, b"own")


@pytest.mark.parametrize("piece", [b"x", b"HTTP/1.1 100 Continue\r\n\r\n", b"A: b\r\n"])
def test_a_dispatch_ends_at_its_deadline(piece):
    def slowly():
        yield b"" if piece.startswith(b"HTTP") else OWN
        for _ in itertools.count():
            time.sleep(0.05)
            yield piece

    with scripted_server(slowly()) as server:
        started_at = time.monotonic()
        result = dispatch(server, seconds=0.3)
    assert result.end is DispatchOutcome.TIMED_OUT
    assert time.monotonic() - started_at < 0.6


def test_an_endless_answer_ends_at_the_size_limit(monkeypatch):
    monkeypatch.setattr(backend, "ANSWER_LIMITS", AnswerLimits(body_bytes=200_000))
    chunk = b"1000\r\n" + b"x" * 4096 + b"\r\n"
    chunked = OWN + b"Transfer-Encoding: chunked\r\n\r\n"
    with scripted_server(itertools.chain([chunked], itertools.repeat(chunk))) as server:
        assert dispatch(server, seconds=5.0).end is DispatchOutcome.BROKEN


def test_an_unreachable_server_counts_as_not_sent():
    with scripted_server() as server:
        pass
    assert dispatch(server).end is DispatchOutcome.NOT_SENT


def test_a_call_is_not_repeated_on_the_connection_of_its_own_rejection():
    client = BackendClient("127.0.0.1")
    own_shed = SHED.replace(b"Full\r\n", b"Full\r\nSnipecart-Call: c1\r\n")
    with scripted_server([own_shed], [OWN + WHOLE]) as server:
        assert dispatch(server, client).end is DispatchOutcome.SHED
        assert dispatch(server, client).end is DispatchOutcome.ANSWERED
        assert server.connections == 2


def test_answers_share_the_memory_of_the_process():
    client = BackendClient("127.0.0.1")
    answer = OWN + b"Content-Length: 200000\r\n\r\n" + b"x" * 200_000
    with scripted_server([answer], [answer]) as server:
        free = client.answer_memory.free
        assert client.answer_memory.try_reserve(free - 100_000)
        assert dispatch(server, client).end is DispatchOutcome.BROKEN
        client.answer_memory.release(free - 100_000)
        assert dispatch(server, client).end is DispatchOutcome.ANSWERED
        assert client.answer_memory.free == free
