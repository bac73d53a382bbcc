"""Generate and run schedules of faults and requests for a simulated cluster."""

from __future__ import annotations

from hypothesis import strategies as st

from snipecart.core.ids import UnixMillis
from snipecart.messages.commands import ClaimKey
from snipecart.messages.commands import RecordedAnswer
from snipecart.messages.commands import RecordOutcome
from snipecart.messages.commands import SealNotRun

from .cluster import VMS
from .cluster import Cluster

ACTIONS = (
    "submit",
    "race",
    "resend",
    "claim",
    "record",
    "seal",
    "crash",
    "crash_all",
    "restart",
    "lose_disk",
    "freeze",
    "freeze_long",
    "cut_one_way",
    "cut_off",
    "heal_links",
    "loss",
    "slow",
    "wait",
)

DISK_ACTIONS = (*ACTIONS, "fill_disk", "fill_disk", "free_disk")

SCHEDULES = st.lists(
    st.tuples(st.sampled_from(ACTIONS), st.integers(0, 11)), min_size=4, max_size=24
)

DISK_SCHEDULES = st.lists(
    st.tuples(st.sampled_from(DISK_ACTIONS), st.integers(0, 11)),
    min_size=4,
    max_size=24,
)


def make_claim(number: int, attempt: int) -> ClaimKey:
    """Return a claim of a key by an attempt."""
    issued = UnixMillis(1_000_000)
    return ClaimKey(f"k{number}", "caller", "digest", f"try{attempt}", "m", issued)


def run_schedule(cluster: Cluster, schedule: list[tuple[str, int]]) -> None:
    """Run a schedule, end all faults and check the cluster."""
    cluster.run(3.0)
    for at, (action, number) in enumerate(schedule):
        run_action(cluster, action, number, at)
        cluster.run(0.05 + 0.15 * (number % 4))
    cluster.heal()
    cluster.check_settled()


def run_action(cluster: Cluster, action: str, number: int, at: int) -> None:
    """Run one action of a schedule."""
    vm = VMS[number % 3]
    peer = VMS[(number + 1 + number // 3 % 2) % 3]
    process = cluster.processes[vm]
    if action == "submit":
        cluster.submit(at, cluster.newest_version())
    elif action == "race":
        base = cluster.newest_version()
        cluster.submit(1000 + at, base)
        cluster.submit(2000 + at, base)
    elif action == "resend":
        cluster.submit(max(0, at - 1 - number % 3), cluster.newest_version())
    elif action == "claim":
        cluster.propose(make_claim(number % 4, at))
    elif action == "record":
        key = f"k{number % 4}"
        attempt = cluster.granted.get(key, "none")
        answer = RecordedAnswer(200, "t", f"{key}".encode())
        cluster.propose(RecordOutcome(key, "caller", attempt, answer))
    elif action == "seal":
        key = f"k{number % 4}"
        if key not in cluster.granted:
            issued = UnixMillis(1_000_000)
            cluster.propose(SealNotRun(key, "caller", "digest", f"seal{at}", issued))
    elif action == "crash":
        cluster.crash(vm)
    elif action == "crash_all":
        for vm_name in VMS:
            cluster.crash(vm_name)
            cluster.start(vm_name)
    elif action == "restart":
        cluster.crash(vm)
        cluster.start(vm)
    elif action == "lose_disk":
        _lose_disk(cluster, vm)
    elif action == "fill_disk":
        process.disk.full = True
    elif action == "free_disk":
        process.disk.full = False
    elif action == "freeze":
        process.frozen_until = cluster.now + 0.5
    elif action == "freeze_long":
        process.frozen_until = cluster.now + 3.0
    elif action == "cut_one_way":
        cluster.cut_links.add((vm, peer))
    elif action == "cut_off":
        cluster.cut_links |= {(vm, vm_name) for vm_name in VMS} | {
            (vm_name, vm) for vm_name in VMS
        }
    elif action == "heal_links":
        cluster.cut_links.clear()
    elif action == "loss":
        cluster.loss = 0.05 * (number % 4)
    elif action == "slow":
        cluster.slow = 0.3 * (number % 3)
    elif action == "wait":
        cluster.run(2.0)


def _lose_disk(cluster: Cluster, vm: str) -> None:
    """Replace a disk only while the other two VMs are voters of a committed membership.

    Three control processes can't tolerate the loss of two disks at once.
    """
    leader = cluster.leader()
    if leader is None or leader.vm == vm:
        return
    ids = {cluster.processes[vm_name].disk.node for vm_name in VMS if vm_name != vm}
    voters = leader.state.voter_ids
    is_committed = leader.state.memberships[-1].index <= leader.state.commit
    if len(voters) == 3 and ids <= voters and is_committed:
        cluster.lose_disk(vm)
        cluster.start(vm)
