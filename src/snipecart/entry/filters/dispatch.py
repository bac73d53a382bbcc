"""Send a call to its backend server, again where that is safe and allowed."""

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
from ..call import give_up
from ..canceller import Cancel
from ..metrics import LATE_ANSWERS
from ..metrics import RETRIES
from ..steering.messages import RecordDispatch
from ..steering.messages import RetrySlotRequest
from ..steering.messages import Slot
from .claim import seal
from .registry import FILTERS
from .registry import CallContext

if TYPE_CHECKING:
    from ..backend import DispatchResult

MAX_TRIES = 3
"""Dispatches of an idempotent call, and endpoints tried under one claim."""

LATE_LIMIT = 60.0
"""Seconds past its deadline that a non-idempotent call's answer is waited for."""

RECORD_WAIT = 10.0
"""Seconds that recording an answer may take."""

ENDED: dict[DispatchOutcome, type[Failure]] = {
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
    """Get a whole answer; an answer recorded earlier passes through."""
    if isinstance(message, AnsweredCall):
        return Ok(message)
    if isinstance(message, ClaimedCall):
        return _run_claimed(ctx, message)
    if message.keyed is not None:
        return Error(give_up(ClaimUnconfirmed("never sent without its claim")))
    return _run_idempotent(ctx, message)


def _run_idempotent(
    ctx: CallContext, admitted: AdmittedCall
) -> Result[AnsweredCall, Failure]:
    call, slot = admitted.call, admitted.slot
    sent = False
    for tries in range(1, MAX_TRIES + 1):
        late = _find_too_late(ctx, call)
        if late is not None:
            return Error(_fail(late, sent))
        limit = min(slot.attempt_timeout, call.remaining())
        done = ctx.backends.dispatch(call, slot.endpoint, limit)
        _report(ctx, call, done)
        if done.end is DispatchOutcome.ANSWERED:
            return Ok(AnsweredCall(call, done.answer, slot.endpoint, tries))
        if done.end is DispatchOutcome.TIMED_OUT:
            ctx.canceller.post(Cancel(slot.endpoint, call.req.call))
        sent = sent or done.end not in (DispatchOutcome.NOT_SENT, DispatchOutcome.SHED)
        failure = ENDED[done.end](slot.endpoint)
        again = _ask_again(ctx, call, done.end) if tries < MAX_TRIES else None
        if again is None:
            return Error(_fail(failure, sent))
        slot = again
    return Error(_fail(failure, sent))


def _find_too_late(ctx: CallContext, call: ResolvedCall) -> Failure | None:
    """Return why a call may no longer be sent, as after a freeze of this process."""
    now = monotonic()
    if now >= call.deadline:
        return DeadlinePassed()
    refuses = call.kind.when_cut_off is CutOffPolicy.REFUSE
    if refuses and now >= ctx.steering.view.confirmed_until:
        return CutOff("text no longer confirmed")
    return None


def _fail(failure: Failure, sent: bool) -> CallFailed:
    outcome = Outcome.UNKNOWN if sent else Outcome.NOT_RUN
    return CallFailed("", failure, outcome)


def _report(ctx: CallContext, call: ResolvedCall, done: DispatchResult) -> None:
    ctx.steering.post_blocking(
        RecordDispatch(call.req.call, done.end, done.seconds, done.load)
    )


def _ask_again(
    ctx: CallContext, call: ResolvedCall, end: DispatchOutcome
) -> Slot | None:
    if call.remaining() <= 0:
        return None
    reason = RETRY_REASONS[end]
    again = ctx.steering.request_slot(
        RetrySlotRequest(call.req.call, reason), call.deadline
    )
    if again.is_error():
        return None
    RETRIES.labels(reason).inc()
    return again.ok


def _run_claimed(
    ctx: CallContext, claimed: ClaimedCall
) -> Result[AnsweredCall, Failure]:
    """Dispatch on a thread of its own, which may outlive the caller's wait."""
    call = claimed.keyed.call
    scope = call.req.scope.pop_all()

    def run() -> Result[AnsweredCall, Failure]:
        with scope:
            return _dispatch_once(ctx, claimed)

    fut = ctx.runs.submit(run)
    try:
        return fut.result(max(0.0, call.remaining()))
    except TimeoutError:
        return Error(give_up(BackendTimedOut("send the same key for the answer")))


def _dispatch_once(
    ctx: CallContext, claimed: ClaimedCall
) -> Result[AnsweredCall, Failure]:
    """Send one dispatch, ever; try elsewhere only while no byte has left."""
    call, slot = claimed.keyed.call, claimed.admitted.slot
    for tries in range(1, MAX_TRIES + 1):
        late = _find_too_late(ctx, call)
        if late is not None:
            return Error(seal(ctx, claimed.keyed, late))
        limit = call.remaining() + LATE_LIMIT
        done = ctx.backends.dispatch_once(call, slot.endpoint, limit)
        _report(ctx, call, done)
        if done.end is DispatchOutcome.ANSWERED:
            _record(ctx, claimed, done)
            return Ok(AnsweredCall(call, done.answer, slot.endpoint, tries))
        failure = ENDED[done.end](slot.endpoint)
        if done.end is DispatchOutcome.SHED:
            return Error(seal(ctx, claimed.keyed, failure))
        if done.end is not DispatchOutcome.NOT_SENT:
            return Error(give_up(failure))
        again = _ask_again(ctx, call, done.end) if tries < MAX_TRIES else None
        if again is None:
            return Error(seal(ctx, claimed.keyed, failure))
        slot = again
    return Error(seal(ctx, claimed.keyed, failure))


def _record(ctx: CallContext, claimed: ClaimedCall, done: DispatchResult) -> None:
    """Have a quorum keep the answer, for resends of the key."""
    keyed = claimed.keyed
    req = keyed.call.req
    command = RecordOutcome(req.key, req.caller, keyed.attempt, done.answer)
    answer = ctx.control.ask(command, RECORD_WAIT)
    kept = answer.is_ok() and isinstance(answer.ok, ClaimClosed) and answer.ok.done
    if not kept:
        ctx.sealer.post(command)
        emit(ANSWER_NOT_RECORDED, key=req.key)
    if keyed.call.remaining() <= 0:
        LATE_ANSWERS.inc()
        emit(LATE_ANSWER, key=req.key)
