"""Change who votes, one process at a time."""

from __future__ import annotations

from ...core.ids import Instant
from ...core.ids import LogIndex
from ...core.ids import UnixMillis
from ...core.states import Role
from ...messages.commands import ChangeVoters
from ...messages.commands import Node
from ...messages.raft import JoinRequest
from . import timing
from .state import HANDLERS
from .state import Effect
from .state import Progress
from .state import Propose
from .state import RaftState
from .state import step


@HANDLERS.register(JoinRequest)
def handle_join(state: RaftState, req: JoinRequest, now: Instant) -> list[Effect]:
    """Teach a blank process the log in place of a silent voter of its VM."""
    joiner = req.joiner
    known = {node.node for node in (*state.voters, *state.learners)}
    if not _may_change(state) or joiner.node in known:
        return []
    if not any(node.vm == joiner.vm for node in state.voters):
        return []
    if any(_is_recent(state, node, now) for node in _others_of_vm(state, joiner)):
        return []
    learners = tuple(node for node in state.learners if node.vm != joiner.vm)
    state.progress[joiner.node] = Progress(
        LogIndex(0), LogIndex(state.log.last_index + 1)
    )
    return _change(state, state.voters, (*learners, joiner), now)


def _may_change(state: RaftState) -> bool:
    """Allow a change only after the last one and an own entry are committed."""
    settled = bool(state.members) and state.members[-1].index <= state.commit
    return state.role is Role.LEADER and settled and state.commit >= (state.lead_index)


def _others_of_vm(state: RaftState, node: Node) -> list[Node]:
    return [
        other
        for other in state.voters
        if other.vm == node.vm and other.node != node.node
    ]


def _is_recent(state: RaftState, node: Node, now: Instant) -> bool:
    if node.node == state.me:
        return True
    peer = state.progress.get(node.node)
    confirmed = max(peer.confirmed if peer else -1.0, state.lead_began)
    return now < confirmed + timing.RECENT


def _change(
    state: RaftState,
    voters: tuple[Node, ...],
    learners: tuple[Node, ...],
    now: Instant,
) -> list[Effect]:
    command = ChangeVoters(voters, learners)
    return step(state, Propose(command, UnixMillis(0)), now)


def maintain_voters(state: RaftState, now: Instant) -> list[Effect]:
    """Promote a learner that has caught up, then drop the voter it replaces."""
    if not _may_change(state):
        return []
    for node in state.voters:
        replaced = _others_of_vm(state, node)
        gone = [other for other in replaced if not _is_recent(state, other, now)]
        if gone:
            voters = tuple(other for other in state.voters if other != gone[0])
            return _change(state, voters, state.learners, now)
    for learner in state.learners:
        if _has_caught_up(state, learner, now):
            learners = tuple(other for other in state.learners if other != learner)
            return _change(state, (*state.voters, learner), learners, now)
    return []


def _has_caught_up(state: RaftState, node: Node, now: Instant) -> bool:
    peer = state.progress.get(node.node)
    if peer is None or now > peer.confirmed + timing.ELECTION_MIN:
        return False
    return peer.match >= state.commit
