"""Pass demand and the placement plan between the balancer and the sync task."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ...messages.placement import PlacementUpdate
from ...messages.placement import ServiceDemand
from ...messages.placement import pack_update
from .task import HANDLERS

if TYPE_CHECKING:
    from collections.abc import Callable

    from ...core.ids import Instant
    from .task import BalancerTask


@dataclass(frozen=True)
class DemandTaken:
    """Pass the demand since the last report, and the number of the plan in use."""

    plan: int
    demand: tuple[ServiceDemand, ...]
    has_unplaced: bool
    """Whether the plan lacks a requested object."""


@dataclass(frozen=True)
class TakeDemand:
    """Ask for the demand since the last report; ``wanted`` also starts the count."""

    wanted: bool
    confirms: bool
    """Whether a control process answers that objects are placed by a plan."""
    reply: Callable[[DemandTaken], object]


@dataclass(frozen=True)
class TakePlan:
    """Ask for the whole plan in use, as an update."""

    reply: Callable[[PlacementUpdate], object]


@HANDLERS.register(TakePlan)
def handle_take_plan(task: BalancerTask, message: TakePlan, now: Instant) -> None:
    """Return the plan in use."""
    placement = task.state.placement
    message.reply(pack_update(placement.number, None, placement.placed.values()))


@HANDLERS.register(TakeDemand)
def handle_take_demand(task: BalancerTask, message: TakeDemand, now: Instant) -> None:
    """Return the demand, and update whether the plan is in use."""
    state = task.state
    if message.confirms:
        state.placement.confirm(now)
    if state.placement.check(now):
        state.preferences.clear()
    state.demand.active = message.wanted
    demand = state.demand.take(state.usual_times)
    if message.wanted:
        placement = state.placement
        message.reply(
            DemandTaken(placement.number, demand, placement.lacks_any(demand))
        )


@HANDLERS.register(PlacementUpdate)
def handle_placement(task: BalancerTask, update: PlacementUpdate, now: Instant) -> None:
    """Apply an answer of a leader."""
    state = task.state
    changed = state.placement.apply(update, now)
    if state.placement.check(now) or changed:
        state.preferences.clear()
