"""Test which processes exchange messages about limits of organisations."""

from __future__ import annotations

import sys
from dataclasses import replace
from random import Random

import pytest

from snipecart.control.leader import LeaderState
from snipecart.control.leases.limits import UNLIMITED
from snipecart.control.machine.state import MachineState
from snipecart.control.node import NodeOutputs
from snipecart.control.node import NodeTask
from snipecart.control.raft.state import RaftState
from snipecart.core.ids import Instant
from snipecart.gateway.balancing.quota import Admission
from snipecart.gateway.balancing.view import View
from snipecart.messages.commands import Node
from snipecart.messages.quota import QuotaAnswer
from snipecart.messages.quota import QuotaRequest
from snipecart.messages.quota import organisation_id
from snipecart.text.routing import Organisation
from snipecart.text.routing import dump_routing
from snipecart.wire.links import IncomingMessage
from tests.gateway.test_sync import deliver_answer
from tests.gateway.test_sync import sync
from tests.gateway.world import make_route
from tests.gateway.world import make_routing

__all__ = ["sync"]

ACME = organisation_id("acme")
REQUEST = QuotaRequest("g/1", "g", 1.0, 0, (ACME,), (1,), (0,), (0,), (0,), (0,), (3,))


def reports(task, vm):
    """Return the quota reports sent to a control process."""
    return [
        item for item in task._peers[vm].link.sent if isinstance(item, QuotaRequest)
    ]


def test_a_gateway_reports_to_the_leader_only_if_the_table_has_limits(sync):
    """Guards against messages where no organisation has a limit."""
    for vm in ("c1", "c2"):
        deliver_answer(sync, vm, 1.0, leader="c2")
    sync.handle([], Instant(1.6))
    assert not reports(sync, "c1") + reports(sync, "c2")
    sync._balancer.view = View(limits_organisations=True)
    for step in range(20):
        for vm in ("c1", "c2"):
            deliver_answer(sync, vm, 2.0 + step / 10, leader="c2")
    assert (len(reports(sync, "c1")), len(reports(sync, "c2"))) == (0, 4)


def test_a_gateway_that_ends_releases_what_it_holds(sync):
    """Guards against rates that nobody can use until a lease ends."""
    deliver_answer(sync, "c1", 1.0, leader="c1")
    sync._balancer.view = View(limits_organisations=True)
    sync.quota.gate.state.admit("acme", Instant(1.0))
    answer = QuotaAnswer(1.0, True, 1, (ACME,), (5000,), (2000,), (2000,), (0,))
    sync.quota.apply("c1", answer, Instant(1.0))
    sync.close()
    last = reports(sync, "c1")[-1]
    assert (last.organisations, last.demand, last.held) == ((ACME,), (0,), (0,))


def test_requests_wait_for_a_leader_that_was_not_asked_lately(sync):
    """Guards against refusals after a time without requests."""
    deliver_answer(sync, "c1", 1.0, leader="c1")
    state = sync.quota.gate.state
    state.heard_at = Instant(1.0)
    sync._balancer.view = View(limits_organisations=True)
    sync.handle([], Instant(60.0))
    assert state.admit("acme", Instant(60.0)) is Admission.WAITING
    sync.handle([], Instant(61.0))
    assert state.admit("acme", Instant(62.0)) is Admission.CUT_OFF


def make_node(burst):
    """Return the node of a process whose table limits an organisation."""
    routing = make_routing(make_route())
    acme = Organisation(name="acme", rate_per_s=10.0, burst=burst)
    table = dump_routing(routing.model_copy(update={"organisations": (acme,)}))
    return NodeTask(
        RaftState("a/1", Random(1), last_leader_contact=Instant(0.0)),
        replace(MachineState(), routing_version=1, routing=table),
        Node("a/1", "a", "h", 1),
        NodeOutputs(print, print, print),
    )


@pytest.mark.parametrize("burst", [1e306, sys.float_info.max])
def test_a_leader_grants_without_limit_where_a_burst_exceeds_its_arithmetic(burst):
    """Guards against an accepted table that ends one leader after the other."""
    node, answers = make_node(burst), []
    node.leader_state = LeaderState(1, Instant(1.0))
    node.refusal = lambda now: None
    node._handle_message(IncomingMessage(REQUEST, answers.append), Instant(9.0))
    assert answers[-1].leads and answers[-1].rates == (UNLIMITED,)


def test_only_a_leader_with_a_lease_grants(monkeypatch):
    """Guards against two processes that grant the same limit."""
    node, answers = make_node(20.0), []
    node._handle_message(IncomingMessage(REQUEST, answers.append), Instant(1.0))
    node.leader_state = LeaderState(1, Instant(1.0))
    node._handle_message(IncomingMessage(REQUEST, answers.append), Instant(9.0))
    monkeypatch.setattr(node, "refusal", lambda now: None)
    node._handle_message(IncomingMessage(REQUEST, answers.append), Instant(9.0))
    assert [item.leads for item in answers] == [False, False, True]
    assert answers[-1].tokens[0] >= 3000
