"""Run a routed request through its filters."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING
from typing import Any

from expression import Error
from expression import Ok
from expression import Result

from ..core.failures import AttemptsSpent
from ..core.failures import BackendBroken
from ..core.failures import BackendTimedOut
from ..core.failures import ClientGone
from ..core.failures import DeadlinePassed
from ..core.failures import Failure
from ..core.failures import NoRoute
from ..core.failures import NoRouting
from ..core.ids import InstanceId
from ..core.ids import Instant
from ..core.pipe import Pipe
from ..core.registry import Registry
from ..core.states import SendEnd
from .metrics import RETRIES
from .metrics import SENDS
from .placing.task import SendEnded
from .repeat import may_repeat
from .repeat import may_run_later
from .request import AnsweredRequest
from .request import AssignedRequest
from .request import Attempt
from .request import FailedRequest
from .request import HttpRequest
from .request import RoutedRequest

if TYPE_CHECKING:
    from random import Random

    from .backends import BackendConnections
    from .placing.task import PlacingTask
    from .request import Destination
    from .request import SendResult

RETRY_AFTER = 0.4
"""Seconds after which the first refused clients may come back."""

RETRY_SPREAD = 0.8
"""Seconds over which refused clients come back, at the least."""

RETRY_PART = 0.25
"""Part of the time that a client waits over which it may come back."""


@dataclass(frozen=True)
class GatewayContext:
    """Hold what filters talk to."""

    placing: PlacingTask
    backends: BackendConnections
    rng: Random


GatewayFilter = Callable[[GatewayContext, Any], Result[Any, FailedRequest]]

FILTERS: Registry[str, GatewayFilter] = Registry("filters of routed requests")

PIPELINE = ("route", "place", "send")


def make_pipeline(ctx: GatewayContext) -> Pipe:
    """Return the pipeline of routed requests."""
    return Pipe([partial(FILTERS.get(name), ctx) for name in PIPELINE])


@FILTERS.register("route")
def find_route(
    ctx: GatewayContext, req: HttpRequest
) -> Result[RoutedRequest, FailedRequest]:
    """Find the route and the time that is left."""
    index = ctx.placing.view.index
    if index is None:
        return Error(FailedRequest(NoRouting(), False, come_back(ctx.rng, req)))
    route = index.find(req.host, req.target)
    if route is None:
        return Error(FailedRequest(NoRoute(req.host), False))
    wait_ms = min(req.wait_ms or route.timeout_ms, route.timeout_ms)
    deadline = Instant(req.began + wait_ms / 1000)
    urgent = index.more_urgent(route)
    return Ok(RoutedRequest(req, route, index.routing.version, deadline, urgent))


@FILTERS.register("place")
def find_place(
    ctx: GatewayContext, routed: RoutedRequest
) -> Result[AssignedRequest, FailedRequest]:
    """Get a place at a backend server, or refuse at once."""
    if routed.remaining() <= 0:
        return Error(FailedRequest(DeadlinePassed(), False, routed=routed))
    chosen = ctx.placing.place(routed)
    if chosen.is_error():
        return Error(_refuse(ctx, routed, chosen.error, ()))
    return Ok(AssignedRequest(routed, chosen.ok))


@FILTERS.register("send")
def send(
    ctx: GatewayContext, placed: AssignedRequest
) -> Result[AnsweredRequest, FailedRequest]:
    """Send a request until it is answered or nothing more may be tried."""
    routed, place = placed.routed, placed.place
    attempts: list[Attempt] = []
    while True:
        sent = ctx.backends.send(routed, place)
        SENDS.labels(sent.end).inc()
        ctx.placing.post(SendEnded(routed, place, sent))
        attempts.append(Attempt(place, sent.end, sent.seconds))
        if sent.end is SendEnd.ANSWERED:
            return Ok(AnsweredRequest(routed, sent.answer, tuple(attempts)))
        again = _next_place(ctx, routed, place, sent, attempts)
        if again is None:
            return Error(_give_up(ctx, routed, sent, tuple(attempts)))
        RETRIES.labels(sent.end).inc()
        place = again


def _next_place(
    ctx: GatewayContext,
    routed: RoutedRequest,
    place: Destination,
    sent: SendResult,
    attempts: list[Attempt],
) -> Destination | None:
    ends = [attempt.end for attempt in attempts]
    if not may_repeat(routed.route, ends, routed.remaining()):
        return None
    tried: frozenset[InstanceId] = frozenset(item.place.instance for item in attempts)
    counted = sent.end is not SendEnd.NOT_SENT
    chosen = ctx.placing.place_again(routed, place.service, tried, counted)
    return chosen.ok if chosen.is_ok() else None


def _give_up(
    ctx: GatewayContext,
    routed: RoutedRequest,
    sent: SendResult,
    attempts: tuple[Attempt, ...],
) -> FailedRequest:
    if sent.end is SendEnd.CANCELLED:
        return FailedRequest(ClientGone(), True, 0.0, routed, attempts)
    ends = [attempt.end for attempt in attempts]
    if may_run_later(ends):
        failure = BackendTimedOut if sent.end is SendEnd.TIMED_OUT else BackendBroken
        return FailedRequest(failure(sent.detail), True, 0.0, routed, attempts)
    return _refuse(ctx, routed, AttemptsSpent(sent.detail), attempts)


def _refuse(
    ctx: GatewayContext,
    routed: RoutedRequest,
    failure: Failure,
    attempts: tuple[Attempt, ...],
) -> FailedRequest:
    wait = come_back(ctx.rng, routed.req)
    return FailedRequest(failure, False, wait, routed, attempts)


def come_back(rng: Random, req: HttpRequest) -> float:
    """Return the seconds after which a refused client may come back.

    The returns are spread, so that they don't come all at once, and those of clients
    with much time are spread over more of it: a flood may have passed by then.
    """
    spread = max(RETRY_SPREAD, RETRY_PART * req.wait_ms / 1000)
    return RETRY_AFTER + spread * rng.random()
