"""Cache the order in which objects prefer the backend servers of a service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...core.states import EndpointState
from .hashing import region_shares
from .hashing import rendezvous_order

if TYPE_CHECKING:
    from ...core.ids import InstanceId
    from ...core.ids import RegionName
    from ...core.ids import ServiceName
    from ..request import RoutedRequest
    from .state import BalancerState

MAX_PREFERENCE_ORDERS = 4096
"""Maximum number of cached orders.

The cache is cleared when it is full, and when the backend servers change.
"""


def preference_order(
    state: BalancerState, routed: RoutedRequest, service: ServiceName
) -> list[InstanceId]:
    """Return the servers of a service in order of preference for a request.

    Requests without an object key are distributed by their ids.
    """
    key = routed.object_key
    if not key:
        return _compute_order(state, routed.req.request_id, service)
    order = state.preference_orders.get((key, service))
    if order is None:
        if len(state.preference_orders) >= MAX_PREFERENCE_ORDERS:
            state.preference_orders.clear()
        order = _compute_order(state, key, service)
        state.preference_orders[(key, service)] = order
    return order


def _compute_order(
    state: BalancerState, key: str, service: ServiceName
) -> list[InstanceId]:
    instances = [
        item.instance
        for item in state.servers.values()
        if item.instance.service == service
    ]
    slots: dict[RegionName, int] = {}
    for item in instances:
        serving = item.state is EndpointState.SERVING
        if serving and item.zone not in state.evacuated:
            slots[item.region] = slots.get(item.region, 0) + item.slots
    shares = region_shares(state.locality.region, slots, state.locality.regions)
    return [item.instance for item in rendezvous_order(key, instances, shares)]
