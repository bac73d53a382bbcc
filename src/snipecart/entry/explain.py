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
from .steering.messages import Ask
from .steering.queueing import find_refusal
from .steering.routing import link_name
from .steering.routing import may_cross

if TYPE_CHECKING:
    from .steering.state import Endpoint
    from .steering.state import SteerState

FAR_DEADLINE_SECONDS = 3600.0
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
    state: SteerState, service: ServiceName, kind: KindName, now: Instant
) -> Explanation:
    """Return what would become of a call, and what each backend server offers."""
    ask = Ask(
        CallId(""), service, kind, CallerName(""), Instant(now + FAR_DEADLINE_SECONDS)
    )
    failure = find_refusal(state, ask, now)
    queue = state.queues.get(service)
    kind_queue = queue.kinds.get(kind) if queue else None
    endpoints = state.of_service(service) if kind_queue else []
    return Explanation(
        failure.reason if failure else "",
        failure.detail if failure else "",
        state.freshness(now),
        kind_queue.size if kind_queue else 0,
        kind_queue.service_time if kind_queue else 0.0,
        tuple(
            _describe_endpoint(state, endpoint, kind_queue.kind, now)
            for endpoint in endpoints
        ),
    )


def _describe_endpoint(
    state: SteerState, endpoint: Endpoint, kind: Any, now: Instant
) -> dict[str, Any]:
    return {
        "endpoint": endpoint.info.endpoint,
        "zone": endpoint.info.zone,
        "state": endpoint.info.state,
        "health": endpoint.observed.health,
        "share": endpoint.share,
        "usable": state.limit(endpoint, kind, now),
        "in_flight": endpoint.in_flight,
        "latency_s": round(endpoint.observed.latency, 4),
        "reported_load": endpoint.load,
        "link": link_name(state, endpoint) or "",
        "link_has_room": may_cross(state, endpoint, kind, now),
    }
