"""Test over sockets that only complete answers to the request sent are accepted."""

from __future__ import annotations

import socket
import threading
import time

import pytest

from snipecart.core.states import SendOutcome
from snipecart.core.task import monotonic
from snipecart.gateway.backends import BackendClient
from snipecart.gateway.load_report import LoadReport
from snipecart.gateway.request import Cancellation
from snipecart.gateway.request import Destination
from snipecart.gateway.request import HeaderNames
from snipecart.gateway.request import HttpRequest
from snipecart.gateway.request import RoutedRequest
from snipecart.upstream.pool import ConnectionPool
from tests.upstream.scripted import CLOSE
from tests.upstream.scripted import RESET
from tests.upstream.scripted import scripted_server

from .world import make_route
from .world import make_routing

NAMES = HeaderNames()
OWN = b"HTTP/1.1 200 Fine\r\nSnipecart-Request: r1\r\n"
ROUTE = make_routing(make_route()).routes[0]


def answer(body=b"whole", request="r1", length=None, extra_headers=b""):
    length = len(body) if length is None else length
    head = b"HTTP/1.1 200 Fine\r\nContent-Length: %d\r\n" % length
    return (
        head
        + b"Snipecart-Request: "
        + request.encode()
        + b"\r\n"
        + extra_headers
        + (b"\r\n" + body)
    )


def make_routed(seconds=1.0, method="GET", body=b"", headers=()):
    now = monotonic()
    req = HttpRequest(
        method,
        "/look/a%2Fb?c=%20",
        "h",
        headers,
        body,
        "r1",
        "7",
        0,
        now,
        Cancellation(),
    )
    return RoutedRequest(req, ROUTE, 1, now + seconds)


def send(server, routed=None, backends=None):
    destination = Destination("racks", "i-1", "127.0.0.1", server.port, 0)
    backends = backends or BackendClient("127.0.0.1", NAMES)
    return backends.send(routed or make_routed(), destination)


def test_request_and_answer_are_forwarded_unchanged():
    with scripted_server(
        [answer(extra_headers=b"X-Own: 1\r\nConnection: x-hop\r\nX-Hop: 2\r\n")]
    ) as server:
        headers = (("Host", "shop.example"), ("X-One", "1"))
        result = send(server, make_routed(method="POST", body=b"abc", headers=headers))
    assert result.end is SendOutcome.ANSWERED
    assert (result.answer.status, result.answer.body) == (200, b"whole")
    names = {name for name, _ in result.answer.headers}
    assert "X-Own" in names and not names & {"X-Hop", "Connection", "Content-Length"}
    head, _, body = server.requests[0].partition(b"\r\n\r\n")
    lines = head.split(b"\r\n")
    assert lines[0] == b"POST /look/a%2Fb?c=%20 HTTP/1.1"
    assert body == b"abc"
    sent_names = {line.partition(b":")[0].lower() for line in lines[1:]}
    assert sent_names == {
        b"host",
        b"x-one",
        b"content-length",
        b"snipecart-deadline-ms",
        b"snipecart-instance",
    }


@pytest.mark.parametrize(
    "script",
    [
        [answer(length=50), CLOSE],
        [answer(length=50), RESET],
        [OWN + b"\r\nhalf", RESET],
        [b"no answer at all\r\n\r\n", CLOSE],
        [OWN, CLOSE],
        [b"HTTP/1.1 200 Fine\r\nContent-Length: 2\r\n\r\nno", CLOSE],
        [CLOSE],
        [RESET],
        [answer(request="other"), CLOSE],
        [OWN + b"Transfer-Encoding: chunked\r\n\r\n5\r\nab", CLOSE],
        [OWN + b"Transfer-Encoding: chunked\r\n\r\nzz\r\nab", CLOSE],
    ],
)
def test_an_incomplete_or_foreign_answer_counts_as_broken(script):
    with scripted_server(script) as server:
        result = send(server)
    assert (result.end, result.answer) == (SendOutcome.BROKEN, None)


@pytest.mark.parametrize("framing", [b"Content-Length: 0", b"X-Own: 1"])
@pytest.mark.parametrize("end", [CLOSE, RESET])
def test_a_head_that_is_cut_off_anywhere_is_no_answer(framing, end):
    head = OWN + framing + b"\r\n\r\n"
    backends = BackendClient("127.0.0.1", NAMES)
    for size in range(1, len(head)):
        with scripted_server([head[:size], end]) as server:
            result = send(server, backends=backends)
        assert (result.end, result.answer) == (SendOutcome.BROKEN, None), size


def test_an_answer_without_length_ends_at_an_orderly_close():
    with scripted_server([OWN + b"\r\nall of it", CLOSE]) as server:
        result = send(server)
    assert result.answer.body == b"all of it"


def test_an_answer_to_an_earlier_request_is_skipped():
    with scripted_server([answer(b"old", "r0"), answer(b"own")]) as server:
        result = send(server)
    assert result.answer.body == b"own"


def test_connections_are_reused_unless_stray_bytes_follow_an_answer():
    backends = BackendClient("127.0.0.1", NAMES)
    with scripted_server(
        [answer()], [answer(), answer(b"stray")], [answer()]
    ) as server:
        for _ in range(2):
            assert send(server, backends=backends).answer.body == b"whole"
        assert server.connections == 1
        time.sleep(0.1)
        assert send(server, backends=backends).answer.body == b"whole"
        assert server.connections == 2
    backends.close()


def test_a_refused_connection_ends_as_not_sent():
    with scripted_server() as server:
        pass
    assert send(server).end is SendOutcome.NOT_SENT


def test_a_rejection_is_recognized_and_carries_the_load_report():
    head = b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\nSnipecart-Load: 3,2,4\r\n"
    with scripted_server([head + b"Snipecart-Not-Run: 1\r\n\r\n"]) as server:
        result = send(server)
    assert (result.end, result.load_report) == (
        SendOutcome.REJECTED,
        LoadReport(3, 2, 4),
    )
    with scripted_server([head + b"\r\n"]) as server:
        assert send(server).end is SendOutcome.ANSWERED


def test_a_send_without_answer_times_out_at_the_deadline():
    with scripted_server([b""]) as server:
        started_at = time.monotonic()
        result = send(server, make_routed(seconds=0.3))
    assert result.end is SendOutcome.TIMED_OUT
    assert 0.2 < time.monotonic() - started_at < 0.6


def test_a_cancelled_request_frees_its_worker_immediately():
    routed = make_routed(seconds=20.0)
    with scripted_server([b""]) as server:
        timer = threading.Timer(0.2, routed.req.cancellation.cancel)
        timer.start()
        started_at = time.monotonic()
        result = send(server, routed)
    assert result.end is SendOutcome.CANCELLED
    assert time.monotonic() - started_at < 5.0


def test_an_answer_before_the_body_is_read_is_returned_immediately():
    backends = BackendClient("127.0.0.1", NAMES)
    routed = make_routed(seconds=5.0, method="POST", body=b"b" * 20_000_000)
    with scripted_server([answer()], [answer()], reads_bodies=False) as server:
        started_at = time.monotonic()
        assert send(server, routed, backends).answer.body == b"whole"
        assert time.monotonic() - started_at < 2.0
        assert send(server, backends=backends).answer.body == b"whole"
        assert server.connections == 2


def test_an_answer_is_returned_while_the_body_is_read_slowly():
    listener = socket.create_server(("127.0.0.1", 0))

    def serve():
        conn, _ = listener.accept()
        conn.recv(65536)
        conn.sendall(answer())
        while conn.recv(65536):
            time.sleep(0.02)

    threading.Thread(target=serve, daemon=True).start()
    routed = make_routed(seconds=5.0, method="POST", body=b"b" * 40_000_000)
    destination = Destination("racks", "i-1", *listener.getsockname(), 0)
    started_at = time.monotonic()
    result = BackendClient("127.0.0.1", NAMES).send(routed, destination)
    assert result.answer.body == b"whole"
    assert time.monotonic() - started_at < 2.0


def test_a_long_body_arrives_whole_and_its_connection_is_kept():
    backends = BackendClient("127.0.0.1", NAMES)
    body = bytes(range(256)) * 20_000
    routed = make_routed(seconds=5.0, method="POST", body=body)
    with scripted_server([answer()], [answer()]) as server:
        for _ in range(2):
            assert send(server, routed, backends).answer.body == b"whole"
        assert server.connections == 1
    head, _, received = server.requests[0].partition(b"\r\n\r\n")
    assert received == body
    assert b"content-length: 5120000" in head.lower()
    assert b"transfer-encoding" not in head.lower()


def test_a_client_that_leaves_late_cuts_no_other_request(monkeypatch):
    interrupts = []
    put = ConnectionPool._put

    def put_and_look(self, *args):
        interrupts.append(routed.req.cancellation._interrupt)
        put(self, *args)

    monkeypatch.setattr(ConnectionPool, "_put", put_and_look)
    routed = make_routed()
    with scripted_server([answer()]) as server:
        assert send(server, routed).end is SendOutcome.ANSWERED
    assert interrupts == [None]


def test_a_removed_interrupt_is_not_running_any_more():
    cancellation, begun, ended = Cancellation(), threading.Event(), threading.Event()

    def interrupt():
        begun.set()
        time.sleep(0.2)
        ended.set()

    cancellation.set_interrupt(interrupt)
    threading.Thread(target=cancellation.cancel).start()
    assert begun.wait(2.0)
    assert not cancellation.set_interrupt(None)
    assert ended.is_set()
