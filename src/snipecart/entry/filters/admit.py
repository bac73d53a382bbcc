"""Acquire a slot of a backend server for a call."""

from __future__ import annotations

from expression import Error
from expression import Ok
from expression import Result

from ...core.failures import DeadlinePassed
from ...core.failures import Failure
from ..call import AdmittedCall
from ..call import KeyedCall
from ..call import ResolvedCall
from ..call import refuse
from ..steering.messages import SlotRequest
from .registry import FILTERS
from .registry import CallContext


@FILTERS.register("admit")
def admit_call(
    ctx: CallContext, message: ResolvedCall | KeyedCall
) -> Result[AdmittedCall, Failure]:
    """Wait for a slot; the exit stack of the call releases it."""
    keyed = message if isinstance(message, KeyedCall) else None
    call = keyed.call if keyed else message
    if call.remaining() <= 0:
        return Error(refuse(call, DeadlinePassed()))
    req = call.req
    slot_request = SlotRequest(
        req.call_id, req.service, req.kind, req.caller, call.deadline
    )
    req.exit_stack.enter_context(ctx.steering.call_scope(req.call_id))
    result = ctx.steering.request_slot(slot_request, call.deadline)
    if result.is_error():
        return Error(refuse(call, result.error))
    return Ok(AdmittedCall(call, keyed, result.ok))
