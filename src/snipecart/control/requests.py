"""Answer the requests of members and operators."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Any

from ..core.failures import Busy
from ..core.failures import Failure
from ..core.failures import MessageUnencodable
from ..core.failures import NotLeader
from ..core.ids import Instant
from ..core.ids import UnixMillis
from ..core.registry import Registry
from ..core.states import Role
from ..core.task import contained_failure
from ..messages.commands import ClaimKey
from ..messages.commands import Noop
from ..messages.commands import PutRouting
from ..messages.commands import RecordOutcome
from ..messages.commands import Refused
from ..messages.commands import SealNotRun
from ..messages.commands import SetEvacuation
from ..messages.commands import SubmitText
from ..messages.discovery import RecordDepartures
from ..messages.members import FetchText
from ..messages.members import Heartbeat
from ..messages.members import TextAnswer
from ..messages.quota import QuotaAnswer
from ..messages.quota import QuotaRequest
from ..messages.raft import JoinAnswer
from ..messages.raft import JoinRequest
from .raft.events import Propose
from .raft.state import step
from .raft.status import leaderless_status
from .raft.status import quorum_status

if TYPE_CHECKING:
    from contextlib import AbstractContextManager

    from ..core.ids import NodeId
    from ..core.ids import RoutingVersion
    from ..core.states import DiskState
    from ..messages.commands import Node
    from ..wire.links import IncomingMessage
    from .leases.accounts import AccountStatus
    from .node import NodeTask
    from .raft.status import LeaderlessStatus
    from .raft.status import QuorumStatus

MAX_PENDING = 4096
"""Maximum number of proposals that wait to be committed."""

MAX_LISTED_QUOTAS = 10
"""Most organisations that a status lists."""

Reply = Callable[[Any], Any]

RequestHandler = Callable[["NodeTask", "IncomingMessage", "Instant"], Any]

REQUESTS: Registry[type[Any], RequestHandler] = Registry("handlers of node requests")


@dataclass(frozen=True)
class ReadRouting:
    """Request the newest routing table; answered by RoutingDocument."""


@dataclass(frozen=True)
class RoutingDocument:
    """Carry the newest routing table as the operator sent it."""

    version: RoutingVersion
    source: bytes


@dataclass(frozen=True)
class StatusQuery:
    """Request the status of the log; answered by NodeStatus."""


@dataclass(frozen=True)
class AwaitLeader:
    """Request the host of the leader; answered once one is known.

    Dropped without an answer after ``timeout`` seconds.
    """

    timeout: float


@dataclass(frozen=True)
class LeaderWaiter:
    """Store whom to tell the leader's host, and until when."""

    reply: Reply
    deadline: Instant


@dataclass(frozen=True)
class NodeStatus:
    """Describe the log, configuration and members that a control process stores."""

    node: NodeId
    role: Role
    leader: NodeId
    term: int
    commit: int
    voters: tuple[Node, ...]
    learners: tuple[Node, ...]
    confirmed: bool
    version: int
    text: bytes
    in_force: bool
    lagging: tuple[str, ...]
    members: tuple[Any, ...]
    endpoints: tuple[Any, ...]
    claims: int
    disk: DiskState
    quorum: QuorumStatus | None
    leaderless: LeaderlessStatus | None
    quotas: tuple[AccountStatus, ...]
    """Organisations with the most demand, MAX_LISTED_QUOTAS at most."""


def make_refusal(failure: Failure) -> Refused:
    """Return the message that reports a failure to the requester."""
    return Refused(failure.reason, failure.detail)


def _contained(req: IncomingMessage) -> AbstractContextManager[None]:
    """Refuse a request if the block raises.

    Only for requests that don't concern the log. What the leader has leased without an
    answer stands until the lease ends.
    """
    return contained_failure(
        type(req.message).__name__, lambda failure: req.reply(make_refusal(failure))
    )


@REQUESTS.register(SubmitText)
@REQUESTS.register(ClaimKey)
@REQUESTS.register(RecordOutcome)
@REQUESTS.register(SealNotRun)
@REQUESTS.register(PutRouting)
@REQUESTS.register(SetEvacuation)
def propose_command(node: NodeTask, req: IncomingMessage, now: Instant) -> None:
    """Propose a command to the log; it is answered once applied."""
    _propose(node, req.message, req.reply, req.reply, now)


def _propose(
    node: NodeTask, command: Any, reply: Reply, refuse: Reply, now: Instant
) -> None:
    """Propose a command; ``reply`` gets the answer of applying it.

    One that can't be stored would end each process that leads when it is sent again.
    """
    failure = node.refusal(now)
    if failure is None and len(node.pending_replies) >= MAX_PENDING:
        failure = Busy("too many proposals pending")
    if failure is None and not node.outputs.is_encodable(command):
        failure = MessageUnencodable(type(command).__name__)
    if failure is not None:
        refuse(make_refusal(failure))
        return
    at = UnixMillis(int(time.time() * 1000))
    node.run(step(node.state, Propose(command, at), now), now)
    node.pending_replies[node.state.log.last_index] = reply


@REQUESTS.register(RecordDepartures)
def record_departures(node: NodeTask, req: IncomingMessage, now: Instant) -> None:
    """Propose departures to the log, or pass them on to its leader.

    There is no answer: the discovery task sees them in the committed state, or asks
    again.
    """
    command: RecordDepartures = req.message
    if node.state.role is Role.LEADER:
        _propose(node, replace(command, forwarded=False), _ignore, _ignore, now)
    elif node.state.leader and not command.forwarded:
        node.outputs.send(node.state.leader, replace(command, forwarded=True))


def _ignore(answer: Any) -> None:
    """Ignore the answer to a proposal."""


@REQUESTS.register(ReadRouting)
def read_routing(node: NodeTask, req: IncomingMessage, now: Instant) -> None:
    """Return the newest routing table, after a quorum has committed a no-op as barrier.

    A leader lease is not enough, as the clocks of a suspended VM may have stopped.
    """

    def reply(answer: Any) -> None:
        if isinstance(answer, Refused):
            req.reply(answer)
            return
        machine = node.machine
        req.reply(RoutingDocument(machine.routing_version, machine.routing_source))

    _propose(node, Noop(), reply, reply, now)


@REQUESTS.register(JoinRequest)
def handle_join_request(node: NodeTask, req: IncomingMessage, now: Instant) -> None:
    """Handle a join request, and answer with the members of the log."""
    node.run(step(node.state, req.message, now), now)
    req.reply(JoinAnswer((*node.state.voters, *node.state.learners)))


@REQUESTS.register(JoinAnswer)
def handle_join_answer(node: NodeTask, req: IncomingMessage, now: Instant) -> None:
    """Open links to the members of the log that another process has named."""
    node.named_members = req.message.nodes
    node.update_links()


@REQUESTS.register(Heartbeat)
def answer_heartbeat(node: NodeTask, req: IncomingMessage, now: Instant) -> None:
    """Confirm the configuration version to a member and renew its shares."""
    failure = node.refusal(now)
    if failure is not None or node.leader_state is None:
        req.reply(make_refusal(failure or NotLeader()))
        return
    with _contained(req):
        req.reply(node.leader_state.answer(req.message, node.accepted, now))


@REQUESTS.register(QuotaRequest)
def answer_quota_request(node: NodeTask, req: IncomingMessage, now: Instant) -> None:
    """Lease a gateway its part of organisations' limits, if this process leads."""
    if not req.message.is_complete():
        req.reply(Refused("peer_message_invalid", "tuples of different lengths"))
        return
    if node.refusal(now) is not None or node.leader_state is None:
        no_grant = QuotaAnswer(
            req.message.sent_at,
            leads=False,
            grant=0,
            organisations=(),
            rates=(),
            stores=(),
            tokens=(),
            wait_ms=(),
        )
        req.reply(no_grant)
        return
    rule = node.quota_rule
    with _contained(req):
        req.reply(node.leader_state.answer_quota(req.message, node.machine, rule, now))


@REQUESTS.register(FetchText)
def answer_fetch_text(node: NodeTask, req: IncomingMessage, now: Instant) -> None:
    """Return the accepted configuration."""
    failure = node.refusal(now)
    if failure is not None:
        req.reply(make_refusal(failure))
        return
    req.reply(TextAnswer(node.machine.version, node.machine.text))


def describe_node(node: NodeTask, now: Instant) -> NodeStatus:
    """Return the status of this process."""
    state, leader_state = node.state, node.leader_state
    confirmed = node.refusal(now) is None
    members = leader_state.directory.members.values() if leader_state else ()
    endpoints = leader_state.directory.endpoints.values() if leader_state else ()
    version = node.machine.version
    return NodeStatus(
        state.node_id,
        state.role,
        state.leader,
        state.term,
        state.commit,
        state.voters,
        state.learners,
        confirmed,
        version,
        node.machine.text,
        bool(confirmed and leader_state and leader_state.in_force(version, now)),
        tuple(leader_state.lagging(version)) if leader_state else (),
        tuple(members),
        tuple(item.announcement for item in endpoints),
        len(node.machine.claims),
        state.disk,
        quorum_status(state, now),
        leaderless_status(state, now),
        leader_state.quotas.busiest(MAX_LISTED_QUOTAS) if leader_state else (),
    )


@REQUESTS.register(AwaitLeader)
def await_leader(node: NodeTask, req: IncomingMessage, now: Instant) -> None:
    """Answer with the leader's host, at once or when there is a leader."""
    deadline = Instant(now + req.message.timeout)
    node.leader_waiters.append(LeaderWaiter(req.reply, deadline))


@REQUESTS.register(StatusQuery)
def answer_status(node: NodeTask, req: IncomingMessage, now: Instant) -> None:
    """Answer with the status of this process."""
    with _contained(req):
        req.reply(describe_node(node, now))
