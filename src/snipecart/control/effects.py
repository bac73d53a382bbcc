"""Carry out the effects of the log's decisions."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from ..core.events import BECAME_LEADER
from ..core.events import LOST_LEAD
from ..core.events import SNAPSHOT_INSTALLED
from ..core.events import VOTERS_CHANGED
from ..core.events import emit
from ..core.failures import NotLeader
from ..core.registry import Registry
from ..core.states import Role
from .lead import Lead
from .machine.state import apply_entry
from .machine.state import load_state
from .raft.state import Apply
from .raft.state import MembershipChange
from .raft.state import Persist
from .raft.state import PersistSnapshot
from .raft.state import Restore
from .raft.state import RoleChange
from .raft.state import Send
from .raft.state import SendAfterSync

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..core.ids import Instant
    from .node import NodeTask

EFFECTS: Registry[type[Any], Callable[[NodeTask, Any, Instant], Any]] = Registry(
    "effects of the log"
)


@EFFECTS.register(Send)
def run_send(node: NodeTask, effect: Send, now: Instant) -> None:
    """Send to a peer at once."""
    node.outlets.send(effect.to, effect.message)


@EFFECTS.register(SendAfterSync)
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
    node.snapshot_index = effect.snapshot.index
    node.adopt()
    emit(SNAPSHOT_INSTALLED, index=effect.snapshot.index)


@EFFECTS.register(RoleChange)
def run_role_changed(node: NodeTask, effect: RoleChange, now: Instant) -> None:
    """Start or drop what only a leader keeps."""
    node.drop_open(NotLeader())
    if effect.role is Role.LEADER:
        node.lead = Lead(effect.term, now)
        emit(BECAME_LEADER, term=effect.term)
    else:
        node.lead = None
        emit(LOST_LEAD, term=effect.term)


@EFFECTS.register(MembershipChange)
def run_voters_changed(node: NodeTask, effect: MembershipChange, now: Instant) -> None:
    """Keep links to all who are in the log."""
    node.outlets.relink((*effect.voters, *effect.learners))
    node.publish()
    voters = ",".join(voter.node for voter in effect.voters)
    emit(VOTERS_CHANGED, voters=voters, learners=len(effect.learners))
