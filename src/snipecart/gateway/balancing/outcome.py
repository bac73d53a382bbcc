"""Learn from how sends ended."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...core.events import SERVER_EJECTED
from ...core.events import emit
from ...core.ids import Instant
from ...core.states import SendEnd
from .budget import RetryBudget
from .server import SLOW_RATIO

if TYPE_CHECKING:
    from ...core.ids import ServiceName
    from ...text.routing import Route
    from ..request import Place
    from ..request import Routed
    from ..request import Sent
    from .state import BalancerState

USUAL_EWMA_WEIGHT = 0.05
"""Weight of a quicker answer in a route's usual time."""

USUAL_RISE = 1.015
"""Factor by which a slower answer raises a route's usual time.

Small, so that the usual time is that of servers that are sound and know the object.
"""

P90_RISE, P90_DECAY = 1.09, 0.99
"""Factors that hold a time at which nine in ten answers are quicker."""

TIMED_ENDS = frozenset({SendEnd.ANSWERED, SendEnd.TIMED_OUT, SendEnd.CANCELLED})
"""Ends whose time tells how quick a server is, at the least how slow."""

UNWARMED_MARGIN = 1.3
"""Time against the usual one of an object new to its server at which it is late."""

MIN_LATE_DELAY = 0.05
"""Seconds over the usual time below which an answer says nothing of slowness."""

MISDIRECTED_EJECTION = 5.0
"""Seconds until an address that answered for another run is tried again."""


def record_send(
    state: BalancerState, routed: Routed, destination: Place, sent: Sent, now: Instant
) -> None:
    """Free a request's place and learn from how its send ended."""
    if sent.answer is not None:
        state.link.record_answer(routed.route, len(sent.answer.body))
    server = state.servers.get(destination.instance)
    if server is None:
        return
    server.end_send(destination.due)
    was_warm = server.is_warm_for(routed.object_key)
    ratio = _record_time(state, routed.route, destination, sent, was_warm)
    was_ejected = server.is_ejected(now)
    server.record_send(sent.end, ratio, sent.load is not None, now)
    if sent.end is SendEnd.ANSWERED:
        server.record_warm_object(routed.object_key)
    if sent.load is not None:
        server.record_load(sent.load, now)
    if sent.end is SendEnd.MISDIRECTED:
        server.ejected_until = Instant(now + MISDIRECTED_EJECTION)
    if server.is_ejected(now) and not was_ejected:
        emit(
            SERVER_EJECTED,
            instance=destination.instance,
            end=sent.end,
            failures=server.failures,
            failing=round(server.failing, 2),
            seconds=round(server.ejected_until - now, 1),
        )


def late_time(state: BalancerState, route: Route, usual: float) -> float:
    """Return the seconds after which an answer is late.

    An object that its server has forgotten takes long without the server being slow.
    """
    return max(
        SLOW_RATIO * usual, UNWARMED_MARGIN * state.unwarmed_times.get(route.name, 0.0)
    )


def _record_time(
    state: BalancerState, route: Route, destination: Place, sent: Sent, was_warm: bool
) -> float:
    """Learn a route's usual time; return this send's time against it.

    A late one has a ratio over SLOW_RATIO.
    """
    if destination.queued_ms or sent.end not in TIMED_ENDS:
        return 1.0
    if sent.end is not SendEnd.ANSWERED:
        usual = state.usual_times.get(route.name, 0.0)
        return _time_ratio(state, route, sent.seconds, usual)
    if not was_warm:
        unwarmed = state.unwarmed_times.setdefault(route.name, sent.seconds)
        state.unwarmed_times[route.name] = unwarmed + USUAL_EWMA_WEIGHT * (
            sent.seconds - unwarmed
        )
    p90 = state.p90_times.setdefault(route.name, sent.seconds)
    over = sent.seconds > p90
    state.p90_times[route.name] = p90 * (P90_RISE if over else P90_DECAY)
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
    late_after = late_time(state, route, usual)
    return SLOW_RATIO * seconds / late_after if usual > 0 else 1.0


def retry_budget(state: BalancerState, service: ServiceName) -> RetryBudget:
    """Return the retry budget of a service."""
    return state.budgets.setdefault(service, RetryBudget(state.budget_rule))
