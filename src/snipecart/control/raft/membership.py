"""Change the voters and learners of the log, one node at a time."""

from __future__ import annotations

from dataclasses import replace

from ...core.ids import Instant
from ...core.ids import LogIndex
from ...core.ids import Millis
from ...core.ids import UnixMillis
from ...core.states import Role
from ...messages.commands import ChangeVoters
from ...messages.commands import Node
from ...messages.raft import JoinRequest
from . import timing
from .effects import MembershipChange
from .effects import RemovedVoter
from .effects import Send
from .events import Propose
from .silence import may_be_replaced
from .silence import record_sign_of_life
from .silence import seconds_silent
from .state import HANDLERS
from .state import Effect
from .state import Progress
from .state import RaftState
from .state import step

MIN_VOTERS = 3
"""Voters that stay in the log; fewer could not lose one of them."""


@HANDLERS.register(JoinRequest)
def handle_join(state: RaftState, req: JoinRequest, now: Instant) -> list[Effect]:
    """Add a node as a learner if its VM may take part in the log.

    While an earlier change of the membership isn't committed, joiners wait and are then
    added together. Followers forward the request to the leader, at most once.
    """
    record_sign_of_life(state, req.joiner.node, now)
    if state.role is not Role.LEADER:
        return _forward_to_leader(state, req)
    state.waiting_joiners[req.joiner.vm] = req.joiner
    return _add_learners(state, now)


def make_join_request(state: RaftState, own_node: Node) -> JoinRequest:
    """Return the request of a process to join the log, or to join it again.

    One that has a log was a member before, and another voter may have its place now.
    """
    was_member = state.log.last_index > 0
    return JoinRequest(replace(own_node, added=own_node.added or was_member))


def select_contacts(state: RaftState, named: tuple[Node, ...]) -> tuple[Node, ...]:
    """Return the nodes that this process needs links to.

    They are the members that its log lists, and those that another process has named,
    unless this process is a voter and its log lists its leader: an old log may not.
    """
    members = (*state.voters, *state.learners)
    knows_leader = state.leader in {node.node for node in members}
    if state.node_id in state.voter_ids and knows_leader:
        return members
    return (*members, *named)


def _add_learners(state: RaftState, now: Instant) -> list[Effect]:
    """Propose all waiting joiners as learners; learners don't change any quorum."""
    if not (state.waiting_joiners and _can_change_membership(state)):
        return []
    member_ids = {node.node for node in (*state.voters, *state.learners)}
    prepared = [
        _prepare_learner(state, node, now)
        for node in state.waiting_joiners.values()
        if node.node not in member_ids
    ]
    state.waiting_joiners.clear()
    joiners = tuple(node for node in prepared if node is not None)
    if not joiners:
        return []
    for joiner in joiners:
        state.progress[joiner.node] = Progress(
            LogIndex(0), LogIndex(state.log.last_index + 1)
        )
    vms = {node.vm for node in joiners}
    remaining = tuple(node for node in state.learners if node.vm not in vms)
    return _propose_membership(state, state.voters, (*remaining, *joiners), now)


def _forward_to_leader(state: RaftState, req: JoinRequest) -> list[Effect]:
    if req.forwarded or not state.leader or state.leader == state.node_id:
        return []
    return [Send(state.leader, replace(req, forwarded=True))]


def _prepare_learner(state: RaftState, joiner: Node, now: Instant) -> Node | None:
    """Return the joiner as a learner, or None if it may not join.

    It replaces the voter or learner of its VM if that stopped answering, and keeps its
    ``added`` flag. Any other VM may join only if ``open_to_vms`` is set.
    """
    members = (*state.voters, *state.learners)
    vm_members = [node for node in members if node.vm == joiner.vm]
    if not vm_members:
        return joiner if state.open_to_vms else None
    if not all(
        may_be_replaced(state, node, now) for node in _other_voters_on_vm(state, joiner)
    ):
        return None
    return replace(joiner, added=vm_members[0].added)


def _can_change_membership(state: RaftState) -> bool:
    """Return whether this leader may change the membership.

    The last change and an entry of the leader's own term must be committed, so that
    the quorums of two successive memberships always overlap.
    """
    is_committed = (
        bool(state.memberships) and state.memberships[-1].index <= state.commit
    )
    return (
        state.role is Role.LEADER
        and is_committed
        and state.commit >= (state.term_start_index)
    )


def _other_voters_on_vm(state: RaftState, node: Node) -> list[Node]:
    return [
        other
        for other in state.voters
        if other.vm == node.vm and other.node != node.node
    ]


def _propose_membership(
    state: RaftState,
    voters: tuple[Node, ...],
    learners: tuple[Node, ...],
    now: Instant,
) -> list[Effect]:
    command = ChangeVoters(voters, learners)
    return step(state, Propose(command, UnixMillis(0)), now)


def maintain_voters(state: RaftState, now: Instant) -> list[Effect]:
    """Propose the next change of the voters, if one is due.

    In order of precedence: remove a silent voter if its VM has another node,
    remove a silent voter if it was added or an added VM replaces it, add the nodes that
    wait to join, promote a learner that has caught up, forget learners that are gone.
    """
    if not _can_change_membership(state):
        return []
    caught_up = [node for node in state.learners if _has_caught_up(state, node, now)]
    for node in (*state.voters, *caught_up):
        other_voters = _other_voters_on_vm(state, node)
        silent = [other for other in other_voters if may_be_replaced(state, other, now)]
        if silent:
            voters = tuple(other for other in state.voters if other != silent[0])
            return _propose_membership(state, voters, state.learners, now)
    removal = _remove_silent_voter(state, now)
    if removal is not None:
        return _propose_membership(state, removal.voters, removal.learners, now)
    added = _add_learners(state, now)
    if added:
        return added
    if caught_up:
        learners = tuple(other for other in state.learners if other != caught_up[0])
        voters = (*state.voters, caught_up[0])
        return _propose_membership(state, voters, learners, now)
    learners = tuple(node for node in state.learners if not _is_lost(state, node, now))
    if learners != state.learners:
        return _propose_membership(state, state.voters, learners, now)
    return []


def _is_lost(state: RaftState, learner: Node, now: Instant) -> bool:
    """Return whether to forget a learner, which may join again if VMs may."""
    is_silent = seconds_silent(state, learner, now) > timing.FORGET_LEARNER_TIMEOUT
    return state.open_to_vms and is_silent


def _remove_silent_voter(state: RaftState, now: Instant) -> ChangeVoters | None:
    """Return the membership without the voter silent for longest, if it may be removed.

    One that was added may always be, as the log had enough voters without it. Any other
    needs an added one that replaces it, and that loses its ``added`` flag, so that it
    replaces only one; a learner on the VM of the removed one counts as added from then
    on. Return None if nothing changes, or if fewer than MIN_VOTERS would be left.
    """
    silent = [node for node in state.voters if may_be_replaced(state, node, now)]
    reachable_added = [
        node for node in state.voters if node.added and node not in silent
    ]
    removable = silent if reachable_added else [node for node in silent if node.added]
    if not removable or len(state.voters) <= MIN_VOTERS:
        return None
    gone = max(removable, key=lambda node: seconds_silent(state, node, now))
    remaining = tuple(node for node in state.voters if node != gone)
    if gone.added:
        return ChangeVoters(remaining, state.learners)
    replacement = replace(reachable_added[0], added=False)
    voters = tuple(
        replacement if node == reachable_added[0] else node for node in remaining
    )
    learners = tuple(
        replace(node, added=True) if node.vm == gone.vm else node
        for node in state.learners
    )
    return ChangeVoters(voters, learners)


def _has_caught_up(state: RaftState, node: Node, now: Instant) -> bool:
    peer = state.progress.get(node.node)
    if peer is None or now > peer.confirmed + timing.ELECTION_TIMEOUT_MIN:
        return False
    return peer.match_index >= state.commit


def describe_change(
    state: RaftState, before: tuple[Node, ...], now: Instant
) -> MembershipChange:
    """Return the report of the current membership and of its change from ``before``."""
    earlier_ids = {node.node for node in before}
    return MembershipChange(
        state.voters,
        state.learners,
        tuple(node.node for node in state.voters if node.node not in earlier_ids),
        tuple(
            RemovedVoter(node.node, _known_silence(state, node, now))
            for node in before
            if node.node not in state.voter_ids
        ),
    )


def _known_silence(state: RaftState, node: Node, now: Instant) -> Millis | None:
    if state.role is not Role.LEADER:
        return None
    return Millis(int(seconds_silent(state, node, now) * 1000))
