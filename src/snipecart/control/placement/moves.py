"""Start to move objects from servers with too much load, or to those with little."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from .assignment import Assignment
from .policies import LOAD_BOUND

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from ...core.ids import InstanceId
    from ...core.ids import Instant
    from .demand import ObjectDemand
    from .planner import ServicePlan

FILL_THRESHOLD = 0.5
"""Ratio to the mean below which a server takes objects from the busiest ones."""

MIN_IMPROVEMENT = 0.9
"""Ratio of the load after a move, at most, to that of the server it relieves.

A move makes some requests cold, so it has to lower the higher load noticeably.
"""

MAX_MOVES = 2
"""Objects that start to move in one step, so that few requests are cold at once."""


def rebalance(
    plan: ServicePlan, by_object: Mapping[int, ObjectDemand], now: Instant
) -> None:
    """Start to move a few objects from servers over the bound.

    While some server has too little, the busiest ones give it objects.
    """
    if not plan.mean:
        return
    owned = _list_owned(plan, by_object)
    idle = _list_idle(plan)
    moves = 0
    for source in sorted(plan.servers, key=plan.ratio, reverse=True):
        is_over = plan.ratio(source) > LOAD_BOUND
        if moves >= MAX_MOVES or not (is_over or idle):
            return
        targets = frozenset(plan.servers) if is_over else idle
        if _move_one(plan, source, owned.get(source, ()), targets, now):
            moves += 1
            idle = _list_idle(plan)


def _list_owned(
    plan: ServicePlan, by_object: Mapping[int, ObjectDemand]
) -> dict[InstanceId, list[ObjectDemand]]:
    """Return the objects of each server, without those that another server joins."""
    owned: dict[InstanceId, list[ObjectDemand]] = {}
    for item, assignment in plan.assignments.items():
        if assignment.joining is None and item in by_object:
            for name in assignment.owners:
                owned.setdefault(name, []).append(by_object[item])
    return owned


def _list_idle(plan: ServicePlan) -> frozenset[InstanceId]:
    return frozenset(name for name in plan.servers if plan.ratio(name) < FILL_THRESHOLD)


def _move_one(
    plan: ServicePlan,
    source: InstanceId,
    owned: Iterable[ObjectDemand],
    targets: frozenset[InstanceId],
    now: Instant,
) -> bool:
    """Start to move one object from a server, if that lowers the higher load."""
    for demand in sorted(owned, key=lambda item: -item.load):
        assignment = plan.assignments[demand.object]
        target = _choose_target(plan, source, demand, targets)
        if target is None or not _may_move(plan, demand, source, target):
            continue
        plan.assign(demand, Assignment(assignment.owners, target, now, source))
        return True
    return False


def _choose_target(
    plan: ServicePlan,
    source: InstanceId,
    demand: ObjectDemand,
    targets: frozenset[InstanceId],
) -> InstanceId | None:
    """Return a server that has clearly less load than the source after the move."""
    limit = MIN_IMPROVEMENT * plan.ratio(source)
    owners = plan.assignments[demand.object].owners
    part = demand.load / len(owners)
    # No server can be below the limit if the one with most slots would exceed it alone.
    if part / plan.most_slots / plan.mean > limit:
        return None
    others = targets.difference(owners)
    allowed = {name for name in others if plan.ratio(name, part) <= limit}
    if not allowed:
        return None
    name = plan.choose(
        replace(demand, rate=demand.rate / len(owners)),
        frozenset(plan.servers) - allowed,
    )
    return name if plan.ratio(name, part) <= limit else None


def _may_move(
    plan: ServicePlan, demand: ObjectDemand, source: InstanceId, target: InstanceId
) -> bool:
    """Use the allowance of each region if a move changes the region of requests."""
    if plan.servers[source].region == plan.servers[target].region:
        return True
    return plan.allowance.take(demand, len(plan.assignments[demand.object].owners))
