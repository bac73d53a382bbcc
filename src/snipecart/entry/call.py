"""Declare what a call is at each step of its pipeline."""

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
    """Hold a call as its caller sent it."""

    call_id: CallId
    service: ServiceName
    kind: KindName
    caller: CallerName
    key: RequestKey
    """Empty where the caller gave none."""
    caller_timeout_ms: int
    """Milliseconds the caller waits; 0 leaves it to the text."""
    body: bytes
    content_type: str
    rank: Rank | None
    """Rank of the listener it came to."""
    received_at: Instant
    exit_stack: ExitStack = field(default_factory=ExitStack, compare=False, repr=False)
    """Owns whatever filters acquire for the call."""


@dataclass(frozen=True)
class ResolvedCall:
    """Hold a call whose kind the text knows."""

    req: CallRequest
    kind: Kind
    deadline: Instant

    def remaining(self) -> float:
        """Return the seconds left."""
        return self.deadline - monotonic()


@dataclass(frozen=True)
class KeyedCall:
    """Hold a non-idempotent call with what its claim needs."""

    call: ResolvedCall
    issued_at: UnixMillis
    digest: Digest
    attempt: AttemptId


@dataclass(frozen=True)
class AdmittedCall:
    """Hold a call that has a slot; ``keyed`` only if it is non-idempotent."""

    call: ResolvedCall
    keyed: KeyedCall | None
    slot: Slot


@dataclass(frozen=True)
class ClaimedCall:
    """Hold a non-idempotent call whose key is claimed for it."""

    admitted: AdmittedCall
    keyed: KeyedCall


@dataclass(frozen=True)
class AnsweredCall:
    """Hold a whole answer."""

    call: ResolvedCall
    answer: RecordedAnswer
    endpoint: EndpointId
    """Empty where the answer was recorded earlier."""
    tries: int


@dataclass(frozen=True)
class CallFailed(Failure):
    """Hold why a call was not answered, and what became of it."""

    failure: Failure = field(default_factory=Failure)
    outcome: Outcome = Outcome.UNKNOWN


def new_call_id() -> CallId:
    """Return a fresh id."""
    return CallId(uuid.uuid4().hex)


def refuse(call: ResolvedCall, failure: Failure) -> CallFailed:
    """Refuse a call of which nothing was sent.

    An earlier send of a non-idempotent call's key may have run, so its outcome stays
    unknown; the same key may be sent again.
    """
    outcome = Outcome.NOT_RUN if call.kind.idempotent else Outcome.UNKNOWN
    return CallFailed("", failure, outcome)


def fail_as_unknown(failure: Failure) -> CallFailed:
    """Give up a call that may have run."""
    return CallFailed("", failure, Outcome.UNKNOWN)
