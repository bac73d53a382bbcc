"""Decide how long a request may wait at a backend server, by its urgency.

Answers the load of a flood: more requests than the slots can serve in time. A wait
that would use up the latency target is refused at once, and less urgent requests give
way first, so that the slots go to answers that are still worth having.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from ...core.registry import Registry

if TYPE_CHECKING:
    from ...text.routing import Route
    from ...text.routing import Routing

WaitRule = Callable[["Routing", "Route", float], float]
"""Takes the usual service time in ms; returns the wait allowed in ms."""

WAIT_RULES: Registry[str, WaitRule] = Registry("rules of admission")

MIN_WAIT_FRACTION = 0.25
"""Part of the latency target that a request may wait in any case."""

RANK_WAIT_FACTOR = 0.6
"""Wait of a rank against the wait of the next more urgent one."""


def route_wait(route: Route, usual_ms: float) -> float:
    """Return the wait that a route's latency target leaves."""
    target = route.target_latency_ms
    return max(MIN_WAIT_FRACTION * target, 0.9 * target - usual_ms)


@WAIT_RULES.register("target")
def wait_by_target(routing: Routing, route: Route, usual_ms: float) -> float:
    """Allow what the target leaves, and less than more urgent routes are allowed."""
    wait = route_wait(route, usual_ms)
    services = {target.service for target in route.targets}
    for other in routing.routes:
        shared = any(target.service in services for target in other.targets)
        if shared and other.rank < route.rank:
            bound = route_wait(other, usual_ms) * RANK_WAIT_FACTOR ** (
                route.rank - other.rank
            )
            wait = min(wait, bound)
    return wait


@WAIT_RULES.register("timeout")
def wait_by_timeout(routing: Routing, route: Route, usual_ms: float) -> float:
    """Allow any wait that the route's timeout leaves; the baseline."""
    return max(0.0, route.timeout_ms - usual_ms)
