"""Declare the commands of the replicated log and their answers."""

from __future__ import annotations

from ..core.ids import AttemptId
from ..core.ids import Digest
from ..core.ids import LogIndex
from ..core.ids import MemberId
from ..core.ids import NodeId
from ..core.ids import RequestKey
from ..core.ids import RoutingVersion
from ..core.ids import SubmissionId
from ..core.ids import TextVersion
from ..core.ids import UnixMillis
from ..core.ids import VmName
from ..core.ids import ZoneName
from ..core.message import Nested
from ..core.message import message
from ..core.message import record
from ..core.states import ClaimVerdict
from ..core.states import RoutingVerdict
from ..core.states import SubmitVerdict


@record
class Node:
    """Identify a control process and the address at which peers reach it."""

    node: NodeId
    vm: VmName
    host: str
    port: int
    added: bool = False
    """Whether its VM joined after the log was founded; it may replace another one."""


@message
class Noop:
    """Commit the entries of earlier leaders without changing any state."""


@message
class ChangeVoters:
    """Set the voters of the log, and the learners that replicate it without a vote."""

    voters: tuple[Node, ...]
    learners: tuple[Node, ...]


@message
class SubmitText:
    """Submit a configuration that replaces the base version."""

    submission: SubmissionId
    base: TextVersion
    text: bytes


@message
class SubmitAnswer:
    """Answer a submission; a resend gets the same answer."""

    submission: SubmissionId
    verdict: SubmitVerdict
    version: TextVersion


@message
class ClaimKey:
    """Claim a request key, so that its call is dispatched at most once.

    ``scope`` is the caller that the key belongs to; ``digest`` covers the service,
    kind and body of the call.
    """

    key: RequestKey
    scope: str
    digest: Digest
    attempt: AttemptId
    member: MemberId
    issued: UnixMillis


@record
class RecordedAnswer:
    """Store the complete answer of a backend server."""

    status: int
    content_type: str
    body: bytes


@message
class ClaimAnswer:
    """Answer a claim; ``answer`` is valid only if the verdict is ANSWERED."""

    key: RequestKey
    verdict: ClaimVerdict
    answer: RecordedAnswer


@message
class RecordOutcome:
    """Record the complete answer of a call under the claim that its attempt holds."""

    key: RequestKey
    scope: str
    attempt: AttemptId
    answer: RecordedAnswer


@message
class SealNotRun:
    """Seal a key: the call did not run, and this attempt will never run it."""

    key: RequestKey
    scope: str
    digest: Digest
    attempt: AttemptId
    issued: UnixMillis


@message
class ClaimClosed:
    """Answer RecordOutcome or SealNotRun.

    ``done`` is whether the claim now has the requested outcome.
    """

    key: RequestKey
    done: bool


@message
class PutRouting:
    """Submit a routing table; the highest version wins."""

    version: RoutingVersion
    routing: bytes
    source: bytes
    """Routing table as the operator sent it."""


@message
class RoutingAnswer:
    """Answer a submitted routing table with the version that is now stored."""

    verdict: RoutingVerdict
    version: RoutingVersion


@message
class SetEvacuation:
    """Start or end the evacuation of an availability zone.

    Requests are kept away from an evacuated zone.
    """

    zone: ZoneName
    evacuated: bool


@message
class EvacuationAnswer:
    """Confirm an evacuation with the log index of its entry."""

    index: LogIndex


@message
class Refused:
    """Answer a request with a typed failure: its reason and detail."""

    reason: str
    detail: str


@record
class Entry:
    """Represent an entry of the replicated log.

    ``at`` is the wall-clock time at which a client's command was proposed; 0 for
    entries that the leader adds itself.
    """

    index: LogIndex
    term: int
    at: UnixMillis
    command: Nested
