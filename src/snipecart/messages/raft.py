"""Declare the messages that replicate the log between control processes."""

from __future__ import annotations

from typing import Any

from ..core.ids import LogIndex
from ..core.ids import Millis
from ..core.ids import NodeId
from ..core.ids import Term
from ..core.message import message
from ..core.message import record
from .commands import Entry
from .commands import Node


@message
class VoteRequest:
    """Request a vote, or with ``pre_vote`` ask whether one would be granted."""

    pre_vote: bool
    term: Term
    candidate: NodeId
    last_index: LogIndex
    last_term: Term


@message
class VoteAnswer:
    """Grant or refuse a vote or pre-vote."""

    pre_vote: bool
    term: Term
    voter: NodeId
    granted: bool


@record
class SilentVoter:
    """State for how long a voter has given no sign of life."""

    node: NodeId
    silence: Millis


@message
class AppendRequest:
    """Append entries after a previous one; without entries, confirm the leadership.

    ``sent`` is the leader's monotonic clock in microseconds, echoed in the answer.
    """

    term: Term
    leader: NodeId
    previous_index: LogIndex
    previous_term: Term
    entries: tuple[Entry, ...]
    commit: LogIndex
    sent: int
    silent: tuple[SilentVoter, ...] = ()
    """Voters that may be gone, so that the next leader knows for how long already."""
    confirmed: int = 0
    """Time of the latest request that a quorum has answered, by the clock of ``sent``;
    0 if none was."""


@message
class AppendAnswer:
    """Report up to which index a follower's synced log matches the leader's."""

    term: Term
    follower: NodeId
    matched: bool
    index: LogIndex
    sent: int


@message
class SnapshotRequest:
    """Send a snapshot of the state up to an index instead of the entries."""

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
    """Ask the leader to replicate the log to a new control process."""

    joiner: Node
    forwarded: bool = False
    """Whether a follower has already forwarded the request to its leader."""


@message
class JoinAnswer:
    """Send a new control process the members of the log."""

    nodes: tuple[Node, ...]


@message
class DiskBatch:
    """Store what one sync to disk makes durable.

    ``cut_from`` above zero removes entries from that index on, before ``entries`` are
    appended.
    """

    term: Term
    voted_for: NodeId
    cut_from: LogIndex
    entries: tuple[Entry, ...]
    commit: LogIndex = LogIndex(0)
    """Index up to which entries are known to be committed."""


@message
class DiskSnapshot:
    """Store a snapshot of the state up to an index on disk."""

    index: LogIndex
    index_term: Term
    voters: tuple[Node, ...]
    learners: tuple[Node, ...]
    state: bytes


def sender_of(req: Any) -> NodeId:
    """Return the process that sent a request of the Raft protocol, or an empty id."""
    if isinstance(req, AppendRequest | SnapshotRequest):
        return req.leader
    if isinstance(req, VoteRequest):
        return req.candidate
    return NodeId("")
