"""Test that a quorum outlasts control VMs that are replaced one after the other."""

from __future__ import annotations

import pytest

from snipecart.control.raft import timing

from .open_cluster import FOUNDERS
from .open_cluster import OpenCluster

SEEDS = range(10)

START_SECONDS = 6.0

JOIN_DELAY = 1.0
"""Seconds between the end of a VM and the start of the one that replaces it."""

ACKNOWLEDGE_SECONDS = 4.0
"""Time in which a change must be acknowledged while a quorum is in contact."""

DARK_SECONDS = 1.4
"""Time without power."""

RECOVERY_SECONDS = 15.0
"""Time for a leader to be elected once all VMs are back."""


def replace_vms(cluster: OpenCluster, count: int, pace: float) -> None:
    """Replace VMs for good at a pace in seconds, each by one with a blank disk."""
    for old in list(cluster.processes)[:count]:
        cluster.remove_vm(old)
        cluster.run(JOIN_DELAY)
        seeds = list(cluster.processes)[:3]
        cluster.add_vm(f"{old[0]}2", seeds)
        cluster.run(pace - JOIN_DELAY)


def acknowledge_change(cluster: OpenCluster) -> None:
    """Submit a configuration until it is acknowledged."""
    end, before = cluster.now + ACKNOWLEDGE_SECONDS, len(cluster.accepted)
    number = 100
    while len(cluster.accepted) == before:
        assert cluster.now < end, "no change was acknowledged"
        number += 1
        cluster.submit(number, cluster.newest_version())
        cluster.run(0.1)


def lose_disk(cluster: OpenCluster, *, others_lose_power: bool) -> None:
    """Lose the disk of one VM while all others lose power, or run on."""
    vms = list(cluster.processes)
    lost = cluster.rng.choice(vms)
    cluster.lose_disk(lost)
    others = [vm for vm in vms if vm != lost] if others_lose_power else []
    cluster.lose_power(others)
    cluster.run(DARK_SECONDS)
    for vm in (lost, *others):
        cluster.start(vm)


def check_recovered(cluster: OpenCluster) -> None:
    """Check that a leader has every acknowledged configuration in time."""
    cluster.run(RECOVERY_SECONDS)
    leader = cluster.leader()
    assert leader is not None, "no leader"
    assert leader.machine.version == max(cluster.accepted)


def cut_off(cluster: OpenCluster, vm: str, seconds: float) -> None:
    """Cut a VM off from all others for some seconds."""
    for other in cluster.processes:
        cluster.cut_links |= {(vm, other), (other, vm)}
    cluster.run(seconds)
    cluster.cut_links.clear()


def test_a_voter_that_was_removed_too_early_does_not_keep_a_later_one_in_the_quorum():
    # The one that joins again must count as added, or nobody replaces the next loss.
    for seed in SEEDS:
        cluster = OpenCluster(seed)
        cluster.run(START_SECONDS)
        leader = cluster.leader().vm
        first, second = [vm for vm in FOUNDERS if vm != leader][:2]
        cluster.add_vm("f2", [leader])
        cluster.run(2.0)
        cut_off(cluster, first, 6.0)
        cluster.run(10.0)
        assert first in {node.vm for node in cluster.leader().state.voters}
        cluster.remove_vm(second)
        cluster.run(10.0)
        voters = {node.vm for node in cluster.leader().state.voters}
        assert voters == {*FOUNDERS, "f2"} - {second}


def test_a_vm_that_is_lost_before_it_became_a_voter_is_forgotten():
    cluster = OpenCluster(1)
    cluster.run(START_SECONDS)
    cluster.add_vm("f2", FOUNDERS[:3])
    while "f2" not in {node.vm for node in cluster.leader().state.learners}:
        cluster.run(0.01)
    cluster.remove_vm("f2")
    cluster.run(timing.FORGET_LEARNER_TIMEOUT + 2.0)
    assert not cluster.leader().state.learners
    assert {node.vm for node in cluster.leader().state.voters} == set(FOUNDERS)


@pytest.mark.parametrize("pace", [5.0, 6.0, 8.0, 11.0, 18.0])
def test_a_quorum_survives_four_vms_replaced_one_after_the_other(pace):
    for seed in SEEDS:
        cluster = OpenCluster(seed)
        cluster.run(START_SECONDS)
        replace_vms(cluster, 4, pace)
        acknowledge_change(cluster)


@pytest.mark.parametrize("pace", [5.0, 6.0, 8.0])
def test_a_log_of_three_voters_survives_the_replacement_of_all(pace):
    for seed in SEEDS:
        cluster = OpenCluster(seed, FOUNDERS[:3])
        cluster.run(START_SECONDS)
        replace_vms(cluster, 3, pace)
        acknowledge_change(cluster)
        lose_disk(cluster, others_lose_power=True)
        check_recovered(cluster)


@pytest.mark.parametrize("others_lose_power", [True, False])
@pytest.mark.parametrize("pace", [5.0, 6.0, 8.0, 11.0, 18.0])
def test_an_acknowledged_change_survives_a_lost_disk_after_replacements(
    pace, others_lose_power
):
    for seed in SEEDS:
        cluster = OpenCluster(seed)
        cluster.run(START_SECONDS)
        replace_vms(cluster, 3, pace)
        acknowledge_change(cluster)
        lose_disk(cluster, others_lose_power=others_lose_power)
        check_recovered(cluster)


def test_a_vm_that_is_replaced_as_planned_leaves_though_it_joined_again():
    # It froze beside its replacement, was removed for it, and came back as added.
    for seed in SEEDS:
        cluster = OpenCluster(seed)
        cluster.run(START_SECONDS)
        leader = cluster.leader().vm
        old = next(vm for vm in FOUNDERS if vm != leader)
        cluster.add_vm("f2", [leader])
        cluster.run(2.0)
        cut_off(cluster, old, 6.0)
        cluster.run(10.0)
        cluster.remove_vm(old)
        cluster.run(10.0)
        voters = {node.vm for node in cluster.leader().state.voters}
        assert voters == {*FOUNDERS, "f2"} - {old}


def test_a_blank_disk_does_not_take_the_place_that_an_added_vm_has_taken():
    # Else the log counts one founding voter more, and a later loss is never replaced.
    for seed in range(20, 30):
        cluster = OpenCluster(seed)
        cluster.run(START_SECONDS)
        leader = cluster.leader().vm
        first, second = [vm for vm in FOUNDERS if vm != leader][:2]
        cluster.lose_disk(first)
        cluster.run(timing.REPLACE_VOTER_TIMEOUT - 1.0)
        cluster.add_vm("f2", [leader])
        cluster.run(1.0)
        cluster.start(first)
        cluster.run(10.0)
        cluster.remove_vm(second)
        cluster.run(10.0)
        voters = {node.vm for node in cluster.leader().state.voters}
        assert voters == {*FOUNDERS, "f2"} - {second}


@pytest.mark.parametrize("seconds_before", [0.5, 2.0, 4.0])
def test_voters_that_are_gone_are_removed_within_seconds_of_a_loss_of_power(
    seconds_before,
):
    # A VM that was replaced as planned has just ended, and a disk is lost as well.
    for seed in SEEDS:
        cluster = OpenCluster(seed)
        cluster.run(START_SECONDS)
        old = cluster.leader().vm
        cluster.add_vm("f2", [vm for vm in FOUNDERS if vm != old][:3])
        cluster.run(4.0)
        acknowledge_change(cluster)
        cluster.remove_vm(old)
        cluster.run(seconds_before)
        lose_disk(cluster, others_lose_power=True)
        cluster.run(4.0)
        leader = cluster.leader().vm
        cluster.remove_vm(leader)
        cluster.add_vm("g2", list(cluster.processes)[:3])
        check_recovered(cluster)
