"""Test how nodes join the log and how voters are removed."""

from __future__ import annotations

from random import Random

import pytest

from snipecart.control import raft
from snipecart.control.raft import timing
from snipecart.control.raft.membership import maintain_voters
from snipecart.control.raft.state import Membership
from snipecart.control.raft.state import Progress
from snipecart.control.raft.state import RaftState
from snipecart.control.raft.state import Send
from snipecart.control.raft.state import step
from snipecart.core.ids import Instant
from snipecart.core.states import Role
from snipecart.messages.commands import Node
from snipecart.messages.raft import JoinRequest

__all__ = ["raft"]


def make_node(vm, number=1, *, added=False):
    return Node(f"{vm}/{number}", vm, vm, 7000, added)


VOTERS = tuple(make_node(vm) for vm in ("a", "b", "c"))


@pytest.fixture
def leader():
    """Return a leader whose followers answered at 100 s."""
    state = RaftState("a/1", Random(1), last_leader_contact=Instant(0.0))
    state.role, state.leader, state.open_to_vms = Role.LEADER, "a/1", True
    state.memberships = [Membership(0, VOTERS, ())]
    state.progress = {node.node: Progress(0, 1, 100.0) for node in VOTERS}
    return state


def join(state, node, now=100.0, *, forwarded=False):
    return step(state, JoinRequest(node, forwarded), Instant(now))


def test_a_new_vm_joins_as_a_learner(leader):
    join(leader, make_node("d", added=True))
    assert [node.vm for node in leader.learners] == ["d"]
    assert leader.voters == VOTERS


def test_vms_that_join_during_a_change_are_added_together(leader):
    join(leader, make_node("d", added=True))
    for vm in "efg":
        join(leader, make_node(vm, added=True))
    assert [node.vm for node in leader.learners] == ["d"]
    leader.commit = leader.log.last_index
    maintain_voters(leader, Instant(100.0))
    assert [node.vm for node in leader.learners] == ["d", "e", "f", "g"]
    assert leader.voters == VOTERS
    leader.commit = leader.log.last_index
    maintain_voters(leader, Instant(100.0))
    assert len(leader.memberships) == 3


def test_a_new_vm_is_rejected_if_the_log_is_not_open_to_vms(leader):
    leader.open_to_vms = False
    join(leader, make_node("d"))
    assert not leader.learners


def test_a_blank_disk_replaces_the_voter_of_its_vm_only_if_that_is_silent(leader):
    join(leader, make_node("b", 2))
    assert not leader.learners
    join(
        leader,
        make_node("b", 2, added=True),
        100.0 + timing.REPLACE_VOTER_TIMEOUT + 0.1,
    )
    assert [(node.node, node.added) for node in leader.learners] == [("b/2", False)]


def test_followers_forward_a_join_request_once(leader):
    leader.role, leader.leader = Role.FOLLOWER, "b/1"
    effects = join(leader, make_node("d"))
    assert effects == [Send("b/1", JoinRequest(make_node("d"), forwarded=True))]
    assert join(leader, make_node("d"), forwarded=True) == []


def test_an_unreachable_voter_is_removed_only_if_a_vm_was_added(leader):
    later = Instant(100.0 + timing.REMOVE_VOTER_TIMEOUT + 1)
    for node in VOTERS[:2]:
        leader.progress[node.node].confirmed = later
    maintain_voters(leader, later)
    assert leader.voters == VOTERS
    added = make_node("d", added=True)
    leader.memberships = [Membership(0, (*VOTERS, added), ())]
    leader.progress[added.node] = Progress(0, 1, later)
    maintain_voters(leader, later)
    kept = {node.vm: node.added for node in leader.voters}
    assert kept == {"a": False, "b": False, "d": False}


def test_a_voter_is_kept_until_the_removal_timeout(leader):
    added = make_node("d", added=True)
    leader.memberships = [Membership(0, (*VOTERS, added), ())]
    leader.progress[added.node] = Progress(0, 1, 114.0)
    maintain_voters(leader, Instant(114.0))
    assert len(leader.voters) == 4
