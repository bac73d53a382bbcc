"""Update response times, server health and budgets from the end of each send."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...core.events import SERVER_EJECTED
from ...core.events import emit
from ...core.ids import Instant
from ...core.states import SendOutcome
from .budget import RetryBudget
from .server import SLOW_RATIO
from .shedding import record_requests
from .slowdown import SLOWDOWN_RULES
from .state import record_leaving

if TYPE_CHECKING:
    from ...core.ids import ServiceName
    from ...text.routing import Route
    from ..request import Destination
    from ..request import RoutedRequest
    from ..request import SendResult
    from .state import BalancerState

USUAL_EWMA_WEIGHT = 0.05
"""Weight in a route's usual time of an answer that was faster."""

USUAL_RISE = 1.015
"""Factor by which a slower answer raises a route's usual time.

A small factor keeps the usual time at that of sound servers that are warm for the
object.
"""

P90_RISE, P90_DECAY = 1.09, 0.99
"""Factors for a slower and for a faster answer that track the 90th percentile."""

TIMED_ENDS = frozenset(
    {SendOutcome.ANSWERED, SendOutcome.TIMED_OUT, SendOutcome.CANCELLED}
)
"""Ends after which the time of a send is the response time, or a lower bound of it."""

UNWARMED_MARGIN = 1.3
"""Ratio to a route's time in ``unwarmed_times`` up to which no answer is late."""

MIN_LATE_DELAY = 0.05
"""Seconds over the usual time below which an answer never counts as late."""

MISDIRECTED_EJECTION = 5.0
"""Seconds of ejection after an address answered for another instance."""


def record_send(
    state: BalancerState,
    routed: RoutedRequest,
    destination: Destination,
    sent: SendResult,
    now: Instant,
) -> None:
    """Remove a pending send, and update averages, load and ejection from its end."""
    if sent.answer is not None:
        state.link.record_answer(routed.route, len(sent.answer.body))
    server = state.servers.get(destination.instance)
    if server is None:
        return
    server.end_send(destination.due)
    was_warm = server.is_warm_for(routed.object_key)
    ratio = _record_time(state, routed.route, destination, sent, was_warm)
    was_ejected = server.is_ejected(now)
    if not sent.notice.pause_s:
        server.record_send(sent.end, ratio, sent.load_report is not None, now)
    if sent.end is SendOutcome.ANSWERED:
        server.record_warm_object(routed.object_key)
    if sent.load_report is not None:
        estimate = SLOWDOWN_RULES.get(state.slowdown_rule)
        server.record_load(sent.load_report, estimate, now)
    record_requests(state, routed, server, sent, now)
    if sent.answer is not None and sent.end is not SendOutcome.MISDIRECTED:
        server.record_notice(sent.notice, now)
        if server.rate_limit is not None:
            state.limited_servers.add(destination.instance)
        if server.leaving:
            record_leaving(state, server.instance)
    if sent.end is SendOutcome.MISDIRECTED:
        server.ejected_until = Instant(now + MISDIRECTED_EJECTION)
    if server.is_ejected(now) and not was_ejected:
        emit(
            SERVER_EJECTED,
            instance=destination.instance,
            end=sent.end,
            failures=server.failures,
            failing=round(server.failure_rate, 2),
            seconds=round(server.ejected_until - now, 1),
        )


def late_time(state: BalancerState, route: Route, usual: float) -> float:
    """Return the seconds after which an answer is late.

    An object that the server is no longer warm for takes longer, although the server
    isn't slow.
    """
    return max(
        SLOW_RATIO * usual, UNWARMED_MARGIN * state.unwarmed_times.get(route.name, 0.0)
    )


def _record_time(
    state: BalancerState,
    route: Route,
    destination: Destination,
    sent: SendResult,
    was_warm: bool,
) -> float:
    """Update a route's response times; return the ratio of this send to the usual.

    The ratio is scaled so that it exceeds SLOW_RATIO where the send is late.
    """
    if destination.expected_wait_ms or sent.end not in TIMED_ENDS:
        return 1.0
    if sent.end is not SendOutcome.ANSWERED:
        usual = state.usual_times.get(route.name, 0.0)
        return _time_ratio(state, route, sent.seconds, usual)
    if not was_warm:
        unwarmed = state.unwarmed_times.setdefault(route.name, sent.seconds)
        state.unwarmed_times[route.name] = unwarmed + USUAL_EWMA_WEIGHT * (
            sent.seconds - unwarmed
        )
    p90 = state.p90_times.setdefault(route.name, sent.seconds)
    is_slower = sent.seconds > p90
    state.p90_times[route.name] = p90 * (P90_RISE if is_slower else P90_DECAY)
    usual = state.usual_times.setdefault(route.name, sent.seconds)
    if sent.seconds > usual:
        state.usual_times[route.name] = usual * USUAL_RISE
    else:
        state.usual_times[route.name] = usual + USUAL_EWMA_WEIGHT * (
            sent.seconds - usual
        )
    if sent.seconds < usual + MIN_LATE_DELAY:
        return 1.0
    return _time_ratio(state, route, sent.seconds, usual)


def _time_ratio(
    state: BalancerState, route: Route, seconds: float, usual: float
) -> float:
    """Return a ratio that reaches SLOW_RATIO when a send is late; 1 if unknown."""
    late_after = late_time(state, route, usual)
    return SLOW_RATIO * seconds / late_after if usual > 0 else 1.0


def retry_budget(state: BalancerState, service: ServiceName) -> RetryBudget:
    """Return the retry budget of a service; create it on first use."""
    return state.budgets.setdefault(service, RetryBudget(state.budget_rule))
