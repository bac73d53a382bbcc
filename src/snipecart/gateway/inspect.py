"""Describe the state of a gateway and where it would send a request."""

from __future__ import annotations

from copy import deepcopy
from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

from ..core.failures import NoRoute
from ..core.failures import NoRouting
from ..core.ids import InstanceId
from ..core.ids import Instant
from ..core.ids import ObjectKey
from ..core.ids import OrganisationName
from ..core.ids import RegionName
from ..core.ids import RequestId
from ..core.ids import RouteName
from ..core.ids import ServiceName
from ..core.ids import VmName
from ..core.ids import ZoneName
from .balancing.preference import preference_order
from .balancing.rate_limits import accepted_rate
from .balancing.rate_limits import usable_share
from .balancing.selection import select_server
from .key_lease import describe_age_ms
from .peers import NO_LEADER
from .request import HttpRequest
from .request import RoutedRequest

if TYPE_CHECKING:
    from ..core.states import EndpointState
    from ..core.states import ServerCondition
    from .balancing.server import Server
    from .balancing.state import BalancerState
    from .sync import SyncTask

MAX_LISTED_QUOTAS = 10
"""Most organisations that a status lists."""

NO_REQUEST_ID = RequestId("")


@dataclass(frozen=True)
class ServerStatus:
    """Store the state of one backend server as a gateway observes it."""

    instance: InstanceId
    service: ServiceName
    zone: ZoneName
    state: EndpointState
    observed: ServerCondition
    sending: int
    """Requests of this gateway that have no answer yet."""
    load: float
    """Estimated requests running or waiting there, from all gateways."""
    slots: int
    report_ms: int
    """Age of the last load report, in milliseconds."""
    accepted_per_s: float | None
    """Requests per second that it accepts from all gateways; None without a limit."""
    leased_per_s: float | None
    """Part of them that this gateway may send; None without a limit."""
    paused_ms: int
    """Time for which it still wants no requests, in milliseconds."""


@dataclass(frozen=True)
class BudgetStatus:
    """Store how much of a service's retry budget a gateway uses."""

    service: ServiceName
    repeats: int
    """Retries within the window of the budget."""
    firsts: int
    """First sends within the window of the budget."""


@dataclass(frozen=True)
class ServiceLoadStatus:
    """Store how busy the servers of a service in a region are by recent reports."""

    service: ServiceName
    region: RegionName
    busy: float
    """Estimated fraction of servers without a free slot; 0 if it is unknown."""


@dataclass(frozen=True)
class BalancerStatus:
    """Store the state on which a gateway bases the selection of servers."""

    routing_version: int
    """Version of the routing table in force; -1 before there is one."""
    evacuated: tuple[ZoneName, ...]
    gateways: int
    """Number of gateways that share the load, as control processes count them."""
    budgets: tuple[BudgetStatus, ...]
    service_loads: tuple[ServiceLoadStatus, ...]
    servers: tuple[ServerStatus, ...]
    organisations: int = 0
    """Number of organisations in the routing table."""
    plan: int = 0
    """Number of the placement plan; 0 for none."""
    planned_objects: int = 0
    """Objects that the plan assigns; 0 while it isn't in use."""
    keys_required: bool = False
    """Whether requests need API keys, also where there is no organisation."""


@dataclass(frozen=True)
class QuotaStatus:
    """Store what a gateway may use of an organisation's rate limit."""

    organisation: OrganisationName
    demand_per_s: float
    """Requests per second that clients sent here lately."""
    leased_per_s: float
    tokens: int


@dataclass(frozen=True)
class SyncStatus:
    """Store which control process a gateway follows, and which ones answer."""

    ready: bool
    followed: VmName
    answering: tuple[VmName, ...]
    silent: tuple[VmName, ...]
    key_lease_ms: int = 0
    """Age of a proof up to which API keys are admitted; 0 if no proof is needed."""
    proof_ms: int = -1
    """Age of the proof that the routing table is current; -1 without one."""
    quota_leader: VmName = NO_LEADER
    """Control process that grants rates of organisations; empty if none does."""
    quotas: tuple[QuotaStatus, ...] = ()
    """Organisations with the most demand here, MAX_LISTED_QUOTAS at most."""


@dataclass(frozen=True)
class DestinationStatus:
    """Store where a request would be sent now, or why it would be rejected."""

    route: RouteName | str
    service: ServiceName | str
    instance: InstanceId | str
    """Selected instance; empty if the request would be rejected."""
    refusal: str
    detail: str
    servers: tuple[ServerStatus, ...]
    """Servers of the service in order of preference for the object."""


def describe_server(state: BalancerState, server: Server, now: Instant) -> ServerStatus:
    """Return the state of a backend server."""
    instance = server.instance
    accepted = accepted_rate(state, server, now)
    leased = accepted and round(accepted * usable_share(state, server, now), 2)
    return ServerStatus(
        instance.instance,
        instance.service,
        instance.zone,
        instance.state,
        server.condition(now),
        server.sending,
        round(server.load(now), 1),
        server.slots,
        server.load_report_age_ms(now),
        accepted,
        leased,
        max(0, int((server.paused_until - now) * 1000)),
    )


def describe_balancer(state: BalancerState, now: Instant) -> BalancerStatus:
    """Return the state on which a gateway bases the selection of servers."""
    return BalancerStatus(
        state.index.routing.version if state.index is not None else -1,
        tuple(sorted(state.evacuated)),
        state.gateways,
        tuple(
            BudgetStatus(service, len(budget.retries), len(budget.first_sends))
            for service, budget in sorted(state.budgets.items())
        ),
        tuple(
            ServiceLoadStatus(service, region, round(load.busy_fraction(0.0, now), 2))
            for (service, region), load in sorted(state.service_loads.items())
        ),
        tuple(describe_server(state, item, now) for item in state.servers.values()),
        len(state.index.routing.listed_organisations) if state.index is not None else 0,
        state.placement.number,
        len(state.placement.placed) if state.placement.in_use else 0,
        state.index is not None and state.index.requires_keys,
    )


def describe_sync(task: SyncTask, now: Instant) -> SyncStatus:
    """Return which control process a gateway follows, and which ones answer."""
    answering = task.answering_peers(now)
    return SyncStatus(
        task.ready,
        task.followed,
        tuple(sorted(answering)),
        tuple(sorted(set(task.peers) - set(answering))),
        int(task.lease.seconds * 1000),
        describe_age_ms(task.proof_age(now)),
        task.quota.leader,
        tuple(
            QuotaStatus(
                item.name,
                round(item.demand, 2),
                round(item.rate if now < item.until else 0.0, 2),
                int(item.tokens if now < item.until else 0),
            )
            for item in task.quota.gate.busiest(MAX_LISTED_QUOTAS)
        ),
    )


def describe_destination(
    state: BalancerState, host: str, target: str, key: ObjectKey, now: Instant
) -> DestinationStatus:
    """Return where a request would be sent, without sending it or changing state."""
    if state.index is None:
        return DestinationStatus("", "", "", NoRouting().reason, "", ())
    route = state.index.find(host, target)
    if route is None:
        return DestinationStatus("", "", "", NoRoute().reason, host, ())
    service = route.targets[0].service
    req = HttpRequest("GET", target, host, (), b"", NO_REQUEST_ID, key, 0, now)
    deadline = Instant(now + route.timeout_ms / 1000)
    routed = RoutedRequest(req, route, state.index.routing.version, deadline)
    order = preference_order(state, routed, service)
    servers = {name: deepcopy(state.servers[name]) for name in order}
    copy = replace(
        state,
        servers=servers,
        spillover_meters=deepcopy(state.spillover_meters),
        service_loads=deepcopy(state.service_loads),
        admission_credits=dict(state.admission_credits),
    )
    statuses = tuple(describe_server(state, state.servers[name], now) for name in order)
    selection = select_server(copy, routed, service, frozenset(), now)
    if selection.is_error():
        failure = selection.error
        return DestinationStatus(
            route.name, service, "", failure.reason, failure.detail, statuses
        )
    return DestinationStatus(
        route.name, service, selection.ok.instance, "", "", statuses
    )
