"""Test that the log tells apart why a confirmed configuration can't be read back."""

from __future__ import annotations

import pytest

from snipecart.control.raft.replication import CommittedEntryLost
from snipecart.core.events import BECAME_LEADER
from snipecart.core.events import ELECTION_FAILED
from snipecart.core.events import LOST_LEADERSHIP
from snipecart.core.events import QUORUM_AT_RISK
from snipecart.core.events import QUORUM_SAFE
from snipecart.core.events import VOTERS_CHANGED
from snipecart.core.ids import UnixMillis
from snipecart.messages.commands import Entry
from snipecart.messages.commands import Noop
from snipecart.messages.raft import AppendRequest

from .cluster import SYNC_SECONDS
from .logged_cluster import LoggedCluster
from .open_cluster import FOUNDERS

START_SECONDS = 6.0

PROMOTION_SECONDS = 2.0
"""Time in which a VM that joins becomes a voter."""

ACKNOWLEDGE_SECONDS = 4.0
"""Time in which a change must be acknowledged while a quorum is in contact."""

RETRY_SECONDS = 1.5
"""Time for which an operator waits before submitting again."""

LEADERLESS_SECONDS = 7.0
"""Time in which every process without a leader has held an election."""


@pytest.fixture
def cluster():
    """Return five processes that have elected a leader."""
    simulated = LoggedCluster(31)
    simulated.run(START_SECONDS)
    return simulated


def name_nodes(vms):
    """Return the founding ids of some VMs as a log line lists them."""
    return ",".join(sorted(f"{vm}/founder" for vm in vms))


def separate(cluster, *groups):
    """Cut all links between groups of VMs."""
    for group in groups:
        others = set(cluster.processes) - set(group)
        cluster.cut_links |= {(vm, other) for vm in group for other in others}


def test_candidates_count_lost_voters_where_all_that_are_alive_grant_their_votes(
    cluster,
):
    for vm in ("f2", "g2", "h2"):
        cluster.add_vm(vm, list(cluster.processes)[:3])
        cluster.run(PROMOTION_SECONDS)
    leader, lost_at = cluster.leader().vm, cluster.now
    lost = [vm for vm in FOUNDERS if vm != leader][:3]
    for vm in lost:
        cluster.remove_vm(vm)
    cluster.run(1.6)
    (at_risk,) = cluster.logged(QUORUM_AT_RISK, lost_at)
    assert at_risk.fields == {
        "voters": 8,
        "answering": 5,
        "needed": 5,
        "silent": name_nodes(lost),
    }
    cluster.remove_vm(leader)
    cluster.run(LEADERLESS_SECONDS)
    assert not cluster.logged(BECAME_LEADER, lost_at)
    failed = cluster.logged(ELECTION_FAILED, lost_at)
    assert {line.vm for line in failed} == set(cluster.processes)
    for line in failed:
        assert (line.fields["voters"], line.fields["granted"]) == (8, 4)
        assert line.fields["refused"] == ""
        assert line.fields["silent"] == name_nodes([*lost, leader])
    last_voters = cluster.logged(VOTERS_CHANGED)[-1].fields["voters"].split(",")
    assert {f"{vm}/founder" for vm in lost} <= set(last_voters)


def test_candidates_name_voters_that_log_themselves_where_links_are_cut(cluster):
    cut_at = cluster.now
    separate(cluster, ("a1", "b1"), ("c1", "d1"), ("e1",))
    cluster.run(LEADERLESS_SECONDS)
    assert cluster.logged(LOST_LEADERSHIP, cut_at)
    assert not cluster.logged(BECAME_LEADER, cut_at)
    failed = cluster.logged(ELECTION_FAILED, cut_at)
    assert {line.vm for line in failed} == set(FOUNDERS)
    expected = {
        "a1": (2, "c1 d1 e1"),
        "b1": (2, "c1 d1 e1"),
        "c1": (2, "a1 b1 e1"),
        "d1": (2, "a1 b1 e1"),
        "e1": (1, "a1 b1 c1 d1"),
    }
    for line in failed:
        granted, silent = expected[line.vm]
        assert line.fields["granted"] == granted
        assert line.fields["silent"] == name_nodes(silent.split())


def acknowledge_changes(cluster, count):
    """Submit configurations, each until it is acknowledged, as an operator does."""
    number = 100
    for _ in range(count):
        before, end = len(cluster.accepted), cluster.now + ACKNOWLEDGE_SECONDS
        while len(cluster.accepted) == before:
            assert cluster.now < end, "no change was acknowledged"
            number += 1
            cluster.submit(number, cluster.newest_version())
            cluster.run(RETRY_SECONDS)


def check_leader_lasted(cluster, since):
    """Check that there was one leader only, and no election after a time."""
    assert len(cluster.logged(BECAME_LEADER)) == 1
    assert not cluster.logged(LOST_LEADERSHIP, since)
    assert not cluster.logged(ELECTION_FAILED, since)


@pytest.mark.parametrize("sync_time", [0.1, 0.4])
def test_nothing_is_logged_where_a_leader_commits_slowly(cluster, sync_time):
    slow_from, cluster.sync_time = cluster.now, sync_time
    acknowledge_changes(cluster, 8)
    check_leader_lasted(cluster, slow_from)
    assert not [line for line in cluster.lines if line.at >= slow_from]


def test_a_quorum_at_risk_is_soon_safe_again_where_disks_take_a_second(cluster):
    slow_from, cluster.sync_time = cluster.now, 0.6
    acknowledge_changes(cluster, 8)
    cluster.sync_time = SYNC_SECONDS
    cluster.run(2.0)
    check_leader_lasted(cluster, slow_from)
    at_risk = cluster.logged(QUORUM_AT_RISK, slow_from)
    safe = cluster.logged(QUORUM_SAFE, slow_from)
    assert at_risk
    assert all(any(0 < after.at - line.at < 1.0 for after in safe) for line in at_risk)


def test_a_process_ends_rather_than_lose_a_committed_entry(cluster):
    leader = cluster.leader()
    follower = next(
        process for process in cluster.processes.values() if process is not leader
    )
    state, index = follower.state, follower.state.commit
    previous = state.log.term_at(index - 1)
    other_entry = Entry(index, state.term + 1, UnixMillis(0), Noop())
    request = AppendRequest(
        state.term + 1, leader.state.node_id, index - 1, previous, (other_entry,), 0, 0
    )
    with pytest.raises(CommittedEntryLost, match=str(index)):
        cluster.handle_event(follower, request)
