"""Claim the request key of a non-idempotent call before it is sent."""

from __future__ import annotations

from typing import Any

from expression import Error
from expression import Ok
from expression import Result

from ...core.failures import ClaimHeld
from ...core.failures import ClaimSealed
from ...core.failures import ClaimUnconfirmed
from ...core.failures import DeadlinePassed
from ...core.failures import Failure
from ...core.failures import KeyExpired
from ...core.failures import KeyFromFuture
from ...core.failures import KeyReused
from ...core.ids import EndpointId
from ...core.states import ClaimVerdict
from ...core.states import Outcome
from ...messages.commands import ClaimAnswer
from ...messages.commands import ClaimClosed
from ...messages.commands import ClaimKey
from ...messages.commands import SealNotRun
from ..call import AdmittedCall
from ..call import AnsweredCall
from ..call import CallFailed
from ..call import ClaimedCall
from ..call import KeyedCall
from ..call import fail_as_unknown
from .registry import FILTERS
from .registry import CallContext

SEAL_GRACE_SECONDS = 1.0
"""Time past its deadline that a caller waits for its key to be sealed."""

FAILURE_BY_VERDICT: dict[ClaimVerdict, type[Failure]] = {
    ClaimVerdict.HELD_ELSEWHERE: ClaimHeld,
    ClaimVerdict.OTHER_BODY: KeyReused,
    ClaimVerdict.KEY_EXPIRED: KeyExpired,
    ClaimVerdict.KEY_FROM_FUTURE: KeyFromFuture,
}


@FILTERS.register("claim")
def claim_key(
    ctx: CallContext, admitted: AdmittedCall
) -> Result[AdmittedCall | ClaimedCall | AnsweredCall, Failure]:
    """Claim the key of a non-idempotent call for this one dispatch."""
    keyed = admitted.keyed
    if keyed is None:
        return Ok(admitted)
    req = keyed.call.req
    command = ClaimKey(
        req.key, req.caller, keyed.digest, keyed.attempt, ctx.member, keyed.issued_at
    )
    answer = ctx.control.ask(command, max(0.0, keyed.call.remaining()))
    if answer.is_error() or not isinstance(answer.ok, ClaimAnswer):
        ctx.claim_closer.post(make_seal_command(keyed))
        return Error(fail_as_unknown(ClaimUnconfirmed("retry with the same key")))
    return _handle_verdict(ctx, admitted, keyed, answer.ok)


def _handle_verdict(
    ctx: CallContext, admitted: AdmittedCall, keyed: KeyedCall, answer: ClaimAnswer
) -> Result[Any, Failure]:
    if answer.verdict is ClaimVerdict.GRANTED:
        if keyed.call.remaining() <= 0:
            return Error(seal_not_run(ctx, keyed, DeadlinePassed()))
        return Ok(ClaimedCall(admitted, keyed))
    if answer.verdict is ClaimVerdict.ANSWERED:
        return Ok(AnsweredCall(keyed.call, answer.answer, EndpointId(""), 0))
    if answer.verdict is ClaimVerdict.NOT_RUN:
        failure = ClaimSealed("key is sealed as not run; retry with a new key")
        return Error(CallFailed("", failure, Outcome.NOT_RUN))
    return Error(fail_as_unknown(FAILURE_BY_VERDICT[answer.verdict](answer.verdict)))


def make_seal_command(keyed: KeyedCall) -> SealNotRun:
    """Return the command that seals the key of a call as not run."""
    req = keyed.call.req
    return SealNotRun(req.key, req.caller, keyed.digest, keyed.attempt, keyed.issued_at)


def seal_not_run(ctx: CallContext, keyed: KeyedCall, failure: Failure) -> CallFailed:
    """Seal the key of a call that was never sent, and return its failure.

    The outcome is NOT_RUN only if a quorum has confirmed the seal. Otherwise it is
    unknown, and the claim closer retries.
    """
    command = make_seal_command(keyed)
    answer = ctx.control.ask(
        command, max(0.0, keyed.call.remaining()) + SEAL_GRACE_SECONDS
    )
    if answer.is_ok() and isinstance(answer.ok, ClaimClosed) and answer.ok.done:
        return CallFailed("", failure, Outcome.NOT_RUN)
    ctx.claim_closer.post(command)
    return fail_as_unknown(failure)
