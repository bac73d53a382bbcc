"""Explain where a call would go, or why it would be refused."""

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

LONG = 3600.0
"""Seconds; a deadline that refuses nothing."""


@dataclass(frozen=True)
class Explanation:
    """Tell what would become of a call now."""

    refusal: str
    detail: str
    freshness: str
    waiting: int
    service_time: float
    endpoints: tuple[dict[str, Any], ...]


def explain(
    state: SteeringState, service: ServiceName, kind: KindName, now: Instant
) -> Explanation:
    """Return what would become of a call, and what each backend server offers."""
    ask = SlotRequest(CallId(""), service, kind, CallerName(""), Instant(now + LONG))
    failure = find_refusal(state, ask, now)
    queue = state.queues.get(service)
    item = queue.kinds.get(kind) if queue else None
    endpoints = state.servers_of(service) if item else []
    return Explanation(
        failure.reason if failure else "",
        failure.detail if failure else "",
        state.freshness(now),
        item.size if item else 0,
        item.service_time if item else 0.0,
        tuple(_describe(state, end, item.kind, now) for end in endpoints),
    )


def _describe(
    state: SteeringState, endpoint: Server, kind: Any, now: Instant
) -> dict[str, Any]:
    return {
        "endpoint": endpoint.info.endpoint,
        "zone": endpoint.info.zone,
        "state": endpoint.info.state,
        "health": endpoint.tracker.health,
        "share": endpoint.share,
        "usable": state.slot_limit(endpoint, kind, now),
        "in_flight": endpoint.in_flight,
        "latency_s": round(endpoint.tracker.latency, 4),
        "reported_load": endpoint.load,
        "link": link_name(state, endpoint) or "",
        "link_has_room": link_has_room(state, endpoint, kind, now),
    }
