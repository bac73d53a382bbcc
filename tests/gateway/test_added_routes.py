"""Test that routes that are added later are served as well as the first ones."""

from __future__ import annotations

import heapq
from random import Random

import pytest

from snipecart.core.ids import Instant
from snipecart.core.states import SendOutcome
from snipecart.gateway.balancing.routes import RouteIndex

from .simulation import GATEWAYS
from .simulation import MAX_WARM
from .simulation import OBJECTS
from .simulation import SERVERS
from .simulation import SLOTS
from .simulation import WARM_CAPACITY
from .simulation import SimulatedServer
from .simulation import finish_send
from .world import Gateway
from .world import make_instance
from .world import make_route
from .world import make_routing

ADDED_AT, COUNTED_FROM, END = 6.0, 9.0, 20.0
ADDED_FRACTION = 0.1
MIN_RATIO = 0.25
"""Served fraction of added routes relative to the first ones (RULES.md, CONFIG)."""


def run(load, seed, **added):
    """Return the served fractions of the first route and of the added one."""
    rng = Random(seed)
    first = make_route(timeout_ms=1000)
    routing = make_routing(first)
    changed = make_routing(first, make_route("new", **added), version=2)
    instances = [make_instance(number, slots=SLOTS) for number in range(SERVERS)]
    gateways = [Gateway(routing).add_instances(*instances) for _ in range(GATEWAYS)]
    servers = {item.instance: SimulatedServer(MAX_WARM) for item in instances}
    asked = {"look": 0, "new": 0}
    refused = {"look": 0, "new": 0}
    pending, turn, now = [], 0, 0.0
    while now < END:
        now += rng.expovariate(load * WARM_CAPACITY)
        while pending and pending[0][0] <= now:
            finish_send(servers, *heapq.heappop(pending))
        turn += 1
        gateway = rng.choice(gateways)
        gateway.now = Instant(100.0 + now)
        if now > ADDED_AT and gateway.state.index.routing.version == 1:
            gateway.state.index = RouteIndex(changed)
        is_added = now > ADDED_AT and rng.random() < ADDED_FRACTION
        name = "new" if is_added else "look"
        routed = gateway.request(f"/{name}/x", key=str(rng.randrange(OBJECTS)))
        destination = gateway.select(routed)
        end = None
        if not isinstance(destination, str):
            end = servers[destination.instance].run(routed.req.object, now)
            if end is None:
                gateway.end(routed, destination, SendOutcome.REJECTED)
            else:
                entry = (end, turn, gateway, routed, destination, now)
                heapq.heappush(pending, entry)
        if now > COUNTED_FROM:
            asked[name] += 1
            refused[name] += end is None
    return [1 - refused[name] / asked[name] for name in ("look", "new")]


@pytest.mark.parametrize("load", [0.9, 2.0])
@pytest.mark.parametrize(
    "added",
    [
        {"timeout_ms": 1000},
        {"timeout_ms": 1000, "target_latency_ms": 1000},
        {"timeout_ms": 400, "target_latency_ms": 400},
        {"timeout_ms": 400, "target_latency_ms": 5000},
        {"timeout_ms": 1000, "idempotent": False, "affinity": False},
    ],
)
def test_an_added_route_is_served_about_as_often_as_the_first(load, added):
    first, new = run(load, 7, **added)
    assert new >= MIN_RATIO * first
