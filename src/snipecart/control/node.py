"""Run one control process's part: the log, the state, and members' requests."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from ..core.events import EVACUATION_ADOPTED
from ..core.events import ROUTING_ADOPTED
from ..core.events import SNAPSHOT_TAKEN
from ..core.events import TEXT_ACCEPTED
from ..core.events import emit
from ..core.failures import Failure
from ..core.failures import NoQuorum
from ..core.failures import NotLeader
from ..core.ids import Instant
from ..core.ids import LogIndex
from ..core.ids import NodeId
from ..core.states import Role
from ..core.task import Task
from ..messages.commands import Node
from ..messages.commands import Refused
from ..messages.raft import JoinRequest
from ..text.parse import parse_text
from ..wire.links import Received
from . import raft
from .discovery.task import Adopted
from .effects import EFFECTS
from .lead import AcceptedText
from .lead import Lead
from .machine.state import MachineState
from .machine.state import dump_state
from .raft import timing
from .raft.state import HANDLERS
from .raft.state import Compact
from .raft.state import Flush
from .raft.state import RaftState
from .raft.state import Tick
from .raft.state import step
from .requests import REQUESTS
from .requests import refused

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..text.model import Text

__all__ = ["NodeTask", "Outlets", "raft"]

EVERYONE = NodeId("*")
"""Stands for all other control processes."""

SNAPSHOT_EVERY = 2000
"""Entries applied between two snapshots."""

TICK = 0.02
"""Seconds between two looks at the clock, at the least."""

LONGEST_WAIT = 0.5
"""Seconds between two looks at the clock, at the most."""

JOIN_EVERY = 1.0
"""Seconds between two tries of a blank process to join."""


@dataclass(frozen=True)
class Outlets:
    """Hold where the node's effects leave it."""

    send: Callable[[NodeId, Any], Any]
    persist: Callable[[Any], bool]
    relink: Callable[[tuple[Node, ...]], Any]
    publish: Callable[[Adopted], Any] = lambda adopted: None
    """Told whenever the log holds other routing, evacuations or members."""


class DiskBehind(Exception):
    """Report a disk task that no longer takes effects."""


class NodeTask(Task):
    """Own the log's state, the replicated state and a leader's leases."""

    def __init__(
        self, state: RaftState, machine: MachineState, me: Node, outlets: Outlets
    ) -> None:
        super().__init__("node", 16_384)
        self.state = state
        self.machine = machine
        self.me = me
        self.outlets = outlets
        self.lead: Lead | None = None
        self.accepted = AcceptedText(machine.version, _parsed(machine.text))
        self.adopted = Adopted()
        self.open: dict[LogIndex, Callable[[Any], None]] = {}
        self._tick_due = Instant(0.0)
        self._join_due = Instant(0.0)
        self.snapshot_index = state.commit

    def next_wait(self, now: Instant) -> float:
        """Block until the log has something due."""
        state = self.state
        leads = state.role is Role.LEADER
        due = state.heartbeat_due if leads else state.election_due
        return min(max(due, self._tick_due) - now, LONGEST_WAIT)

    def handle(self, batch: list[Any], now: Instant) -> None:
        """Handle messages, then send what they led to in one go."""
        for message in batch:
            self._handle_one(message, now)
        self.run(step(self.state, Flush(), now), now)
        if now >= self._tick_due:
            self._tick_due = Instant(now + TICK)
            self.run(step(self.state, Tick(), now), now)
            self._seek_to_join(now)
        self._compact(now)

    def _handle_one(self, message: Any, now: Instant) -> None:
        if not isinstance(message, Received):
            self.run(step(self.state, message, now), now)
        elif type(message.message) in REQUESTS:
            REQUESTS.get(type(message.message))(self, message, now)
        elif type(message.message) in HANDLERS:
            self.run(step(self.state, message.message, now), now)
        else:
            message.reply(Refused("peer_message_invalid", "no such request"))

    def run(self, effects: list[Any], now: Instant) -> None:
        """Carry out effects in order."""
        for effect in effects:
            EFFECTS.get(type(effect))(self, effect, now)

    def persist(self, effect: Any) -> None:
        """Hand an effect to the disk, in order."""
        if not self.outlets.persist(effect):
            raise DiskBehind

    def refusal(self, now: Instant) -> Failure | None:
        """Return why this process may not answer for the quorum, if so."""
        if self.state.role is not Role.LEADER:
            return NotLeader(self.state.leader)
        if not self.state.has_leader_lease(now):
            return NoQuorum("leadership not confirmed")
        return None

    def adopt(self) -> None:
        """Take the accepted text from the replicated state."""
        if self.accepted.version != self.machine.version:
            parsed = _parsed(self.machine.text)
            self.accepted = AcceptedText(self.machine.version, parsed)
            emit(TEXT_ACCEPTED, version=self.machine.version)
        self.publish()

    def publish(self) -> None:
        """Tell what the log holds, if it has changed."""
        machine, before = self.machine, self.adopted
        members = self.state.committed_membership
        adopted = Adopted(
            machine.routing_version,
            machine.routing,
            machine.evacuation_index,
            tuple(machine.evacuated),
            self.state.voters,
            (*members.voters, *members.learners),
            members.index,
        )
        if adopted == before:
            return
        self.adopted = adopted
        self.outlets.publish(adopted)
        if adopted.routing_version != before.routing_version:
            emit(ROUTING_ADOPTED, version=adopted.routing_version)
        if adopted.evacuation_index != before.evacuation_index:
            zones = ",".join(adopted.evacuated)
            emit(EVACUATION_ADOPTED, index=adopted.evacuation_index, zones=zones)

    def drop_open(self, failure: Failure) -> None:
        """Refuse all proposals that wait."""
        for reply in self.open.values():
            reply(refused(failure))
        self.open.clear()

    def _seek_to_join(self, now: Instant) -> None:
        known = {node.node for node in (*self.state.voters, *self.state.learners)}
        unheard = now > self.state.last_leader_contact + timing.REJOIN_TIMEOUT
        lost = unheard and self.state.open_to_vms
        belongs = self.me.node in known and not lost
        if belongs or self.state.role is Role.LEADER or now < self._join_due:
            return
        self._join_due = Instant(now + JOIN_EVERY)
        self.outlets.send(EVERYONE, JoinRequest(self.me))

    def _compact(self, now: Instant) -> None:
        if self.state.commit < self.snapshot_index + SNAPSHOT_EVERY:
            return
        self.snapshot_index = self.state.commit
        data = dump_state(self.machine)
        self.run(step(self.state, Compact(data, self.state.commit), now), now)
        emit(SNAPSHOT_TAKEN, index=self.state.commit, size=len(data))


def _parsed(text: bytes) -> Text | None:
    if not text:
        return None
    parsed = parse_text(text)
    return parsed.ok if parsed.is_ok() else None
