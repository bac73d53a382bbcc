"""Keep the order in which objects prefer a service's backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...core.states import EndpointState
from .hashing import order_for
from .hashing import region_shares

if TYPE_CHECKING:
    from ...core.ids import InstanceId
    from ...core.ids import RegionName
    from ...core.ids import ServiceName
    from ..request import RoutedRequest
    from .state import PlacingState

ORDERS_KEPT = 4096
"""Orders of backend servers remembered between two changes of them."""


def order_of(
    state: PlacingState, routed: RoutedRequest, service: ServiceName
) -> list[InstanceId]:
    """Return a service's servers, the best for a request first.

    Requests without an object are spread by their ids.
    """
    key = routed.object_key
    if not key:
        return _make_order(state, routed.req.request_id, service)
    order = state.orders.get((key, service))
    if order is None:
        if len(state.orders) >= ORDERS_KEPT:
            state.orders.clear()
        order = _make_order(state, key, service)
        state.orders[(key, service)] = order
    return order


def _make_order(
    state: PlacingState, key: str, service: ServiceName
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
    shares = region_shares(state.here.region, slots, state.here.regions)
    return [item.instance for item in order_for(key, instances, shares)]
