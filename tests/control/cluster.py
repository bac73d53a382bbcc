"""Simulate a Raft cluster with a virtual clock, network and disks."""

from __future__ import annotations

import heapq
from collections import defaultdict
from dataclasses import dataclass
from dataclasses import field
from random import Random
from typing import Any

from snipecart.control.disk.store import RecoveredState
from snipecart.control.disk.task import RETRY_INTERVAL
from snipecart.control.factory import restore_machine
from snipecart.control.factory import restore_raft_state
from snipecart.control.machine.state import MachineState
from snipecart.control.machine.state import apply_entry
from snipecart.control.machine.state import dump_state
from snipecart.control.machine.state import load_state
from snipecart.control.raft.effects import Apply
from snipecart.control.raft.effects import Persist
from snipecart.control.raft.effects import PersistSnapshot
from snipecart.control.raft.effects import Restore
from snipecart.control.raft.effects import Send
from snipecart.control.raft.effects import SendAfterSync
from snipecart.control.raft.events import Compact
from snipecart.control.raft.events import DiskStateChanged
from snipecart.control.raft.events import Flush
from snipecart.control.raft.events import Propose
from snipecart.control.raft.events import SyncCompletion
from snipecart.control.raft.events import Tick
from snipecart.control.raft.silence import record_start
from snipecart.control.raft.state import RaftState
from snipecart.control.raft.state import step
from snipecart.core.ids import Instant
from snipecart.core.ids import LogIndex
from snipecart.core.ids import NodeId
from snipecart.core.ids import Term
from snipecart.core.ids import UnixMillis
from snipecart.core.states import ClaimVerdict
from snipecart.core.states import DiskState
from snipecart.core.states import Role
from snipecart.core.states import SubmitVerdict
from snipecart.messages.commands import ChangeVoters
from snipecart.messages.commands import ClaimAnswer
from snipecart.messages.commands import ClaimKey
from snipecart.messages.commands import Entry
from snipecart.messages.commands import Node
from snipecart.messages.commands import RecordedAnswer
from snipecart.messages.commands import RecordOutcome
from snipecart.messages.commands import SealNotRun
from snipecart.messages.commands import SubmitAnswer
from snipecart.messages.commands import SubmitText
from snipecart.messages.raft import DiskBatch
from snipecart.messages.raft import JoinRequest

TICK_INTERVAL = 0.1
SYNC_SECONDS = 0.004
SNAPSHOT_EVERY_ENTRIES = 8
VMS = ("a", "b", "c")


class InvariantViolation(AssertionError):
    """Report a violated invariant."""


@dataclass
class Disk:
    """Simulate a disk, which loses the effects that are not synced at a crash."""

    node: NodeId
    synced: list[Any] = field(default_factory=list)
    pending: list[Any] = field(default_factory=list)
    full: bool = False
    """Whether it refuses every write."""

    def recover(self) -> RecoveredState:
        recovered = RecoveredState(self.node)
        for effect in self.synced:
            if isinstance(effect, PersistSnapshot):
                recovered.snapshot = effect.snapshot
                recovered.entries = []
                batch = effect.rest
            else:
                batch = effect.batch
            recovered.term, recovered.voted_for = batch.term, batch.voted_for
            if batch.cut_from:
                recovered.entries = [
                    item for item in recovered.entries if item.index < batch.cut_from
                ]
            recovered.entries += batch.entries
            recovered.commit = max(recovered.commit, batch.commit)
        return recovered


@dataclass
class Process:
    """Store the simulated state of one control process on a VM.

    ``rate`` is the speed of its clock, and ``pending_proposals`` the term and command
    that it proposed, by index.
    """

    vm: str
    disk: Disk
    rate: float
    state: RaftState | None = None
    machine: MachineState = field(default_factory=MachineState)
    frozen_until: float = 0.0
    sync_scheduled: bool = False
    blocked: bool = False
    """Whether a write failed and has not succeeded since."""
    inbox: list[Any] = field(default_factory=list)
    pending_proposals: dict[int, Any] = field(default_factory=dict)
    applied: int = 0


class Cluster:
    """Simulate control processes and check their invariants.

    ``ack_before_sync`` injects a fault: messages are sent before the disk has synced.
    """

    def __init__(
        self,
        seed: int,
        ack_before_sync: bool = False,
        sync_time: float = SYNC_SECONDS,
        founders: tuple[str, ...] = VMS,
    ) -> None:
        self.rng = Random(seed)
        self.now = 0.0
        self.ack_before_sync = ack_before_sync
        self.sync_time = sync_time
        self.cut_links: set[tuple[str, str]] = set()
        self.loss = 0.0
        self.slow = 0.0
        self.queue: list[Any] = []
        self.sequence = 0
        self.log: dict[int, Entry] = {}
        self.accepted: list[int] = []
        self.granted: dict[str, str] = {}
        self.sealed: set[str] = set()
        self.answers: dict[str, RecordedAnswer] = {}
        self.submitted: dict[str, SubmitAnswer] = {}
        self.seen: dict[str, int] = defaultdict(int)
        voters = tuple(Node(NodeId(f"{vm}/founder"), vm, vm, 1) for vm in founders)
        first = Entry(LogIndex(1), 1, UnixMillis(0), ChangeVoters(voters, ()))
        batch = DiskBatch(Term(1), NodeId(""), LogIndex(0), (first,))
        self.processes = {}
        for vm in founders:
            disk = Disk(NodeId(f"{vm}/founder"), [Persist(batch)])
            rate = self.rng.uniform(0.97, 1.03)
            self.processes[vm] = Process(vm, disk, rate)
            self.start(vm)

    def clock(self, process: Process) -> Instant:
        """Return the monotonic clock of a process, which drifts."""
        return Instant(1000.0 + self.now * process.rate)

    def start(self, vm: str) -> None:
        """Start a process from the contents of its disk."""
        process = self.processes[vm]
        recovered = process.disk.recover()
        state = restore_raft_state(recovered, self.rng.getrandbits(32))
        now = self.clock(process)
        state.last_leader_contact = now
        state.reset_election_timer(now)
        record_start(state, now)
        process.state = state
        process.machine = restore_machine(state)
        process.applied = state.commit
        process.inbox, process.pending_proposals, process.sync_scheduled = [], {}, False
        process.disk.pending, process.blocked = [], False
        self.after(TICK_INTERVAL, self.tick, vm, state)

    def crash(self, vm: str) -> None:
        """Crash a process; effects that were not synced are lost."""
        process = self.processes[vm]
        process.state, process.disk.pending = None, []

    def lose_disk(self, vm: str) -> None:
        """Crash a process and replace its disk by a blank one with a new identity."""
        self.crash(vm)
        self.sequence += 1
        self.processes[vm].disk = Disk(NodeId(f"{vm}/{self.sequence}"))

    def after(self, seconds: float, callback: Any, *args: Any) -> None:
        """Schedule a call after some virtual seconds."""
        self.sequence += 1
        heapq.heappush(self.queue, (self.now + seconds, self.sequence, callback, args))

    def run(self, seconds: float) -> None:
        """Run the scheduled calls of the next virtual seconds."""
        until = self.now + seconds
        while self.queue and self.queue[0][0] <= until:
            self.now, _, callback, args = heapq.heappop(self.queue)
            callback(*args)
        self.now = until

    def tick(self, vm: str, state: RaftState) -> None:
        """Advance the timers of a process until it is restarted."""
        process = self.processes.get(vm)
        if process is None or process.state is not state:
            return
        self.after(TICK_INTERVAL * self.rng.uniform(0.8, 1.2), self.tick, vm, state)
        if self.now < process.frozen_until:
            return
        inbox, process.inbox = process.inbox, []
        for message in inbox:
            self.handle_event(process, message)
        self.handle_event(process, Tick())
        self.send_join_request(process)
        self.check_read(process)
        if state.commit > process.applied:
            raise InvariantViolation("an entry was committed but not applied")
        last = state.snapshot.index if state.snapshot else 0
        if state.commit >= last + SNAPSHOT_EVERY_ENTRIES:
            data = dump_state(process.machine)
            self.handle_event(process, Compact(data, state.commit))

    def send_join_request(self, process: Process) -> None:
        """Send a join request if the process is not a member."""
        state = process.state
        member_ids = {node.node for node in (*state.voters, *state.learners)}
        if state.node_id not in member_ids:
            joiner = Node(state.node_id, process.vm, process.vm, 1)
            for vm in self.processes:
                self.send(process.vm, vm, JoinRequest(joiner))

    def handle_event(self, process: Process, event: Any) -> None:
        """Pass an event to a process and run the effects."""
        now = self.clock(process)
        effects = step(process.state, event, now)
        effects += step(process.state, Flush(), now)
        for effect in effects:
            self.run_effect(process, effect)

    def run_effect(self, process: Process, effect: Any) -> None:
        """Run one effect."""
        if (
            isinstance(effect, Send)
            or isinstance(effect, SendAfterSync)
            and self.ack_before_sync
        ):
            self.send(process.vm, effect.to.partition("/")[0], effect.message)
        elif isinstance(effect, Persist | PersistSnapshot | SendAfterSync):
            process.disk.pending.append(effect)
            if not process.sync_scheduled:
                process.sync_scheduled = True
                delay = self.rng.uniform(0.2, 2.0) * self.sync_time
                self.after(delay, self.sync, process.vm, process.state)
        elif isinstance(effect, Apply):
            self.apply(process, effect.entries)
        elif isinstance(effect, Restore):
            process.machine = load_state(effect.snapshot.state)
            process.applied = effect.snapshot.index

    def sync(self, vm: str, state: RaftState) -> None:
        """Make the pending effects durable, then send the messages that waited."""
        process = self.processes.get(vm)
        if process is None or process.state is not state:
            return
        process.sync_scheduled = False
        if process.disk.full:
            self.fail_sync(process)
            return
        pending, process.disk.pending = process.disk.pending, []
        if process.blocked:
            process.blocked = False
            self.deliver(vm, state.node_id, DiskStateChanged(DiskState.WRITABLE))
        completion = None
        for effect in pending:
            if isinstance(effect, SendAfterSync):
                self.send(vm, effect.to.partition("/")[0], effect.message)
                continue
            process.disk.synced.append(effect)
            batch = effect.rest if isinstance(effect, PersistSnapshot) else effect.batch
            last = batch.entries[-1] if batch.entries else None
            if last is not None:
                completion = SyncCompletion(batch.term, last.index, last.term)
            else:
                index = completion.index if completion else LogIndex(0)
                completion = SyncCompletion(
                    batch.term, index, completion.index_term if completion else -1
                )
        if completion is not None:
            self.deliver(vm, state.node_id, completion)

    def fail_sync(self, process: Process) -> None:
        """Keep the writes for another attempt, and drop the messages that waited."""
        process.disk.pending = [
            effect
            for effect in process.disk.pending
            if not isinstance(effect, SendAfterSync)
        ]
        process.sync_scheduled = True
        self.after(RETRY_INTERVAL, self.sync, process.vm, process.state)
        if not process.blocked:
            process.blocked = True
            blocked = DiskStateChanged(DiskState.BLOCKED)
            self.deliver(process.vm, process.state.node_id, blocked)

    def send(self, source: str, target: str, message: Any) -> None:
        """Send over a network that loses, delays, reorders and repeats messages."""
        if target not in self.processes or self.rng.random() < self.loss:
            return
        copies = 2 if self.rng.random() < 0.02 else 1
        for _ in range(copies):
            delay = self.rng.uniform(0.001, 0.02) + self.rng.random() * self.slow
            self.after(delay, self.arrive, source, target, message)

    def arrive(self, source: str, target: str, message: Any) -> None:
        """Deliver a message unless its link is cut."""
        if (source, target) not in self.cut_links:
            self.deliver(target, None, message)

    def deliver(self, vm: str, node: NodeId | None, message: Any) -> None:
        """Deliver a message to a process, after its freeze if it is frozen."""
        process = self.processes.get(vm)
        if (
            process is None
            or process.state is None
            or node not in (None, process.state.node_id)
        ):
            return
        if self.now < process.frozen_until:
            process.inbox.append(message)
        else:
            self.handle_event(process, message)

    def apply(self, process: Process, entries: tuple[Entry, ...]) -> None:
        """Apply entries, and check that all processes apply the same at each index."""
        for entry in entries:
            if entry.index != process.applied + 1:
                raise InvariantViolation(
                    f"{process.vm} skipped entries before {entry.index}"
                )
            applied_entry = self.log.setdefault(entry.index, entry)
            if applied_entry != entry:
                raise InvariantViolation(f"different entries at {entry.index}")
            before = process.machine.version
            answer = apply_entry(process.machine, entry)
            process.applied = entry.index
            if process.machine.version < before:
                raise InvariantViolation("the version of the configuration decreased")
            proposal = process.pending_proposals.pop(entry.index, None)
            if proposal == (entry.term, entry.command):
                self.record_answer(entry.command, answer)

    def record_answer(self, command: Any, answer: Any) -> None:
        """Record the answer that a client gets, and check it."""
        if isinstance(answer, SubmitAnswer):
            first_answer = self.submitted.setdefault(answer.submission, answer)
            if first_answer != answer and answer.verdict is not (
                SubmitVerdict.SUBMISSION_REUSED
            ):
                raise InvariantViolation("a resent submission got another answer")
            if answer.verdict is SubmitVerdict.ACCEPTED:
                self.accepted.append(answer.version)
        elif isinstance(answer, ClaimAnswer):
            self.check_claim_answer(command, answer)
        elif isinstance(command, SealNotRun) and answer.done:
            self.sealed.add(command.key)
            if command.key in self.answers:
                raise InvariantViolation("sealed as not run after an answer")
        elif isinstance(command, RecordOutcome) and answer.done:
            self.answers[command.key] = command.answer

    def check_claim_answer(self, command: ClaimKey, answer: ClaimAnswer) -> None:
        """Check that a key is granted to one attempt only."""
        if answer.verdict is ClaimVerdict.GRANTED:
            holder = self.granted.setdefault(command.key, command.attempt)
            if holder != command.attempt:
                raise InvariantViolation("a key was granted twice")
            if command.key in self.sealed:
                raise InvariantViolation("a sealed key was granted")
        recorded = self.answers.get(command.key, answer.answer)
        if answer.verdict is ClaimVerdict.ANSWERED and recorded != answer.answer:
            raise InvariantViolation(
                "a claim got an answer other than the recorded one"
            )

    def check_read(self, process: Process) -> None:
        """Check that a leader with a lease has every accepted configuration."""
        if not process.state.has_leader_lease(self.clock(process)):
            return
        newest_version = max(self.accepted, default=0)
        if process.machine.version < newest_version:
            raise InvariantViolation("a stale leader holds the lease")

    def propose(self, command: Any) -> bool:
        """Propose a command on every process that holds the leader lease.

        Return whether there was one.
        """
        has_leader = False
        for process in self.processes.values():
            state = process.state
            if state is None or self.now < process.frozen_until:
                continue
            if state.role is Role.LEADER and state.has_leader_lease(
                self.clock(process)
            ):
                at = UnixMillis(int(1_000_000 + self.now * 1000))
                index = state.log.last_index + 1
                process.pending_proposals[index] = (state.term, command)
                self.handle_event(process, Propose(command, at))
                has_leader = True
        return has_leader

    def submit(self, number: int, base: int) -> None:
        """Submit a configuration that follows version ``base``."""
        text = f"text {number}".encode()
        self.propose(SubmitText(f"s{number}", base, text))

    def newest_version(self) -> int:
        """Return the newest version of the configuration on any process."""
        versions = [item.machine.version for item in self.processes.values()]
        return max(versions)

    def heal(self) -> None:
        """End all faults and start the crashed processes."""
        self.cut_links, self.loss, self.slow = set(), 0.0, 0.0
        for vm, process in self.processes.items():
            process.frozen_until, process.disk.full = 0.0, False
            if process.state is None:
                self.start(vm)

    def leader(self) -> Process | None:
        """Return a process that holds the leader lease, or None."""
        for process in self.processes.values():
            if process.state and process.state.has_leader_lease(self.clock(process)):
                return process
        return None

    def check_settled(self) -> None:
        """Check that a healed cluster has a leader and all acknowledged changes."""
        self.run(12.0)
        leader = self.leader()
        if leader is None:
            raise InvariantViolation("no leader after healing")
        if leader.machine.version < max(self.accepted, default=0):
            raise InvariantViolation("an accepted configuration was lost")
        for key, answer in self.answers.items():
            claim = leader.machine.claims.get(f"caller\n{key}")
            if claim is None or claim.answer != answer:
                raise InvariantViolation("a recorded answer was lost")
        for key, attempt in self.granted.items():
            claim = leader.machine.claims.get(f"caller\n{key}")
            if claim is None or claim.attempt != attempt:
                raise InvariantViolation("a granted claim was lost")
