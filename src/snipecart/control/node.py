"""Run one control process's part: the log, the state, and members' requests."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from ..core.events import BECAME_LEADER
from ..core.events import LOST_LEAD
from ..core.events import SNAPSHOT_INSTALLED
from ..core.events import SNAPSHOT_TAKEN
from ..core.events import TEXT_ACCEPTED
from ..core.events import VOTERS_CHANGED
from ..core.events import emit
from ..core.failures import Busy
from ..core.failures import Failure
from ..core.failures import NoQuorum
from ..core.failures import NotLeader
from ..core.ids import Instant
from ..core.ids import LogIndex
from ..core.ids import NodeId
from ..core.ids import UnixMillis
from ..core.registry import Registry
from ..core.states import Role
from ..core.task import Task
from ..messages.commands import ClaimKey
from ..messages.commands import Node
from ..messages.commands import RecordOutcome
from ..messages.commands import Refused
from ..messages.commands import SealNotRun
from ..messages.commands import SubmitText
from ..messages.members import FetchText
from ..messages.members import Heartbeat
from ..messages.members import TextAnswer
from ..messages.raft import JoinRequest
from ..text.parse import parse_text
from ..wire.links import Received
from . import raft
from .lead import AcceptedText
from .lead import Lead
from .machine.state import MachineState
from .machine.state import apply_entry
from .machine.state import dump_state
from .machine.state import load_state
from .raft.state import HANDLERS
from .raft.state import Apply
from .raft.state import Compact
from .raft.state import Flush
from .raft.state import Persist
from .raft.state import PersistSnapshot
from .raft.state import Propose
from .raft.state import RaftState
from .raft.state import Restore
from .raft.state import RoleChanged
from .raft.state import Send
from .raft.state import SendSynced
from .raft.state import Tick
from .raft.state import VotersChanged
from .raft.state import step

__all__ = ["NodeStatus", "NodeTask", "Outlets", "StatusQuery", "raft"]

EVERYONE = NodeId("*")
"""Stands for all other control processes."""

SNAPSHOT_EVERY = 2000
"""Entries applied between two snapshots."""

MAX_OPEN = 4096
"""Proposals that may wait to be committed."""

TICK = 0.02
"""Seconds between two looks at the clock, at the least."""

LONGEST_WAIT = 0.5
"""Seconds between two looks at the clock, at the most."""

JOIN_EVERY = 1.0
"""Seconds between two tries of a blank process to join."""


@dataclass(frozen=True)
class StatusQuery:
    """Ask what this process knows; answered by NodeStatus."""


@dataclass(frozen=True)
class NodeStatus:
    """Tell what a control process knows."""

    node: NodeId
    role: Role
    leader: NodeId
    term: int
    commit: int
    voters: tuple[Node, ...]
    learners: tuple[Node, ...]
    confirmed: bool
    version: int
    text: bytes
    in_force: bool
    lagging: tuple[str, ...]
    members: tuple[Any, ...]
    endpoints: tuple[Any, ...]
    claims: int


@dataclass(frozen=True)
class Outlets:
    """Hold where the node's effects leave it."""

    send: Callable[[NodeId, Any], Any]
    persist: Callable[[Any], bool]
    relink: Callable[[tuple[Node, ...]], Any]


class DiskBehind(Exception):
    """Report a disk task that no longer takes effects."""


RequestHandler = Callable[["NodeTask", Received, Instant], Any]

REQUESTS: Registry[type[Any], RequestHandler] = Registry("requests to a control node")
EFFECTS: Registry[type[Any], Callable[[NodeTask, Any, Instant], Any]] = Registry(
    "effects of the log"
)


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
        self.open: dict[LogIndex, Callable[[Any], None]] = {}
        self._tick_due = Instant(0.0)
        self._join_due = Instant(0.0)
        self._snapshot_index = state.commit

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
        if not self.state.may_speak(now):
            return NoQuorum("leadership not confirmed")
        return None

    def adopt(self) -> None:
        """Take the accepted text from the replicated state."""
        if self.accepted.version != self.machine.version:
            parsed = _parsed(self.machine.text)
            self.accepted = AcceptedText(self.machine.version, parsed)
            emit(TEXT_ACCEPTED, version=self.machine.version)

    def drop_open(self, failure: Failure) -> None:
        """Refuse all proposals that wait."""
        for reply in self.open.values():
            reply(refused(failure))
        self.open.clear()

    def _seek_to_join(self, now: Instant) -> None:
        known = {node.node for node in (*self.state.voters, *self.state.learners)}
        if self.me.node in known or now < self._join_due:
            return
        self._join_due = Instant(now + JOIN_EVERY)
        self.outlets.send(EVERYONE, JoinRequest(self.me))

    def _compact(self, now: Instant) -> None:
        if self.state.commit < self._snapshot_index + SNAPSHOT_EVERY:
            return
        self._snapshot_index = self.state.commit
        data = dump_state(self.machine)
        self.run(step(self.state, Compact(data, self.state.commit), now), now)
        emit(SNAPSHOT_TAKEN, index=self.state.commit, size=len(data))


def refused(failure: Failure) -> Refused:
    """Return a failure as a message."""
    return Refused(failure.reason, failure.detail)


def _parsed(text: bytes):
    if not text:
        return None
    parsed = parse_text(text)
    return parsed.ok if parsed.is_ok() else None


@EFFECTS.register(Send)
def run_send(node: NodeTask, effect: Send, now: Instant) -> None:
    """Send to a peer at once."""
    node.outlets.send(effect.to, effect.message)


@EFFECTS.register(SendSynced)
@EFFECTS.register(Persist)
@EFFECTS.register(PersistSnapshot)
def run_persist(node: NodeTask, effect: Any, now: Instant) -> None:
    """Hand on to the disk in order."""
    node.persist(effect)


@EFFECTS.register(Apply)
def run_apply(node: NodeTask, effect: Apply, now: Instant) -> None:
    """Apply committed entries and answer who proposed them."""
    for entry in effect.entries:
        answer = apply_entry(node.machine, entry)
        node.adopt()
        reply = node.open.pop(entry.index, None)
        if reply is not None:
            reply(answer)


@EFFECTS.register(Restore)
def run_restore(node: NodeTask, effect: Restore, now: Instant) -> None:
    """Replace the replicated state."""
    node.machine = load_state(effect.snapshot.state)
    node._snapshot_index = effect.snapshot.index
    node.adopt()
    emit(SNAPSHOT_INSTALLED, index=effect.snapshot.index)


@EFFECTS.register(RoleChanged)
def run_role_changed(node: NodeTask, effect: RoleChanged, now: Instant) -> None:
    """Start or drop what only a leader keeps."""
    node.drop_open(NotLeader())
    if effect.role is Role.LEADER:
        node.lead = Lead(effect.term, now)
        emit(BECAME_LEADER, term=effect.term)
    else:
        node.lead = None
        emit(LOST_LEAD, term=effect.term)


@EFFECTS.register(VotersChanged)
def run_voters_changed(node: NodeTask, effect: VotersChanged, now: Instant) -> None:
    """Keep links to all who are in the log."""
    node.outlets.relink((*effect.voters, *effect.learners))
    voters = ",".join(voter.node for voter in effect.voters)
    emit(VOTERS_CHANGED, voters=voters, learners=len(effect.learners))


@REQUESTS.register(SubmitText)
@REQUESTS.register(ClaimKey)
@REQUESTS.register(RecordOutcome)
@REQUESTS.register(SealNotRun)
def propose_command(node: NodeTask, req: Received, now: Instant) -> None:
    """Put a command into the log; it is answered when applied."""
    failure = node.refusal(now)
    if failure is None and len(node.open) >= MAX_OPEN:
        failure = Busy("too many proposals wait")
    if failure is not None:
        req.reply(refused(failure))
        return
    at = UnixMillis(int(time.time() * 1000))
    node.run(step(node.state, Propose(req.message, at), now), now)
    node.open[node.state.log.last_index] = req.reply


@REQUESTS.register(Heartbeat)
def answer_heartbeat(node: NodeTask, req: Received, now: Instant) -> None:
    """Confirm the text to a member and renew its shares."""
    failure = node.refusal(now)
    if failure is not None or node.lead is None:
        req.reply(refused(failure or NotLeader()))
        return
    req.reply(node.lead.answer(req.message, node.accepted, now))


@REQUESTS.register(FetchText)
def answer_fetch(node: NodeTask, req: Received, now: Instant) -> None:
    """Give the accepted text."""
    failure = node.refusal(now)
    if failure is not None:
        req.reply(refused(failure))
        return
    req.reply(TextAnswer(node.machine.version, node.machine.text))


@REQUESTS.register(StatusQuery)
def answer_status(node: NodeTask, req: Received, now: Instant) -> None:
    """Tell what this process knows."""
    state, lead = node.state, node.lead
    confirmed = node.refusal(now) is None
    members = lead.directory.members.values() if lead else ()
    endpoints = lead.directory.endpoints.values() if lead else ()
    version = node.machine.version
    req.reply(
        NodeStatus(
            state.me,
            state.role,
            state.leader,
            state.term,
            state.commit,
            state.voters,
            state.learners,
            confirmed,
            version,
            node.machine.text,
            bool(confirmed and lead and lead.in_force(version, now)),
            tuple(lead.lagging(version)) if lead else (),
            tuple(members),
            tuple(item.announcement for item in endpoints),
            len(node.machine.claims),
        )
    )
