"""Hold what a gateway knows of routes and backend servers."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import TYPE_CHECKING

from ...core.events import EVACUATION_IN_FORCE
from ...core.events import ROUTING_IN_FORCE
from ...core.events import ROUTING_UNREADABLE
from ...core.events import SERVER_REMOVED
from ...core.events import SERVER_UPDATED
from ...core.events import emit
from ...core.ids import InstanceId
from ...core.ids import Instant
from ...core.ids import RegionName
from ...core.ids import ServiceName
from ...core.ids import UnixMillis
from ...core.ids import ZoneName
from ...messages.discovery import FINAL_SEQUENCE
from ...text.routing import parse_routing
from .budget import BudgetRule
from .budget import RetryBudget
from .link import LinkBudget
from .routes import Divisions
from .routes import RouteIndex
from .server import Server

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ...core.ids import LogIndex
    from ...core.ids import RouteName
    from ...messages.discovery import Instance
    from ...messages.discovery import SyncAnswer
    from .spill import SpillMeter


NEWS_SPREADS = 2.0
"""Seconds until all control processes know what one of them has pushed."""

FEWER_AFTER = 10.0
"""Seconds after which a lower count of gateways is believed."""

PAST_KEPT = 2048
"""Backend servers remembered that are no longer known."""

Told = tuple[UnixMillis, int]
"""Birth and sequence of a report."""

NEVER_TOLD: Told = (UnixMillis(-1), -1)


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
    choice: str = "warm-first"
    wait_rule: str = "target"
    budget_rule: BudgetRule = BudgetRule()
    index: RouteIndex | None = None
    divisions: Divisions = field(default_factory=Divisions)
    evacuation_index: LogIndex | int = 0
    evacuated: frozenset[ZoneName] = frozenset()
    gateways: int = 1
    counted: Instant = Instant(-1e9)
    """When so many gateways were last counted."""
    link: LinkBudget = field(default_factory=LinkBudget)
    spills: dict[ServiceName, SpillMeter] = field(default_factory=dict)
    servers: dict[InstanceId, Server] = field(default_factory=dict)
    past: dict[InstanceId, Told] = field(default_factory=dict)
    """What was last told of backend servers that are no longer known here."""
    usual: dict[RouteName, float] = field(default_factory=dict)
    """Usual service time of each route in seconds."""
    unknown: dict[RouteName, float] = field(default_factory=dict)
    """Usual time of answers about objects new to their servers, in seconds."""
    slow: dict[RouteName, float] = field(default_factory=dict)
    """Time within which nine in ten answers of each route come, in seconds."""
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
        state.orders.clear()
        emit(EVACUATION_IN_FORCE, zones=",".join(sorted(state.evacuated)))
    _count_gateways(state, answer.gateways, now)
    for instance in answer.instances:
        take_instance(state, instance, now)
    gone: Iterable[InstanceId] = answer.gone
    if answer.complete:
        listed = {item.instance for item in answer.instances}
        gone = [
            name
            for name, server in state.servers.items()
            if name not in listed and now > server.told + NEWS_SPREADS
        ]
    for name in list(gone):
        drop_instance(state, name)


def _count_gateways(state: PlacingState, count: int, now: Instant) -> None:
    """Believe in fewer gateways only after a while.

    A control process that has just started has not heard them all.
    """
    if count >= state.gateways or now > state.counted + FEWER_AFTER:
        state.gateways = max(1, count)
        state.counted = now


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
    if _told(said) < state.past.get(said.instance, NEVER_TOLD):
        return
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
    state.servers[said.instance] = Server(said, cold_until, told=now)
    state.orders.clear()
    emit(
        SERVER_UPDATED,
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
        emit(SERVER_UPDATED, instance=said.instance, state=said.state)
    if replace(said, sequence=0, cold=0) != replace(held.instance, sequence=0, cold=0):
        state.orders.clear()
    held.instance = said
    held.cold_until = cold_until


def take_departure(state: PlacingState, said: Instance) -> None:
    """Forget a run that has said it is gone, whatever is still told of it.

    A departure without a birth is that of the run known here.
    """
    held = state.servers.get(said.instance)
    born = said.born
    if held is not None and (not born or held.instance.born <= born):
        born = held.instance.born
        drop_instance(state, said.instance)
    _remember(state, said.instance, (born, FINAL_SEQUENCE))


def drop_instance(state: PlacingState, name: InstanceId) -> None:
    """Forget a backend server that is gone."""
    held = state.servers.pop(name, None)
    if held is not None:
        _remember(state, name, _told(held.instance))
        state.orders.clear()
        emit(SERVER_REMOVED, instance=name)


def _remember(state: PlacingState, name: InstanceId, told: Told) -> None:
    """Remember what was told of a backend server, so that nothing older counts."""
    state.past[name] = max(told, state.past.pop(name, NEVER_TOLD))
    while len(state.past) > PAST_KEPT:
        del state.past[next(iter(state.past))]


def _told(said: Instance) -> Told:
    return said.born, said.sequence
