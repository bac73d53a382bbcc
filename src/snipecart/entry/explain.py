"""Explain which backend servers could take a call, or why it would be refused."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from ..core.ids import CallerName
from ..core.ids import CallId
from ..core.ids import Instant
from ..core.ids import KindName
from ..core.ids import ServiceName
from .steering.messages import SlotRequest
from .steering.queueing import find_refusal
from .steering.routing import link_has_room
from .steering.routing import link_name

if TYPE_CHECKING:
    from .steering.state import Server
    from .steering.state import SteeringState

FAR_DEADLINE_SECONDS = 3600.0
"""Time to a deadline so late that no call is refused because of it."""


@dataclass(frozen=True)
class Explanation:
    """Store how a call of one kind would be handled now."""

    refusal: str
    """Reason for refusing the call; empty if it would be accepted."""
    detail: str
    """Detail of the refusal; empty if there is none."""
    freshness: str
    waiting: int
    """Number of calls of the kind that wait for a slot."""
    service_time: float
    """Estimated service time of the kind in seconds."""
    endpoints: tuple[dict[str, Any], ...]
    """State of each backend server of the service."""


def explain(
    state: SteeringState, service: ServiceName, kind: KindName, now: Instant
) -> Explanation:
    """Return how a call would be handled, and the state of each backend server."""
    request = SlotRequest(
        CallId(""), service, kind, CallerName(""), Instant(now + FAR_DEADLINE_SECONDS)
    )
    failure = find_refusal(state, request, now)
    queue = state.queues.get(service)
    kind_queue = queue.kinds.get(kind) if queue else None
    servers = state.servers_of(service) if kind_queue else []
    return Explanation(
        failure.reason if failure else "",
        failure.detail if failure else "",
        state.freshness(now),
        kind_queue.size if kind_queue else 0,
        kind_queue.service_time if kind_queue else 0.0,
        tuple(
            _describe_server(state, server, kind_queue.kind, now) for server in servers
        ),
    )


def _describe_server(
    state: SteeringState, server: Server, kind: Any, now: Instant
) -> dict[str, Any]:
    return {
        "endpoint": server.info.endpoint,
        "zone": server.info.zone,
        "state": server.info.state,
        "health": server.tracker.health,
        "share": server.share,
        "usable": state.slot_limit(server, kind, now),
        "in_flight": server.in_flight,
        "latency_s": round(server.tracker.latency, 4),
        "reported_load": server.load,
        "link": link_name(state, server) or "",
        "link_has_room": link_has_room(state, server, kind, now),
    }
