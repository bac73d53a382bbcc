"""Choose the backend server for a call."""

from __future__ import annotations

from collections.abc import Callable
from math import inf
from typing import TYPE_CHECKING

from ...core.registry import Registry
from ...core.states import Freshness
from .state import Server
from .state import ServiceQueue
from .state import SteeringState
from .state import Waiting

if TYPE_CHECKING:
    from ...core.ids import Instant
    from ...text.model import Kind

KBIT_PER_KB = 8

OTHER_ZONE_COST = 0.002
"""Seconds that a call to another availability zone is taken to cost."""

OTHER_REGION_COST = 0.030
"""Seconds that a call to another region is taken to cost."""

BUSY_REPORT = 1.0
"""Reported load from which a backend server is used last."""

BUSY_COST = 0.5
"""Seconds that using a busy one is taken to cost."""

Router = Callable[[SteeringState, ServiceQueue, list[Server]], Server]

ROUTING: Registry[str, Router] = Registry("routing policies")

UNBOUNDED: set[str] = set()
"""Routing policies that pay no heed to shares (baselines)."""


def link_name(state: SteeringState, endpoint: Server) -> str | None:
    """Return the link a call to a backend server takes, if it leaves the region."""
    if endpoint.info.region == state.here.region:
        return None
    return f"link/{state.here.region}>{endpoint.info.region}"


def link_has_room(
    state: SteeringState, endpoint: Server, kind: Kind, now: Instant
) -> bool:
    """Say whether the link to a backend server has room for a call."""
    name = link_name(state, endpoint)
    if name is None:
        return True
    if state.freshness(now) is not Freshness.CONFIRMED or now >= state.shares_until:
        return False
    budget = state.links.get(name)
    kbit = kind.kb_per_call * KBIT_PER_KB
    return budget is not None and budget.can_take(kbit, now)


def free_slots(
    state: SteeringState, endpoint: Server, kind: Kind, now: Instant
) -> float:
    """Return how many more calls a backend server may be given."""
    if state.chosen.routing in UNBOUNDED:
        return inf
    return state.slot_limit(endpoint, kind, now) - endpoint.in_flight


def choose_endpoint(
    state: SteeringState, queue: ServiceQueue, waiting: Waiting, now: Instant
) -> Server | None:
    """Return the backend server for a call, None where all are taken."""
    kind = queue.kinds[waiting.ask.kind].kind
    open_to_call = [
        endpoint
        for endpoint in state.servers_of(queue.service.name)
        if endpoint.info.endpoint not in waiting.avoid
        and endpoint.is_serving(now)
        and free_slots(state, endpoint, kind, now) > 0
        and link_has_room(state, endpoint, kind, now)
    ]
    if not open_to_call:
        return None
    return ROUTING.get(state.chosen.routing)(state, queue, open_to_call)


@ROUTING.register("shares")
def route_by_shares(
    state: SteeringState, queue: ServiceQueue, endpoints: list[Server]
) -> Server:
    """Take the one that should answer first by own observation and distance."""

    def cost(endpoint: Server) -> tuple[float, float]:
        used = endpoint.in_flight / max(endpoint.share, 1)
        seconds = endpoint.tracker.latency + _distance(state, endpoint)
        busy = BUSY_COST if endpoint.load >= BUSY_REPORT else 0.0
        return (round(seconds * (1.0 + used) + busy, 3), endpoint.last_used)

    return min(endpoints, key=cost)


def _distance(state: SteeringState, endpoint: Server) -> float:
    if endpoint.info.zone == state.here.zone:
        return 0.0
    if endpoint.info.region == state.here.region:
        return OTHER_ZONE_COST
    return OTHER_REGION_COST


@ROUTING.register("round_robin")
def route_in_turn(
    state: SteeringState, queue: ServiceQueue, endpoints: list[Server]
) -> Server:
    """Take each in turn, whatever its load (a baseline)."""
    queue.turn += 1
    return endpoints[queue.turn % len(endpoints)]


@ROUTING.register("least_reported")
def route_by_report(
    state: SteeringState, queue: ServiceQueue, endpoints: list[Server]
) -> Server:
    """Take the one that reports the least load (a baseline)."""
    queue.turn += 1
    turn = queue.turn
    numbered = list(enumerate(endpoints))
    return min(numbered, key=lambda it: (it[1].load, (it[0] + turn) % len(numbered)))[1]


UNBOUNDED.update(("round_robin", "least_reported"))
