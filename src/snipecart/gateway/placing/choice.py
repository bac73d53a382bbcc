"""Choose a backend server for each request, or refuse it at once.

Answers the load of a flood on servers that answer faster what they know: once requests
spill to servers that don't know their objects, each takes several times as long, and
the spilling feeds itself. So an object keeps to a few servers, and waits there or is
refused, rather than run cold on a server that is busy, too.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from expression import Error
from expression import Ok
from expression import Result

from ...core.failures import Failure
from ...core.failures import NoEndpoint
from ...core.failures import ServerSaturated
from ...core.ids import InstanceId
from ...core.ids import Instant
from ...core.ids import ServiceName
from ...core.registry import Registry
from ...core.states import EndpointState
from ..request import Destination
from .admission import WAIT_RULES
from .order import order_of
from .outcome import late_time
from .server import Server
from .server import TokenBucket
from .spill import SpillMeter

if TYPE_CHECKING:
    from ...text.routing import Route
    from ..request import RoutedRequest
    from .state import PlacingState

CALM = 0.7
"""Part of a service's slots below which objects may spread to more servers."""

COLD_PART = 0.8
"""Part of a cold server's rate that gateways plan to use, as they count each other
late."""

COLD_BURST = 1.0
"""Requests that a gateway may send a cold backend server at once."""

LEAST_SOUND = 0.6
"""Part of the servers that must be sound for the others to be left alone."""


Choice = Callable[
    ["PlacingState", "RoutedRequest", ServiceName, list[Server], "Instant"],
    Result[Destination, Failure],
]
"""Takes sound servers, the best first."""

CHOICES: Registry[str, Choice] = Registry("ways to choose a server")


def choose(
    state: PlacingState,
    routed: RoutedRequest,
    service: ServiceName,
    tried: frozenset[InstanceId],
    now: Instant,
) -> Result[Destination, Failure]:
    """Return the backend server a request goes to, or why it is refused at once."""
    meter = state.spills.setdefault(service, SpillMeter())
    first = _find_first(state, routed, service, tried, now)
    if first is not None:
        meter.note(False, now)
        return Ok(_place(state, routed, first, 0.0, now))
    servers = _candidates(state, routed, service, tried)
    if not servers:
        return Error(NoEndpoint(service))
    sound = _leave_out_failing(servers, now)
    region = sound[0].instance.region
    if not meter.allows(now):
        sound = [item for item in sound if item.instance.region == region]
    chosen = CHOICES.get(state.choice)(state, routed, service, sound, now)
    if chosen.is_ok():
        server = state.servers[chosen.ok.instance]
        meter.note(server.instance.region != region, now)
    return chosen


@CHOICES.register("warm-first")
def choose_warm_first(
    state: PlacingState,
    routed: RoutedRequest,
    service: ServiceName,
    servers: list[Server],
    now: Instant,
) -> Result[Destination, Failure]:
    """Take the server that should answer first, as what it knows tells.

    A server that does not know the object gets it only with a free slot, and only
    while the service has slots to spare.
    """
    quick = [item for item in servers if not item.is_slow(now)] or servers
    key = routed.object_key
    knowing = [item for item in quick if item is quick[0] or item.knows(key)]
    usual = _usual(state, routed)
    unknown_costs = max(0.0, state.slow.get(routed.route.name, usual) - usual)

    def cost(item: Server) -> float:
        wait = item.wait(usual, now)
        return wait if item in knowing else wait + unknown_costs

    calm = _part_busy(quick, now) < CALM
    for item in sorted(quick if calm else knowing, key=cost):
        if item.wait(usual, now) > 0:
            break
        if _bears(state, item, service, now):
            return Ok(_place(state, routed, item, 0.0, now))
    return _queue(state, routed, service, knowing, now)


def _part_busy(servers: list[Server], now: Instant) -> float:
    """Return the part of the slots that are taken."""
    slots = sum(item.slots for item in servers)
    return sum(min(item.load(now), item.slots) for item in servers) / slots


@CHOICES.register("any-room")
def choose_any_room(
    state: PlacingState,
    routed: RoutedRequest,
    service: ServiceName,
    servers: list[Server],
    now: Instant,
) -> Result[Destination, Failure]:
    """Take the first server with a free slot, whatever it knows; the baseline."""
    for item in servers:
        if item.load(now) < item.slots and _bears(state, item, service, now):
            return Ok(_place(state, routed, item, 0.0, now))
    return _queue(state, routed, service, servers, now)


def _find_first(
    state: PlacingState,
    routed: RoutedRequest,
    service: ServiceName,
    tried: frozenset[InstanceId],
    now: Instant,
) -> Server | None:
    """Return the first server in order, if nothing speaks against it.

    Saves most requests the look at all others.
    """
    for name in order_of(state, routed, service):
        server = state.servers[name]
        if name in tried or not _may_serve(state, server, routed.route):
            continue
        free = server.load(now) < server.slots and server.is_sound(now)
        return server if free and _bears(state, server, service, now) else None
    return None


def _leave_out_failing(servers: list[Server], now: Instant) -> list[Server]:
    """Drop ejected servers, and those that fail in part if most others don't."""
    up = [item for item in servers if not item.is_ejected(now)] or servers
    sound = [item for item in up if not item.is_grey(now)]
    return sound if len(sound) > len(up) * LEAST_SOUND else up


def _candidates(
    state: PlacingState,
    routed: RoutedRequest,
    service: ServiceName,
    tried: frozenset[InstanceId],
) -> list[Server]:
    """Return the backend servers that may serve a request, the best first."""
    names = order_of(state, routed, service)
    return [
        state.servers[name]
        for name in names
        if name not in tried and _may_serve(state, state.servers[name], routed.route)
    ]


def _may_serve(state: PlacingState, server: Server, route: Route) -> bool:
    said = server.instance
    return (
        said.state is EndpointState.SERVING
        and said.zone not in state.evacuated
        and (not route.regions or said.region in route.regions)
    )


def _bears(
    state: PlacingState, server: Server, service: ServiceName, now: Instant
) -> bool:
    """Take a token of a cold backend server; a warm one bears anything."""
    if not server.is_cold(now):
        server.bucket = None
        return True
    described = state.index.services.get(service) if state.index else None
    rate = described.cold_per_s if described is not None else 0.0
    if not rate:
        return True
    rate *= COLD_PART / state.gateways
    if server.bucket is None or server.bucket.rate != rate:
        server.bucket = TokenBucket(rate, COLD_BURST, COLD_BURST, now)
    return server.bucket.take(now)


def _usual(state: PlacingState, routed: RoutedRequest) -> float:
    """Return the usual time of a route in seconds, its target before any answer."""
    route = routed.route
    return state.usual.get(route.name, route.target_latency_ms / 1000)


def _queue(
    state: PlacingState,
    routed: RoutedRequest,
    service: ServiceName,
    servers: list[Server],
    now: Instant,
) -> Result[Destination, Failure]:
    """Wait at the backend server that is free first, if that is soon enough."""
    route = routed.route
    usual = _usual(state, routed)
    waits = {item.instance.instance: item.wait(usual, now) for item in servers}
    allowed = WAIT_RULES.get(state.wait_rule)(state.index.routing, route, usual * 1000)
    slow = state.slow.get(route.name, usual)
    limit = min(allowed / 1000, routed.deadline - now - slow)
    ranked = sorted(servers, key=lambda item: waits[item.instance.instance])
    for item in ranked:
        wait = waits[item.instance.instance]
        if wait > limit:
            break
        if _bears(state, item, service, now):
            return Ok(_place(state, routed, item, max(0.0, wait), now))
    return Error(ServerSaturated(_explain(ranked[0], waits, limit, now)))


def _explain(
    best: Server, waits: dict[InstanceId, float], limit: float, now: Instant
) -> str:
    """Say what a refusal rests on."""
    name = best.instance.instance
    return (
        f"{name} is free first, in {waits[name] * 1000:.0f} ms of {limit * 1000:.0f}"
        f" allowed, load {best.load(now):.1f} of {best.slots},"
        f" report {best.report_ms(now)} ms old"
    )


def _place(
    state: PlacingState,
    routed: RoutedRequest,
    server: Server,
    wait: float,
    now: Instant,
) -> Destination:
    load = server.load(now)
    late_after = late_time(state, routed.route, _usual(state, routed))
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
        server.report_ms(now),
        due,
    )
