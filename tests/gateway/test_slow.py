"""Test that requests avoid slow servers, and that slow servers are retried."""

from __future__ import annotations

import pytest

from snipecart.core.ids import Instant
from tests.gateway.simulation import WARM_CAPACITY
from tests.gateway.simulation import Simulation
from tests.gateway.simulation import Slowdown
from tests.gateway.world import Gateway
from tests.gateway.world import make_instance
from tests.gateway.world import make_route
from tests.gateway.world import make_routing

ONE = make_routing(make_route())


def gateway_with_usual_times(servers=4):
    """Return a gateway that has recorded answers of 0.2 s for eight objects."""
    gateway = Gateway(ONE).add_instances(
        *(make_instance(number) for number in range(servers))
    )
    for turn in range(40):
        routed = gateway.request(key=str(turn % 8))
        gateway.end(routed, gateway.select(routed))
    return gateway


@pytest.mark.parametrize("slowdown", [Slowdown(2, 5.0, 8, 15), Slowdown(4, 5.0, 8, 15)])
@pytest.mark.parametrize("load", [0.35, 0.5])
def test_few_requests_time_out_at_slow_servers(slowdown, load):
    tally = Simulation(load * WARM_CAPACITY, slowdown=slowdown).run().between(8, 15)
    assert tally.fraction(tally.timed_out) < 0.06
    assert tally.fraction(tally.on_time) > 0.83


def test_a_server_with_overdue_answers_is_slow_before_any_answer_arrives():
    gateway = gateway_with_usual_times()
    waiting = gateway.select(gateway.request(key="1"))
    gateway.now = Instant(gateway.now + 0.3)
    assert gateway.select(gateway.request(key="1")).instance == waiting.instance
    gateway.now = Instant(gateway.now + 0.5)
    assert gateway.select(gateway.request(key="1")).instance != waiting.instance


def test_one_overdue_answer_does_not_make_a_server_slow():
    gateway = gateway_with_usual_times()
    waiting = gateway.select(gateway.request(key="1"))
    gateway.now = Instant(gateway.now + 0.3)
    routed = gateway.request(key="1")
    destination = gateway.select(routed)
    gateway.now = Instant(gateway.now + 0.2)
    gateway.end(routed, destination, seconds=0.2)
    gateway.now = Instant(gateway.now + 0.4)
    assert gateway.select(gateway.request(key="1")).instance == waiting.instance


def test_servers_that_evict_objects_are_not_slow():
    tally = Simulation(0.5 * WARM_CAPACITY, max_warm=8).run().between(4, 20)
    assert tally.fraction(tally.on_time) > 0.85


def test_a_slow_server_is_retried_by_one_request_at_a_time():
    gateway = gateway_with_usual_times()
    routed = gateway.request(key="1")
    slow = gateway.select(routed)
    server = gateway.state.servers[slow.instance]
    for _ in range(4):
        gateway.end(routed, slow, seconds=1.2)
    assert gateway.select(gateway.request(key="1")).instance != slow.instance
    gateway.now = Instant(gateway.now + 3.0)
    server.sends.clear()
    probe = gateway.select(routed)
    assert probe.instance == slow.instance
    assert gateway.select(gateway.request(key="1")).instance != slow.instance
    gateway.end(routed, probe, seconds=0.2)
    destinations = [gateway.select(gateway.request(key="1")) for _ in range(2)]
    assert [destination.instance for destination in destinations] == [slow.instance] * 2
