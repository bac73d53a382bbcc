"""Test replaced control VMs beside cuts, pauses, lost disks and changes of leader."""

from __future__ import annotations

import pytest

from .open_cluster import FOUNDERS
from .open_cluster import OpenCluster
from .open_schedules import SETTLE_SECONDS
from .open_schedules import START_SECONDS
from .open_schedules import check_members
from .open_schedules import check_recovered

SEEDS = range(6)

FLEET = tuple(f"{letter}1" for letter in "abcdefghijklmno")
"""Control VMs of a large site."""


def start_cluster(seed: int, founders: tuple[str, ...] = FOUNDERS) -> OpenCluster:
    """Return a cluster with a leader and an acknowledged change."""
    cluster = OpenCluster(seed, founders)
    cluster.run(START_SECONDS)
    cluster.submit(0, 0)
    cluster.run(0.2)
    return cluster


def add_vm(cluster: OpenCluster, vm: str) -> None:
    """Start a VM with a blank disk, whose settings list VMs that run."""
    cluster.add_vm(vm, list(cluster.processes)[-3:])


def replace_vm(cluster: OpenCluster, old: str, new: str) -> None:
    """Lose a VM for good, start another one, and wait until none counts as lost."""
    cluster.remove_vm(old)
    cluster.run(1.0)
    add_vm(cluster, new)
    cluster.run(SETTLE_SECONDS)


def pause_leader(cluster: OpenCluster, seconds: float) -> None:
    """Freeze the process that leads, if there is one."""
    leader = cluster.leader()
    if leader is not None:
        leader.frozen_until = cluster.now + seconds


def cut_off(cluster: OpenCluster, vm: str, seconds: float) -> None:
    """Cut a VM off from all others for some seconds."""
    others = cluster.processes.keys() - {vm}
    cluster.cut_links |= {(vm, other) for other in others}
    cluster.cut_links |= {(other, vm) for other in others}
    cluster.run(seconds)
    cluster.cut_links.clear()


def freeze(cluster: OpenCluster, vm: str, seconds: float) -> None:
    """Freeze a process for some seconds."""
    cluster.processes[vm].frozen_until = cluster.now + seconds
    cluster.run(seconds)


def check(cluster: OpenCluster) -> None:
    """Check that the cluster recovers, and that its voters are the VMs that run."""
    cluster.heal()
    check_recovered(cluster)
    check_members(cluster)


@pytest.mark.parametrize("seconds", [0.9, 2.5, 3.5, 8.0])
@pytest.mark.parametrize("fault", [cut_off, freeze])
def test_a_cut_or_a_pause_between_two_replacements(fault, seconds):
    for seed in SEEDS:
        cluster = start_cluster(seed)
        replace_vm(cluster, cluster.leader().vm, "f2")
        fault(cluster, cluster.leader().vm, seconds)
        cluster.run(SETTLE_SECONDS)
        replace_vm(cluster, cluster.leader().vm, "g2")
        check(cluster)


def test_the_leader_that_promoted_a_learner_loses_its_disk():
    for seed in SEEDS:
        cluster = start_cluster(seed)
        add_vm(cluster, "f2")
        while "f2" not in {node.vm for node in cluster.leader().state.voters}:
            cluster.run(0.01)
        leader = cluster.leader().vm
        cluster.lose_disk(leader)
        cluster.known[leader].seeds = set(cluster.processes)
        cluster.run(1.0)
        cluster.start(leader)
        check(cluster)


@pytest.mark.parametrize("pause", [1.2, 2.0])
@pytest.mark.parametrize("interval", [1.5, 2.5])
def test_leaders_that_change_every_few_seconds_while_vms_are_replaced(interval, pause):
    for seed in SEEDS:
        cluster = start_cluster(seed)
        for old in FOUNDERS[:4]:
            cluster.remove_vm(old)
            add_vm(cluster, f"{old[0]}2")
            end = cluster.now + 8.0
            while cluster.now < end:
                pause_leader(cluster, pause)
                cluster.run(interval)
        check(cluster)


def test_a_removed_voter_that_returns_with_its_old_log_while_the_leader_is_replaced():
    for seed in SEEDS:
        cluster = start_cluster(seed)
        leader = cluster.leader().vm
        stale, old = [vm for vm in FOUNDERS if vm != leader][:2]
        cluster.crash(stale)
        add_vm(cluster, "f2")
        cluster.run(8.0)
        assert stale not in {node.vm for node in cluster.leader().state.voters}
        cluster.submit(1, cluster.newest_version())
        cluster.run(0.5)
        cluster.remove_vm(leader)
        cluster.start(stale)
        cluster.run(1.0)
        add_vm(cluster, "g2")
        cluster.run(SETTLE_SECONDS)
        replace_vm(cluster, old, "h2")
        check(cluster)


@pytest.mark.parametrize("spares", [0, 1])
def test_voters_that_pause_again_and_again(spares):
    for seed in SEEDS:
        cluster = start_cluster(seed)
        flapping = next(vm for vm in FOUNDERS if vm != cluster.leader().vm)
        for number in range(spares):
            add_vm(cluster, f"f{number + 2}")
        for _ in range(6):
            cluster.processes[flapping].frozen_until = cluster.now + 3.5
            cluster.run(4.0)
        cluster.run(SETTLE_SECONDS)
        replace_vm(cluster, cluster.leader().vm, "g2")
        check(cluster)


def test_a_planned_replacement_whose_old_vm_still_answers_for_long():
    for seed in SEEDS:
        cluster = start_cluster(seed)
        for old in FOUNDERS:
            add_vm(cluster, f"{old[0]}2")
            cluster.run(SETTLE_SECONDS + seed)
            cluster.remove_vm(old)
        check(cluster)


def test_a_restart_when_all_seeds_are_gone():
    for seed in SEEDS:
        cluster = start_cluster(seed)
        for old in FOUNDERS[:3]:
            replace_vm(cluster, old, f"{old[0]}2")
        cluster.lose_power(cluster.processes)
        for vm in cluster.processes:
            cluster.start(vm)
        check(cluster)


def test_a_blank_disk_when_all_seeds_are_gone():
    for seed in SEEDS:
        cluster = start_cluster(seed)
        for old in FOUNDERS[:3]:
            replace_vm(cluster, old, f"{old[0]}2")
        cluster.lose_disk("d1")
        cluster.run(1.0)
        cluster.start("d1")
        check(cluster)


def test_a_large_fleet_loses_two_disks_beside_replacements():
    for seed in range(2):
        cluster = start_cluster(seed, FLEET)
        for old in ("a1", "b1", "c1"):
            replace_vm(cluster, old, f"{old[0]}2")
            vms = cluster.rng.sample([*cluster.processes], 2)
            for vm in vms:
                cluster.lose_disk(vm)
                cluster.known[vm].seeds = {*cluster.processes} - set(vms)
                cluster.run(0.3)
            cluster.run(1.0)
            for vm in vms:
                cluster.start(vm)
            cluster.run(SETTLE_SECONDS)
        check(cluster)
