"""Test how nodes join the log and how voters are removed."""

from __future__ import annotations

from dataclasses import replace
from random import Random

import pytest

from snipecart.control import raft
from snipecart.control.raft import timing
from snipecart.control.raft.effects import MembershipChange
from snipecart.control.raft.effects import RemovedVoter
from snipecart.control.raft.effects import Send
from snipecart.control.raft.election import become_leader
from snipecart.control.raft.membership import maintain_voters
from snipecart.control.raft.silence import record_own_answers
from snipecart.control.raft.silence import seconds_silent
from snipecart.control.raft.state import Membership
from snipecart.control.raft.state import Progress
from snipecart.control.raft.state import RaftState
from snipecart.control.raft.state import step
from snipecart.core.events import VOTERS_CHANGED
from snipecart.core.ids import Instant
from snipecart.core.states import Role
from snipecart.messages.commands import ChangeVoters
from snipecart.messages.commands import Entry
from snipecart.messages.commands import Node
from snipecart.messages.raft import AppendRequest
from snipecart.messages.raft import JoinRequest
from snipecart.messages.raft import SilentVoter
from snipecart.messages.raft import VoteAnswer
from snipecart.messages.raft import VoteRequest

from .logged_cluster import LoggedCluster

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
    later = Instant(100.0 + timing.REPLACE_VOTER_TIMEOUT + 1)
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


def add_voter(leader, now):
    """Let an added VM become a voter that answers at a time."""
    added = make_node("d", added=True)
    leader.memberships = [Membership(0, (*VOTERS, added), ())]
    leader.progress[added.node] = Progress(0, 1, now)


def test_a_voter_is_kept_until_the_replacement_timeout(leader):
    now = Instant(100.0 + timing.REPLACE_VOTER_TIMEOUT - 0.1)
    add_voter(leader, now)
    maintain_voters(leader, now)
    assert len(leader.voters) == 4


def test_a_log_is_left_at_least_three_voters(leader):
    voters = (VOTERS[0], *(replace(node, added=True) for node in VOTERS[1:]))
    leader.memberships = [Membership(0, voters, ())]
    now = Instant(100.0 + timing.REPLACE_VOTER_TIMEOUT + 5)
    leader.progress["b/1"].confirmed = now
    maintain_voters(leader, now)
    assert leader.voters == voters


def test_a_voter_that_is_gone_is_removed_before_the_next_may_be_lost(leader):
    # The platform counts a VM as lost for 4 s after its replacement has started.
    assert timing.REPLACE_VOTER_TIMEOUT + timing.NEW_LEADER_GRACE <= 4.0
    now = Instant(102.9)
    add_voter(leader, now)
    maintain_voters(leader, now)
    assert len(leader.voters) == 4


def test_the_voter_that_is_silent_for_longest_is_removed_first(leader):
    now = Instant(100.0 + timing.REPLACE_VOTER_TIMEOUT + 5)
    add_voter(leader, now)
    leader.progress["b/1"].confirmed = 101.0
    maintain_voters(leader, now)
    assert [node.vm for node in leader.voters] == ["a", "b", "d"]


def test_a_learner_is_added_once_an_added_vm_has_the_place_of_its_voter(leader):
    now = Instant(100.0 + timing.REPLACE_VOTER_TIMEOUT + 1)
    add_voter(leader, now)
    blank = make_node("b", 2)
    leader.memberships = [Membership(0, leader.voters, (blank,))]
    leader.progress["c/1"].confirmed = leader.progress["a/1"].confirmed = now
    maintain_voters(leader, now)
    assert {node.vm: node.added for node in leader.voters} == dict.fromkeys(
        "acd", False
    )
    assert [(node.node, node.added) for node in leader.learners] == [("b/2", True)]


def follow(leader, silence_ms):
    """Return the state of b, to which its leader reports that c is silent."""
    state = RaftState("b/1", Random(2), last_leader_contact=Instant(0.0))
    state.open_to_vms = True
    added = make_node("d", added=True)
    state.memberships = [Membership(0, (*VOTERS, added), ())]
    silent = (SilentVoter("c/1", silence_ms),)
    request = AppendRequest(1, "a/1", 0, 0, (), 0, 0, silent)
    step(state, request, Instant(200.0))
    return state


def lead(state, since):
    """Let a process be the leader since a time, and the added VM answer it."""
    state.role, state.leader_since = Role.LEADER, Instant(since)
    record_own_answers(state)
    state.progress = {"d/1": Progress(0, 1, 1000.0)}
    return [node.vm for node in state.voters]


def test_the_silence_of_a_voter_outlives_a_change_of_leader(leader):
    state = follow(leader, silence_ms=2500)
    lead(state, since=202.0)
    grace_over = Instant(202.0 + timing.NEW_LEADER_GRACE + 0.1)
    maintain_voters(state, grace_over)
    assert [node.vm for node in state.voters] == ["a", "b", "d"]


def test_a_new_leader_gives_every_voter_time_to_answer(leader):
    state = follow(leader, silence_ms=60_000)
    lead(state, since=202.0)
    maintain_voters(state, Instant(202.0 + timing.NEW_LEADER_GRACE - 0.1))
    assert len(state.voters) == 4


def test_a_voter_that_answers_a_new_leader_is_kept(leader):
    state = follow(leader, silence_ms=60_000)
    lead(state, since=202.0)
    state.progress["c/1"] = Progress(0, 1, 203.0)
    state.progress["a/1"] = Progress(0, 1, 203.0)
    maintain_voters(state, Instant(203.5))
    assert len(state.voters) == 4


@pytest.mark.parametrize(
    "message",
    [
        VoteRequest(True, 1, "c/1", 0, 0),
        JoinRequest(VOTERS[2]),
        JoinRequest(VOTERS[2], forwarded=True),
    ],
)
def test_a_voter_that_sends_but_does_not_answer_is_removed(leader, message):
    now = Instant(100.0 + timing.REPLACE_VOTER_TIMEOUT + 0.5)
    add_voter(leader, now)
    leader.progress["b/1"].confirmed = now
    step(leader, message, now)
    maintain_voters(leader, now)
    assert [node.vm for node in leader.voters] == ["a", "b", "d"]


def test_a_voter_that_never_answered_an_earlier_leadership_has_the_whole_timeout():
    state = RaftState("a/1", Random(1), last_leader_contact=Instant(0.0))
    state.memberships = [Membership(0, VOTERS, ())]
    state.progress = {"b/1": Progress(0, 1)}
    lead(state, since=1000.0)
    assert seconds_silent(state, VOTERS[1], Instant(1000.5)) == 0.5


def test_a_voter_that_answered_an_earlier_leadership_was_seen_then(leader):
    leader.progress["b/1"].confirmed = 150.0
    become_leader(leader, Instant(160.0))
    assert leader.last_seen["b/1"] == 150.0


@pytest.mark.parametrize(
    "message",
    [VoteRequest(True, 1, "c/1", 0, 0), VoteAnswer(True, 1, "c/1", False)],
)
def test_a_message_about_an_election_is_a_sign_of_life(leader, message):
    state = follow(leader, silence_ms=60_000)
    step(state, message, Instant(201.0))
    assert seconds_silent(state, VOTERS[2], Instant(201.5)) == 0.5


def changes_in(effects):
    """Return the voters that were added and removed by each reported change."""
    return [
        (effect.added, effect.removed)
        for effect in effects
        if isinstance(effect, MembershipChange)
    ]


def test_a_leader_reports_how_long_a_removed_voter_was_silent(leader):
    now = Instant(100.0 + timing.REPLACE_VOTER_TIMEOUT + 5)
    add_voter(leader, now)
    leader.progress["b/1"].confirmed = now
    effects = maintain_voters(leader, now)
    assert changes_in(effects) == [((), (RemovedVoter("c/1", 8000),))]


def append(state, index, term, voters, previous):
    """Let a follower take an entry of c's that sets the voters."""
    entry = Entry(index, term, 0, ChangeVoters(voters, ()))
    request = AppendRequest(term, "c/1", *previous, (entry,), 0, 0)
    return step(state, request, Instant(101.0))


def test_a_follower_reports_changed_voters_without_their_silence(leader):
    leader.role, leader.leader = Role.FOLLOWER, "c/1"
    added = make_node("d", added=True)
    effects = append(leader, 1, 1, (*VOTERS[1:], added), previous=(0, 0))
    assert changes_in(effects) == [(("d/1",), (RemovedVoter("a/1", None),))]


def test_a_change_that_a_later_leader_replaces_is_reported_as_undone(leader):
    leader.role, leader.leader = Role.FOLLOWER, "c/1"
    append(leader, 1, 1, (*VOTERS, make_node("d", added=True)), previous=(0, 0))
    effects = append(leader, 1, 2, VOTERS, previous=(0, 0))
    assert changes_in(effects)[0] == ((), (RemovedVoter("d/1", None),))


def test_the_log_names_the_voter_that_was_removed_and_its_silence():
    cluster = LoggedCluster(3)
    cluster.run(6.0)
    leader = cluster.leader().vm
    lost = next(vm for vm in cluster.processes if vm != leader)
    cluster.remove_vm(lost)
    cluster.add_vm("f2", [leader])
    cluster.run(8.0)
    added, removed = [
        line.fields
        for line in cluster.logged(VOTERS_CHANGED)
        if line.vm == leader and (line.fields["added"] or line.fields["removed"])
    ]
    assert added["added"].startswith("f2/")
    assert added["removed"] == added["removed_silent_ms"] == ""
    assert removed["removed"] == f"{lost}/founder"
    least_ms = timing.REPLACE_VOTER_TIMEOUT * 1000
    assert least_ms < int(removed["removed_silent_ms"]) < least_ms + 1000
    assert lost not in removed["voters"]
    followers = [
        line.fields
        for line in cluster.logged(VOTERS_CHANGED)
        if line.vm != leader and line.fields["removed"]
    ]
    assert followers
    assert {fields["removed_silent_ms"] for fields in followers} == {""}
