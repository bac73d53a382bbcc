"""Choose servers for objects by registered placement policies."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from ...core.registry import Registry

if TYPE_CHECKING:
    from ...core.ids import InstanceId
    from .demand import ObjectDemand
    from .planner import ServicePlan

LOAD_BOUND = 1.25
"""Ratio of a server's planned load for its slots to the mean that is not exceeded."""

PlacementPolicy = Callable[
    ["ServicePlan", "ObjectDemand", "frozenset[InstanceId]"], "InstanceId | None"
]
"""Return a server for an object that is not excluded; None if none has capacity."""

PLACEMENT_POLICIES: Registry[str, PlacementPolicy] = Registry("placement policies")


@PLACEMENT_POLICIES.register("regional-demand")
def place_by_demand(
    plan: ServicePlan, demand: ObjectDemand, excluded: frozenset[InstanceId]
) -> InstanceId | None:
    """Choose the first server by hash, in the region with most demand if there is one.

    Without such a region, this is the server that gateways choose by themselves.
    """
    return max(
        _list_capable(plan, demand, excluded),
        key=lambda name: (
            plan.servers[name].region == demand.home,
            plan.score(demand.object, name),
        ),
        default=None,
    )


@PLACEMENT_POLICIES.register("least-loaded")
def place_least_loaded(
    plan: ServicePlan, demand: ObjectDemand, excluded: frozenset[InstanceId]
) -> InstanceId | None:
    """Choose the least loaded server, as a baseline."""
    return min(
        _list_capable(plan, demand, excluded),
        key=lambda name: (plan.ratio(name), name),
        default=None,
    )


def _list_capable(
    plan: ServicePlan, demand: ObjectDemand, excluded: frozenset[InstanceId]
) -> list[InstanceId]:
    """Return the servers with capacity for an object; an empty one has it.

    While few objects are known, the bound is below the load of a single one.
    """
    return [
        name
        for name in plan.servers
        if name not in excluded
        and (not plan.loads[name] or plan.ratio(name, demand.load) <= LOAD_BOUND)
    ]
