"""Follow the leader that sent a valid request, and answer it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...messages.raft import AppendAnswer
from .election import become_follower

if TYPE_CHECKING:
    from ...core.ids import Instant
    from ...core.ids import LogIndex
    from ...core.ids import NodeId
    from .state import Effect
    from .state import RaftState


def accept_leader(
    state: RaftState, term: int, leader: NodeId, now: Instant
) -> list[Effect]:
    """Follow the leader that sent a valid request, and restart the election timer."""
    effects = become_follower(state, term, leader, now)
    state.last_leader_contact = now
    state.reset_election_timer(now)
    return effects


def make_append_answer(
    state: RaftState, sent: int, matched: bool, index: LogIndex
) -> AppendAnswer:
    """Return the answer to a leader's request, sent at ``sent`` by its clock."""
    return AppendAnswer(state.term, state.node_id, matched, index, sent)
