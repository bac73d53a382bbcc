"""Limit how long a request may queue at a backend server, by its rank.

Handles overload: more requests than the slots can serve in time. A request whose wait
would use up its latency target is rejected at once, and less urgent routes may wait
less, so that slots serve requests that can still be answered within their target.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from ...core.registry import Registry

if TYPE_CHECKING:
    from ...text.routing import Route
    from ..request import RoutedRequest
    from .routes import RouteIndex

WaitRule = Callable[["RouteIndex", "RoutedRequest", float], float]
"""Return the longest allowed wait in ms, from the usual response time in ms."""

WAIT_RULES: Registry[str, WaitRule] = Registry("admission rules")

MIN_WAIT_FRACTION = 0.25
"""Fraction of the latency target that a route may always wait."""

MAX_TARGET_FRACTION = 0.9
"""Fraction of the latency target that the wait and the work may take together."""

RANK_WAIT_FACTOR = 0.6
"""Ratio of the longest wait of a rank to that of the next more urgent rank in use."""


def route_wait(route: Route, usual_ms: float) -> float:
    """Return the wait in ms that a route's latency target leaves."""
    target = route.target_latency_ms
    return max(MIN_WAIT_FRACTION * target, MAX_TARGET_FRACTION * target - usual_ms)


@WAIT_RULES.register("target")
def wait_by_target(index: RouteIndex, routed: RoutedRequest, usual_ms: float) -> float:
    """Allow the wait that the target leaves, but less than more urgent routes get.

    Only routes that share a service with this one are considered.
    """
    route, rank = routed.route, routed.rank
    wait = route_wait(route, usual_ms)
    services = {target.service for target in route.targets}
    more_urgent = index.count_more_urgent(rank)
    for other in index.routing.routes:
        shared = any(target.service in services for target in other.targets)
        if shared and other.rank < rank:
            ranks_between = more_urgent - index.count_more_urgent(other.rank)
            factor = RANK_WAIT_FACTOR**ranks_between
            bound = route_wait(other, usual_ms) * factor
            wait = min(wait, bound)
    return wait


@WAIT_RULES.register("timeout")
def wait_by_timeout(index: RouteIndex, routed: RoutedRequest, usual_ms: float) -> float:
    """Allow any wait that the route's timeout leaves, as a baseline."""
    return max(0.0, routed.route.timeout_ms - usual_ms)
