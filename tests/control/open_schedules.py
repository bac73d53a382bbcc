"""Generate and run schedules of faults for a cluster whose VMs are replaced.

A schedule stays within what the log must bear: one VM is lost at a time. A VM counts as
lost while it is down, frozen or cut off, and for SETTLE_SECONDS after it is back or
after the VM that replaces it has started.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from hypothesis import strategies as st

from snipecart.core.registry import Registry

from .cluster import InvariantViolation

if TYPE_CHECKING:
    from collections.abc import Callable

    from .open_cluster import OpenCluster

START_SECONDS = 6.0

SETTLE_SECONDS = 4.0
"""Time for which a VM still counts as lost once it is back."""

RECOVERY_SECONDS = 15.0
"""Time for a leader to be elected once all faults have ended."""

SETTLED_SECONDS = 20.0
"""Time after which the voters are the VMs, once a leader is elected."""

STABLE_SECONDS = 5.0
"""Time for which a leader must have led before its voters are counted."""

RECENT_SECONDS = 4.0
"""Time for which one that no longer counts as lost may still be a voter beside its
replacement."""

CHECK_INTERVAL = 0.25

FAULT_SECONDS = (0.5, 1.2, 2.0, 3.5, 5.0, 8.0)

REPLACEMENT_DELAYS = (0.0, 1.0, 2.0)
"""Seconds between the end of a VM and the start of the one that replaces it."""

DARK_SECONDS = 1.4
"""Time without power."""


@dataclass
class Schedule:
    """Run faults on a cluster, one VM at a time."""

    cluster: OpenCluster
    lost_until: dict[str, float] = field(default_factory=dict)
    """Until when each VM counts as lost."""
    ended_at: list[float] = field(default_factory=list)
    """When VMs ended for good that had been replaced before."""
    led_since: dict[str, float] = field(default_factory=dict)
    """Since when the process on each VM has held the lease."""
    vm_count: int = 0
    over: bool = False

    def __post_init__(self) -> None:
        self.size = len(self.cluster.processes)

    @property
    def now(self) -> float:
        """Return the virtual time."""
        return self.cluster.now

    def select_vm(self, number: int) -> str:
        """Return a VM by number: the leader's, the first one's, or any."""
        vms = list(self.cluster.processes)
        leader = self.cluster.leader()
        if number % 3 == 0 and leader is not None:
            return leader.vm
        return vms[0] if number % 3 == 1 else vms[number % len(vms)]

    def may_lose(self, vm: str) -> bool:
        """Return whether a VM may be lost now: it runs, and no other one is lost."""
        process = self.cluster.processes[vm]
        runs = process.state is not None and self.now >= process.frozen_until
        others = [until for other, until in self.lost_until.items() if other != vm]
        return runs and all(until <= self.now for until in others)

    def lose(self, vm: str, seconds: float) -> None:
        """Count a VM as lost for some seconds, and until it has settled."""
        until = self.now + seconds + SETTLE_SECONDS
        self.lost_until[vm] = max(until, self.lost_until.get(vm, 0.0))

    def none_is_lost(self) -> bool:
        """Return whether no VM counts as lost."""
        return all(until <= self.now for until in self.lost_until.values())

    def restart(self, vm: str) -> None:
        """Start a process that is down."""
        process = self.cluster.processes.get(vm)
        if process is not None and process.state is None:
            self.cluster.start(vm)

    def cut(self, links: set[tuple[str, str]], seconds: float) -> None:
        """Cut links for some seconds."""
        self.cluster.cut_links |= links
        self.cluster.after(seconds, self.cluster.cut_links.difference_update, links)

    def add_vm(self, old: str) -> str:
        """Start a VM that takes the place of another, and return its name."""
        self.vm_count += 1
        vm = f"{old[0]}{self.vm_count + 1}"
        self.cluster.add_vm(vm, self.list_seeds(old))
        return vm

    def list_seeds(self, vm: str) -> list[str]:
        """Return the seeds in the settings of a VM that starts with a blank disk."""
        return [other for other in self.cluster.processes if other != vm][:3]

    def replace_lost(self, old: str, delay: float) -> None:
        """End a VM for good, and start another one after a delay."""
        self.cluster.remove_vm(old)
        self.lose(old, delay)
        self.cluster.after(delay, self.add_vm, old)

    def end_replaced(self, old: str) -> None:
        """End a VM whose replacement runs, as soon as no VM is lost."""
        process = self.cluster.processes.get(old)
        if self.over or process is None:
            return
        if process.state is not None and self.none_is_lost():
            self.cluster.remove_vm(old)
            self.ended_at.append(self.now)
        else:
            self.cluster.after(1.0, self.end_replaced, old)

    def count_recently_lost(self) -> int:
        """Return how many VMs were lost in the last seconds, or are lost now."""
        since = self.now - RECENT_SECONDS
        lost = [until for until in self.lost_until.values() if until > since]
        ended = [at for at in self.ended_at if at + SETTLE_SECONDS > since]
        return len(lost) + len(ended)

    def check_voters(self) -> None:
        """Check that the voters are no more than the VMs, and those lost recently."""
        if self.over:
            return
        self.cluster.after(CHECK_INTERVAL, self.check_voters)
        leader = self.cluster.leader()
        if leader is None:
            self.led_since = {}
            return
        self.led_since = {leader.vm: self.led_since.get(leader.vm, self.now)}
        if self.now < self.led_since[leader.vm] + STABLE_SECONDS:
            return
        limit = len(self.cluster.processes) + self.count_recently_lost()
        if len(leader.state.voters) > limit:
            raise InvariantViolation(f"more voters than VMs ({limit})")


FAULTS: Registry[str, Callable[[Schedule, int], None]] = Registry("faults of schedules")


def select_seconds(number: int) -> float:
    """Return the seconds that a fault lasts."""
    return FAULT_SECONDS[number // 3 % len(FAULT_SECONDS)]


@FAULTS.register("replace")
def replace_vm(schedule: Schedule, number: int) -> None:
    """Lose a VM for good, and start another one with a blank disk."""
    vm = schedule.select_vm(number)
    if schedule.may_lose(vm) and schedule.none_is_lost():
        delay = REPLACEMENT_DELAYS[number // 3 % len(REPLACEMENT_DELAYS)]
        schedule.replace_lost(vm, delay)


@FAULTS.register("replace_planned")
def replace_planned(schedule: Schedule, number: int) -> None:
    """Start a VM, and end the one that it replaces later."""
    vm = schedule.select_vm(number)
    if not schedule.may_lose(vm) or len(schedule.cluster.processes) > schedule.size:
        return
    schedule.add_vm(vm)
    delay = SETTLE_SECONDS + select_seconds(number)
    schedule.cluster.after(delay, schedule.end_replaced, vm)


@FAULTS.register("lose_disk")
def lose_disk(schedule: Schedule, number: int) -> None:
    """Lose the disk of a VM, which starts with a blank one."""
    vm = schedule.select_vm(number)
    if schedule.may_lose(vm) and schedule.none_is_lost():
        _start_with_blank_disk(schedule, vm, select_seconds(number))


def _lose_disk(schedule: Schedule, vm: str) -> None:
    schedule.cluster.lose_disk(vm)
    schedule.cluster.known[vm].seeds = set(schedule.list_seeds(vm))


def _start_with_blank_disk(schedule: Schedule, vm: str, seconds: float) -> None:
    _lose_disk(schedule, vm)
    schedule.cluster.after(seconds, schedule.restart, vm)
    schedule.lose(vm, seconds)


@FAULTS.register("crash")
def crash(schedule: Schedule, number: int) -> None:
    """Crash a process, and start it again."""
    vm, seconds = schedule.select_vm(number), select_seconds(number)
    if schedule.may_lose(vm):
        schedule.cluster.crash(vm)
        schedule.cluster.after(seconds, schedule.restart, vm)
        schedule.lose(vm, seconds)


@FAULTS.register("freeze")
def freeze(schedule: Schedule, number: int) -> None:
    """Freeze a process."""
    vm, seconds = schedule.select_vm(number), select_seconds(number)
    if schedule.may_lose(vm):
        schedule.cluster.processes[vm].frozen_until = schedule.now + seconds
        schedule.lose(vm, seconds)


@FAULTS.register("flap")
def flap(schedule: Schedule, number: int) -> None:
    """Freeze a process for a little longer than it takes to remove it, repeatedly."""
    vm = schedule.select_vm(number)
    if schedule.may_lose(vm):
        schedule.lose(vm, 4 * 4.0)
        for turn in range(4):
            schedule.cluster.after(4.0 * turn, _freeze_again, schedule, vm)


def _freeze_again(schedule: Schedule, vm: str) -> None:
    process = schedule.cluster.processes.get(vm)
    if process is not None and not schedule.over:
        process.frozen_until = schedule.now + 3.5


@FAULTS.register("cut_off")
def cut_off(schedule: Schedule, number: int) -> None:
    """Cut a VM off from all others, in both directions, or in one."""
    vm, seconds = schedule.select_vm(number), select_seconds(number)
    if not schedule.may_lose(vm):
        return
    others = schedule.cluster.processes.keys() - {vm}
    sent, received = {(vm, vm2) for vm2 in others}, {(vm2, vm) for vm2 in others}
    links = (sent | received, sent, received)[number % 7 % 3]
    schedule.cut(links, seconds)
    schedule.lose(vm, seconds)


@FAULTS.register("cut_link")
def cut_link(schedule: Schedule, number: int) -> None:
    """Cut the link from one VM to another."""
    vm, seconds = schedule.select_vm(number), select_seconds(number)
    if schedule.may_lose(vm):
        others = [other for other in schedule.cluster.processes if other != vm]
        other = others[number % len(others)]
        schedule.cut({(vm, other) if number % 2 else (other, vm)}, seconds)
        schedule.lose(vm, seconds)


@FAULTS.register("cut_in_halves")
def cut_in_halves(schedule: Schedule, number: int) -> None:
    """Cut the VMs into two halves."""
    if not schedule.none_is_lost():
        return
    vms = sorted(schedule.cluster.processes)
    schedule.cluster.rng.shuffle(vms)
    first, second = vms[: len(vms) // 2], vms[len(vms) // 2 :]
    links = {(vm, vm2) for vm in first for vm2 in second}
    seconds = select_seconds(number)
    schedule.cut(links | {(vm2, vm) for vm, vm2 in links}, seconds)
    for vm in vms:
        schedule.lose(vm, seconds)


@FAULTS.register("power")
def lose_power(schedule: Schedule, number: int) -> None:
    """Lose the power of all VMs, and with it the disk of one, if none is lost yet."""
    vms = list(schedule.cluster.processes)
    wiped = schedule.select_vm(number)
    with_disk = number % 2 == 0 and schedule.none_is_lost()
    for vm in vms:
        schedule.cluster.crash(vm)
        if with_disk and vm == wiped:
            _lose_disk(schedule, vm)
        schedule.cluster.after(DARK_SECONDS, schedule.restart, vm)
    for vm in vms:
        schedule.lose(vm, DARK_SECONDS)


@FAULTS.register("loss")
def lose_messages(schedule: Schedule, number: int) -> None:
    """Lose some messages from now on, or none."""
    schedule.cluster.loss = 0.03 * (number % 4)


@FAULTS.register("slow")
def delay_messages(schedule: Schedule, number: int) -> None:
    """Delay messages from now on, or none."""
    schedule.cluster.slow = 0.05 * (number % 3)


@FAULTS.register("wait")
def wait(schedule: Schedule, number: int) -> None:
    """Wait, for longer than a VM still counts as lost."""
    schedule.cluster.run(2.0 + select_seconds(number))


@FAULTS.register("settle")
def settle(schedule: Schedule, number: int) -> None:
    """Wait until no VM counts as lost, and no longer."""
    end = max(schedule.lost_until.values(), default=0.0)
    schedule.cluster.run(max(0.0, end - schedule.now) + 0.01)


OPEN_SCHEDULES = st.lists(
    st.tuples(
        st.sampled_from([*FAULTS, "replace", "settle", "settle"]), st.integers(0, 41)
    ),
    min_size=4,
    max_size=24,
)


def run_open_schedule(cluster: OpenCluster, faults: list[tuple[str, int]]) -> None:
    """Run a schedule, end all faults, and check the cluster."""
    schedule = Schedule(cluster)
    cluster.run(START_SECONDS)
    schedule.check_voters()
    for at, (fault, number) in enumerate(faults):
        cluster.submit(at, cluster.newest_version())
        FAULTS.get(fault)(schedule, number)
        cluster.run(0.05 + 0.3 * (number % 4))
    cluster.run(max(REPLACEMENT_DELAYS))
    schedule.over = True
    cluster.heal()
    check_recovered(cluster)
    check_members(cluster)


def check_recovered(cluster: OpenCluster) -> None:
    """Check that there is a leader in time, which accepts a change."""
    cluster.run(RECOVERY_SECONDS)
    before = len(cluster.accepted)
    if cluster.leader() is None:
        raise InvariantViolation("no leader after healing")
    cluster.submit(len(cluster.submitted) + 1_000, cluster.newest_version())
    cluster.run(1.0)
    if len(cluster.accepted) == before:
        raise InvariantViolation("no change was accepted after healing")
    cluster.check_settled()


def check_members(cluster: OpenCluster) -> None:
    """Check that the voters are the VMs, once the membership has settled."""
    cluster.run(SETTLED_SECONDS)
    state = cluster.leader().state
    nodes = {process.disk.node for process in cluster.processes.values()}
    if state.voter_ids != nodes or state.learners:
        raise InvariantViolation(f"voters {state.voter_ids} instead of {nodes}")
