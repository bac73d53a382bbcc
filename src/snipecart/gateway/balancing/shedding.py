"""Reject a part of a service's requests while its queues are too long for them.

Handles overload that a gateway can't see at the server it would select, because it
rarely gets a report from it. Each gateway decides for itself: the more servers have a
longer wait than a route's latency target leaves, the smaller the part that it admits.
Less urgent routes may wait less (``admission.py``), so they are rejected first.

It is meant for many gateways with a few requests per second each, and servers with few
slots. Requests are rejected only once so many servers are busy that callers would
probably wait past their latency target; a rejected caller can still retry in time.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import TYPE_CHECKING

from ...core.failures import ServiceOverloaded
from ...core.registry import Registry
from ...core.states import SendOutcome
from .admission import WAIT_RULES
from .service_load import RecentTimes
from .service_load import ServiceLoad

if TYPE_CHECKING:
    from ...core.ids import Instant
    from ...text.routing import Route
    from ..request import RoutedRequest
    from ..request import SendResult
    from .server import Server
    from .state import BalancerState

SheddingRule = Callable[[float], float]
"""Return the fraction to admit from the fraction of servers that are too busy."""

SHEDDING_RULES: Registry[str, SheddingRule] = Registry("shedding rules")

MIN_GATEWAYS = 16
"""Gateways below which each sends enough to a server to know its load."""

SEEN_OFTEN_SECONDS = 0.5
"""Mean time between reports of a server below which its own reports suffice.

The server that a request prefers is then known well enough to judge it alone.
"""

FULL_STATUS = 503
"""Status with which a server refuses a request because its queue is full."""

MIN_WORK_TIME = 0.001
"""Shortest time of work in seconds, as waits are divided by it."""

FLOOR = 0.1
"""Fraction of the requests of each route that is admitted at least.

Their answers contain the reports that show when queues are short again.
"""

MIN_BUSY = 0.4
"""Fraction of busy servers below which a service counts as not overloaded."""

OWN_WEIGHT = 1.0
"""Weight of a server's own latest report relative to those of all others."""

OWN_DECAY_TIME = 10.0
"""Seconds in which this weight falls to 1/e.

Some servers are preferred by more objects than others for a long time.
"""

ALL_ADMITTED_BUSY = 0.4
"""Fraction of too busy servers up to which every request is admitted."""

FLOOR_ADMITTED_BUSY = 0.6
"""Fraction of too busy servers from which only FLOOR is admitted."""


NO_SHEDDING = "none"
"""Key of the rule that admits every request."""


@SHEDDING_RULES.register(NO_SHEDDING)
def admit_all(busy: float) -> float:
    """Admit every request, as a baseline."""
    return 1.0


@SHEDDING_RULES.register("busy-servers")
def admit_by_busy_servers(busy: float) -> float:
    """Admit fewer requests the more servers are too busy, and FLOOR at least.

    The fraction changes gradually: gateways that all stopped and resumed sending
    together would let queues swing between empty and full.
    """
    excess = (busy - ALL_ADMITTED_BUSY) / (FLOOR_ADMITTED_BUSY - ALL_ADMITTED_BUSY)
    return min(1.0, max(FLOOR, 1.0 - excess))


def record_requests(
    state: BalancerState,
    routed: RoutedRequest,
    server: Server,
    sent: SendResult,
    now: Instant,
) -> None:
    """Record what the end of a send tells about the requests at its server."""
    route = routed.route
    if sent.end is SendOutcome.ANSWERED:
        times = state.recent_times.setdefault(route.name, RecentTimes())
        times.seconds.append(sent.seconds)
    requests = _count_requests(route, server, sent)
    if requests is not None:
        load = _service_load(state, server)
        server.reported_wait_ratio = load.record(requests, server.slots, now)


def _count_requests(route: Route, server: Server, sent: SendResult) -> float | None:
    """Return the requests at a server after a send; None if nothing is known.

    A report of more running requests than slots can't be right. Without reports, a
    rejection means a full queue, and an answer on time that there is room: a service
    without reports must not be judged by its rejections alone.
    """
    report = sent.load_report
    if report is not None:
        plausible = report.running <= server.slots
        return float(report.running + report.waiting) if plausible else None
    if sent.end is SendOutcome.REJECTED:
        is_full = sent.answer is None or sent.answer.status == FULL_STATUS
        return math.inf if is_full and not sent.notice.pause_s else None
    on_time = sent.seconds * 1000 <= route.target_latency_ms
    return 0.0 if sent.end is SendOutcome.ANSWERED and on_time else None


def shed(
    state: BalancerState,
    routed: RoutedRequest,
    server: Server,
    servers: int,
    now: Instant,
) -> ServiceOverloaded | None:
    """Return why a request is rejected at once, or None if it is admitted.

    ``server`` is the one that it prefers, out of ``servers``.
    """
    if state.shedding == NO_SHEDDING or state.gateways < MIN_GATEWAYS:
        return None
    load = _service_load(state, server)
    if load.report_interval(servers, now) < SEEN_OFTEN_SECONDS:
        return None
    if load.busy_fraction(0.0, now) < MIN_BUSY:
        return None
    route = routed.route
    usual = _work_time(state, route)
    rule = WAIT_RULES.get(state.wait_rule)
    allowed = rule(state.index, routed, usual * 1000) / 1000
    busy = _add_own_report(
        server, load.busy_fraction(allowed / usual, now), allowed / usual, now
    )
    fraction = SHEDDING_RULES.get(state.shedding)(busy)
    if fraction >= 1.0 or _admit(state, server, routed, fraction):
        return None
    # The wait is unknown, and the ratio infinite, where servers only say that they are
    # full.
    expected = min(load.typical_ratio(now) * usual, route.timeout_ms / 1000)
    return ServiceOverloaded(
        f"{server.instance.service} in {server.instance.region}: {busy:.0%} of servers"
        f" have a wait over {allowed * 1000:.0f} ms, {fraction:.0%} of requests are"
        " admitted",
        max(0.0, expected - allowed),
    )


def _add_own_report(
    server: Server, others: float, allowed_ratio: float, now: Instant
) -> float:
    """Return the fraction of busy servers, with the server's own report added to it.

    It is 0 while most other servers have room.
    """
    if others < MIN_BUSY:
        return 0.0
    age = now - server.load_reported_at
    weight = OWN_WEIGHT * math.exp(-age / OWN_DECAY_TIME)
    own = float(server.reported_wait_ratio > allowed_ratio)
    return (others + weight * own) / (1.0 + weight)


def _work_time(state: BalancerState, route: Route) -> float:
    """Return the usual time of work without waiting, in seconds.

    The usual time of a route adapts over dozens of answers, which take a gateway with
    few requests minutes.
    """
    recent = state.recent_times.get(route.name)
    times = [route.target_latency_ms / 1000, state.usual_times.get(route.name)]
    times.append(recent.work_time() if recent is not None else None)
    return max(MIN_WORK_TIME, min(item for item in times if item is not None))


def _service_load(state: BalancerState, server: Server) -> ServiceLoad:
    key = server.instance.service, server.instance.region
    return state.service_loads.setdefault(key, ServiceLoad())


def _admit(
    state: BalancerState, server: Server, routed: RoutedRequest, fraction: float
) -> bool:
    """Return whether the next request is one of the fraction that is admitted."""
    key = server.instance.service, server.instance.region, routed.route.name
    credit = state.admission_credits.get(key, 0.0) + fraction
    state.admission_credits[key] = credit % 1.0
    return credit >= 1.0
