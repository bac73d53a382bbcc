"""Store the routing table and the backend servers of a gateway, and apply updates."""

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
from .placement import DemandMeter
from .placement import Placement
from .preference import PreferenceCache
from .rate_limits import ListedLimits
from .rate_limits import RateLeases
from .routes import RouteIndex
from .routes import TrafficSplits
from .server import Server
from .traffic import TrafficMeter

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ...core.ids import LogIndex
    from ...core.ids import RouteName
    from ...messages.discovery import Instance
    from ...messages.discovery import SyncAnswer
    from .service_load import RecentTimes
    from .service_load import ServiceLoad
    from .spillover import SpilloverMeter


PROPAGATION_TIME = 2.0
"""Seconds until a change that one control process pushed has reached all of them."""

GATEWAY_COUNT_DELAY = 10.0
"""Seconds after which a lower count of gateways is applied."""

MAX_REMOVED_VERSIONS = 2048
"""Maximum number of tombstones of removed backend servers, and of leaving runs."""

InstanceVersion = tuple[UnixMillis, int]
"""Start time of an instance, and sequence number of its heartbeat."""

NO_VERSION: InstanceVersion = (UnixMillis(-1), -1)


@dataclass(frozen=True)
class Locality:
    """Describe the location of this gateway, and list all regions."""

    region: RegionName
    zone: ZoneName
    regions: tuple[RegionName, ...]


@dataclass
class BalancerState:
    """Store the routing table in force, the backend servers and the retry budgets."""

    locality: Locality
    choice: str = "warm-first"
    """Key of a selection policy."""
    wait_rule: str = "target"
    """Key of an admission rule."""
    shedding: str = "none"
    """Key of a shedding rule."""
    slowdown_rule: str = "smoothed"
    """Key of an estimate of slowdowns."""
    budget_rule: BudgetRule = BudgetRule()
    index: RouteIndex | None = None
    traffic_splits: TrafficSplits = field(default_factory=TrafficSplits)
    evacuation_index: LogIndex | int = 0
    """Log index of the evacuation in force."""
    evacuated: frozenset[ZoneName] = frozenset()
    gateways: int = 1
    """Gateways that share retry budgets, this one included."""
    gateways_updated_at: Instant = Instant(-1e9)
    """When ``gateways`` was last confirmed or changed."""
    traffic: TrafficMeter = field(default_factory=TrafficMeter)
    rate_leases: RateLeases = field(default_factory=RateLeases)
    listed_limits: ListedLimits = field(default_factory=ListedLimits)
    link: LinkBudget = field(default_factory=LinkBudget)
    """Budget of the network link of this VM."""
    spillover_meters: dict[ServiceName, SpilloverMeter] = field(default_factory=dict)
    servers: dict[InstanceId, Server] = field(default_factory=dict)
    servers_revision: int = 0
    """Increases when a server is added, removed or replaced by a later heartbeat."""
    removed_versions: dict[InstanceId, InstanceVersion] = field(default_factory=dict)
    """Tombstones of removed instances, so that their older heartbeats are ignored."""
    leaving_runs: dict[tuple[InstanceId, UnixMillis], None] = field(
        default_factory=dict
    )
    """Runs of backend servers that said in an answer that they leave."""
    limited_servers: set[InstanceId] = field(default_factory=set)
    """Servers that have named a rate limit to this gateway."""
    usual_times: dict[RouteName, float] = field(default_factory=dict)
    """Usual response time of each route, in seconds."""
    unwarmed_times: dict[RouteName, float] = field(default_factory=dict)
    """Usual response time of each route for objects that the server is not warm for,
    in seconds."""
    p90_times: dict[RouteName, float] = field(default_factory=dict)
    """90th percentile of the response times of each route, in seconds."""
    service_loads: dict[tuple[ServiceName, RegionName], ServiceLoad] = field(
        default_factory=dict
    )
    recent_times: dict[RouteName, RecentTimes] = field(default_factory=dict)
    admission_credits: dict[tuple[ServiceName, RegionName, RouteName], float] = field(
        default_factory=dict
    )
    """Parts of a request that routes may send while a part of them is rejected."""
    budgets: dict[ServiceName, RetryBudget] = field(default_factory=dict)
    preferences: PreferenceCache = field(default_factory=PreferenceCache)
    placement: Placement = field(default_factory=Placement)
    demand: DemandMeter = field(default_factory=DemandMeter)


def apply_sync(state: BalancerState, answer: SyncAnswer, now: Instant) -> None:
    """Apply the parts of a control process's answer that are newer than the state."""
    if answer.routing:
        _apply_routing(state, answer.routing)
    if answer.evacuation_index > state.evacuation_index:
        state.evacuation_index = answer.evacuation_index
        state.evacuated = frozenset(answer.evacuated)
        state.preferences.clear()
        emit(EVACUATION_IN_FORCE, zones=",".join(sorted(state.evacuated)))
    _update_gateway_count(state, answer.gateways, now)
    state.rate_leases.renew(answer)
    state.listed_limits.replace(answer)
    for instance in answer.instances:
        apply_instance(state, instance, now)
    gone: Iterable[InstanceId] = answer.gone
    if answer.complete:
        listed = {item.instance for item in answer.instances}
        gone = [
            name
            for name, server in state.servers.items()
            if name not in listed and now > server.added_at + PROPAGATION_TIME
        ]
    for name in list(gone):
        remove_instance(state, name)


def _update_gateway_count(state: BalancerState, count: int, now: Instant) -> None:
    """Apply a higher count at once, a lower one after GATEWAY_COUNT_DELAY.

    A control process that has just started has not received a sync request from
    each gateway, so its count is too low.
    """
    if count >= state.gateways or now > state.gateways_updated_at + GATEWAY_COUNT_DELAY:
        state.gateways = max(1, count)
        state.gateways_updated_at = now


def _apply_routing(state: BalancerState, data: bytes) -> None:
    """Replace the routing table if the received one is valid and newer."""
    parsed = parse_routing(data)
    if parsed.is_error():
        emit(ROUTING_UNREADABLE, detail=parsed.error.detail)
        return
    routing = parsed.ok
    current = state.index.routing.version if state.index is not None else -1
    if routing.version <= current:
        return
    state.index = RouteIndex(routing)
    state.traffic_splits = TrafficSplits()
    state.preferences.clear()
    emit(
        ROUTING_IN_FORCE,
        version=routing.version,
        routes=len(routing.routes),
        organisations=len(routing.listed_organisations),
        keys_required=state.index.requires_keys,
    )


def apply_instance(state: BalancerState, received: Instance, now: Instant) -> None:
    """Add or update a backend server, unless a newer version of it is stored."""
    if _instance_version(received) < state.removed_versions.get(
        received.instance, NO_VERSION
    ):
        return
    current = state.servers.get(received.instance)
    cold_until = Instant(now + received.cold / 1000)
    if current is not None and current.instance.born == received.born:
        if received.sequence >= current.instance.sequence:
            _update_instance(state, current, received, cold_until)
        return
    if current is not None and received.born < current.instance.born:
        return
    for other in list(state.servers.values()):
        if other.instance.endpoint == received.endpoint:
            remove_instance(state, other.instance.instance)
    state.servers[received.instance] = Server(
        received,
        cold_until,
        added_at=now,
        leaving=(received.instance, received.born) in state.leaving_runs,
    )
    state.servers_revision += 1
    state.preferences.clear()
    emit(
        SERVER_UPDATED,
        instance=received.instance,
        endpoint=received.endpoint,
        service=received.service,
        state=received.state,
        cold_ms=received.cold,
    )


def _update_instance(
    state: BalancerState, current: Server, received: Instance, cold_until: Instant
) -> None:
    """Replace an instance by a later heartbeat of it."""
    if received.state is not current.instance.state:
        emit(SERVER_UPDATED, instance=received.instance, state=received.state)
    if replace(received, sequence=0, cold=0) != replace(
        current.instance, sequence=0, cold=0
    ):
        state.preferences.clear()
    state.servers_revision += 1
    current.instance = received
    current.cold_until = cold_until


def apply_departure(state: BalancerState, received: Instance) -> None:
    """Remove an instance that has left, and keep its tombstone.

    A departure without a start time applies to the stored instance.
    """
    current = state.servers.get(received.instance)
    born = received.born
    if current is not None and (not born or current.instance.born <= born):
        born = current.instance.born
        remove_instance(state, received.instance)
    _record_version(state, received.instance, (born, FINAL_SEQUENCE))


def remove_instance(state: BalancerState, name: InstanceId) -> None:
    """Remove a backend server that is gone and keep its tombstone."""
    current = state.servers.pop(name, None)
    if current is not None:
        state.servers_revision += 1
        state.limited_servers.discard(name)
        _record_version(state, name, _instance_version(current.instance))
        state.preferences.clear()
        emit(SERVER_REMOVED, instance=name)


def record_leaving(state: BalancerState, instance: Instance) -> None:
    """Remember that a run of a backend server leaves, whatever heartbeats say later."""
    state.leaving_runs[(instance.instance, instance.born)] = None
    while len(state.leaving_runs) > MAX_REMOVED_VERSIONS:
        del state.leaving_runs[next(iter(state.leaving_runs))]


def _record_version(
    state: BalancerState, name: InstanceId, version: InstanceVersion
) -> None:
    """Store the tombstone of an instance, so that its older heartbeats are ignored."""
    state.removed_versions[name] = max(
        version, state.removed_versions.pop(name, NO_VERSION)
    )
    while len(state.removed_versions) > MAX_REMOVED_VERSIONS:
        del state.removed_versions[next(iter(state.removed_versions))]


def _instance_version(received: Instance) -> InstanceVersion:
    return received.born, received.sequence
