"""Run the replicated log, its state and the request handlers of a control process."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from ..core.events import EVACUATION_CHANGED
from ..core.events import LOG_CAUGHT_UP
from ..core.events import ROUTING_ACCEPTED
from ..core.events import SNAPSHOT_TAKEN
from ..core.events import TEXT_ACCEPTED
from ..core.events import emit
from ..core.failures import Failure
from ..core.failures import NoQuorum
from ..core.failures import NotLeader
from ..core.ids import Instant
from ..core.ids import LogIndex
from ..core.ids import NodeId
from ..core.ids import Term
from ..core.ids import VmName
from ..core.ids import vm_of
from ..core.message import payload_size
from ..core.states import Role
from ..core.task import Task
from ..messages.commands import Node
from ..messages.commands import Refused
from ..messages.discovery import RecordDepartures
from ..messages.raft import sender_of
from ..text.parse import parse_text
from ..wire.links import IncomingMessage
from . import raft
from .discovery.updates import CommittedState
from .effects import EFFECTS
from .leader import AcceptedText
from .leader import LeaderState
from .leases.limits import QuotaRule
from .machine.state import MachineState
from .machine.state import dump_state
from .raft import timing
from .raft.events import Compact
from .raft.events import Flush
from .raft.events import Tick
from .raft.membership import make_join_request
from .raft.membership import select_contacts
from .raft.state import HANDLERS
from .raft.state import RaftState
from .raft.state import step
from .requests import REQUESTS
from .requests import LeaderWaiter
from .requests import Reply
from .requests import make_refusal
from .witness import make_witness

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..messages.discovery import Departure
    from ..text.model import Text
    from .machine.state import RecordedDeparture

__all__ = ["NodeTask", "NodeOutputs", "raft"]

ALL_NODES = NodeId("*")
"""Id that addresses a message to all other control processes."""

SNAPSHOT_ENTRIES = 2000
"""Committed entries between two snapshots at most."""

SNAPSHOT_BYTES = 8_000_000
"""Bytes of committed entries between two snapshots, after which the next one is due."""

TICK_INTERVAL = 0.02
"""Minimum seconds between two ticks."""

MAX_WAIT = 0.5
"""Maximum seconds to wait for messages before the clock is checked."""

JOIN_INTERVAL = 0.4
"""Seconds between two join requests of a process that is not a member."""


@dataclass(frozen=True)
class NodeOutputs:
    """Store the functions through which the node acts on other tasks and peers."""

    send: Callable[[NodeId, Any], Any]
    persist: Callable[[Any], bool]
    update_links: Callable[[tuple[Node, ...]], Any]
    publish: Callable[[CommittedState], Any] = lambda committed_state: None
    """Called when the part of the replicated state that gateways need has changed.

    It must not lose the state: entries are confirmed to the leader right after it."""
    add_return_path: Callable[[VmName, Reply], Any] = lambda vm, reply: None
    """Called with each VM that sent a request, and how to answer it."""
    is_encodable: Callable[[Any], bool] = lambda command: True
    """Returns whether the log can store a command and send it to its members."""


class DiskQueueFull(Exception):
    """Report that the disk task accepts no more effects."""


class NodeTask(Task):
    """Own the state of the log, the replicated state and the leader's leases."""

    def __init__(
        self,
        state: RaftState,
        machine: MachineState,
        own_node: Node,
        outputs: NodeOutputs,
    ) -> None:
        super().__init__("node", 16_384)
        self.state = state
        self.machine = machine
        self.own_node = own_node
        self.outputs = outputs
        self.leader_state: LeaderState | None = None
        self.quota_rule = QuotaRule()
        """What the platform allows beyond organisations' limits, for a leader."""
        self.accepted = AcceptedText(machine.version, _parse_stored_text(machine.text))
        self.committed_state = CommittedState()
        self.quorum_at_risk = False
        """Whether the log would lose its quorum with one more voter, if this leads."""
        self.named_members: tuple[Node, ...] = ()
        """Members in the latest answer to a join request."""
        self.leader_waiters: list[LeaderWaiter] = []
        self.pending_replies: dict[LogIndex, Callable[[Any], None]] = {}
        self._tick_due = Instant(0.0)
        self._join_due = Instant(0.0)
        self.snapshot_index = state.snapshot.index if state.snapshot else LogIndex(0)
        self.applied_index = state.commit
        """Index of the last entry that is applied to the replicated state."""
        self.applied_bytes = sum(
            payload_size(entry.command)
            for entry in state.log.entries
            if entry.index > self.snapshot_index
        )
        """Bytes of the entries since the last snapshot."""

    def next_wait(self, now: Instant) -> float:
        """Return the seconds until the next Raft timer or tick is due."""
        state = self.state
        leads = state.role is Role.LEADER
        due = state.heartbeat_due if leads else state.election_due
        return min(max(due, self._tick_due) - now, MAX_WAIT)

    def handle(self, batch: list[Any], now: Instant) -> None:
        """Handle messages, then send each follower all new entries at once."""
        for message in batch:
            self._handle_message(message, now)
        self.run(step(self.state, Flush(), now), now)
        self._answer_leader_waiters(now)
        if self._has_caught_up() and not self.committed_state.caught_up:
            emit(LOG_CAUGHT_UP, index=self.state.commit, term=self.state.term)
            self.publish()
        if now >= self._tick_due:
            self._tick_due = Instant(now + TICK_INTERVAL)
            self.run(step(self.state, Tick(), now), now)
            self._request_join(now)
        self._compact(now)

    def _handle_message(self, message: Any, now: Instant) -> None:
        if not isinstance(message, IncomingMessage):
            self.run(step(self.state, message, now), now)
        elif type(message.message) in REQUESTS:
            REQUESTS.get(type(message.message))(self, message, now)
        elif type(message.message) in HANDLERS:
            sender = sender_of(message.message)
            if sender:
                self.outputs.add_return_path(vm_of(sender), message.reply)
            self.run(step(self.state, message.message, now), now)
        else:
            message.reply(Refused("peer_message_invalid", "unknown request type"))

    def run(self, effects: list[Any], now: Instant) -> None:
        """Run effects in order."""
        for effect in effects:
            EFFECTS.get(type(effect))(self, effect, now)

    def persist(self, effect: Any) -> None:
        """Pass an effect to the disk task in order, or raise DiskQueueFull."""
        if not self.outputs.persist(effect):
            raise DiskQueueFull

    def refusal(self, now: Instant) -> Failure | None:
        """Return why this process may not answer for the quorum, or None if it may."""
        if self.state.role is not Role.LEADER:
            return NotLeader(self.state.leader)
        if not self.state.has_leader_lease(now):
            return NoQuorum("leadership not confirmed")
        return None

    def update_accepted(self) -> None:
        """Update the accepted configuration from the replicated state."""
        if self.accepted.version != self.machine.version:
            parsed = _parse_stored_text(self.machine.text)
            self.accepted = AcceptedText(self.machine.version, parsed)
            emit(TEXT_ACCEPTED, version=self.machine.version)
        self.publish()

    def publish(self) -> None:
        """Publish the committed state that gateways need if it has changed.

        While a snapshot is being installed, the log has discarded entries that are not
        applied yet, so it does not show all that it contains.
        """
        if self.applied_index < self.state.log.base:
            return
        machine, before = self.machine, self.committed_state
        members = self.state.committed_membership
        committed_state = CommittedState(
            machine.routing_version,
            machine.routing,
            machine.evacuation_index,
            tuple(machine.evacuated),
            self.state.voters,
            (*members.voters, *members.learners),
            members.index,
            self._list_departures(),
            self._list_uncommitted_departures(),
            self._has_caught_up(),
            make_witness(self.state, machine, self.applied_index),
            tuple(node.node for node in members.voters),
            self.leader_vm(),
            self.state.term if self.state.role is Role.LEADER else Term(0),
        )
        if committed_state == before:
            return
        self.committed_state = committed_state
        self.outputs.publish(committed_state)
        if committed_state.routing_version != before.routing_version:
            emit(ROUTING_ACCEPTED, version=committed_state.routing_version)
        if committed_state.evacuation_index != before.evacuation_index:
            zones = ",".join(committed_state.evacuated)
            emit(
                EVACUATION_CHANGED, index=committed_state.evacuation_index, zones=zones
            )

    def _has_caught_up(self) -> bool:
        """Return whether what was committed before the start is applied here."""
        return self.state.caught_up and self.applied_index >= self.state.commit

    def _list_departures(self) -> tuple[RecordedDeparture, ...]:
        """Return the recorded departures; the same tuple while none was recorded."""
        recorded, before = self.machine.departures, self.committed_state.departures
        newest = next(reversed(recorded.values()), None)
        if before and before[-1] is newest and len(before) == len(recorded):
            return before
        return tuple(recorded.values())

    def _list_uncommitted_departures(self) -> tuple[Departure, ...]:
        """Return the departures in entries that are not known to be committed."""
        log = self.state.log
        entries = log.entries_between(self.state.commit + 1, log.last_index)
        return tuple(
            departure
            for entry in entries
            if isinstance(entry.command, RecordDepartures)
            for departure in entry.command.departures
        )

    def refuse_pending(self, failure: Failure) -> None:
        """Answer all pending proposals with a failure."""
        for reply in self.pending_replies.values():
            reply(make_refusal(failure))
        self.pending_replies.clear()

    def _answer_leader_waiters(self, now: Instant) -> None:
        """Answer those who wait for a leader, once there is one; drop overdue ones."""
        if not self.leader_waiters:
            return
        host = self.leader_host()
        if host:
            for waiter in self.leader_waiters:
                waiter.reply(host)
            self.leader_waiters.clear()
        self.leader_waiters = [
            item for item in self.leader_waiters if now < item.deadline
        ]

    def leader_vm(self) -> VmName:
        """Return the VM of the leader; empty if it isn't known."""
        return vm_of(self.state.leader) if self.state.leader else VmName("")

    def leader_host(self) -> str:
        """Return the host of the leader; empty if it isn't known."""
        if self.state.role is Role.LEADER:
            return self.own_node.host
        for node in (*self.state.voters, *self.state.learners):
            if node.node == self.state.leader:
                return node.host
        return ""

    def update_links(self) -> None:
        """Update the links to the members of the log."""
        self.outputs.update_links(select_contacts(self.state, self.named_members))

    def _request_join(self, now: Instant) -> None:
        """Ask all control processes to add this one, if it is not a member of the log.

        If the log is open to VMs, a member without contact to a leader for
        REJOIN_TIMEOUT asks as well.
        """
        member_ids = {node.node for node in (*self.state.voters, *self.state.learners)}
        leader_silent = now > self.state.last_leader_contact + timing.REJOIN_TIMEOUT
        lost_contact = leader_silent and self.state.open_to_vms
        is_member = self.own_node.node in member_ids and not lost_contact
        if is_member or self.state.role is Role.LEADER or now < self._join_due:
            return
        self._join_due = Instant(now + JOIN_INTERVAL)
        request = make_join_request(self.state, self.own_node)
        self.outputs.send(ALL_NODES, request)

    def _compact(self, now: Instant) -> None:
        """Store a snapshot after SNAPSHOT_ENTRIES or SNAPSHOT_BYTES."""
        few = self.state.commit < self.snapshot_index + SNAPSHOT_ENTRIES
        if few and self.applied_bytes < SNAPSHOT_BYTES:
            return
        self.snapshot_index, self.applied_bytes = self.state.commit, 0
        data = dump_state(self.machine)
        self.run(step(self.state, Compact(data, self.state.commit), now), now)
        emit(SNAPSHOT_TAKEN, index=self.state.commit, size=len(data))


def _parse_stored_text(text: bytes) -> Text | None:
    if not text:
        return None
    parsed = parse_text(text)
    return parsed.ok if parsed.is_ok() else None
