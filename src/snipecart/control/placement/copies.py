"""Give objects with much demand further servers, and take them when it falls."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from .assignment import Assignment

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ...core.ids import Instant
    from .demand import ObjectDemand
    from .planner import ServicePlan

COPY_LOAD = 0.5
"""Part of a server's slots above which one object gets another server."""

COPY_HYSTERESIS = 0.7
"""Part of the load at which a server was added below which it is given up."""

MAX_COPIES = 8
"""Servers of one object at most.

With 100 objects by rank, the first has a fifth of the requests, which is more than
three servers of three slots can run.
"""


def add_copies(
    plan: ServicePlan, by_object: Mapping[int, ObjectDemand], now: Instant
) -> None:
    """Give another server to objects that would take too much of one.

    A surge needs further servers at once, so these are not limited in number.
    """
    for item, assignment in list(plan.assignments.items()):
        demand, copies = by_object.get(item), len(assignment.owners)
        if demand is None or assignment.joining is not None:
            continue
        is_enough = demand.peak_load <= _copy_load(plan, assignment) * copies
        if is_enough or copies >= min(MAX_COPIES, len(plan.servers)):
            continue
        part = replace(demand, rate=demand.rate / (copies + 1))
        name = plan.choose(part, frozenset(assignment.owners))
        plan.assign(demand, Assignment(assignment.owners, name, now))


def remove_copies(plan: ServicePlan, by_object: Mapping[int, ObjectDemand]) -> None:
    """Take servers from objects that need fewer now, the busiest one first."""
    for item, assignment in list(plan.assignments.items()):
        demand, copies = by_object.get(item), len(assignment.owners)
        if demand is None or assignment.joining is not None or copies == 1:
            continue
        limit = COPY_HYSTERESIS * _copy_load(plan, assignment) * (copies - 1)
        if demand.peak_load < limit:
            busiest = max(assignment.owners, key=plan.ratio)
            kept = tuple(name for name in assignment.owners if name != busiest)
            plan.assign(demand, Assignment(kept))


def _copy_load(plan: ServicePlan, assignment: Assignment) -> float:
    """Return the load of one object that a server of it may have."""
    return COPY_LOAD * min(plan.servers[name].slots for name in assignment.owners)
