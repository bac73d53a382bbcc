"""Test that no request is held longer than the timeout of its route."""

from __future__ import annotations

import socket
import threading
import time
from contextlib import ExitStack
from contextlib import contextmanager
from random import Random

from snipecart.core.ids import EndpointId
from snipecart.core.ids import Instant
from snipecart.core.memory import MemoryBudget
from snipecart.core.task import running
from snipecart.gateway.backends import BackendClient
from snipecart.gateway.balancing.routes import RouteIndex
from snipecart.gateway.balancing.state import BalancerState
from snipecart.gateway.balancing.state import Locality
from snipecart.gateway.balancing.state import apply_instance
from snipecart.gateway.balancing.task import BalancerTask
from snipecart.gateway.metrics import ANSWER_BYTES
from snipecart.gateway.metrics import BODY_BYTES
from snipecart.gateway.pipeline import GatewayContext
from snipecart.gateway.pipeline import make_pipeline
from snipecart.gateway.request import HeaderNames
from snipecart.gateway.server import RequestContext
from snipecart.gateway.server import serving_requests
from snipecart.gateway.watch import WatchTask
from snipecart.program.body import BodySlots
from snipecart.program.listener import HttpListener

from .world import REGIONS
from .world import make_instance
from .world import make_route
from .world import make_routing

HOST, PORT = "127.66.0.1", 8200
BACKEND_HOST = "127.66.0.2"
THREADS = 6
TIMEOUT_SECONDS = 0.4
CLIENT_TIMEOUT_MS = 4000
HELD_SECONDS = 0.5
"""Time past a route's timeout after which a request counts as held (RULES.md)."""

BALANCER_STALL_SECONDS = 1.5

ROUTING = make_routing(
    make_route(timeout_ms=int(TIMEOUT_SECONDS * 1000), target_latency_ms=200),
    make_route("patient", timeout_ms=2000),
)


@contextmanager
def silent_backend():
    """Accept connections and never answer; yield the port."""
    with socket.create_server((BACKEND_HOST, 0), backlog=512) as listener:
        yield listener.getsockname()[1]


@contextmanager
def gateway(threads=THREADS):
    """Run a gateway whose only backend server never answers."""
    with silent_backend() as port:
        state = BalancerState(Locality("north", "north-a", REGIONS))
        state.index = RouteIndex(ROUTING)
        instance = make_instance(
            1, endpoint=EndpointId(f"{BACKEND_HOST}:{port}"), slots=10_000
        )
        apply_instance(state, instance, Instant(0.0))
        backends = BackendClient(HOST, HeaderNames())
        balancer = BalancerTask(state, backends.close_idle_except)
        balancer.publish(Instant(0.0))
        watch = WatchTask()
        rng = Random(7)
        ctx = RequestContext(
            make_pipeline(GatewayContext(balancer, backends, rng)),
            HeaderNames(),
            watch,
            balancer,
            MemoryBudget(1_000_000, BODY_BYTES),
            MemoryBudget(1_000_000, ANSWER_BYTES),
            BodySlots(threads),
            rng,
        )
        with (
            running(balancer, watch),
            serving_requests(HttpListener(HOST, PORT, threads), ctx),
        ):
            yield balancer
        backends.close()


def head(length=0, route=b"look"):
    return (
        b"POST /%s/x HTTP/1.1\r\nHost: shop.example\r\n"
        b"Snipecart-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n"
        % (route, CLIENT_TIMEOUT_MS, length)
    )


def exchange_all(count, request):
    """Send a request on each of several connections; return statuses and seconds."""
    results = []

    def wait(sock, started_at):
        status = sock.recv(4096)[9:12]
        results.append((status, time.monotonic() - started_at))

    with ExitStack() as stack:
        threads = []
        for _ in range(count):
            sock = stack.enter_context(socket.create_connection((HOST, PORT), 6.0))
            sock.sendall(request)
            threads.append(threading.Thread(target=wait, args=(sock, time.monotonic())))
            threads[-1].start()
        for thread in threads:
            thread.join()
    return results


def assert_none_is_held(results):
    held = [item for item in results if item[1] > TIMEOUT_SECONDS + HELD_SECONDS]
    assert not held, f"{len(held)} of {len(results)} held: {held[:3]}"


def test_requests_that_a_server_never_answers_end_at_the_timeout():
    with gateway():
        results = exchange_all(THREADS, head())
    assert {status for status, _ in results} == {b"504"}
    assert_none_is_held(results)


def test_no_request_is_held_while_all_threads_wait_on_another_route():
    with gateway(), ExitStack() as stack:
        for _ in range(THREADS):
            sock = stack.enter_context(socket.create_connection((HOST, PORT), 6.0))
            sock.sendall(head(route=b"patient"))
        time.sleep(0.2)
        results = exchange_all(THREADS, head())
    assert_none_is_held(results)
    assert {status for status, _ in results} == {b"503"}


def test_no_request_is_held_while_the_balancer_is_busy():
    with gateway() as balancer:
        threading.Thread(
            target=balancer.query,
            args=(lambda task, now: time.sleep(BALANCER_STALL_SECONDS),),
        ).start()
        time.sleep(0.05)
        results = exchange_all(3, head())
    assert_none_is_held(results)
    assert {status for status, _ in results} <= {b"429", b"503"}


def test_no_request_is_held_whose_body_does_not_arrive():
    with gateway():
        results = exchange_all(3, head(length=100) + b"x")
    assert_none_is_held(results)
    assert {status for status, _ in results} == {b"503"}
