"""Test what a control process publishes of its replicated state."""

from __future__ import annotations

from random import Random

import pytest

from snipecart.control.machine.state import MachineState
from snipecart.control.node import NodeOutputs
from snipecart.control.node import NodeTask
from snipecart.control.raft.state import Membership
from snipecart.control.raft.state import RaftState
from snipecart.core.ids import Instant
from snipecart.messages.commands import ChangeVoters
from snipecart.messages.commands import Entry
from snipecart.messages.commands import Node
from snipecart.messages.commands import PutRouting
from snipecart.messages.raft import AppendRequest
from snipecart.wire.links import IncomingMessage

VOTERS = tuple(Node(f"{vm}/1", vm, "h", 1) for vm in "abc")


def put_routing(index, version):
    return Entry(index, 2, 0, PutRouting(version, b"%d" % version, b""))


@pytest.fixture
def published():
    """Return the published states of a process that gets two tables at once."""
    states = []
    state = RaftState("a/1", Random(1), last_leader_contact=Instant(0.0))
    state.memberships = [Membership(0, VOTERS, ())]
    outputs = NodeOutputs(
        lambda to, message: None,
        lambda effect: True,
        lambda nodes: None,
        states.append,
    )
    node = NodeTask(state, MachineState(), VOTERS[0], outputs)
    entries = (
        put_routing(1, 6),
        Entry(2, 2, 0, ChangeVoters(VOTERS, ())),
        put_routing(3, 10),
    )
    for sent, request in enumerate((entries, ()), start=1):
        previous = 3 if not request else 0
        message = AppendRequest(
            2, "b/1", previous, 2 * bool(previous), request, 3, sent, (), sent - 1
        )
        node.handle(
            [IncomingMessage(message, lambda answer: None)], Instant(float(sent))
        )
    return states


def test_a_process_has_caught_up_only_with_the_table_that_was_committed(published):
    versions = [item.routing_version for item in published if item.caught_up]
    assert versions and set(versions) == {10}
