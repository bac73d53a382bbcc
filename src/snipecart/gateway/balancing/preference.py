"""Cache the order in which objects prefer the backend servers of a service."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from ...core.region_shares import region_shares
from ...core.states import EndpointState
from .hashing import rendezvous_order
from .hashing import weigh_by_slots
from .hashing import weigh_servers
from .placement import object_hash
from .placement import planned_order
from .placement import preferred_index

if TYPE_CHECKING:
    from ...core.ids import InstanceId
    from ...core.ids import RegionName
    from ...core.ids import ServiceName
    from ..request import RoutedRequest
    from .hashing import WeightedServer
    from .state import BalancerState

MAX_PREFERENCE_ORDERS = 4096
"""Maximum number of cached orders; the orders are dropped when there are more."""


@dataclass
class PreferenceCache:
    """Store orders of servers, and the weights that they are computed from.

    Both are dropped when the backend servers, their zones or the routes change.
    """

    orders: dict[tuple[str, ServiceName, int], list[InstanceId]] = field(
        default_factory=dict
    )
    """Orders by object key, service and index of the first planned server."""
    weights: dict[tuple[ServiceName, bool], list[WeightedServer]] = field(
        default_factory=dict
    )
    """Servers by service and by whether an object has the same order in all regions."""

    def clear(self) -> None:
        """Drop everything."""
        self.orders.clear()
        self.weights.clear()


def preference_order(
    state: BalancerState, routed: RoutedRequest, service: ServiceName
) -> list[InstanceId]:
    """Return the servers of a service in order of preference for a request.

    The servers that a plan assigns to the object come first. The others have the same
    order in all regions then, in which the planner looks for servers, too. Requests
    without an object key are distributed by their ids.
    """
    key = routed.object_key
    if not key:
        return rendezvous_order(routed.req.request_id, _weights(state, service, False))
    placed = state.placement.find(service, key)
    first = preferred_index(placed, routed.req.request_id) if placed is not None else 0
    orders = state.preferences.orders
    order = orders.get((key, service, first))
    if order is None:
        if len(orders) >= MAX_PREFERENCE_ORDERS:
            orders.clear()
        is_covered = state.placement.covers(service)
        hashed = str(object_hash(key)) if is_covered else key
        order = rendezvous_order(hashed, _weights(state, service, is_covered))
        if placed is not None:
            order = planned_order(placed, first, order, state.servers)
        orders[(key, service, first)] = order
    return order


def _weights(
    state: BalancerState, service: ServiceName, is_common: bool
) -> list[WeightedServer]:
    """Return the servers of a service with their weights."""
    weights = state.preferences.weights.get((service, is_common))
    if weights is None:
        weights = _weigh(state, service, is_common)
        state.preferences.weights[(service, is_common)] = weights
    return weights


def _weigh(
    state: BalancerState, service: ServiceName, is_common: bool
) -> list[WeightedServer]:
    instances = [
        item.instance
        for item in state.servers.values()
        if item.instance.service == service
    ]
    if is_common:
        return weigh_by_slots(instances)
    slots: dict[RegionName, int] = {}
    for item in instances:
        serving = item.state is EndpointState.SERVING
        if serving and item.zone not in state.evacuated:
            slots[item.region] = slots.get(item.region, 0) + item.slots
    locality = state.locality
    demand_parts = state.placement.demand_parts(service)
    shares = region_shares(locality.region, slots, locality.regions, demand_parts)
    return weigh_servers(instances, shares)
