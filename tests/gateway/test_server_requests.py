"""Test that gateways do what servers ask for in their answers: leaving and pauses."""

from __future__ import annotations

import pytest

from snipecart.core.ids import Instant
from snipecart.core.states import SendOutcome
from snipecart.gateway.balancing.outcome import record_send
from snipecart.gateway.balancing.selection import select_server
from snipecart.gateway.balancing.state import remove_instance
from snipecart.gateway.request import SendResult
from snipecart.gateway.server_notice import NO_NOTICE
from snipecart.gateway.server_notice import ServerNotice
from snipecart.upstream.answers import HttpAnswer

from .world import Gateway
from .world import make_instance
from .world import make_route
from .world import make_routing

ONE = make_routing(make_route())
LEAVING = ServerNotice(leaving=True)


def answer(gateway, routed, destination, notice, end=SendOutcome.ANSWERED, status=200):
    """Record an answer that carries a notice."""
    reply = HttpAnswer(status, "", (), b"")
    sent = SendResult(end, 0.2, reply, None, notice)
    record_send(gateway.state, routed, destination, sent, gateway.now)


def ask_for_pause(gateway, seconds, status=503):
    """Let the selected server refuse a request and ask for a pause."""
    routed = gateway.request()
    destination = gateway.select(routed)
    notice = ServerNotice(pause_s=seconds)
    answer(gateway, routed, destination, notice, SendOutcome.REJECTED, status)
    return destination.instance


def wait(gateway, seconds):
    gateway.now = Instant(gateway.now + seconds)


@pytest.mark.parametrize(
    ("end", "status"), [(SendOutcome.ANSWERED, 200), (SendOutcome.REJECTED, 503)]
)
def test_a_server_that_says_it_leaves_gets_no_more_requests(end, status):
    gateway = Gateway(ONE).add_instances(make_instance(1), make_instance(2))
    routed = gateway.request()
    first = gateway.select(routed)
    answer(gateway, routed, first, LEAVING, end, status)
    for _ in range(20):
        routed = gateway.request()
        destination = gateway.select(routed)
        assert destination.instance != first.instance
        gateway.end(routed, destination)


def test_a_heartbeat_does_not_bring_a_leaving_server_back():
    server = make_instance(1)
    gateway = Gateway(ONE).add_instances(server)
    routed = gateway.request()
    answer(gateway, routed, gateway.select(routed), LEAVING)
    gateway.add_instances(make_instance(1, sequence=9))
    assert gateway.select() == "no_endpoint"
    remove_instance(gateway.state, server.instance)
    gateway.add_instances(make_instance(1, sequence=10))
    assert gateway.select() == "no_endpoint"


def test_a_new_run_of_a_server_that_left_gets_requests():
    gateway = Gateway(ONE).add_instances(make_instance(1))
    routed = gateway.request()
    answer(gateway, routed, gateway.select(routed), LEAVING)
    gateway.add_instances(make_instance(1, born=9000))
    assert gateway.select().instance == make_instance(1).instance


def test_a_server_that_asks_for_a_pause_gets_no_requests_meanwhile():
    gateway = Gateway(ONE).add_instances(make_instance(1), make_instance(2))
    paused = ask_for_pause(gateway, 3.0)
    for _ in range(28):
        wait(gateway, 0.1)
        routed = gateway.request()
        destination = gateway.select(routed)
        assert destination.instance != paused
        gateway.end(routed, destination)


def test_a_service_whose_servers_all_pause_refuses_until_the_first_returns():
    gateway = Gateway(ONE).add_instances(make_instance(1), make_instance(2))
    ask_for_pause(gateway, 4.0)
    wait(gateway, 0.5)
    first = ask_for_pause(gateway, 2.0)
    routed = gateway.request()
    refused = select_server(
        gateway.state, routed, "racks", frozenset(), gateway.now
    ).error
    assert refused.reason == "servers_paused"
    assert refused.retry_after == pytest.approx(2.0)
    wait(gateway, 2.1)
    assert gateway.select().instance == first


def test_after_a_pause_one_request_is_tried_before_others_follow():
    gateway = Gateway(ONE).add_instances(make_instance(1))
    ask_for_pause(gateway, 1.0)
    wait(gateway, 1.1)
    routed = gateway.request()
    trial = gateway.select(routed)
    assert gateway.select() == "servers_paused"
    answer(gateway, routed, trial, NO_NOTICE)
    assert [gateway.select().instance for _ in range(2)] == [trial.instance] * 2


def test_a_pause_does_not_count_as_a_failure():
    gateway = Gateway(ONE).add_instances(make_instance(1))
    for _ in range(8):
        ask_for_pause(gateway, 0.5)
        wait(gateway, 0.6)
    server = gateway.state.servers[make_instance(1).instance]
    assert server.is_sound(gateway.now)


def test_a_pause_ends_with_the_run_of_its_server():
    gateway = Gateway(ONE).add_instances(make_instance(1))
    ask_for_pause(gateway, 30.0)
    gateway.add_instances(make_instance(1, born=9000))
    assert gateway.select().instance == make_instance(1).instance


def test_a_later_refusal_does_not_shorten_a_pause():
    gateway = Gateway(ONE).add_instances(make_instance(1))
    first, second = gateway.request(), gateway.request()
    ends = [(first, gateway.select(first), 5.0), (second, gateway.select(second), 0.5)]
    for routed, destination, seconds in ends:
        notice = ServerNotice(pause_s=seconds)
        answer(gateway, routed, destination, notice, SendOutcome.REJECTED, 503)
    wait(gateway, 4.0)
    assert gateway.select() == "servers_paused"
