"""Test the replicated log under faults from fixed seeds."""

from __future__ import annotations

from hypothesis import HealthCheck
from hypothesis import Phase
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from .cluster import Cluster
from .schedules import DISK_SCHEDULES
from .schedules import SCHEDULES
from .schedules import run_schedule

SIMULATION = settings(
    derandomize=True,
    deadline=None,
    database=None,
    phases=(Phase.explicit, Phase.generate),
    suppress_health_check=list(HealthCheck),
)
"""Settings of simulated schedules, which CI plays the same each time."""


@settings(SIMULATION, max_examples=2000)
@given(schedule=SCHEDULES, seed=st.integers(0, 2**32))
def test_promises_hold_under_faults(schedule, seed):
    run_schedule(Cluster(seed), schedule)


@settings(SIMULATION, max_examples=500)
@given(schedule=DISK_SCHEDULES, seed=st.integers(0, 2**32))
def test_promises_hold_while_disks_are_full(schedule, seed):
    run_schedule(Cluster(seed), schedule)


def test_a_leader_with_a_full_disk_gives_way_and_follows_once_there_is_room():
    cluster = Cluster(5)
    cluster.run(4.0)
    first = cluster.leader()
    first.disk.full = True
    cluster.submit(1, 0)
    cluster.run(4.0)
    leader = cluster.leader()
    assert leader is not None and leader is not first
    cluster.submit(2, cluster.newest_version())
    cluster.run(1.0)
    version = cluster.newest_version()
    assert max(cluster.accepted) == version
    assert first.machine.version < version
    first.disk.full = False
    cluster.run(2.0)
    assert first.machine.version == version
    cluster.check_settled()


def test_nothing_is_accepted_while_most_disks_are_full():
    cluster = Cluster(6)
    cluster.run(4.0)
    for vm in "ab":
        cluster.processes[vm].disk.full = True
    cluster.run(4.0)
    cluster.submit(1, 0)
    cluster.run(4.0)
    assert cluster.accepted == []
    for vm in "ab":
        cluster.processes[vm].disk.full = False
    cluster.run(4.0)
    cluster.submit(2, cluster.newest_version())
    cluster.run(1.0)
    assert cluster.accepted
    cluster.check_settled()


def test_a_full_disk_takes_no_entries_into_memory():
    cluster = Cluster(7)
    cluster.run(4.0)
    leader = cluster.leader()
    follower = next(p for p in cluster.processes.values() if p is not leader)
    follower.disk.full = True
    cluster.submit(1, 0)
    cluster.run(1.0)
    size = follower.state.log.last_index
    for number in range(2, 40):
        cluster.submit(number, cluster.newest_version())
        cluster.run(0.1)
    assert follower.state.log.last_index == size
    assert len(follower.disk.pending) < 5
    cluster.heal()
    cluster.check_settled()
    assert follower.machine.version == leader.machine.version


def test_a_leader_drops_its_own_request_to_an_earlier_identity():
    """A leader must drop a request of its own that was sent to its VM's lost disk."""
    schedule = [("loss", 1), ("crash", 9), ("slow", 3), ("submit", 5), ("submit", 4)]
    schedule += [("restart", 3), ("lose_disk", 2), ("seal", 3), ("heal_links", 8)]
    schedule += [("claim", 1), ("lose_disk", 5), ("resend", 4), ("resend", 8)]
    schedule += [("resend", 10), ("restart", 6), ("submit", 3), ("race", 6)]
    schedule += [("cut_one_way", 4), ("resend", 4), ("slow", 9), ("cut_one_way", 6)]
    schedule += [("restart", 7), ("wait", 4), ("lose_disk", 3)]
    run_schedule(Cluster(44578990), schedule)


def test_a_leader_is_elected_and_commits():
    cluster = Cluster(1)
    cluster.run(4.0)
    cluster.submit(1, 0)
    cluster.run(1.0)
    assert len(cluster.accepted) == 1
    cluster.check_settled()


def test_a_blank_disk_becomes_a_voter_before_another_vm_crashes():
    cluster = Cluster(2)
    cluster.run(4.0)
    cluster.submit(1, 0)
    cluster.run(1.0)
    leader = cluster.leader()
    lost = next(vm for vm in "abc" if vm != leader.vm)
    cluster.lose_disk(lost)
    cluster.start(lost)
    cluster.run(10.0)
    voters = cluster.leader().state.voter_ids
    assert cluster.processes[lost].disk.node in voters
    assert len(voters) == 3
    cluster.crash(leader.vm)
    cluster.run(5.0)
    cluster.submit(2, cluster.newest_version())
    cluster.run(1.0)
    assert len(cluster.accepted) == 2
    cluster.heal()
    cluster.check_settled()


def test_a_disk_that_is_lost_again_while_it_joins_costs_one_voter_only():
    for seed in range(10):
        cluster = Cluster(seed)
        cluster.run(4.0)
        lost = next(vm for vm in "abc" if vm != cluster.leader().vm)
        cluster.lose_disk(lost)
        cluster.start(lost)
        while not cluster.leader().state.learners:
            cluster.run(0.01)
        cluster.run(0.04)
        cluster.lose_disk(lost)
        cluster.start(lost)
        cluster.check_settled()
        nodes = {process.disk.node for process in cluster.processes.values()}
        assert cluster.leader().state.voter_ids == nodes
