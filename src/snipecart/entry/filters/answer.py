"""Record the results of calls in the metrics."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...core.failures import BodyTooLarge
from ...core.failures import NoText
from ...core.failures import UnknownKind
from ...core.failures import UnknownService
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


UNRESOLVED_FAILURES = (UnknownService, UnknownKind, NoText, BodyTooLarge)
"""Failures that precede the check that the configuration has a call's service and kind.

Such calls are counted without these names.
"""


def record_result(req: CallRequest, result: Result[AnsweredCall, Failure]) -> None:
    """Count a call by its outcome, and a refusal or failure by its reason."""
    if result.is_ok():
        kind = result.ok.call.kind
        CALLS.labels(req.service, req.kind, Outcome.ANSWERED).inc()
        CALL_SECONDS.labels(kind.rank).observe(monotonic() - req.received_at)
        return
    error = result.error
    if isinstance(error, CallFailed):
        REFUSALS.labels(error.failure.reason).inc()
        is_unresolved = isinstance(error.failure, UNRESOLVED_FAILURES)
        names = ("", "") if is_unresolved else (req.service, req.kind)
        CALLS.labels(*names, error.outcome).inc()
