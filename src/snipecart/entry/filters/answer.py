"""Count how a call ended."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...core.states import Outcome
from ...core.task import monotonic
from ..call import AnsweredCall
from ..call import CallFailed
from ..call import CallRequest
from ..metrics import CALL_SECONDS
from ..metrics import CALLS
from ..metrics import REFUSALS

if TYPE_CHECKING:
    from expression import Result

    from ...core.failures import Failure


def count_end(req: CallRequest, ended: Result[AnsweredCall, Failure]) -> None:
    """Count a call by outcome, and a refusal or failure by its reason."""
    if ended.is_ok():
        kind = ended.ok.call.kind
        CALLS.labels(req.service, req.kind, Outcome.ANSWERED).inc()
        CALL_SECONDS.labels(kind.rank).observe(monotonic() - req.began)
        return
    failed = ended.error
    if isinstance(failed, CallFailed):
        REFUSALS.labels(failed.failure.reason).inc()
        CALLS.labels("", "", failed.outcome).inc()
