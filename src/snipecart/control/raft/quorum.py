"""Tell how many voters answer, and how many more the log can lose."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ...core.states import Role
from . import timing
from .effects import QuorumChange

if TYPE_CHECKING:
    from ...core.ids import Instant
    from ...core.ids import NodeId
    from .state import Effect
    from .state import RaftState


@dataclass(frozen=True)
class Quorum:
    """Describe the voters of the log as their leader sees them."""

    voters: int
    answering: int
    """Voters that are not silent, with the leader."""
    needed: int
    """Voters that form a quorum."""
    silent: tuple[NodeId, ...]
    """Voters without a sign of life for SILENCE_THRESHOLD."""

    @property
    def spare(self) -> int:
        """Return how many more voters may be lost while the log has a quorum."""
        return self.answering - self.needed


def describe_quorum(state: RaftState, now: Instant) -> Quorum | None:
    """Return the quorum, or None unless this process has led it for a while."""
    known_from = state.leader_since + timing.NEW_LEADER_GRACE
    if state.role is not Role.LEADER or now < known_from:
        return None
    silent = tuple(voter.node for voter in state.silent_voters)
    voters = len(state.voters)
    return Quorum(voters, voters - len(silent), state.quorum_size(), silent)


def report_quorum(state: RaftState, now: Instant) -> list[Effect]:
    """Report the voters that answer this leader if they have changed."""
    quorum = describe_quorum(state, now)
    if quorum == state.reported_quorum:
        return []
    state.reported_quorum = quorum
    return [QuorumChange(quorum)]
