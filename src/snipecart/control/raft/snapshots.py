"""Replace the log by snapshots: take them, send them to followers and install them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...core.ids import LogIndex
from ...core.states import DiskState
from ...messages.raft import DiskSnapshot
from ...messages.raft import SnapshotRequest
from .effects import PersistSnapshot
from .effects import Restore
from .effects import Send
from .effects import SendAfterSync
from .events import Compact
from .following import accept_leader
from .following import make_append_answer
from .log import Log
from .membership import describe_change
from .state import HANDLERS
from .state import Effect
from .state import Membership
from .state import Progress
from .state import RaftState

if TYPE_CHECKING:
    from ...core.ids import Instant
    from ...messages.commands import Node

TRAILING_ENTRIES = 512
"""Entries before a snapshot that stay in the log at most.

Followers that lag by fewer need no snapshot.
"""

TRAILING_BYTES = 4_000_000
"""Bytes of the entries before a snapshot that stay in the log at most."""

SNAPSHOT_RETRY_INTERVAL = 2.0
"""Seconds before a snapshot is sent to the same peer again."""


def send_snapshot(
    state: RaftState, node: Node, peer: Progress, now: Instant
) -> list[Effect]:
    """Send a peer the latest snapshot, at most once per SNAPSHOT_RETRY_INTERVAL."""
    snapshot = state.snapshot
    if snapshot is None or now < peer.snapshot_sent_at + SNAPSHOT_RETRY_INTERVAL:
        return []
    peer.snapshot_sent_at = now
    return [
        Send(
            node.node,
            SnapshotRequest(
                state.term,
                state.node_id,
                snapshot.index,
                snapshot.index_term,
                snapshot.voters,
                snapshot.learners,
                snapshot.state,
                int(now * 1e6),
            ),
        )
    ]


@HANDLERS.register(SnapshotRequest)
def handle_snapshot_request(
    state: RaftState, req: SnapshotRequest, now: Instant
) -> list[Effect]:
    """Replace the log and the applied state by the leader's snapshot.

    A snapshot that is not newer than the committed entries changes nothing.
    """
    if req.term < state.term:
        return [
            Send(req.leader, make_append_answer(state, req.sent, False, state.commit))
        ]
    effects = accept_leader(state, req.term, req.leader, now)
    if state.disk is DiskState.BLOCKED:
        return effects
    if req.index <= state.commit:
        answer = make_append_answer(state, req.sent, True, state.commit)
        return [*effects, SendAfterSync(req.leader, answer)]
    snapshot = DiskSnapshot(
        req.index, req.index_term, req.voters, req.learners, req.state
    )
    state.snapshot = snapshot
    state.log = Log(req.index, req.index_term)
    before = state.voters
    state.memberships = [Membership(req.index, req.voters, req.learners)]
    state.commit = req.index
    state.synced_index = req.index
    rest = state.make_batch()
    return [
        *effects,
        PersistSnapshot(snapshot, rest),
        Restore(snapshot),
        describe_change(state, before, now),
        SendAfterSync(req.leader, make_append_answer(state, req.sent, True, req.index)),
    ]


@HANDLERS.register(Compact)
def handle_compact(state: RaftState, req: Compact, now: Instant) -> list[Effect]:
    """Store a snapshot and discard all but the trailing entries before it."""
    term = state.log.term_at(req.index)
    if term is None or req.index > state.commit:
        return []
    earlier = [item for item in state.memberships if item.index <= req.index]
    membership = earlier[-1] if earlier else Membership(LogIndex(0), (), ())
    snapshot = DiskSnapshot(
        req.index, term, membership.voters, membership.learners, req.state
    )
    state.snapshot = snapshot
    state.log.compact(req.index, TRAILING_ENTRIES, TRAILING_BYTES)
    later = [other for other in state.memberships if other.index > membership.index]
    state.memberships = [membership, *later]
    entries = tuple(state.log.entries)
    rest = state.make_batch(entries)
    return [PersistSnapshot(snapshot, rest)]
