"""Hold what a gateway knows, and choose a backend server for each request."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import TYPE_CHECKING

from expression import Error
from expression import Ok
from expression import Result

from ...core.events import EVACUATION_IN_FORCE
from ...core.events import ROUTING_IN_FORCE
from ...core.events import ROUTING_UNREADABLE
from ...core.events import SERVER_EJECTED
from ...core.events import SERVER_LEFT
from ...core.events import SERVER_SEEN
from ...core.events import emit
from ...core.failures import Failure
from ...core.failures import NoEndpoint
from ...core.failures import ServerSaturated
from ...core.ids import InstanceId
from ...core.ids import Instant
from ...core.ids import RegionName
from ...core.ids import ServiceName
from ...core.ids import ZoneName
from ...core.states import EndpointState
from ...core.states import SendEnd
from ...text.routing import parse_routing
from ..request import Place
from .admission import WAIT_RULES
from .budget import BudgetRule
from .budget import RetryBudget
from .hashing import order_for
from .hashing import region_shares
from .routes import Divisions
from .routes import RouteIndex
from .server import Server
from .server import TokenBucket

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ...core.ids import LogIndex
    from ...core.ids import RouteName
    from ...messages.discovery import Instance
    from ...messages.discovery import SyncAnswer
    from ...text.routing import Route
    from ..request import Routed
    from ..request import Sent

USUAL_STEP = 0.05
"""Weight of the latest answer in a route's usual time."""

COLD_BURST = 1.0
"""Requests that a gateway may send a cold backend server at once."""

LEAST_SOUND = 0.6
"""Part of the servers that must be sound for the others to be left alone."""

ORDERS_KEPT = 4096
"""Orders of backend servers remembered between two changes of them."""

LEAST_DELAY = 0.05
"""Seconds over the usual time below which an answer says nothing of slowness."""

MISDIRECTED_EJECTION = 5.0
"""Seconds until an address that answered for another run is tried again."""


@dataclass(frozen=True)
class Here:
    """Say where this gateway is, and which regions there are."""

    region: RegionName
    zone: ZoneName
    regions: tuple[RegionName, ...]


@dataclass
class PlacingState:
    """Hold the routing table in force, the backend servers and the budgets."""

    here: Here
    wait_rule: str = "target"
    budget_rule: BudgetRule = BudgetRule()
    index: RouteIndex | None = None
    divisions: Divisions = field(default_factory=Divisions)
    evacuation_index: LogIndex | int = 0
    evacuated: frozenset[ZoneName] = frozenset()
    gateways: int = 1
    servers: dict[InstanceId, Server] = field(default_factory=dict)
    usual: dict[RouteName, float] = field(default_factory=dict)
    """Usual service time of each route in seconds."""
    budgets: dict[ServiceName, RetryBudget] = field(default_factory=dict)
    orders: dict[tuple[str, ServiceName], list[InstanceId]] = field(
        default_factory=dict
    )


def take_sync(state: PlacingState, answer: SyncAnswer, now: Instant) -> None:
    """Take over what a control process knows that is newer."""
    if answer.routing:
        _take_routing(state, answer.routing)
    if answer.evacuation_index > state.evacuation_index:
        state.evacuation_index = answer.evacuation_index
        state.evacuated = frozenset(answer.evacuated)
        emit(EVACUATION_IN_FORCE, zones=",".join(sorted(state.evacuated)))
    state.gateways = max(1, answer.gateways)
    for instance in answer.instances:
        take_instance(state, instance, now)
    gone: Iterable[InstanceId] = answer.gone
    if answer.complete:
        listed = {item.instance for item in answer.instances}
        gone = [name for name in state.servers if name not in listed]
    for name in list(gone):
        drop_instance(state, name)


def _take_routing(state: PlacingState, data: bytes) -> None:
    parsed = parse_routing(data)
    if parsed.is_error():
        emit(ROUTING_UNREADABLE, detail=parsed.error.detail)
        return
    routing = parsed.ok
    held = state.index.routing.version if state.index is not None else -1
    if routing.version <= held:
        return
    state.index = RouteIndex(routing)
    state.divisions = Divisions()
    state.orders.clear()
    emit(ROUTING_IN_FORCE, version=routing.version, routes=len(routing.routes))


def take_instance(state: PlacingState, said: Instance, now: Instant) -> None:
    """Take over one backend server, unless something later is known of it."""
    held = state.servers.get(said.instance)
    cold_until = Instant(now + said.cold / 1000)
    if held is not None and held.instance.born == said.born:
        if said.sequence >= held.instance.sequence:
            _update(state, held, said, cold_until)
        return
    if held is not None and said.born < held.instance.born:
        return
    for other in list(state.servers.values()):
        if other.instance.endpoint == said.endpoint:
            drop_instance(state, other.instance.instance)
    state.servers[said.instance] = Server(said, cold_until)
    state.orders.clear()
    emit(
        SERVER_SEEN,
        instance=said.instance,
        endpoint=said.endpoint,
        service=said.service,
        state=said.state,
        cold_ms=said.cold,
    )


def _update(
    state: PlacingState, held: Server, said: Instance, cold_until: Instant
) -> None:
    if said.state is not held.instance.state:
        emit(SERVER_SEEN, instance=said.instance, state=said.state)
    if replace(said, sequence=0, cold=0) != replace(held.instance, sequence=0, cold=0):
        state.orders.clear()
    held.instance = said
    held.cold_until = cold_until


def drop_instance(state: PlacingState, name: InstanceId) -> None:
    """Forget a backend server that is gone."""
    if state.servers.pop(name, None) is not None:
        state.orders.clear()
        emit(SERVER_LEFT, instance=name)


def choose(
    state: PlacingState,
    routed: Routed,
    service: ServiceName,
    tried: frozenset[InstanceId],
    now: Instant,
) -> Result[Place, Failure]:
    """Return the backend server a request goes to, or why it is refused at once."""
    servers = _candidates(state, routed, service, tried)
    if not servers:
        return Error(NoEndpoint(service))
    sound = _leave_out_failing(servers, now)
    for accepts in (_has_room_at_speed, _has_room):
        for item in sound:
            if accepts(item, now) and _bears(state, item, service, now):
                return Ok(_place(item, service, 0.0))
    return _queue(state, routed, service, sound, now)


def _leave_out_failing(servers: list[Server], now: Instant) -> list[Server]:
    """Drop ejected servers, and those that fail in part if most others don't."""
    up = [item for item in servers if not item.is_ejected(now)] or servers
    sound = [item for item in up if not item.is_grey(now)]
    return sound if len(sound) > len(up) * LEAST_SOUND else up


def _candidates(
    state: PlacingState,
    routed: Routed,
    service: ServiceName,
    tried: frozenset[InstanceId],
) -> list[Server]:
    """Return the backend servers that may serve a request, the best first."""
    route, req = routed.route, routed.req
    if route.affinity and req.object:
        names = _remembered_order(state, f"{route.name}\n{req.object}", service)
    else:
        names = _order(state, req.request, service)
    return [
        state.servers[name]
        for name in names
        if name not in tried and _may_serve(state, state.servers[name], route)
    ]


def _may_serve(state: PlacingState, server: Server, route: Route) -> bool:
    said = server.instance
    return (
        said.state is EndpointState.SERVING
        and said.zone not in state.evacuated
        and (not route.regions or said.region in route.regions)
    )


def _remembered_order(
    state: PlacingState, key: str, service: ServiceName
) -> list[InstanceId]:
    order = state.orders.get((key, service))
    if order is None:
        if len(state.orders) >= ORDERS_KEPT:
            state.orders.clear()
        order = _order(state, key, service)
        state.orders[(key, service)] = order
    return order


def _order(state: PlacingState, key: str, service: ServiceName) -> list[InstanceId]:
    instances = [
        item.instance
        for item in state.servers.values()
        if item.instance.service == service
    ]
    slots: dict[RegionName, int] = {}
    for item in instances:
        if item.state is EndpointState.SERVING:
            slots[item.region] = slots.get(item.region, 0) + item.slots
    shares = region_shares(state.here.region, slots, state.here.regions)
    return [item.instance for item in order_for(key, instances, shares)]


def _has_room_at_speed(server: Server, now: Instant) -> bool:
    return server.load(now) < server.slots and not server.is_slow(now)


def _has_room(server: Server, now: Instant) -> bool:
    return server.load(now) < server.slots


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
    rate /= state.gateways
    if server.bucket is None or server.bucket.rate != rate:
        server.bucket = TokenBucket(rate, COLD_BURST, COLD_BURST, now)
    return server.bucket.take(now)


def _queue(
    state: PlacingState,
    routed: Routed,
    service: ServiceName,
    servers: list[Server],
    now: Instant,
) -> Result[Place, Failure]:
    """Wait at the backend server that is free first, if that is soon enough."""
    route = routed.route
    usual = state.usual.get(route.name, route.target_latency_ms / 1000)
    waits = {
        item.instance.instance: usual * (item.load(now) - item.slots + 1) / item.slots
        for item in servers
    }
    allowed = WAIT_RULES.get(state.wait_rule)(state.index.routing, route, usual * 1000)
    limit = min(allowed / 1000, routed.deadline - now - usual)
    for item in sorted(servers, key=lambda item: waits[item.instance.instance]):
        wait = waits[item.instance.instance]
        if wait > limit:
            break
        if _bears(state, item, service, now):
            return Ok(_place(item, service, max(0.0, wait)))
    return Error(ServerSaturated(service))


def _place(server: Server, service: ServiceName, wait: float) -> Place:
    server.sending += 1
    host, _, port = server.instance.endpoint.rpartition(":")
    name = server.instance.instance
    return Place(service, name, host, int(port), int(wait * 1000))


def note_end(
    state: PlacingState, routed: Routed, place: Place, sent: Sent, now: Instant
) -> None:
    """Free a request's place and learn from how its send ended."""
    server = state.servers.get(place.instance)
    if server is None:
        return
    server.sending = max(0, server.sending - 1)
    ratio = _note_time(state, routed.route, place, sent)
    was_ejected = server.is_ejected(now)
    server.note_end(sent.end, ratio, sent.load is not None, now)
    if sent.load is not None:
        server.note_load(sent.load, now)
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


def _note_time(state: PlacingState, route: Route, place: Place, sent: Sent) -> float:
    """Learn a route's usual time; return this send's time against it."""
    if sent.end is not SendEnd.ANSWERED or place.queued_ms:
        return 1.0
    usual = state.usual.setdefault(route.name, sent.seconds)
    state.usual[route.name] = usual + USUAL_STEP * (sent.seconds - usual)
    if sent.seconds < usual + LEAST_DELAY:
        return min(1.0, sent.seconds / usual) if usual > 0 else 1.0
    return sent.seconds / usual if usual > 0 else 1.0


def budget_of(state: PlacingState, service: ServiceName) -> RetryBudget:
    """Return the retry budget of a service."""
    return state.budgets.setdefault(service, RetryBudget(state.budget_rule))
