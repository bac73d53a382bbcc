"""Declare what control processes tell each other about the log."""

from __future__ import annotations

from ..core.ids import LogIndex
from ..core.ids import NodeId
from ..core.ids import Term
from ..core.message import message
from .commands import Entry
from .commands import Node


@message
class VoteRequest:
    """Ask for a vote, or with ``pre_vote`` whether one would be given."""

    pre_vote: bool
    term: Term
    candidate: NodeId
    last_index: LogIndex
    last_term: Term


@message
class VoteAnswer:
    """Give or refuse a vote."""

    pre_vote: bool
    term: Term
    voter: NodeId
    granted: bool


@message
class AppendRequest:
    """Send entries after a known one; empty ones confirm the lead.

    ``sent`` is the leader's monotonic clock in microseconds, echoed in the answer.
    """

    term: Term
    leader: NodeId
    previous_index: LogIndex
    previous_term: Term
    entries: tuple[Entry, ...]
    commit: LogIndex
    sent: int


@message
class AppendAnswer:
    """Report how far a follower's synced log matches the leader's."""

    term: Term
    follower: NodeId
    matched: bool
    index: LogIndex
    sent: int


@message
class SnapshotRequest:
    """Send the state up to an index in place of the entries."""

    term: Term
    leader: NodeId
    index: LogIndex
    index_term: Term
    voters: tuple[Node, ...]
    learners: tuple[Node, ...]
    state: bytes
    sent: int


@message
class JoinRequest:
    """Ask the leader to teach a new control process the log."""

    joiner: Node
    forwarded: bool = False
    """Whether a follower has already handed it on to its leader."""


@message
class JoinAnswer:
    """Tell a new control process who is in the log."""

    nodes: tuple[Node, ...]


@message
class DiskBatch:
    """Hold what one sync makes durable.

    ``cut_from`` above zero drops entries from that index on, before the appended ones.
    """

    term: Term
    voted_for: NodeId
    cut_from: LogIndex
    entries: tuple[Entry, ...]


@message
class DiskSnapshot:
    """Hold the state up to an index, as kept on disk."""

    index: LogIndex
    index_term: Term
    voters: tuple[Node, ...]
    learners: tuple[Node, ...]
    state: bytes
