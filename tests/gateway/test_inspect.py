"""Test what a gateway tells operators, and that telling changes nothing."""

from __future__ import annotations

from copy import deepcopy

from snipecart.core.states import SendOutcome
from snipecart.core.states import ServerCondition
from snipecart.gateway.inspect import describe_placing
from snipecart.gateway.inspect import describe_where
from tests.gateway.world import Gateway
from tests.gateway.world import make_instance
from tests.gateway.world import make_route
from tests.gateway.world import make_routing

ONE = make_routing(make_route())


def where(gateway, path="/look/x", key="7"):
    return describe_where(gateway.state, "shop.example", path, key, gateway.now)


def test_a_request_is_told_where_it_then_goes():
    gateway = Gateway(ONE).add_instances(
        *(make_instance(number) for number in range(6))
    )
    for key in "12345":
        told = where(gateway, key=key)
        assert told.instance == gateway.select(gateway.request(key=key)).instance
        assert told.servers[0].instance == told.instance


def test_looking_changes_nothing():
    gateway = Gateway(ONE).add_instances(make_instance(1, cold=60_000))
    before = deepcopy(gateway.state.servers)
    for _ in range(50):
        assert where(gateway).instance
    after = gateway.state.servers
    assert [vars(item) for item in after.values()] == [
        vars(item) for item in before.values()
    ]


def test_a_refusal_is_told_with_its_reason():
    gateway = Gateway(ONE)
    assert where(gateway).refusal == "no_endpoint"
    assert where(gateway, "/other/x").refusal == "no_route"


def test_what_is_held_against_a_server_is_told():
    gateway = Gateway(ONE).add_instances(
        make_instance(1), make_instance(2, cold=60_000)
    )
    routed = gateway.request()
    gateway.end(routed, gateway.select(routed), SendOutcome.NOT_SENT)
    told = describe_placing(gateway.state, gateway.now)
    found = {item.observed for item in told.servers}
    assert ServerCondition.EJECTED in found
    assert told.routing_version == 1
