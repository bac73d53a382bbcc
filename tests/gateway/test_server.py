"""Test over sockets how a gateway reads requests whose bodies it can't hold."""

from __future__ import annotations

import socket
import threading
import time
from contextlib import ExitStack
from contextlib import contextmanager
from random import Random
from types import SimpleNamespace

import pytest
from expression import Ok

from snipecart.core.memory import MemoryBudget
from snipecart.core.states import SendOutcome
from snipecart.core.task import monotonic
from snipecart.gateway import server as server_module
from snipecart.gateway.balancing.routes import RouteIndex
from snipecart.gateway.balancing.view import View
from snipecart.gateway.metrics import ANSWER_BYTES
from snipecart.gateway.metrics import BODY_BYTES
from snipecart.gateway.request import AnsweredRequest
from snipecart.gateway.request import Attempt
from snipecart.gateway.request import HeaderNames
from snipecart.gateway.server import RequestContext
from snipecart.gateway.server import serving_requests
from snipecart.gateway.watch import WatchTask
from snipecart.program.body import BodySlots
from snipecart.program.listener import HttpListener
from snipecart.upstream.answers import HttpAnswer
from tests.gateway.world import Gateway
from tests.gateway.world import make_instance
from tests.gateway.world import make_route
from tests.gateway.world import make_routing

HOST, PORT = "127.64.0.1", 8180
THREADS = 8
ROUTING = make_routing(make_route())
LIMITED = ROUTING.model_copy(
    update={"limits": ROUTING.limits.model_copy(update={"body_bytes": 1000})}
)


class EchoPipeline:
    """Answer each request with its own body."""

    def __init__(self):
        self.received = []

    def run(self, req):
        """Return the body as the answer of a backend server."""
        self.received.append(req.body)
        gateway = Gateway(ROUTING).add_instances(make_instance(1))
        routed = gateway.request()
        attempt = Attempt(gateway.select(routed), SendOutcome.ANSWERED, 0.1)
        answer = HttpAnswer(200, "Fine", (), req.body)
        return Ok(AnsweredRequest(routed, answer, (attempt,)))


@contextmanager
def gateway_server(routing=ROUTING, body_memory=1_000_000, pipeline=None):
    """Run the HTTP server of a gateway with a pipeline that echoes bodies."""
    balancer = SimpleNamespace(view=View(index=RouteIndex(routing)))
    pipeline = pipeline or EchoPipeline()
    ctx = RequestContext(
        pipeline,
        HeaderNames(),
        WatchTask(),
        balancer,
        MemoryBudget(body_memory, BODY_BYTES),
        MemoryBudget(body_memory, ANSWER_BYTES),
        BodySlots(THREADS // 2),
        Random(7),
    )
    with serving_requests(HttpListener(HOST, PORT, THREADS), ctx):
        yield pipeline


def wait_until(condition):
    """Block until a condition is true, or fail after five seconds."""
    end = time.monotonic() + 5.0
    while not condition():
        assert time.monotonic() < end
        time.sleep(0.01)


def exchange(*pieces):
    """Send bytes on one connection; return all bytes received until it closes."""
    with socket.create_connection((HOST, PORT), timeout=5.0) as sock:
        for piece in pieces:
            sock.sendall(piece)
        data = b""
        while chunk := sock.recv(65536):
            data += chunk
    return data


def post(body=b"", headers=b"", length=None):
    length = len(body) if length is None else length
    head = b"POST /look/x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n" % length
    return head + headers + b"\r\n" + body


CLOSE = b"Connection: close\r\n"


def test_a_kept_connection_carries_several_bodies():
    with gateway_server() as pipeline:
        chunked = b"POST /look/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
        data = exchange(
            post(b"one" * 50_000),
            chunked + b"\r\n3\r\ntwo\r\n0\r\n\r\n",
            post(b"three", CLOSE),
        )
    assert data.count(b"HTTP/1.1 200 Fine") == 3
    assert pipeline.received == [b"one" * 50_000, b"two", b"three"]


def test_a_client_gets_the_rejection_of_a_body_that_it_is_still_sending():
    with gateway_server(body_memory=100_000) as pipeline:
        data = exchange(post(b"x" * 1_000_000))
    assert data.startswith(b"HTTP/1.1 503 ")
    assert b"Retry-After: " in data
    assert b"body_memory_full" in data
    assert pipeline.received == []


@pytest.mark.parametrize(
    "request_bytes",
    [
        post(b"x" * 1001),
        b"POST /look/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"3E9\r\n" + b"x" * 1001 + b"\r\n0\r\n\r\n",
    ],
)
def test_the_first_request_of_a_process_is_held_to_the_limit(request_bytes):
    with gateway_server(routing=LIMITED) as pipeline:
        data = exchange(request_bytes)
    assert data.startswith(b"HTTP/1.1 413 ")
    assert pipeline.received == []


def test_memory_is_free_again_after_each_request():
    with gateway_server(body_memory=100_000) as pipeline:
        for _ in range(5):
            assert b"200 Fine" in exchange(post(b"x" * 90_000, CLOSE))
    assert len(pipeline.received) == 5


def test_clients_that_send_bodies_slowly_leave_threads_for_others():
    with gateway_server(), ExitStack() as stack:
        for _ in range(5 * THREADS):
            sock = stack.enter_context(socket.create_connection((HOST, PORT), 5.0))
            sock.sendall(post(b"x", length=100))
        time.sleep(0.3)
        started_at = time.monotonic()
        for _ in range(5):
            assert b"200 Fine" in exchange(post(b"whole", CLOSE))
        assert time.monotonic() - started_at < 1.0
        rejected = exchange(post(b"x", CLOSE, length=100))
    assert rejected.startswith(b"HTTP/1.1 503 ") and b"body_slots_full" in rejected


class SlowPipeline(EchoPipeline):
    """Hold each request until the test releases all."""

    def __init__(self):
        super().__init__()
        self.release = threading.Event()
        self.requests = []

    def run(self, req):
        """Answer once the test allows it."""
        self.requests.append(req)
        self.release.wait(10.0)
        return super().run(req)


def test_requests_that_wait_for_a_thread_are_timed_and_dropped_if_their_client_left():
    pipeline = SlowPipeline()
    with gateway_server(pipeline=pipeline), ExitStack() as stack:
        socks = [
            stack.enter_context(socket.create_connection((HOST, PORT), 5.0))
            for _ in range(THREADS + 2)
        ]
        for sock in socks[:THREADS]:
            sock.sendall(post(b"held"))
        wait_until(lambda: len(pipeline.requests) == THREADS)
        for sock in socks[THREADS:]:
            sock.sendall(post(b"waits", CLOSE))
        socks[-1].close()
        time.sleep(0.4)
        pipeline.release.set()
        assert b"200 Fine" in socks[THREADS].recv(4096)
        wait_until(lambda: len(pipeline.requests) == THREADS + 1)
        time.sleep(0.1)
    assert len(pipeline.requests) == THREADS + 1
    assert monotonic() - pipeline.requests[-1].received_at > 0.4


def test_clients_that_do_not_read_their_answers_are_closed(monkeypatch):
    monkeypatch.setattr(server_module, "WRITE_SECONDS", 0.3)
    monkeypatch.setattr(server_module, "MIN_READ_RATE", 1e9)
    body = b"x" * 20_000_000
    with gateway_server(body_memory=200_000_000) as pipeline, ExitStack() as stack:
        for _ in range(THREADS):
            sock = stack.enter_context(socket.create_connection((HOST, PORT), 5.0))
            sock.sendall(post(body))
        wait_until(lambda: len(pipeline.received) == THREADS)
        started_at = time.monotonic()
        assert b"200 Fine" in exchange(post(b"whole", CLOSE))
        assert time.monotonic() - started_at < 2.0
