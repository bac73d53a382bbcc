"""Select a backend server for each request, or reject it at once.

Servers answer faster for objects that they are warm for. Under overload, a request
that moves to a server which isn't warm for its object takes several times as long;
that uses up more slots, so even more requests move. To prevent this, an object stays on
a few servers: its requests queue there or are rejected, and don't run on another busy
server that isn't warm for it.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from expression import Error
from expression import Ok
from expression import Result

from ...core.failures import Failure
from ...core.failures import NoEndpoint
from ...core.failures import RateLimited
from ...core.failures import ServerSaturated
from ...core.failures import ServersPaused
from ...core.ids import InstanceId
from ...core.ids import Instant
from ...core.ids import ServiceName
from ...core.registry import Registry
from ...core.states import EndpointState
from ..request import Destination
from .admission import WAIT_RULES
from .outcome import late_time
from .preference import preference_order
from .rate_limits import acquire_send
from .rate_limits import may_send
from .server import Server
from .shedding import shed
from .spillover import SpilloverMeter

if TYPE_CHECKING:
    from ..request import RoutedRequest
    from .state import BalancerState

SPREAD_THRESHOLD = 0.7
"""Utilisation of a service's slots below which objects may move to more servers."""

MIN_SOUND_FRACTION = 0.6
"""Fraction of servers that must be sound for the failing ones to be excluded."""


COMPARED_SLOWDOWN = 1.5
"""Slowdown above which the most preferred server is compared with others."""

SelectionPolicy = Callable[
    ["BalancerState", "RoutedRequest", ServiceName, list[Server], "Instant"],
    Result[Destination, Failure],
]
"""Select one of the eligible servers, which are in order of preference."""

SELECTION_POLICIES: Registry[str, SelectionPolicy] = Registry(
    "server selection policies"
)


def select_server(
    state: BalancerState,
    routed: RoutedRequest,
    service: ServiceName,
    tried: frozenset[InstanceId],
    now: Instant,
    may_have_run: bool = False,
) -> Result[Destination, Failure]:
    """Return the backend server for a request, or the reason of its rejection.

    Counts the request as pending at the selected server. A request that may have run
    isn't rejected for the load of the service: its client couldn't be told to retry.
    """
    overloaded = None
    if not may_have_run:
        overloaded = _shed(state, routed, service, tried, now)
    if overloaded is not None:
        return Error(overloaded)
    meter = state.spillover_meters.setdefault(service, SpilloverMeter())
    first = _select_most_preferred(state, routed, service, tried, now)
    if first is not None:
        meter.record(False, now)
        return Ok(_assign(state, routed, first, 0.0, now))
    servers = _list_candidates(state, routed, service, tried)
    if not servers:
        return Error(NoEndpoint(_describe_absence(state, routed, service)))
    sendable = [item for item in servers if may_send(state, item, now)]
    if not sendable:
        return Error(_describe_limits(servers, service, now))
    eligible = _exclude_failing(sendable, now)
    region = eligible[0].instance.region
    if not meter.allows(now):
        eligible = [item for item in eligible if item.instance.region == region]
    selected = SELECTION_POLICIES.get(state.choice)(
        state, routed, service, eligible, now
    )
    if selected.is_ok():
        server = state.servers[selected.ok.instance]
        meter.record(server.instance.region != region, now)
    return selected


@SELECTION_POLICIES.register("warm-first")
def select_warm_first(
    state: BalancerState,
    routed: RoutedRequest,
    service: ServiceName,
    servers: list[Server],
    now: Instant,
) -> Result[Destination, Failure]:
    """Select the server with the shortest expected response time.

    A server that isn't warm for the object is selected only with a free slot, and only
    while the utilisation of the service is below SPREAD_THRESHOLD. An object with
    planned servers leaves them only where their wait exceeds its limit: its request
    would be cold elsewhere, and make that server forget another object.
    """
    usable = [item for item in servers if not item.is_slow(now)] or servers
    key = routed.object_key
    warm = [item for item in usable if item is usable[0] or item.is_warm_for(key)]
    planned = _list_planned(state, service, key, usable)
    if planned:
        selected = _select_queue(state, routed, service, planned, now)
        if selected.is_ok():
            return selected
        warm = planned
    usual = _usual_time(state, routed)
    unwarmed_cost = max(0.0, state.p90_times.get(routed.route.name, usual) - usual)

    def cost(item: Server) -> float:
        time = usual if item in warm else usual + unwarmed_cost
        return item.expected_wait(usual, now) + time * item.slowdown(now)

    may_spread = _utilisation(usable, now) < SPREAD_THRESHOLD
    for item in sorted(usable if may_spread else warm, key=cost):
        if item.expected_wait(usual, now) > 0:
            break
        if acquire_send(state, item, now):
            return Ok(_assign(state, routed, item, 0.0, now))
    return _select_queue(state, routed, service, warm, now)


def _list_planned(
    state: BalancerState, service: ServiceName, key: str, servers: list[Server]
) -> list[Server]:
    """Return the servers that a plan assigns to an object."""
    placed = state.placement.find(service, key)
    if placed is None:
        return []
    return [item for item in servers if item.instance.instance in placed.servers]


def _utilisation(servers: list[Server], now: Instant) -> float:
    """Return the fraction of the slots that are in use."""
    slots = sum(item.slots for item in servers)
    return sum(min(item.load(now), item.slots) for item in servers) / slots


@SELECTION_POLICIES.register("any-room")
def select_any_room(
    state: BalancerState,
    routed: RoutedRequest,
    service: ServiceName,
    servers: list[Server],
    now: Instant,
) -> Result[Destination, Failure]:
    """Select the first server with a free slot, warm or not, as a baseline."""
    for item in servers:
        if item.load(now) < item.slots and acquire_send(state, item, now):
            return Ok(_assign(state, routed, item, 0.0, now))
    return _select_queue(state, routed, service, servers, now)


def _select_most_preferred(
    state: BalancerState,
    routed: RoutedRequest,
    service: ServiceName,
    tried: frozenset[InstanceId],
    now: Instant,
) -> Server | None:
    """Select the most preferred server if it is sound and has a free slot.

    Return None otherwise. For most requests, this avoids evaluating all servers.
    """
    for name in preference_order(state, routed, service):
        server = state.servers[name]
        if name in tried or not _may_serve(state, server, routed):
            continue
        free = server.load(now) < server.slots and server.is_sound(now)
        free = free and server.slowdown(now) < COMPARED_SLOWDOWN
        return server if free and acquire_send(state, server, now) else None
    return None


def _shed(
    state: BalancerState,
    routed: RoutedRequest,
    service: ServiceName,
    tried: frozenset[InstanceId],
    now: Instant,
) -> Failure | None:
    """Return why a request is rejected for the load of its service, if it is."""
    names = preference_order(state, routed, service)
    for name in names:
        server = state.servers[name]
        if name not in tried and _may_serve(state, server, routed):
            return shed(state, routed, server, len(names), now)
    return None


def _exclude_failing(servers: list[Server], now: Instant) -> list[Server]:
    """Exclude ejected servers, and failing ones if enough others remain."""
    not_ejected = [item for item in servers if not item.is_ejected(now)] or servers
    sound = [item for item in not_ejected if not item.is_failing(now)]
    return sound if len(sound) > len(not_ejected) * MIN_SOUND_FRACTION else not_ejected


def _describe_absence(
    state: BalancerState, routed: RoutedRequest, service: ServiceName
) -> str:
    """Say how many servers a service has, and how many of them leave.

    For an organisation with allowed regions, say how many of them it may use.
    """
    servers = [
        item for item in state.servers.values() if item.instance.service == service
    ]
    leaving = sum(
        item.leaving or item.instance.state is EndpointState.LEAVING for item in servers
    )
    text = f"{service}: {len(servers)} servers known, {leaving} of them leave"
    if routed.organisation is not None and routed.organisation.regions:
        allowed = sum(routed.may_run_in(item.instance.region) for item in servers)
        text += f", {allowed} in regions allowed to {routed.organisation.name}"
    return text


def _describe_limits(
    servers: list[Server], service: ServiceName, now: Instant
) -> Failure:
    """Return why none of the servers accepts a request now."""
    paused = [item for item in servers if item.is_paused(now)]
    detail = f"{len(servers)} servers of {service}, {len(paused)} of them pause"
    if len(paused) < len(servers):
        return RateLimited(detail)
    ends = min(item.paused_until for item in paused)
    return ServersPaused(detail, max(0.0, ends - now))


def _list_candidates(
    state: BalancerState,
    routed: RoutedRequest,
    service: ServiceName,
    tried: frozenset[InstanceId],
) -> list[Server]:
    """Return the backend servers that may serve a request, in order of preference."""
    names = preference_order(state, routed, service)
    return [
        state.servers[name]
        for name in names
        if name not in tried and _may_serve(state, state.servers[name], routed)
    ]


def _may_serve(state: BalancerState, server: Server, routed: RoutedRequest) -> bool:
    """Return whether a server may run a request, whatever its load."""
    instance = server.instance
    return (
        instance.state is EndpointState.SERVING
        and not server.leaving
        and instance.zone not in state.evacuated
        and routed.may_run_in(instance.region)
    )


def _usual_time(state: BalancerState, routed: RoutedRequest) -> float:
    """Return the usual response time of a route in seconds.

    Before the first answer, this is the route's latency target.
    """
    route = routed.route
    return state.usual_times.get(route.name, route.target_latency_ms / 1000)


def _select_queue(
    state: BalancerState,
    routed: RoutedRequest,
    service: ServiceName,
    servers: list[Server],
    now: Instant,
) -> Result[Destination, Failure]:
    """Select the server with the shortest wait, if admission and deadline allow it."""
    route = routed.route
    usual = _usual_time(state, routed)
    waits = {item.instance.instance: item.expected_wait(usual, now) for item in servers}
    allowed = WAIT_RULES.get(state.wait_rule)(state.index, routed, usual * 1000)
    p90 = state.p90_times.get(route.name, usual)
    limit = min(allowed / 1000, routed.deadline - now - p90)
    ranked = sorted(servers, key=lambda item: waits[item.instance.instance])
    for item in ranked:
        wait = waits[item.instance.instance]
        if wait > limit:
            break
        if acquire_send(state, item, now):
            return Ok(_assign(state, routed, item, max(0.0, wait), now))
    excess = waits[ranked[0].instance.instance] - limit
    detail = _describe_saturation(ranked[0], waits, limit, now)
    return Error(ServerSaturated(detail, max(0.0, excess)))


def _describe_saturation(
    best: Server, waits: dict[InstanceId, float], limit: float, now: Instant
) -> str:
    """Describe the shortest wait, its limit and the server's load for a rejection."""
    name = best.instance.instance
    return (
        f"{name} is free first, in {waits[name] * 1000:.0f} ms of {limit * 1000:.0f}"
        f" allowed, load {best.load(now):.1f} of {best.slots},"
        f" report {best.load_report_age_ms(now)} ms old"
    )


def _assign(
    state: BalancerState,
    routed: RoutedRequest,
    server: Server,
    wait: float,
    now: Instant,
) -> Destination:
    """Add a pending send to the server and return it as the destination."""
    load = server.load(now)
    late_after = late_time(state, routed.route, _usual_time(state, routed))
    due = Instant(now + wait + late_after)
    server.begin_send(due, now)
    host, _, port = server.instance.endpoint.rpartition(":")
    return Destination(
        server.instance.service,
        server.instance.instance,
        host,
        int(port),
        int(wait * 1000),
        load,
        server.load_report_age_ms(now),
        due,
    )
