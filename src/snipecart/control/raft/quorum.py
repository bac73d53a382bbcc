"""Tell how many voters answer, and how many more the log can lose."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ...core.states import Role
from . import timing

if TYPE_CHECKING:
    from ...core.ids import Instant
    from ...core.ids import NodeId
    from .state import RaftState


@dataclass(frozen=True)
class Quorum:
    """Describe the voters of the log as their leader sees them."""

    voters: int
    answering: int
    """Voters that answered within an election timeout, with the leader."""
    needed: int
    """Voters that form a quorum."""
    silent: tuple[NodeId, ...]
    """Voters that did not answer in that time."""

    @property
    def spare(self) -> int:
        """Return how many more voters may be lost while the log has a quorum."""
        return self.answering - self.needed


def describe_quorum(state: RaftState, now: Instant) -> Quorum | None:
    """Return the quorum, or None unless this process has led for long enough to know.

    A new leader needs an election timeout to hear from all voters.
    """
    known_from = state.leader_since + timing.ELECTION_TIMEOUT_MIN
    if state.role is not Role.LEADER or now < known_from:
        return None
    silent = tuple(
        node.node
        for node in state.voters
        if node.node != state.node_id and not _answers(state, node.node, now)
    )
    voters = len(state.voters)
    return Quorum(voters, voters - len(silent), state.quorum_size(), silent)


def _answers(state: RaftState, node: NodeId, now: Instant) -> bool:
    peer = state.progress.get(node)
    return peer is not None and now < peer.confirmed + timing.ELECTION_TIMEOUT_MIN
