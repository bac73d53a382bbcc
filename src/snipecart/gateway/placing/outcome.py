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
    from ..request import Destination
    from ..request import RoutedRequest
    from ..request import SendResult
    from .state import PlacingState

USUAL_STEP = 0.05
"""Weight of a quicker answer in a route's usual time."""

RISE = 1.015
"""Factor by which a slower answer raises a route's usual time.

Small, so that the usual time is that of servers that are sound and know the object.
"""

SLOW_UP, SLOW_DOWN = 1.09, 0.99
"""Factors that hold a time at which nine in ten answers are quicker."""

TELLING = frozenset({SendEnd.ANSWERED, SendEnd.TIMED_OUT, SendEnd.CANCELLED})
"""Ends whose time tells how quick a server is, at the least how slow."""

UNKNOWN_MARGIN = 1.3
"""Time against the usual one of an object new to its server at which it is late."""

LEAST_DELAY = 0.05
"""Seconds over the usual time below which an answer says nothing of slowness."""

MISDIRECTED_EJECTION = 5.0
"""Seconds until an address that answered for another run is tried again."""


def note_end(
    state: PlacingState,
    routed: RoutedRequest,
    place: Destination,
    sent: SendResult,
    now: Instant,
) -> None:
    """Free a request's place and learn from how its send ended."""
    if sent.answer is not None:
        state.link.note_answer(routed.route, len(sent.answer.body))
    server = state.servers.get(place.instance)
    if server is None:
        return
    server.end_send(place.due)
    known = server.knows(routed.object_key)
    ratio = _note_time(state, routed.route, place, sent, known)
    was_ejected = server.is_ejected(now)
    server.note_end(sent.end, ratio, sent.load_report is not None, now)
    if sent.end is SendEnd.ANSWERED:
        server.note_object(routed.object_key)
    if sent.load_report is not None:
        server.note_load(sent.load_report, now)
    if sent.end is SendEnd.MISDIRECTED:
        server.ejected_until = Instant(now + MISDIRECTED_EJECTION)
    if server.is_ejected(now) and not was_ejected:
        emit(
            SERVER_EJECTED,
            instance=place.instance,
            end=sent.end,
            failures=server.failures,
            failing=round(server.failing, 2),
            seconds=round(server.ejected_until - now, 1),
        )


def late_time(state: PlacingState, route: Route, usual: float) -> float:
    """Return the seconds after which an answer is late.

    An object that its server has forgotten takes long without the server being slow.
    """
    return max(SLOW_RATIO * usual, UNKNOWN_MARGIN * state.unknown.get(route.name, 0.0))


def _note_time(
    state: PlacingState, route: Route, place: Destination, sent: SendResult, known: bool
) -> float:
    """Learn a route's usual time; return this send's time against it.

    A late one has a ratio over SLOW_RATIO.
    """
    if place.expected_wait_ms or sent.end not in TELLING:
        return 1.0
    if sent.end is not SendEnd.ANSWERED:
        usual = state.usual.get(route.name, 0.0)
        return _ratio(state, route, sent.seconds, usual)
    if not known:
        unknown = state.unknown.setdefault(route.name, sent.seconds)
        state.unknown[route.name] = unknown + USUAL_STEP * (sent.seconds - unknown)
    slow = state.slow.setdefault(route.name, sent.seconds)
    over = sent.seconds > slow
    state.slow[route.name] = slow * (SLOW_UP if over else SLOW_DOWN)
    usual = state.usual.setdefault(route.name, sent.seconds)
    if sent.seconds > usual:
        state.usual[route.name] = usual * RISE
    else:
        state.usual[route.name] = usual + USUAL_STEP * (sent.seconds - usual)
    if sent.seconds < usual + LEAST_DELAY:
        return 1.0
    return _ratio(state, route, sent.seconds, usual)


def _ratio(state: PlacingState, route: Route, seconds: float, usual: float) -> float:
    late_after = late_time(state, route, usual)
    return SLOW_RATIO * seconds / late_after if usual > 0 else 1.0


def budget_of(state: PlacingState, service: ServiceName) -> RetryBudget:
    """Return the retry budget of a service."""
    return state.budgets.setdefault(service, RetryBudget(state.budget_rule))
