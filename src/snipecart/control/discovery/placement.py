"""Revise the placement plan in the discovery task, and answer reports of demand."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...core.states import EndpointState
from ...messages.placement import DemandReport
from ...messages.placement import PlacementUpdate
from ..metrics import PLACEMENT_BUSIEST
from ..metrics import PLACEMENT_OBJECTS
from ..metrics import PLACEMENT_REPORTS
from ..placement.assignment import PlannedServer
from .handlers import HANDLERS

if TYPE_CHECKING:
    from ...core.ids import Instant
    from ...core.ids import ServiceName
    from ...wire.links import IncomingMessage
    from .task import DiscoveryTask


def run_placement(task: DiscoveryTask, now: Instant) -> None:
    """Revise the plan if it is due, and send changes to the other processes."""
    state = task.placement
    state.set_term(task.committed_state.leading_term, now)
    if not state.check_due(now):
        return
    update = state.run(
        _planned_servers(task, now),
        now,
        settled=task.is_settled(now),
        gateways=task.live_gateways,
    )
    if update is not None:
        task.broadcast(update)
    plans = state.services.values()
    PLACEMENT_OBJECTS.set(sum(len(plan.assignments) for plan in plans))
    PLACEMENT_BUSIEST.set(state.busiest_over_mean())


def _planned_servers(
    task: DiscoveryTask, now: Instant
) -> dict[ServiceName, list[PlannedServer]]:
    """Return all known servers by service."""
    evacuated = task.committed_state.evacuated
    servers: dict[ServiceName, list[PlannedServer]] = {}
    for item in task.instances.live.values():
        instance = item.instance
        is_serving = instance.state is EndpointState.SERVING
        servers.setdefault(instance.service, []).append(
            PlannedServer(
                instance.instance,
                instance.endpoint,
                instance.region,
                max(1, instance.slots),
                instance.born,
                is_serving and instance.zone not in evacuated,
                now < item.cold_until,
            )
        )
    return servers


@HANDLERS.register(DemandReport)
def handle_demand(task: DiscoveryTask, req: IncomingMessage, now: Instant) -> None:
    """Record a gateway's demand, and answer with the changes of the plan."""
    PLACEMENT_REPORTS.inc()
    update = task.placement.record(req.message, now)
    if update is not None:
        req.reply(update)


@HANDLERS.register(PlacementUpdate)
def handle_placement(task: DiscoveryTask, req: IncomingMessage, now: Instant) -> None:
    """Keep the plan of the leader, or one that a gateway still uses."""
    task.placement.adopt(req.message, now)
