"""Run the effects that the Raft handlers return."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from ..core.events import BECAME_LEADER
from ..core.events import ELECTION_FAILED
from ..core.events import LOST_LEADERSHIP
from ..core.events import QUORUM_AT_RISK
from ..core.events import QUORUM_SAFE
from ..core.events import SNAPSHOT_INSTALLED
from ..core.events import VOTERS_CHANGED
from ..core.events import emit
from ..core.failures import NotLeader
from ..core.message import payload_size
from ..core.registry import Registry
from ..core.states import Role
from ..messages.commands import ChangeVoters
from ..messages.commands import PutRouting
from .leader import LeaderState
from .machine.state import apply_entry
from .machine.state import load_state
from .metrics import QUORUM_SIZE
from .metrics import VOTERS
from .metrics import VOTERS_ANSWERING
from .raft.effects import Apply
from .raft.effects import ElectionFailed
from .raft.effects import MembershipChange
from .raft.effects import Persist
from .raft.effects import PersistSnapshot
from .raft.effects import QuorumChange
from .raft.effects import Restore
from .raft.effects import RoleChange
from .raft.effects import Send
from .raft.effects import SendAfterSync

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..core.ids import Instant
    from .node import NodeTask

EFFECTS: Registry[type[Any], Callable[[NodeTask, Any, Instant], Any]] = Registry(
    "handlers of Raft effects"
)


@EFFECTS.register(Send)
def run_send(node: NodeTask, effect: Send, now: Instant) -> None:
    """Send a message to a peer, without waiting for the disk."""
    node.outputs.send(effect.to, effect.message)


@EFFECTS.register(SendAfterSync)
@EFFECTS.register(PersistSnapshot)
def run_persist(node: NodeTask, effect: Any, now: Instant) -> None:
    """Pass an effect to the disk task in order."""
    node.persist(effect)


@EFFECTS.register(Persist)
def run_persist_batch(node: NodeTask, effect: Persist, now: Instant) -> None:
    """Pass a batch to the disk task, after its witness is published.

    Once the batch is confirmed to the leader, all answers to gateways must cover it.
    """
    commands = (entry.command for entry in effect.batch.entries)
    changes_witness = any(
        isinstance(command, PutRouting | ChangeVoters) for command in commands
    )
    if changes_witness or effect.batch.cut_from:
        node.publish()
    node.persist(effect)


@EFFECTS.register(Apply)
def run_apply(node: NodeTask, effect: Apply, now: Instant) -> None:
    """Apply committed entries and answer their proposers."""
    for entry in effect.entries:
        answer = apply_entry(node.machine, entry)
        node.applied_index = entry.index
        node.applied_bytes += payload_size(entry.command)
        node.update_accepted()
        reply = node.pending_replies.pop(entry.index, None)
        if reply is not None:
            reply(answer)


@EFFECTS.register(Restore)
def run_restore(node: NodeTask, effect: Restore, now: Instant) -> None:
    """Replace the replicated state by a snapshot's."""
    node.machine = load_state(effect.snapshot.state)
    node.snapshot_index = node.applied_index = effect.snapshot.index
    node.update_accepted()
    emit(SNAPSHOT_INSTALLED, index=effect.snapshot.index)


@EFFECTS.register(RoleChange)
def run_role_change(node: NodeTask, effect: RoleChange, now: Instant) -> None:
    """Refuse pending proposals, and create or remove the leader's state."""
    node.refuse_pending(NotLeader())
    if effect.role is Role.LEADER:
        node.leader_state = LeaderState(effect.term, now)
        emit(BECAME_LEADER, term=effect.term)
    else:
        node.leader_state = None
        emit(LOST_LEADERSHIP, term=effect.term)
    node.publish()


@EFFECTS.register(MembershipChange)
def run_membership_change(
    node: NodeTask, effect: MembershipChange, now: Instant
) -> None:
    """Update the links to the members of the log."""
    node.update_links()
    node.publish()
    silences = [item.silence for item in effect.removed if item.silence is not None]
    emit(
        VOTERS_CHANGED,
        voters=",".join(voter.node for voter in effect.voters),
        learners=len(effect.learners),
        added=",".join(effect.added),
        removed=",".join(item.node for item in effect.removed),
        removed_silent_ms=",".join(str(silence) for silence in silences),
    )


@EFFECTS.register(ElectionFailed)
def run_election_failed(node: NodeTask, effect: ElectionFailed, now: Instant) -> None:
    """Log which voters did not answer a candidate, and which refused."""
    emit(
        ELECTION_FAILED,
        term=effect.term,
        pre_vote=effect.pre_vote,
        voters=len(effect.voters),
        granted=len(effect.granted),
        refused=",".join(effect.refused),
        silent=",".join(effect.silent),
    )


@EFFECTS.register(QuorumChange)
def run_quorum_change(node: NodeTask, effect: QuorumChange, now: Instant) -> None:
    """Update the gauges of the quorum, and log when it can't lose another voter."""
    quorum = effect.quorum
    VOTERS.set(quorum.voters if quorum else 0)
    VOTERS_ANSWERING.set(quorum.answering if quorum else 0)
    QUORUM_SIZE.set(quorum.needed if quorum else 0)
    if quorum is None:
        return
    was_at_risk, node.quorum_at_risk = node.quorum_at_risk, quorum.spare < 1
    if node.quorum_at_risk:
        emit(
            QUORUM_AT_RISK,
            voters=quorum.voters,
            answering=quorum.answering,
            needed=quorum.needed,
            silent=",".join(quorum.silent),
        )
    elif was_at_risk:
        emit(QUORUM_SAFE, voters=quorum.voters, answering=quorum.answering)
