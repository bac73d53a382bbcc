"""Select the backend server for a call."""

from __future__ import annotations

from collections.abc import Callable
from math import inf
from typing import TYPE_CHECKING

from ...core.registry import Registry
from ...core.states import Freshness
from .state import Server
from .state import ServiceQueue
from .state import SteeringState
from .state import WaitingCall

if TYPE_CHECKING:
    from ...core.ids import Instant
    from ...text.model import Kind

KBIT_PER_KB = 8

OTHER_ZONE_COST = 0.002
"""Seconds added to the latency of servers in another availability zone."""

OTHER_REGION_COST = 0.030
"""Seconds added to the latency of servers in another region."""

BUSY_LOAD = 1.0
"""Reported load from which a backend server counts as busy."""

BUSY_COST = 0.5
"""Seconds added to the cost of a busy server, so that it is selected last."""

RoutingPolicy = Callable[[SteeringState, ServiceQueue, list[Server]], Server]
"""Take the eligible servers, at least one; return the selected one."""

ROUTING_POLICIES: Registry[str, RoutingPolicy] = Registry("routing policies")

UNLIMITED_POLICIES: set[str] = set()
"""Routing policies that ignore the limits on slots (baselines)."""


def link_name(state: SteeringState, server: Server) -> str | None:
    """Return the link to a backend server, or None if it is in the same region."""
    if server.info.region == state.locality.region:
        return None
    return f"link/{state.locality.region}>{server.info.region}"


def link_has_room(
    state: SteeringState, server: Server, kind: Kind, now: Instant
) -> bool:
    """Return whether the link to a backend server can carry one more call.

    Return False for another region unless a quorum confirms the configuration and
    the lease on the shares runs.
    """
    name = link_name(state, server)
    if name is None:
        return True
    if state.freshness(now) is not Freshness.CONFIRMED or now >= state.shares_until:
        return False
    budget = state.links.get(name)
    kbit = kind.kb_per_call * KBIT_PER_KB
    return budget is not None and budget.has_room(kbit, now)


def free_slots(state: SteeringState, server: Server, kind: Kind, now: Instant) -> float:
    """Return how many more calls this process may run on a backend server.

    There is no limit with a routing policy of UNLIMITED_POLICIES.
    """
    if state.policies.routing in UNLIMITED_POLICIES:
        return inf
    return state.slot_limit(server, kind, now) - server.in_flight


def select_server(
    state: SteeringState, queue: ServiceQueue, waiting: WaitingCall, now: Instant
) -> Server | None:
    """Return the backend server for a call, or None if none has a free slot."""
    kind = queue.kinds[waiting.request.kind].kind
    eligible = [
        server
        for server in state.servers_of(queue.service.name)
        if server.info.endpoint not in waiting.tried
        and server.is_serving(now)
        and free_slots(state, server, kind, now) > 0
        and link_has_room(state, server, kind, now)
    ]
    if not eligible:
        return None
    return ROUTING_POLICIES.get(state.policies.routing)(state, queue, eligible)


@ROUTING_POLICIES.register("shares")
def select_by_latency(
    state: SteeringState, queue: ServiceQueue, servers: list[Server]
) -> Server:
    """Select the server with the lowest expected response time.

    It is estimated from the observed latency, the distance, and the part of the share
    that is in use.
    """

    def cost(server: Server) -> tuple[float, float]:
        utilization = server.in_flight / max(server.share, 1)
        seconds = server.tracker.latency + _distance_cost(state, server)
        busy_cost = BUSY_COST if server.load >= BUSY_LOAD else 0.0
        return (round(seconds * (1.0 + utilization) + busy_cost, 3), server.last_used)

    return min(servers, key=cost)


def _distance_cost(state: SteeringState, server: Server) -> float:
    if server.info.zone == state.locality.zone:
        return 0.0
    if server.info.region == state.locality.region:
        return OTHER_ZONE_COST
    return OTHER_REGION_COST


@ROUTING_POLICIES.register("round_robin")
def select_round_robin(
    state: SteeringState, queue: ServiceQueue, servers: list[Server]
) -> Server:
    """Select servers in turn, whatever their load, as a baseline."""
    queue.turn += 1
    return servers[queue.turn % len(servers)]


@ROUTING_POLICIES.register("least_reported")
def select_least_loaded(
    state: SteeringState, queue: ServiceQueue, servers: list[Server]
) -> Server:
    """Select the server that reports the least load, as a baseline.

    Servers with equal load are selected in turn.
    """
    queue.turn += 1
    turn = queue.turn
    numbered = list(enumerate(servers))
    return min(
        numbered, key=lambda pair: (pair[1].load, (pair[0] + turn) % len(numbered))
    )[1]


UNLIMITED_POLICIES.update(("round_robin", "least_reported"))
