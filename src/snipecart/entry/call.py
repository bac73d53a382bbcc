"""Define the data of a call at each step of its pipeline."""

from __future__ import annotations

import uuid
from contextlib import ExitStack
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from ..core.failures import Failure
from ..core.ids import AttemptId
from ..core.ids import CallerName
from ..core.ids import CallId
from ..core.ids import Digest
from ..core.ids import EndpointId
from ..core.ids import Instant
from ..core.ids import KindName
from ..core.ids import RequestKey
from ..core.ids import ServiceName
from ..core.ids import UnixMillis
from ..core.states import Outcome
from ..core.states import Rank
from ..core.task import monotonic

if TYPE_CHECKING:
    from ..messages.commands import RecordedAnswer
    from ..text.model import Kind
    from .steering.messages import Slot


@dataclass(frozen=True)
class CallRequest:
    """Store a call as received from its caller."""

    call_id: CallId
    service: ServiceName
    kind: KindName
    caller: CallerName
    key: RequestKey
    """Empty if the caller sent none."""
    caller_timeout_ms: int
    """Timeout from the caller in milliseconds; 0 uses the deadline of the kind."""
    body: bytes
    content_type: str
    rank: Rank | None
    """Rank of the listener that received the call; None for the common listener."""
    received_at: Instant
    exit_stack: ExitStack = field(default_factory=ExitStack, compare=False, repr=False)
    """Releases what filters acquire for the call."""


@dataclass(frozen=True)
class ResolvedCall:
    """Store a call with its kind from the configuration and its deadline."""

    req: CallRequest
    kind: Kind
    deadline: Instant

    def remaining(self) -> float:
        """Return the seconds until the deadline; negative once it has passed."""
        return self.deadline - monotonic()


@dataclass(frozen=True)
class KeyedCall:
    """Store a non-idempotent call with the data for claiming its request key."""

    call: ResolvedCall
    issued_at: UnixMillis
    """Time of issue that the request key states."""
    digest: Digest
    attempt: AttemptId


@dataclass(frozen=True)
class AdmittedCall:
    """Store a call and its slot; ``keyed`` is None if it is idempotent."""

    call: ResolvedCall
    keyed: KeyedCall | None
    slot: Slot


@dataclass(frozen=True)
class ClaimedCall:
    """Store a non-idempotent call whose request key is claimed for it."""

    admitted: AdmittedCall
    keyed: KeyedCall


@dataclass(frozen=True)
class AnsweredCall:
    """Store a call and its complete answer."""

    call: ResolvedCall
    answer: RecordedAnswer
    endpoint: EndpointId
    """Empty if the answer was recorded earlier."""
    tries: int
    """Number of dispatches; 0 if the answer was recorded earlier."""


@dataclass(frozen=True)
class CallFailed(Failure):
    """Store why a call was not answered, and the outcome that its caller learns."""

    failure: Failure = field(default_factory=Failure)
    outcome: Outcome = Outcome.UNKNOWN


def new_call_id() -> CallId:
    """Return a new random ID."""
    return CallId(uuid.uuid4().hex)


def refuse(call: ResolvedCall, failure: Failure) -> CallFailed:
    """Return the failure of a call that was not sent.

    The outcome of a non-idempotent call is unknown, as an earlier call with the same
    key may have run; the caller may retry with that key.
    """
    outcome = Outcome.NOT_RUN if call.kind.idempotent else Outcome.UNKNOWN
    return CallFailed("", failure, outcome)


def fail_as_unknown(failure: Failure) -> CallFailed:
    """Return the failure of a call that may have run."""
    return CallFailed("", failure, Outcome.UNKNOWN)
