"""Test the descriptions of a gateway's state, and that they change no state."""

from __future__ import annotations

from copy import deepcopy

from snipecart.core.ids import Instant
from snipecart.core.states import SendOutcome
from snipecart.core.states import ServerCondition
from snipecart.gateway.inspect import describe_balancer
from snipecart.gateway.inspect import describe_destination
from tests.gateway.world import Gateway
from tests.gateway.world import make_instance
from tests.gateway.world import make_route
from tests.gateway.world import make_routing

ONE = make_routing(make_route())


def describe(gateway, path="/look/x", key="7"):
    return describe_destination(gateway.state, "shop.example", path, key, gateway.now)


def test_the_described_destination_is_the_one_selected():
    gateway = Gateway(ONE).add_instances(
        *(make_instance(number) for number in range(6))
    )
    for key in "12345":
        status = describe(gateway, key=key)
        assert status.instance == gateway.select(gateway.request(key=key)).instance
        assert status.servers[0].instance == status.instance


def test_describing_a_destination_changes_no_state():
    cold = make_instance(1, cold=60_000)
    gateway = Gateway(ONE).add_instances(cold).lease(cold)
    before = deepcopy(gateway.state.servers)
    for _ in range(50):
        assert describe(gateway).instance
    after = gateway.state.servers
    assert [vars(item) for item in after.values()] == [
        vars(item) for item in before.values()
    ]


def test_a_refusal_is_described_with_its_reason():
    gateway = Gateway(ONE)
    assert describe(gateway).refusal == "no_endpoint"
    assert describe(gateway, "/other/x").refusal == "no_route"


def test_the_condition_of_a_server_is_described():
    gateway = Gateway(ONE).add_instances(
        make_instance(1), make_instance(2, cold=60_000)
    )
    routed = gateway.request()
    gateway.end(routed, gateway.select(routed), SendOutcome.NOT_SENT)
    status = describe_balancer(gateway.state, gateway.now)
    conditions = {item.observed for item in status.servers}
    assert ServerCondition.EJECTED in conditions
    assert status.routing_version == 1


def test_the_limits_of_a_server_are_described():
    cold = make_instance(1, cold=60_000)
    gateway = Gateway(ONE).add_instances(cold).lease(cold, 0.25)
    status = describe_balancer(gateway.state, gateway.now).servers[0]
    assert (status.accepted_per_s, status.leased_per_s) == (10.0, 2.5)
    gateway.state.servers[cold.instance].paused_until = Instant(gateway.now + 2.0)
    status = describe_balancer(gateway.state, gateway.now).servers[0]
    assert (status.observed, status.paused_ms) == (ServerCondition.PAUSED, 2000)
