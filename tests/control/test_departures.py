"""Test the departures in the replicated state, and when a log has caught up."""

from __future__ import annotations

from dataclasses import replace

import pytest

from snipecart.control.machine.state import MachineState
from snipecart.control.machine.state import apply_entry
from snipecart.control.machine.state import dump_state
from snipecart.control.machine.state import load_state
from snipecart.core.states import EndpointState
from snipecart.core.states import Role
from snipecart.messages.commands import Entry
from snipecart.messages.discovery import DEPARTURE_LIFETIME
from snipecart.messages.discovery import Departure
from snipecart.messages.discovery import RecordDepartures
from tests.gateway.world import make_instance

from .cluster import Cluster

LEAVING = make_instance(1, born=1000, sequence=4, state=EndpointState.LEAVING)


def record(state, instance, *, gone, index, at=0):
    command = RecordDepartures((Departure(instance, gone),))
    apply_entry(state, Entry(index, 1, at, command))


def test_only_what_says_more_of_an_instance_is_recorded():
    state = MachineState()
    record(state, LEAVING, gone=False, index=1)
    record(state, replace(LEAVING, sequence=5), gone=False, index=2)
    assert [item.index for item in state.departures.values()] == [1]
    record(state, LEAVING, gone=True, index=3)
    record(state, LEAVING, gone=False, index=4)
    record(state, replace(LEAVING, born=999), gone=True, index=5)
    assert [item.index for item in state.departures.values()] == [3]
    record(state, replace(LEAVING, born=1001), gone=False, index=6)
    assert [item.index for item in state.departures.values()] == [6]


def test_departures_expire_once_no_late_heartbeat_can_arrive():
    state = MachineState()
    lifetime = int(DEPARTURE_LIFETIME * 1000)
    record(state, LEAVING, gone=True, index=1, at=1000)
    record(state, make_instance(2), gone=True, index=2, at=1000 + lifetime)
    assert len(state.departures) == 2
    record(state, make_instance(3), gone=True, index=3, at=1001 + lifetime)
    assert LEAVING.instance not in state.departures


def test_departures_are_part_of_a_snapshot():
    state = MachineState()
    record(state, LEAVING, gone=True, index=1, at=7)
    assert load_state(dump_state(state)).departures == state.departures


@pytest.mark.parametrize("seed", range(4))
def test_a_process_that_starts_again_has_caught_up_only_with_all_committed_entries(
    seed,
):
    cluster = Cluster(seed)
    cluster.run(4.0)
    assert all(item.state.caught_up for item in cluster.processes.values())
    follower = next(
        vm
        for vm, item in cluster.processes.items()
        if item.state.role is not Role.LEADER
    )
    others = set(cluster.processes) - {follower}
    cluster.crash(follower)
    cluster.submit(1, 0)
    cluster.run(1.0)
    version = max(cluster.accepted)
    for vm in others:
        cluster.crash(vm)
    for vm in cluster.processes:
        cluster.start(vm)
    process = cluster.processes[follower]
    assert not process.state.caught_up
    for _ in range(200):
        cluster.run(0.02)
        assert not process.state.caught_up or process.machine.version == version
    assert process.state.caught_up


def test_a_process_that_starts_beside_a_leader_without_a_quorum_has_not_caught_up():
    # Such a leader doesn't know yet that others have committed more in a newer term.
    for seed in range(40):
        cluster = Cluster(seed, founders=("a", "b", "c", "d", "e"))
        cluster.run(6.0)
        leader = cluster.leader().vm
        first, second, *others = [vm for vm in cluster.processes if vm != leader]
        cluster.cut_links = {
            pair
            for vm in (leader, first)
            for other in (second, *others)
            for pair in ((vm, other), (other, vm))
        }
        cluster.run(1.0 + 0.02 * seed)
        cluster.submit(1, cluster.newest_version())
        cluster.run(0.2)
        cluster.crash(first)
        cluster.start(first)
        process = cluster.processes[first]
        version = max(cluster.accepted, default=0)
        end = cluster.now + 4.0
        while cluster.now < end:
            cluster.run(0.02)
            assert not process.state.caught_up or process.machine.version >= version
        cluster.heal()
        cluster.run(6.0)
        assert process.state.caught_up
