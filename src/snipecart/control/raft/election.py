"""Elect a leader, with a pre-vote before each election."""

from __future__ import annotations

from ...core.ids import Instant
from ...core.ids import LogIndex
from ...core.ids import NodeId
from ...core.ids import Term
from ...core.ids import UnixMillis
from ...core.states import DiskState
from ...core.states import Role
from ...messages.commands import Noop
from ...messages.raft import VoteAnswer
from ...messages.raft import VoteRequest
from . import timing
from .effects import ElectionFailed
from .effects import Persist
from .effects import RoleChange
from .effects import Send
from .effects import SendAfterSync
from .events import DiskStateChanged
from .events import Flush
from .events import Propose
from .silence import record_own_answers
from .silence import record_sign_of_life
from .silence import update_silent
from .state import HANDLERS
from .state import Effect
from .state import Progress
from .state import RaftState
from .state import step


def become_follower(
    state: RaftState, term: Term, leader: NodeId, now: Instant
) -> list[Effect]:
    """Become a follower in a term, and persist the term if it is new."""
    effects: list[Effect] = []
    if state.role is Role.LEADER:
        effects.append(RoleChange(Role.FOLLOWER, term))
        state.led_until = now
        state.reset_election_timer(now)
    state.role = Role.FOLLOWER
    state.leader = leader
    state.pre_voting = False
    if leader:
        state.failed_election = None
    if term > state.term:
        state.term = term
        state.voted_for = NodeId("")
        effects.append(persist_vote(state))
    return effects


@HANDLERS.register(DiskStateChanged)
def handle_disk_state(
    state: RaftState, change: DiskStateChanged, now: Instant
) -> list[Effect]:
    """Stop leading while nothing can be stored; a voter that can takes over."""
    state.disk = change.disk
    if change.disk is DiskState.WRITABLE or state.role is Role.FOLLOWER:
        return []
    return become_follower(state, state.term, NodeId(""), now)


def persist_vote(state: RaftState) -> Persist:
    """Return the effect that persists the current term and vote."""
    return Persist(state.make_batch())


def start_pre_vote(state: RaftState, now: Instant) -> list[Effect]:
    """Ask the voters whether they would vote for this process.

    A pre-vote does not raise the term, so a process that can't win an election does
    not depose a working leader.
    """
    state.reset_election_timer(now)
    if state.node_id not in state.voter_ids or state.disk is DiskState.BLOCKED:
        return []
    effects: list[Effect] = []
    if state.role is Role.CANDIDATE:
        state.failed_election = _describe_failed_election(state)
        effects.append(state.failed_election)
    state.role = Role.CANDIDATE
    state.leader = NodeId("")
    state.pre_voting = True
    state.votes, state.refusals = {state.node_id}, set()
    if state.has_quorum(state.votes):
        return [*effects, *start_election(state, now)]
    requests = _vote_requests(state, pre_vote=True)
    return [*effects, *(Send(to, req) for to, req in requests)]


def _describe_failed_election(state: RaftState) -> ElectionFailed:
    silent = state.voter_ids - state.votes - state.refusals
    return ElectionFailed(
        state.term,
        state.pre_voting,
        tuple(sorted(state.voter_ids)),
        tuple(sorted(state.votes)),
        tuple(sorted(state.refusals)),
        tuple(sorted(silent)),
    )


def start_election(state: RaftState, now: Instant) -> list[Effect]:
    """Start an election in a new term.

    The vote requests are sent once this process's vote for itself is durable.
    """
    state.reset_election_timer(now)
    state.role = Role.CANDIDATE
    state.pre_voting = False
    state.term = Term(state.term + 1)
    state.voted_for = state.node_id
    state.votes, state.refusals = set(), set()
    requests = _vote_requests(state, pre_vote=False)
    return [persist_vote(state), *(SendAfterSync(to, req) for to, req in requests)]


def _vote_requests(
    state: RaftState, *, pre_vote: bool
) -> list[tuple[NodeId, VoteRequest]]:
    term = Term(state.term + 1) if pre_vote else state.term
    last_term = Term(state.log.last_term)
    request = VoteRequest(
        pre_vote, term, state.node_id, state.log.last_index, last_term
    )
    return [(node.node, request) for node in state.voters if node.node != state.node_id]


def count_own_vote(state: RaftState, term: Term, now: Instant) -> list[Effect]:
    """Count this process's vote for itself, which is durable now."""
    if state.role is not Role.CANDIDATE or state.pre_voting or term != state.term:
        return []
    state.votes.add(state.node_id)
    return _advance_if_elected(state, now)


@HANDLERS.register(VoteRequest)
def handle_vote_request(
    state: RaftState, req: VoteRequest, now: Instant
) -> list[Effect]:
    """Grant a vote to a candidate whose log is at least as up to date.

    Requests are rejected while the current leader is alive, and ignored while the vote
    could not be stored.
    """
    record_sign_of_life(state, req.candidate, now)
    if state.disk is DiskState.BLOCKED:
        return []
    if _is_leader_alive(state, now):
        return [Send(req.candidate, _make_vote_answer(state, req, granted=False))]
    if req.pre_vote:
        granted = req.term > state.term and _is_log_up_to_date(state, req)
        return [Send(req.candidate, _make_vote_answer(state, req, granted=granted))]
    effects: list[Effect] = []
    if req.term > state.term:
        effects += become_follower(state, req.term, NodeId(""), now)
    granted = (
        req.term == state.term
        and state.voted_for in ("", req.candidate)
        and _is_log_up_to_date(state, req)
    )
    if granted:
        state.voted_for = req.candidate
        state.reset_election_timer(now)
        effects.append(persist_vote(state))
    return [
        *effects,
        SendAfterSync(req.candidate, _make_vote_answer(state, req, granted=granted)),
    ]


def _make_vote_answer(
    state: RaftState, req: VoteRequest, *, granted: bool
) -> VoteAnswer:
    term = req.term if granted else state.term
    return VoteAnswer(req.pre_vote, term, state.node_id, granted)


def _is_leader_alive(state: RaftState, now: Instant) -> bool:
    """Return whether a leader is alive, as far as this process can tell.

    A leader counts as alive itself while a quorum answers it.
    """
    if state.role is Role.LEADER:
        return now < state.quorum_confirmed_at(now) + timing.ELECTION_TIMEOUT_MIN
    return now < state.last_leader_contact + timing.ELECTION_TIMEOUT_MIN


def _is_log_up_to_date(state: RaftState, req: VoteRequest) -> bool:
    candidate_log = (req.last_term, req.last_index)
    return candidate_log >= (state.log.last_term, state.log.last_index)


@HANDLERS.register(VoteAnswer)
def handle_vote_answer(
    state: RaftState, answer: VoteAnswer, now: Instant
) -> list[Effect]:
    """Count a granted vote, or become a follower on a higher term."""
    if not answer.granted:
        state.refusals.add(answer.voter)
    record_sign_of_life(state, answer.voter, now)
    if not answer.granted and answer.term > state.term:
        return become_follower(state, answer.term, NodeId(""), now)
    expected_term = Term(state.term + 1) if state.pre_voting else state.term
    is_valid = (
        state.role is Role.CANDIDATE
        and answer.granted
        and answer.pre_vote == state.pre_voting
        and answer.term == expected_term
    )
    if not is_valid:
        return []
    state.votes.add(answer.voter)
    return _advance_if_elected(state, now)


def _advance_if_elected(state: RaftState, now: Instant) -> list[Effect]:
    if not state.has_quorum(state.votes):
        return []
    if state.pre_voting:
        return start_election(state, now)
    return become_leader(state, now)


def become_leader(state: RaftState, now: Instant) -> list[Effect]:
    """Become the leader and append a Noop entry.

    Entries of earlier terms count as committed only once an entry of the leader's own
    term is (Raft paper, section 5.4.2).
    """
    state.role = Role.LEADER
    state.leader = state.node_id
    state.leader_since = now
    state.failed_election = None
    last = state.log.last_index
    record_own_answers(state)
    update_silent(state, now)
    state.quorum_answered = 0
    state.waiting_joiners.clear()
    state.progress = {
        node.node: Progress(LogIndex(0), LogIndex(last + 1)) for node in state.peers
    }
    state.term_start_index = LogIndex(last + 1)
    state.heartbeat_due = now
    effects: list[Effect] = [RoleChange(Role.LEADER, state.term)]
    effects += step(state, Propose(Noop(), UnixMillis(0)), now)
    return effects + step(state, Flush(), now)
