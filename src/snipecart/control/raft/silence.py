"""Track for how long voters have given no sign of life, across changes of leader."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...core.ids import Instant
from ...core.ids import Millis
from ...core.states import Role
from ...messages.raft import SilentVoter
from . import timing

if TYPE_CHECKING:
    from ...core.ids import NodeId
    from ...messages.commands import Node
    from .state import RaftState


def record_start(state: RaftState, now: Instant) -> None:
    """Count every other voter as seen when this process starts."""
    state.last_seen = dict.fromkeys(state.voter_ids, now)


def record_sign_of_life(state: RaftState, node: NodeId, now: Instant) -> None:
    """Record that a node has just sent a message.

    From its own voters a leader counts answers only: one that can send, but gets no
    requests, is of no use to the quorum.
    """
    if state.role is not Role.LEADER or node not in state.voter_ids:
        state.last_seen[node] = now


def record_reported_silence(
    state: RaftState, silent: tuple[SilentVoter, ...], now: Instant
) -> None:
    """Record what the leader knows of the voters: all but the silent ones answer it."""
    seen = {node.node: now for node in state.voters}
    for item in silent:
        seen[item.node] = Instant(now - item.silence / 1000)
    state.last_seen = seen


def record_own_answers(state: RaftState) -> None:
    """Record when the followers last answered this process while it was the leader."""
    for node, peer in state.progress.items():
        seen = max(state.last_seen.get(node, -1.0), peer.confirmed)
        if seen >= 0:
            state.last_seen[node] = Instant(seen)


def update_silent(state: RaftState, now: Instant) -> None:
    """List the voters that are silent, if this process leads.

    The list goes with each request to each follower, so it is made once for all.
    """
    if state.role is not Role.LEADER:
        return
    silences = ((node.node, seconds_silent(state, node, now)) for node in state.voters)
    state.silent_voters = tuple(
        SilentVoter(node, Millis(int(seconds * 1000)))
        for node, seconds in silences
        if seconds > timing.SILENCE_THRESHOLD
    )


def seconds_silent(state: RaftState, node: Node, now: Instant) -> float:
    """Return the seconds since the last sign of life of a voter.

    Counted from the start of this leadership if nothing is known of it from before.
    """
    if node.node == state.node_id:
        return 0.0
    peer = state.progress.get(node.node)
    seen = state.last_seen.get(node.node, state.leader_since)
    return now - max(peer.confirmed if peer else -1.0, seen)


def may_be_replaced(state: RaftState, node: Node, now: Instant) -> bool:
    """Return whether a voter counts as gone, so that another may take its place."""
    if now < state.leader_since + timing.NEW_LEADER_GRACE:
        return False
    return seconds_silent(state, node, now) > timing.REPLACE_VOTER_TIMEOUT
