"""Dispatch a call to a backend server, and retry it if that is safe and allowed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from expression import Error
from expression import Ok
from expression import Result

from ...core.events import ANSWER_NOT_RECORDED
from ...core.events import LATE_ANSWER
from ...core.events import emit
from ...core.failures import BackendBroken
from ...core.failures import BackendShed
from ...core.failures import BackendTimedOut
from ...core.failures import BackendUnreachable
from ...core.failures import ClaimUnconfirmed
from ...core.failures import CutOff
from ...core.failures import DeadlinePassed
from ...core.failures import Failure
from ...core.states import CutOffPolicy
from ...core.states import DispatchOutcome
from ...core.states import Outcome
from ...core.states import RetryReason
from ...core.task import monotonic
from ...messages.commands import ClaimClosed
from ...messages.commands import RecordOutcome
from ..call import AdmittedCall
from ..call import AnsweredCall
from ..call import CallFailed
from ..call import ClaimedCall
from ..call import ResolvedCall
from ..call import fail_as_unknown
from ..canceller import CancelCall
from ..metrics import LATE_ANSWERS
from ..metrics import RETRIES
from ..steering.messages import RecordDispatch
from ..steering.messages import RetrySlotRequest
from ..steering.messages import Slot
from .claim import seal_not_run
from .registry import FILTERS
from .registry import CallContext

if TYPE_CHECKING:
    from ..backend import DispatchResult

MAX_TRIES = 3
"""Maximum dispatches of an idempotent call, or servers tried under one claim."""

LATE_ANSWER_TIMEOUT_SECONDS = 60.0
"""Time past its deadline for which a non-idempotent call's answer is awaited."""

RECORD_TIMEOUT_SECONDS = 10.0
"""Timeout of recording an answer."""

FAILURE_BY_OUTCOME: dict[DispatchOutcome, type[Failure]] = {
    DispatchOutcome.NOT_SENT: BackendUnreachable,
    DispatchOutcome.SHED: BackendShed,
    DispatchOutcome.BROKEN: BackendBroken,
    DispatchOutcome.TIMED_OUT: BackendTimedOut,
}

RETRY_REASONS: dict[DispatchOutcome, RetryReason] = {
    DispatchOutcome.NOT_SENT: RetryReason.NOT_SENT,
    DispatchOutcome.SHED: RetryReason.SHED,
    DispatchOutcome.BROKEN: RetryReason.BROKEN,
    DispatchOutcome.TIMED_OUT: RetryReason.FAILED,
}


@FILTERS.register("dispatch")
def dispatch_call(
    ctx: CallContext, message: AdmittedCall | ClaimedCall | AnsweredCall
) -> Result[AnsweredCall, Failure]:
    """Dispatch a call and return its answer; pass on an answer recorded earlier."""
    if isinstance(message, AnsweredCall):
        return Ok(message)
    if isinstance(message, ClaimedCall):
        return _dispatch_claimed(ctx, message)
    if message.keyed is not None:
        return Error(
            fail_as_unknown(
                ClaimUnconfirmed("call was not sent, as its key is not claimed")
            )
        )
    return _dispatch_idempotent(ctx, message)


def _dispatch_idempotent(
    ctx: CallContext, admitted: AdmittedCall
) -> Result[AnsweredCall, Failure]:
    call, slot = admitted.call, admitted.slot
    may_have_run = False
    for tries in range(1, MAX_TRIES + 1):
        refusal = _check_sendable(ctx, call)
        if refusal is not None:
            return Error(_make_failure(refusal, may_have_run))
        timeout = min(slot.attempt_timeout, call.remaining())
        result = ctx.backends.dispatch(call, slot.endpoint, timeout)
        _record_dispatch(ctx, call, result)
        if result.end is DispatchOutcome.ANSWERED:
            return Ok(AnsweredCall(call, result.answer, slot.endpoint, tries))
        if result.end is DispatchOutcome.TIMED_OUT:
            ctx.canceller.post(CancelCall(slot.endpoint, call.req.call_id))
        may_have_run = may_have_run or result.end not in (
            DispatchOutcome.NOT_SENT,
            DispatchOutcome.SHED,
        )
        failure = FAILURE_BY_OUTCOME[result.end](slot.endpoint)
        retry_slot = (
            _request_retry_slot(ctx, call, result.end) if tries < MAX_TRIES else None
        )
        if retry_slot is None:
            return Error(_make_failure(failure, may_have_run))
        slot = retry_slot
    return Error(_make_failure(failure, may_have_run))


def _check_sendable(ctx: CallContext, call: ResolvedCall) -> Failure | None:
    """Return why a call may no longer be sent, or None if it may.

    Much time may have passed since the call was admitted, as after this process was
    suspended.
    """
    now = monotonic()
    if now >= call.deadline:
        return DeadlinePassed()
    refuses = call.kind.when_cut_off is CutOffPolicy.REFUSE
    if refuses and now >= ctx.steering.view.confirmed_until:
        return CutOff("configuration is no longer confirmed by a quorum")
    return None


def _make_failure(failure: Failure, may_have_run: bool) -> CallFailed:
    outcome = Outcome.UNKNOWN if may_have_run else Outcome.NOT_RUN
    return CallFailed("", failure, outcome)


def _record_dispatch(
    ctx: CallContext, call: ResolvedCall, result: DispatchResult
) -> None:
    ctx.steering.post_blocking(
        RecordDispatch(call.req.call_id, result.end, result.seconds, result.load)
    )


def _request_retry_slot(
    ctx: CallContext, call: ResolvedCall, end: DispatchOutcome
) -> Slot | None:
    if call.remaining() <= 0:
        return None
    reason = RETRY_REASONS[end]
    result = ctx.steering.request_slot(
        RetrySlotRequest(call.req.call_id, reason), call.deadline
    )
    if result.is_error():
        return None
    RETRIES.labels(reason).inc()
    return result.ok


def _dispatch_claimed(
    ctx: CallContext, claimed: ClaimedCall
) -> Result[AnsweredCall, Failure]:
    """Dispatch in a thread that may wait for the answer longer than the caller."""
    call = claimed.keyed.call
    exit_stack = call.req.exit_stack.pop_all()

    def dispatch_and_release() -> Result[AnsweredCall, Failure]:
        with exit_stack:
            return _send_claimed(ctx, claimed)

    fut = ctx.executor.submit(dispatch_and_release)
    try:
        return fut.result(max(0.0, call.remaining()))
    except TimeoutError:
        return Error(
            fail_as_unknown(
                BackendTimedOut("retry with the same key to get the answer")
            )
        )


def _send_claimed(
    ctx: CallContext, claimed: ClaimedCall
) -> Result[AnsweredCall, Failure]:
    """Send the call at most once; try another server only if no byte was sent."""
    call, slot = claimed.keyed.call, claimed.admitted.slot
    for tries in range(1, MAX_TRIES + 1):
        refusal = _check_sendable(ctx, call)
        if refusal is not None:
            return Error(seal_not_run(ctx, claimed.keyed, refusal))
        timeout = call.remaining() + LATE_ANSWER_TIMEOUT_SECONDS
        result = ctx.backends.dispatch_on_new_connection(call, slot.endpoint, timeout)
        _record_dispatch(ctx, call, result)
        if result.end is DispatchOutcome.ANSWERED:
            _record_answer(ctx, claimed, result)
            return Ok(AnsweredCall(call, result.answer, slot.endpoint, tries))
        failure = FAILURE_BY_OUTCOME[result.end](slot.endpoint)
        if result.end is DispatchOutcome.SHED:
            return Error(seal_not_run(ctx, claimed.keyed, failure))
        if result.end is not DispatchOutcome.NOT_SENT:
            return Error(fail_as_unknown(failure))
        retry_slot = (
            _request_retry_slot(ctx, call, result.end) if tries < MAX_TRIES else None
        )
        if retry_slot is None:
            return Error(seal_not_run(ctx, claimed.keyed, failure))
        slot = retry_slot
    return Error(seal_not_run(ctx, claimed.keyed, failure))


def _record_answer(
    ctx: CallContext, claimed: ClaimedCall, result: DispatchResult
) -> None:
    """Record the answer with a quorum, for retries with the same key."""
    keyed = claimed.keyed
    req = keyed.call.req
    command = RecordOutcome(req.key, req.caller, keyed.attempt, result.answer)
    answer = ctx.control.ask(command, RECORD_TIMEOUT_SECONDS)
    is_recorded = (
        answer.is_ok() and isinstance(answer.ok, ClaimClosed) and answer.ok.done
    )
    if not is_recorded:
        ctx.claim_closer.post(command)
        emit(ANSWER_NOT_RECORDED, key=req.key)
    if keyed.call.remaining() <= 0:
        LATE_ANSWERS.inc()
        emit(LATE_ANSWER, key=req.key)
