"""Declare the commands the replicated log carries, and their answers."""

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
    """Identify a control process and where its peers reach it."""

    node: NodeId
    vm: VmName
    host: str
    port: int
    added: bool = False
    """Whether its VM came after the founding, maybe in place of another."""


@message
class Noop:
    """Commit what earlier leaders left in the log."""


@message
class ChangeVoters:
    """Set who votes on the log and who only learns it."""

    voters: tuple[Node, ...]
    learners: tuple[Node, ...]


@message
class SubmitText:
    """Offer a text that follows the base version."""

    submission: SubmissionId
    base: TextVersion
    text: bytes


@message
class SubmitAnswer:
    """Answer a submission, the same for each resend."""

    submission: SubmissionId
    verdict: SubmitVerdict
    version: TextVersion


@message
class ClaimKey:
    """Claim a request key for one dispatch, ever."""

    key: RequestKey
    scope: str
    digest: Digest
    attempt: AttemptId
    member: MemberId
    issued: UnixMillis


@record
class RecordedAnswer:
    """Hold a whole answer of a backend server."""

    status: int
    content_type: str
    body: bytes


@message
class ClaimAnswer:
    """Answer a claim; ``answer`` is meant only where the verdict is answered."""

    key: RequestKey
    verdict: ClaimVerdict
    answer: RecordedAnswer


@message
class RecordOutcome:
    """Record the whole answer under a held claim."""

    key: RequestKey
    scope: str
    attempt: AttemptId
    answer: RecordedAnswer


@message
class SealNotRun:
    """Seal a key as not run and never to be run by this attempt."""

    key: RequestKey
    scope: str
    digest: Digest
    attempt: AttemptId
    issued: UnixMillis


@message
class ClaimClosed:
    """Confirm that a claim holds the outcome that was asked for."""

    key: RequestKey
    done: bool


@message
class PutRouting:
    """Offer a routing table; the highest version wins."""

    version: RoutingVersion
    routing: bytes
    source: bytes
    """The table as the operator sent it."""


@message
class RoutingAnswer:
    """Answer an offered routing table with the version now held."""

    verdict: RoutingVerdict
    version: RoutingVersion


@message
class SetEvacuation:
    """Keep requests away from an availability zone, or let them back."""

    zone: ZoneName
    evacuated: bool


@message
class EvacuationAnswer:
    """Confirm an evacuation and the log index that holds it."""

    index: LogIndex


@message
class Refused:
    """Answer a request with a typed failure."""

    reason: str
    detail: str


@record
class Entry:
    """Hold one entry of the log."""

    index: LogIndex
    term: int
    at: UnixMillis
    command: Nested
