"""Describe the log, backend servers and gateways for the status page."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from ..core.states import EndpointState
from .requests import describe_node

if TYPE_CHECKING:
    from expression import Result

    from ..core.failures import Failure
    from ..core.ids import Instant
    from ..core.ids import MemberId
    from ..core.ids import ServiceName
    from ..core.ids import VmName
    from ..core.ids import ZoneName
    from ..core.states import MemberState
    from ..program.inspect import Page
    from ..program.inspect import Query
    from .discovery.task import DiscoveryTask
    from .factory import ControlTasks
    from .placement.state import PlacementState


@dataclass(frozen=True)
class GatewayStatus:
    """Describe a gateway and the milliseconds since its last sync request."""

    gateway: MemberId
    zone: ZoneName
    state: MemberState
    silent_ms: int


@dataclass(frozen=True)
class ServiceStatus:
    """Count a service's backend servers by state."""

    service: ServiceName
    states: dict[str, int]


@dataclass(frozen=True)
class PlacementStatus:
    """Describe the placement plan that a process leads or keeps."""

    plan: int
    """Number of the plan; 0 for none."""
    leads: bool
    services: tuple[ServiceName, ...]
    """Services whose regions this process finds to need a plan."""
    objects: int
    moving: int
    """Objects whose next server is being warmed; 0 unless this process leads."""
    busiest: float
    """Planned load of the busiest server for its slots over the mean; 0 unless this
    process leads."""


@dataclass(frozen=True)
class DiscoveryStatus:
    """Describe the discovery task: contacts, backend servers and gateways."""

    routing_version: int
    evacuated: tuple[ZoneName, ...]
    in_contact: bool
    contacts: tuple[VmName, ...]
    services: tuple[ServiceStatus, ...]
    gateways: tuple[GatewayStatus, ...]
    unconfirmed: int
    """Updates of leaving backend servers that wait for gateways to confirm them."""
    placement: PlacementStatus


def describe_placement(state: PlacementState) -> PlacementStatus:
    """Return the status of the placement plan."""
    assignments = [
        item for plan in state.services.values() for item in plan.assignments.values()
    ]
    return PlacementStatus(
        state.plan.number,
        bool(state.term),
        tuple(sorted(state.planned.services)),
        len(state.plan.placed),
        sum(item.joining is not None for item in assignments),
        round(state.busiest_over_mean(), 2),
    )


def describe_discovery(task: DiscoveryTask, now: Instant) -> DiscoveryStatus:
    """Return the status of the discovery task."""
    counts: dict[ServiceName, Counter[str]] = {}
    for item in task.instances.live.values():
        instance = item.instance
        counts.setdefault(instance.service, Counter())[instance.state] += 1
    return DiscoveryStatus(
        task.committed_state.routing_version,
        tuple(sorted(task.committed_state.evacuated)),
        task.in_contact(now),
        tuple(sorted(task.gossip.peers_in_contact(now))),
        tuple(
            ServiceStatus(name, _in_order(states)) for name, states in counts.items()
        ),
        tuple(
            GatewayStatus(
                item.gateway.gateway,
                item.gateway.zone,
                item.gateway.state,
                int((now - item.last_sync_at) * 1000),
            )
            for item in task.gateways.gateways.values()
        ),
        len(task.unconfirmed),
        describe_placement(task.placement),
    )


def _in_order(states: Counter[str]) -> dict[str, int]:
    """Return the states that occur, in the order of their definition."""
    return {state: states[state] for state in EndpointState if states[state]}


def control_pages(tasks: ControlTasks) -> dict[str, Page]:
    """Return the inspection pages of a control process by path."""

    def status(query: Query) -> Result[Any, Failure]:
        node = tasks.node.query(describe_node)
        discovery = tasks.discovery.query(describe_discovery)
        return node.bind(
            lambda log: discovery.map(
                lambda discovery_status: {
                    "role": "control",
                    "log": log,
                    "discovery": discovery_status,
                }
            )
        )

    return {"/status": status}
