"""Describe for operators how far the log is from losing its quorum, or its leader."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ...core.ids import Millis
from ...core.states import Role
from . import timing
from .quorum import describe_quorum

if TYPE_CHECKING:
    from ...core.ids import Instant
    from ...messages.raft import SilentVoter
    from .state import ElectionFailed
    from .state import RaftState


@dataclass(frozen=True)
class QuorumStatus:
    """Describe the voters of the log as their leader sees them."""

    voters: int
    answering: int
    needed: int
    spare: int
    """Voters that may still be lost; below 0 if too few answer."""
    silent: tuple[SilentVoter, ...]


@dataclass(frozen=True)
class LeaderlessStatus:
    """Describe a process that hears from no leader."""

    silence: Millis
    """Time since it heard from a leader, led, or started."""
    needed: int
    """Voters that form a quorum."""
    election: ElectionFailed | None
    """Its latest election without a quorum, if there was one since."""


def quorum_status(state: RaftState, now: Instant) -> QuorumStatus | None:
    """Return the quorum, or None unless this process has led it for a while."""
    quorum = describe_quorum(state, now)
    if quorum is None:
        return None
    return QuorumStatus(
        quorum.voters,
        quorum.answering,
        quorum.needed,
        quorum.spare,
        state.silent_voters,
    )


def leaderless_status(state: RaftState, now: Instant) -> LeaderlessStatus | None:
    """Return since when there is no leader, or None while there is one."""
    seconds = now - max(state.last_leader_contact, state.led_until)
    if state.role is Role.LEADER or seconds < timing.ELECTION_TIMEOUT_MIN:
        return None
    return LeaderlessStatus(
        Millis(int(seconds * 1000)), state.quorum_size(), state.failed_election
    )
