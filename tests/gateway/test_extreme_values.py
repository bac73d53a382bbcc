"""Test that a gateway serves by numbers that its arithmetic can hardly hold."""

from __future__ import annotations

import socket
import sys
import threading
from collections import Counter
from concurrent.futures import Future
from types import SimpleNamespace

import pytest

from snipecart.core.states import SendOutcome
from snipecart.core.task import ANY_TASK_FAILED
from snipecart.gateway.balancing import task as task_module
from snipecart.gateway.balancing.messages import SelectRetryServer
from snipecart.gateway.balancing.messages import SelectServer
from snipecart.gateway.balancing.routes import RouteIndex
from snipecart.gateway.balancing.routes import TrafficSplit
from snipecart.gateway.balancing.task import BalancerTask
from snipecart.gateway.balancing.view import View
from snipecart.gateway.server import _apply_limits
from tests.gateway.world import Gateway
from tests.gateway.world import make_instance
from tests.gateway.world import make_route
from tests.gateway.world import make_routing

LARGEST = sys.float_info.max


def count_queued(rank):
    """Return how many requests queue at a server, beside a route of rank 0."""
    routing = make_routing(make_route(rank=0), make_route("bulk", rank=rank))
    gateway = Gateway(routing).add_instances(make_instance(1, slots=1))
    gateway.state.usual_times["bulk"] = 0.02
    for count in range(100):
        if gateway.select(gateway.request("/bulk/x")) == "server_saturated":
            return count
    return None


@pytest.mark.parametrize("rank", [2, 10**6, 10**400])
def test_a_rank_orders_routes_however_far_it_is_from_the_others(rank):
    """Guards against a gateway that ends with the first request that has to wait."""
    assert count_queued(rank) == count_queued(1) < count_queued(0)


@pytest.mark.parametrize(
    ("weights", "expected"),
    [
        ((LARGEST, LARGEST), (50, 50)),
        ((1e308, 1e308, 1e308, 1e308), (25, 25, 25, 25)),
        ((LARGEST, LARGEST / 9), (90, 10)),
        ((5e-324, 5e-324), (50, 50)),
        ((LARGEST, 5e-324), (100,)),
    ],
)
def test_weights_near_the_ends_of_floats_divide_by_their_ratio(weights, expected):
    """Guards against a sum of weights that is infinite, which served one service."""
    targets = [
        {"service": f"s{at}", "weight": weight} for at, weight in enumerate(weights)
    ]
    route = make_routing(make_route(targets=targets)).routes[0]
    split = TrafficSplit()
    counts = Counter(split.next(route) for _ in range(100))
    assert tuple(counts[name] for name in sorted(counts)) == expected


def test_a_server_may_fail_any_number_of_times():
    """Guards against a gateway that ends once a server has failed for hours."""
    gateway = Gateway(make_routing(make_route())).add_instances(make_instance(1))
    server = next(iter(gateway.state.servers.values()))
    for _ in range(1100):
        gateway.now += 10.0
        assert not server.is_ejected(gateway.now)
        server.record_send(SendOutcome.NOT_SENT, 1.0, False, gateway.now)
        assert server.is_ejected(gateway.now)


def test_a_client_may_be_idle_for_as_long_as_the_table_says():
    """Guards against a wait whose milliseconds exceed 32 bits, and which then ends."""
    table = make_routing(make_route())
    limits = table.limits.model_copy(update={"idle_timeout_ms": 2**32 + 200})
    view = View(RouteIndex(table.model_copy(update={"limits": limits})))
    server = SimpleNamespace(limits=None)
    _apply_limits(server, SimpleNamespace(balancer=SimpleNamespace(view=view)))
    ours, peers = socket.socketpair()
    with ours, peers:
        ours.settimeout(server.timeout)
        threading.Timer(0.6, peers.send, [b"x"]).start()
        assert ours.recv(1) == b"x"


@pytest.mark.parametrize("message", [SelectServer, SelectRetryServer])
def test_a_request_that_no_server_can_be_selected_for_ends_no_gateway(
    message, monkeypatch
):
    """Guards against one route that ends each gateway with each of its requests."""
    gateway = Gateway(make_routing(make_route())).add_instances(make_instance(1))
    task = BalancerTask(gateway.state, print)
    routed, fut, retry = gateway.request(), Future(), ("racks", frozenset(), False)
    is_first = message is SelectServer
    ask = message(routed, fut) if is_first else message(routed, *retry, fut)
    monkeypatch.setattr(task_module, "select_server", lambda *args: 1 << "")
    task._handle([ask])
    assert fut.result(0).error.reason == "request_failed"
    assert not ANY_TASK_FAILED.is_set()
