"""Run requests through the filters that route, assign and send them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from functools import partial
from typing import TYPE_CHECKING
from typing import Any

from expression import Error
from expression import Ok
from expression import Result

from ..core.failures import AttemptsSpent
from ..core.failures import BackendShed
from ..core.failures import Category
from ..core.failures import ClientGone
from ..core.failures import DeadlinePassed
from ..core.failures import Failure
from ..core.failures import NoRoute
from ..core.failures import NoRouting
from ..core.failures import OrganisationLimited
from ..core.failures import QuotaUnavailable
from ..core.ids import InstanceId
from ..core.ids import Instant
from ..core.pipe import Pipe
from ..core.registry import Registry
from ..core.states import SendOutcome
from ..core.task import monotonic
from .authentication import check_key
from .balancing.messages import RecordSend
from .balancing.quota import Admission
from .key_lease import KeyLease
from .metrics import RETRIES
from .metrics import SENDS
from .quota import QuotaGate
from .request import AnsweredRequest
from .request import AssignedRequest
from .request import Attempt
from .request import FailedRequest
from .request import HeaderNames
from .request import HttpRequest
from .request import RoutedRequest
from .request import SendResult
from .request import request_timeout
from .retry import NOT_RUN_ENDS
from .retry import could_have_run
from .retry import may_retry
from .retry_after import RETRY_AFTER_RULES
from .retry_after import choose_retry_after
from .retry_after import choose_token_retry

if TYPE_CHECKING:
    from random import Random

    from .backends import BackendClient
    from .balancing.task import BalancerTask
    from .request import Destination


@dataclass(frozen=True)
class GatewayContext:
    """Store the task, the connection pool and the generator that filters use."""

    balancer: BalancerTask
    backends: BackendClient
    rng: Random
    names: HeaderNames = HeaderNames()
    lease: KeyLease = field(default_factory=KeyLease)
    quota: QuotaGate = field(default_factory=QuotaGate)
    retry_after: str = "spread"
    """Key of a rule of ``Retry-After``."""


GatewayFilter = Callable[[GatewayContext, Any], Result[Any, FailedRequest]]

FILTERS: Registry[str, GatewayFilter] = Registry("filters of routed requests")

PIPELINE = ("route", "authenticate", "limit", "place", "send")


def make_pipeline(ctx: GatewayContext) -> Pipe:
    """Return the pipeline that handles client requests."""
    return Pipe([partial(FILTERS.get(name), ctx) for name in PIPELINE])


@FILTERS.register("route")
def find_route(
    ctx: GatewayContext, req: HttpRequest
) -> Result[RoutedRequest, FailedRequest]:
    """Find the route of a request and set its deadline."""
    index = ctx.balancer.view.index
    if index is None:
        failure = NoRouting(ctx.balancer.describe_missing_routing())
        return Error(
            FailedRequest(
                failure, False, choose_retry_after(ctx.rng, req.client_timeout_ms)
            )
        )
    route = index.find(req.host, req.target)
    if route is None:
        return Error(FailedRequest(NoRoute(req.host), False))
    timeout = request_timeout(route, req.client_timeout_ms)
    deadline = Instant(req.received_at + timeout)
    urgent = index.count_more_urgent(route.rank)
    return Ok(RoutedRequest(req, route, index.routing.version, deadline, urgent))


@FILTERS.register("authenticate")
def authenticate_request(
    ctx: GatewayContext, routed: RoutedRequest
) -> Result[RoutedRequest, FailedRequest]:
    """Find the organisation of a request by its API key, or reject the request."""
    return check_key(ctx, routed, monotonic()).map_error(
        lambda failure: _refuse(ctx, routed, failure, ())
    )


@FILTERS.register("limit")
def limit_organisation(
    ctx: GatewayContext, routed: RoutedRequest
) -> Result[RoutedRequest, FailedRequest]:
    """Take a token for a request, or reject it if its organisation is over its limit.

    The token counts for one send that may run the request; the filters that follow
    return it if there was none.
    """
    limited = routed.limited_organisation
    if limited is None:
        return Ok(routed)
    admission = ctx.quota.admit(limited, routed.remaining())
    if admission is Admission.ADMITTED:
        return Ok(routed)
    if admission is Admission.CUT_OFF:
        return Error(_refuse(ctx, routed, QuotaUnavailable(), ()))
    earliest = ctx.quota.seconds_to_token(limited)
    retry_after = choose_token_retry(ctx.rng, earliest, routed.remaining())
    failure = OrganisationLimited("", round(earliest, 2))
    return Error(FailedRequest(failure, False, retry_after, routed))


def _put_back_token(ctx: GatewayContext, routed: RoutedRequest) -> None:
    """Return the token of a request that was not run."""
    if routed.limited_organisation is not None:
        ctx.quota.put_back(routed.limited_organisation)


def _take_retry_token(
    ctx: GatewayContext, routed: RoutedRequest, end: SendOutcome
) -> bool:
    """Take a token for another send if the last one may have run the request.

    Return False if there is none.
    """
    limited = routed.limited_organisation
    return limited is None or end in NOT_RUN_ENDS or ctx.quota.take_again(limited)


@FILTERS.register("place")
def select_server(
    ctx: GatewayContext, routed: RoutedRequest
) -> Result[AssignedRequest, FailedRequest]:
    """Select a backend server, or reject the request if none can serve it in time."""
    if routed.remaining() <= 0:
        _put_back_token(ctx, routed)
        return Error(FailedRequest(DeadlinePassed(), False, routed=routed))
    selection = ctx.balancer.select_server(routed)
    if selection.is_error():
        _put_back_token(ctx, routed)
        return Error(_refuse(ctx, routed, selection.error, ()))
    return Ok(AssignedRequest(routed, selection.ok))


@FILTERS.register("send")
def send_request(
    ctx: GatewayContext, assigned: AssignedRequest
) -> Result[AnsweredRequest, FailedRequest]:
    """Send a request, and retry it on other backend servers while that is allowed.

    The API key is checked before each send, as it may be removed at any time.
    """
    routed, destination = assigned.routed, assigned.destination
    attempts: list[Attempt] = []
    result: SendResult | None = None
    while True:
        checked = check_key(ctx, routed, monotonic())
        if checked.is_error():
            unused = SendResult(SendOutcome.CANCELLED, 0.0, failure=checked.error)
            ctx.balancer.post(RecordSend(routed, destination, unused))
            _put_back_token(ctx, routed)
            return Error(
                _make_key_failure(ctx, routed, checked.error, result, tuple(attempts))
            )
        routed = checked.ok
        result = ctx.backends.send(routed, destination)
        SENDS.labels(result.end).inc()
        ctx.balancer.post(RecordSend(routed, destination, result))
        attempts.append(Attempt(destination, result.end, result.seconds))
        if result.end is SendOutcome.ANSWERED:
            return Ok(AnsweredRequest(routed, result.answer, tuple(attempts)))
        retry_destination = _select_retry_destination(
            ctx, routed, destination, result, attempts
        )
        if retry_destination is None:
            if result.end in NOT_RUN_ENDS:
                _put_back_token(ctx, routed)
            return Error(_make_failure(ctx, routed, result, tuple(attempts)))
        RETRIES.labels(result.end).inc()
        destination = retry_destination


def _select_retry_destination(
    ctx: GatewayContext,
    routed: RoutedRequest,
    destination: Destination,
    result: SendResult,
    attempts: list[Attempt],
) -> Destination | None:
    ends = [attempt.end for attempt in attempts]
    if not may_retry(routed.route, ends, routed.remaining()):
        return None
    if not _take_retry_token(ctx, routed, result.end):
        return None
    tried: frozenset[InstanceId] = frozenset(
        item.destination.instance for item in attempts
    )
    reached_server = result.end is not SendOutcome.NOT_SENT
    selection = ctx.balancer.select_retry_server(
        routed, destination.service, tried, reached_server, could_have_run(ends)
    )
    if selection.is_error() and result.end not in NOT_RUN_ENDS:
        _put_back_token(ctx, routed)
    return selection.ok if selection.is_ok() else None


def _make_failure(
    ctx: GatewayContext,
    routed: RoutedRequest,
    result: SendResult,
    attempts: tuple[Attempt, ...],
) -> FailedRequest:
    if result.end is SendOutcome.CANCELLED:
        return FailedRequest(ClientGone(), True, 0.0, routed, attempts)
    ends = [attempt.end for attempt in attempts]
    failure = result.failure or BackendShed()
    if could_have_run(ends):
        return FailedRequest(failure, True, 0.0, routed, attempts)
    return _refuse(ctx, routed, AttemptsSpent(failure.reason), attempts)


def _make_key_failure(
    ctx: GatewayContext,
    routed: RoutedRequest,
    failure: Failure,
    last: SendResult | None,
    attempts: tuple[Attempt, ...],
) -> FailedRequest:
    """Return why a request is not sent (again) with its key.

    If an earlier send may have run, the end of the last send is reported.
    """
    if last is not None and could_have_run([attempt.end for attempt in attempts]):
        return _make_failure(ctx, routed, last, attempts)
    return _refuse(ctx, routed, failure, attempts)


def _refuse(
    ctx: GatewayContext,
    routed: RoutedRequest,
    failure: Failure,
    attempts: tuple[Attempt, ...],
) -> FailedRequest:
    if failure.category is Category.UNAUTHENTICATED:
        return FailedRequest(failure, False, 0.0, routed, attempts)
    rule = RETRY_AFTER_RULES.get(ctx.retry_after)
    retry_after = rule(
        ctx.rng, failure, routed.req.client_timeout_ms, routed.remaining()
    )
    return FailedRequest(failure, False, retry_after, routed, attempts)
