"""Replicate the leader's log and commit the entries that a quorum synced."""

from __future__ import annotations

from ...core.ids import Instant
from ...core.ids import LogIndex
from ...core.ids import NodeId
from ...core.states import DiskState
from ...core.states import Role
from ...messages.commands import ChangeVoters
from ...messages.commands import Entry
from ...messages.commands import Node
from ...messages.raft import AppendAnswer
from ...messages.raft import AppendRequest
from . import timing
from .catch_up import check_catch_up_point
from .catch_up import check_caught_up
from .effects import Apply
from .effects import Persist
from .effects import Send
from .effects import SendAfterSync
from .election import become_follower
from .election import count_own_vote
from .election import start_pre_vote
from .events import Flush
from .events import Propose
from .events import SyncCompletion
from .events import Tick
from .following import accept_leader
from .following import make_append_answer
from .membership import describe_change
from .membership import maintain_voters
from .quorum import report_quorum
from .silence import record_reported_silence
from .silence import update_silent
from .snapshots import send_snapshot
from .state import HANDLERS
from .state import Effect
from .state import Membership
from .state import Progress
from .state import RaftState

MAX_APPEND_ENTRIES = 256
"""Maximum number of entries in one append request."""

MAX_APPEND_BYTES = 1_000_000
"""Bytes of entries in one append request, unless a single one has more."""

COMMIT_PERSIST_INTERVAL = 0.2
"""Seconds between two batches for the disk that contain only a newer commit index."""


class CommittedEntryLost(Exception):
    """Report an append request that conflicts with a committed entry."""


@HANDLERS.register(Tick)
def handle_tick(state: RaftState, _: Tick, now: Instant) -> list[Effect]:
    """Handle the election and heartbeat timers.

    A leader sends heartbeats, or steps down if no quorum answers. Another process
    starts a pre-vote once its election timeout has passed.
    """
    update_silent(state, now)
    effects = [*_persist_commit(state, now), *report_quorum(state, now)]
    if state.role is not Role.LEADER:
        if now >= state.election_due:
            effects += start_pre_vote(state, now)
        return effects
    confirmed = state.quorum_confirmed_at(now)
    state.quorum_answered = max(0, int(confirmed * 1e6))
    if now > max(confirmed, state.leader_since) + timing.STEP_DOWN_TIMEOUT:
        return effects + become_follower(state, state.term, NodeId(""), now)
    effects += maintain_voters(state, now)
    if now >= state.heartbeat_due:
        state.heartbeat_due = Instant(now + timing.HEARTBEAT_INTERVAL)
        effects += [
            send for node in state.peers for send in _send_append(state, node, now)
        ]
    return effects


def _persist_commit(state: RaftState, now: Instant) -> list[Effect]:
    """Persist a newer commit index, at most once in COMMIT_PERSIST_INTERVAL.

    A process that restarts can then use the entries up to it at once, without a leader.
    """
    is_newer = state.commit > state.persisted_commit
    blocked = state.disk is DiskState.BLOCKED
    if not is_newer or blocked or now < state.persist_commit_due:
        return []
    state.persist_commit_due = Instant(now + COMMIT_PERSIST_INTERVAL)
    return [Persist(state.make_batch())]


@HANDLERS.register(Propose)
def handle_propose(state: RaftState, proposal: Propose, now: Instant) -> list[Effect]:
    """Append a command to the leader's log and persist it."""
    if state.role is not Role.LEADER:
        return []
    index = LogIndex(state.log.last_index + 1)
    entry = Entry(index, state.term, proposal.at, proposal.command)
    state.log.append(entry)
    effects = _adopt_memberships(state, (entry,), now)
    return [*effects, Persist(state.make_batch((entry,)))]


@HANDLERS.register(Flush)
def handle_flush(state: RaftState, _: Flush, now: Instant) -> list[Effect]:
    """Send each peer the entries that were not sent to it yet."""
    if state.role is not Role.LEADER:
        return []
    last = state.log.last_index
    effects: list[Effect] = []
    for node in state.peers:
        if _progress(state, node).next_index <= last:
            effects += _send_append(state, node, now)
    return effects


def _progress(state: RaftState, node: Node) -> Progress:
    new_progress = Progress(LogIndex(0), LogIndex(state.log.last_index + 1))
    return state.progress.setdefault(node.node, new_progress)


def _send_append(state: RaftState, node: Node, now: Instant) -> list[Effect]:
    """Send a peer its next entries, or a snapshot if the log no longer has them."""
    peer = _progress(state, node)
    previous = LogIndex(peer.next_index - 1)
    previous_term = state.log.term_at(previous)
    if previous_term is None:
        return send_snapshot(state, node, peer, now)
    entries = state.log.after(previous, MAX_APPEND_ENTRIES, MAX_APPEND_BYTES)
    peer.next_index = LogIndex(peer.next_index + len(entries))
    return [
        Send(
            node.node,
            AppendRequest(
                state.term,
                state.node_id,
                previous,
                previous_term,
                entries,
                state.commit,
                int(now * 1e6),
                state.silent_voters,
                state.quorum_answered,
            ),
        )
    ]


@HANDLERS.register(AppendRequest)
def handle_append_request(
    state: RaftState, req: AppendRequest, now: Instant
) -> list[Effect]:
    """Append the leader's entries and answer once they are durable.

    A request whose previous entry is not in the log is rejected with the index after
    which the leader should continue. While the disk is blocked, the entries are left to
    later requests, so that they don't pile up in memory.
    """
    if req.term < state.term:
        return [
            Send(req.leader, make_append_answer(state, req.sent, False, state.commit))
        ]
    effects = accept_leader(state, req.term, req.leader, now)
    record_reported_silence(state, req.silent, now)
    if state.disk is DiskState.BLOCKED:
        return effects
    previous = req.previous_index
    if previous > state.log.last_index:
        hint = LogIndex(state.log.last_index)
        return [
            *effects,
            Send(req.leader, make_append_answer(state, req.sent, False, hint)),
        ]
    local_term = state.log.term_at(previous)
    if previous > state.log.base and local_term != req.previous_term:
        answer = make_append_answer(state, req.sent, False, state.commit)
        return [*effects, Send(req.leader, answer)]
    effects += _store_entries(state, req.entries, now)
    matched = LogIndex(previous + len(req.entries))
    effects += advance_commit(state, min(req.commit, matched))
    check_catch_up_point(state, req)
    return [
        *effects,
        SendAfterSync(req.leader, make_append_answer(state, req.sent, True, matched)),
    ]


def _store_entries(
    state: RaftState, entries: tuple[Entry, ...], now: Instant
) -> list[Effect]:
    """Append the entries that the log lacks, after removing conflicting ones."""
    log = state.log
    new_entries = tuple(
        entry
        for entry in entries
        if entry.index > log.base and log.term_at(entry.index) != entry.term
    )
    if not new_entries:
        return []
    first = new_entries[0].index
    effects: list[Effect] = []
    cut_from = LogIndex(0)
    if first <= log.last_index:
        effects += _truncate(state, first, now)
        cut_from = first
    for entry in new_entries:
        log.append(entry)
    effects.append(Persist(state.make_batch(new_entries, cut_from)))
    return effects + _adopt_memberships(state, new_entries, now)


def _truncate(state: RaftState, index: LogIndex, now: Instant) -> list[Effect]:
    """Remove the entry at an index and all later ones, with their memberships.

    Raise CommittedEntryLost if the entry is committed.
    """
    if index <= state.commit:
        raise CommittedEntryLost(str(index))
    state.log.cut_from(index)
    state.synced_index = LogIndex(min(state.synced_index, index - 1))
    before = state.memberships[-1]
    while state.memberships and state.memberships[-1].index >= index:
        state.memberships.pop()
    if state.memberships and state.memberships[-1] != before:
        return [describe_change(state, before.voters, now)]
    return []


def _adopt_memberships(
    state: RaftState, entries: tuple[Entry, ...], now: Instant
) -> list[Effect]:
    memberships = [
        membership for entry in entries for membership in extract_memberships(entry)
    ]
    before = state.voters
    state.memberships += memberships
    return [describe_change(state, before, now)] if memberships else []


def extract_memberships(entry: Entry) -> list[Membership]:
    """Return the membership that an entry sets, if any, as a list."""
    command = entry.command
    if isinstance(command, ChangeVoters):
        return [Membership(entry.index, command.voters, command.learners)]
    return []


def advance_commit(state: RaftState, commit: int) -> list[Effect]:
    """Commit the entries up to an index and return the effect that applies them."""
    if commit <= state.commit:
        return []
    entries = state.log.entries_between(state.commit + 1, commit)
    state.commit = LogIndex(commit)
    return [Apply(entries)]


@HANDLERS.register(AppendAnswer)
def handle_append_answer(
    state: RaftState, answer: AppendAnswer, now: Instant
) -> list[Effect]:
    """Record how far a follower's durable log matches and commit what a quorum has.

    Then send the follower the entries it lacks.
    """
    if answer.term > state.term:
        return become_follower(state, answer.term, NodeId(""), now)
    peer = state.progress.get(answer.follower)
    if state.role is not Role.LEADER or answer.term < state.term or peer is None:
        return []
    peer.confirmed = max(peer.confirmed, answer.sent / 1e6)
    if answer.matched:
        peer.match_index = LogIndex(max(peer.match_index, answer.index))
        peer.next_index = LogIndex(max(peer.next_index, peer.match_index + 1))
        return [
            *_commit_quorum(state),
            *send_missing_entries(state, answer.follower, now),
        ]
    peer.next_index = LogIndex(max(peer.match_index, answer.index) + 1)
    return send_missing_entries(state, answer.follower, now)


def send_missing_entries(
    state: RaftState, follower: NodeId, now: Instant
) -> list[Effect]:
    """Send one follower the entries that were not sent to it yet."""
    for node in state.peers:
        if node.node == follower and _progress(state, node).next_index <= (
            state.log.last_index
        ):
            return _send_append(state, node, now)
    return []


def _commit_quorum(state: RaftState) -> list[Effect]:
    """Commit the entries that a quorum has synced, if the last is of this term."""
    matches = sorted(
        (
            state.synced_index
            if node.node == state.node_id
            else _progress(state, node).match_index
            for node in state.voters
        ),
        reverse=True,
    )
    index = matches[state.quorum_size() - 1]
    if state.log.term_at(index) != state.term:
        return []
    effects = advance_commit(state, index)
    check_caught_up(state)
    return effects


@HANDLERS.register(SyncCompletion)
def handle_sync_completion(
    state: RaftState, completion: SyncCompletion, now: Instant
) -> list[Effect]:
    """Count this process's own vote and entries, which are durable now."""
    if state.log.term_at(completion.index) == completion.index_term:
        state.synced_index = LogIndex(max(state.synced_index, completion.index))
    effects = count_own_vote(state, completion.term, now)
    if state.role is Role.LEADER:
        effects += _commit_quorum(state)
    return effects
