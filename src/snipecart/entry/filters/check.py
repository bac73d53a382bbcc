"""Check a call against the configuration in force."""

from __future__ import annotations

import hashlib
import uuid
from typing import TYPE_CHECKING

from expression import Error
from expression import Ok
from expression import Result

from ...core.failures import BodyTooLarge
from ...core.failures import Failure
from ...core.failures import KeyMalformed
from ...core.failures import MissingKey
from ...core.failures import NoText
from ...core.failures import UnknownKind
from ...core.failures import UnknownService
from ...core.failures import WrongListener
from ...core.ids import AttemptId
from ...core.ids import Digest
from ...core.ids import Instant
from ...core.ids import RequestKey
from ...core.ids import UnixMillis
from ...core.states import Outcome
from ..call import CallFailed
from ..call import CallRequest
from ..call import KeyedCall
from ..call import ResolvedCall
from ..call import refuse
from .registry import FILTERS
from .registry import CallContext

if TYPE_CHECKING:
    from ...text.model import Kind
    from ...text.model import Text

MAX_KEY_LENGTH = 200
"""Maximum number of characters of a request key."""


@FILTERS.register("size")
def check_size(ctx: CallContext, req: CallRequest) -> Result[CallRequest, Failure]:
    """Refuse a body over the size limit of this process."""
    if len(req.body) > ctx.max_body:
        return Error(
            _refuse_unresolved(BodyTooLarge(f"body exceeds {ctx.max_body} bytes"))
        )
    return Ok(req)


def _refuse_unresolved(failure: Failure) -> CallFailed:
    return CallFailed("", failure, Outcome.UNKNOWN)


@FILTERS.register("resolve")
def resolve_kind(ctx: CallContext, req: CallRequest) -> Result[ResolvedCall, Failure]:
    """Find the kind of a call in the configuration and set its deadline."""
    text = ctx.steering.view.text
    if text is None:
        return Error(_refuse_unresolved(NoText()))
    result = find_kind(text, req)
    if result.is_error():
        return Error(_refuse_unresolved(result.error))
    kind = result.ok
    timeout_ms = min(req.caller_timeout_ms or kind.deadline_ms, kind.deadline_ms)
    return Ok(ResolvedCall(req, kind, Instant(req.received_at + timeout_ms / 1000)))


def find_kind(text: Text, req: CallRequest) -> Result[Kind, Failure]:
    """Return the kind of a call, or UnknownService or UnknownKind."""
    for service in text.services:
        if service.name == req.service:
            for kind in service.kinds:
                if kind.name == req.kind:
                    return Ok(kind)
            return Error(UnknownKind(f"{req.service} has no kind {req.kind}"))
    return Error(UnknownService(req.service))


@FILTERS.register("body")
def check_body(ctx: CallContext, call: ResolvedCall) -> Result[ResolvedCall, Failure]:
    """Refuse a body over the kilobytes that a call of its kind may transfer."""
    if len(call.req.body) > call.kind.kb_per_call * 1024:
        detail = f"body exceeds {call.kind.kb_per_call} KB, the kind's kb_per_call"
        return Error(refuse(call, BodyTooLarge(detail)))
    return Ok(call)


@FILTERS.register("rank")
def check_rank(ctx: CallContext, call: ResolvedCall) -> Result[ResolvedCall, Failure]:
    """Refuse a call that arrived at the listener of another rank."""
    if call.req.rank is not call.kind.rank:
        detail = f"{call.kind.name} is accepted at the {call.kind.rank} listener only"
        return Error(refuse(call, WrongListener(detail)))
    return Ok(call)


@FILTERS.register("key")
def check_key(
    ctx: CallContext, call: ResolvedCall
) -> Result[ResolvedCall | KeyedCall, Failure]:
    """Check the request key of a non-idempotent call."""
    if call.kind.idempotent:
        return Ok(call)
    key = call.req.key
    if not key:
        return Error(CallFailed("", MissingKey(), Outcome.NOT_RUN))
    issued_at = parse_issue_time(key)
    if issued_at is None or len(key) > MAX_KEY_LENGTH:
        detail = "key must be <time of issue in Unix ms>-<opaque>"
        return Error(CallFailed("", KeyMalformed(detail), Outcome.NOT_RUN))
    attempt = AttemptId(f"{ctx.member}/{uuid.uuid4().hex}")
    return Ok(KeyedCall(call, issued_at, digest_call(call), attempt))


def parse_issue_time(key: RequestKey) -> UnixMillis | None:
    """Return the time of issue that a key states, or None if it is malformed."""
    issued_at, dash, opaque = key.partition("-")
    if not (dash and opaque and issued_at.isascii() and issued_at.isdecimal()):
        return None
    return UnixMillis(int(issued_at)) if len(issued_at) <= 15 else None


def digest_call(call: ResolvedCall) -> Digest:
    """Return the digest of the service, kind and body that a key is used for."""
    prefix = f"{call.req.service}\n{call.req.kind}\n".encode()
    return Digest(hashlib.sha256(prefix + call.req.body).hexdigest())
