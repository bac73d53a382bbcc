"""Answer the requests of members and operators."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from ..core.failures import Busy
from ..core.failures import Failure
from ..core.failures import NotLeader
from ..core.ids import UnixMillis
from ..core.registry import Registry
from ..messages.commands import ClaimKey
from ..messages.commands import Noop
from ..messages.commands import PutRouting
from ..messages.commands import RecordOutcome
from ..messages.commands import Refused
from ..messages.commands import SealNotRun
from ..messages.commands import SetEvacuation
from ..messages.commands import SubmitText
from ..messages.members import FetchText
from ..messages.members import Heartbeat
from ..messages.members import TextAnswer
from ..messages.raft import JoinAnswer
from ..messages.raft import JoinRequest
from .raft.state import Propose
from .raft.state import step

if TYPE_CHECKING:
    from ..core.ids import Instant
    from ..core.ids import NodeId
    from ..core.ids import RoutingVersion
    from ..core.states import Role
    from ..messages.commands import Node
    from ..wire.links import Received
    from .node import NodeTask

MAX_OPEN = 4096
"""Proposals that may wait to be committed."""


Reply = Callable[[Any], Any]

RequestHandler = Callable[["NodeTask", "Received", "Instant"], Any]

REQUESTS: Registry[type[Any], RequestHandler] = Registry("requests to a control node")


@dataclass(frozen=True)
class ReadRouting:
    """Ask for the newest routing table; answered by RoutingRead."""


@dataclass(frozen=True)
class RoutingRead:
    """Give the newest routing table as the operator sent it."""

    version: RoutingVersion
    source: bytes


@dataclass(frozen=True)
class StatusQuery:
    """Ask what this process knows; answered by NodeStatus."""


@dataclass(frozen=True)
class NodeStatus:
    """Tell what a control process knows."""

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


def refused(failure: Failure) -> Refused:
    """Return a failure as a message."""
    return Refused(failure.reason, failure.detail)


@REQUESTS.register(SubmitText)
@REQUESTS.register(ClaimKey)
@REQUESTS.register(RecordOutcome)
@REQUESTS.register(SealNotRun)
@REQUESTS.register(PutRouting)
@REQUESTS.register(SetEvacuation)
def propose_command(node: NodeTask, req: Received, now: Instant) -> None:
    """Put a command into the log; it is answered when applied."""
    _propose(node, req.message, req.reply, req.reply, now)


def _propose(
    node: NodeTask, command: Any, reply: Reply, refuse: Reply, now: Instant
) -> None:
    """Put a command into the log; ``reply`` gets what applying it answers."""
    failure = node.refusal(now)
    if failure is None and len(node.open) >= MAX_OPEN:
        failure = Busy("too many proposals wait")
    if failure is not None:
        refuse(refused(failure))
        return
    at = UnixMillis(int(time.time() * 1000))
    node.run(step(node.state, Propose(command, at), now), now)
    node.open[node.state.log.last_index] = reply


@REQUESTS.register(ReadRouting)
def read_routing(node: NodeTask, req: Received, now: Instant) -> None:
    """Give the routing table that is the newest once a quorum confirms a barrier.

    A lease won't do: a suspended VM's clocks may not have counted the time.
    """

    def reply(answer: Any) -> None:
        if isinstance(answer, Refused):
            req.reply(answer)
            return
        machine = node.machine
        req.reply(RoutingRead(machine.routing_version, machine.routing_source))

    _propose(node, Noop(), reply, reply, now)


@REQUESTS.register(JoinRequest)
def take_join(node: NodeTask, req: Received, now: Instant) -> None:
    """Consider a joiner, and tell it who is in the log."""
    node.run(step(node.state, req.message, now), now)
    req.reply(JoinAnswer((*node.state.voters, *node.state.learners)))


@REQUESTS.register(JoinAnswer)
def take_join_answer(node: NodeTask, req: Received, now: Instant) -> None:
    """Open links to those who are in the log."""
    if node.me.node not in {item.node for item in node.state.voters}:
        node.outlets.relink(req.message.nodes)


@REQUESTS.register(Heartbeat)
def answer_heartbeat(node: NodeTask, req: Received, now: Instant) -> None:
    """Confirm the text to a member and renew its shares."""
    failure = node.refusal(now)
    if failure is not None or node.lead is None:
        req.reply(refused(failure or NotLeader()))
        return
    req.reply(node.lead.answer(req.message, node.accepted, now))


@REQUESTS.register(FetchText)
def answer_fetch(node: NodeTask, req: Received, now: Instant) -> None:
    """Give the accepted text."""
    failure = node.refusal(now)
    if failure is not None:
        req.reply(refused(failure))
        return
    req.reply(TextAnswer(node.machine.version, node.machine.text))


def describe_node(node: NodeTask, now: Instant) -> NodeStatus:
    """Return what this process knows."""
    state, lead = node.state, node.lead
    confirmed = node.refusal(now) is None
    members = lead.directory.members.values() if lead else ()
    endpoints = lead.directory.endpoints.values() if lead else ()
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
        bool(confirmed and lead and lead.in_force(version, now)),
        tuple(lead.lagging(version)) if lead else (),
        tuple(members),
        tuple(item.announcement for item in endpoints),
        len(node.machine.claims),
    )


@REQUESTS.register(StatusQuery)
def answer_status(node: NodeTask, req: Received, now: Instant) -> None:
    """Tell what this process knows."""
    req.reply(describe_node(node, now))
