"""Describe how requests ended, to clients and in the log."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from ..core.events import REQUEST_LATE
from ..core.events import REQUEST_UNREAD
from ..core.events import emit
from ..core.failures import Category
from ..core.failures import ThreadsBusy
from ..core.task import monotonic
from ..program.answers import HTTP_STATUS
from ..program.answers import JSON_CONTENT_TYPE
from ..program.answers import describe_failure
from ..program.answers import to_json
from .metrics import REFUSALS
from .retry_after import choose_retry_after

if TYPE_CHECKING:
    from random import Random

    from .request import Attempt
    from .request import FailedRequest
    from .request import RoutedRequest

LATE_SECONDS = 0.25
"""Time past its deadline from which a request that ends is logged as late."""


def http_status(failed: FailedRequest) -> int:
    """Return the HTTP status of a failure.

    Clients conclude from some statuses that a request was not run, so these are used
    only if no backend server may have run it. A timeout counts as unavailability if
    no backend server may have run the request.
    """
    category = failed.failure.category
    if failed.may_have_run and category is not Category.TIMEOUT:
        category = Category.UPSTREAM
    if category is Category.TIMEOUT and not failed.may_have_run:
        category = Category.UNAVAILABLE
    return HTTP_STATUS[category]


def failure_body(failed: FailedRequest) -> bytes:
    """Return the body of the answer to a failed request."""
    fields = describe_failure(failed.failure)
    return to_json({**fields, "may_have_run": failed.may_have_run})


def describe_attempts(attempts: tuple[Attempt, ...]) -> list[dict[str, Any]]:
    """Return the sends of a request as fields of a log line."""
    return [
        {
            "instance": item.destination.instance,
            "end": item.end,
            "ms": int(item.seconds * 1000),
            "expected_wait_ms": item.destination.expected_wait_ms,
            "load": round(item.destination.estimated_load, 1),
            "report_ms": item.destination.report_age_ms,
        }
        for item in attempts
    ]


def describe_organisation(routed: RoutedRequest | None) -> dict[str, Any]:
    """Return the organisation of a request as fields of a log line; none without."""
    if routed is None or routed.organisation is None:
        return {}
    return {"organisation": routed.organisation.name}


def log_if_late(routed: RoutedRequest) -> None:
    """Log where the time of a request went that ended late."""
    late = -routed.remaining()
    if late < LATE_SECONDS:
        return
    req = routed.req
    emit(
        REQUEST_LATE,
        request=req.request_id,
        route=routed.route.name,
        timeout_ms=routed.route.timeout_ms,
        late_ms=int(late * 1000),
        thread_wait_ms=int((req.taken_at - req.received_at) * 1000),
        body_ms=int((req.read_at - req.taken_at) * 1000),
        rest_ms=int((monotonic() - req.read_at) * 1000),
    )


def refuse_overdue(rng: Random) -> bytes:
    """Return the whole answer to a request that no thread has taken in time."""
    failure = ThreadsBusy()
    REFUSALS.labels(failure.reason).inc()
    emit(REQUEST_UNREAD, request="", reason=failure.reason, detail=failure.detail)
    body = to_json(describe_failure(failure))
    head = (
        f"HTTP/1.1 {HTTP_STATUS[failure.category]} Refused\r\n"
        f"Content-Type: {JSON_CONTENT_TYPE}\r\n"
        f"Content-Length: {len(body)}\r\n"
        f"Retry-After: {choose_retry_after(rng, 0):.2f}\r\n"
        "Connection: close\r\n\r\n"
    )
    return head.encode() + body
