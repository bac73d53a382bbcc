"""Define what other threads see of the balancer's state."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

from ...core.ids import Instant
from ...core.ids import Millis
from ...messages.discovery import digest_instances

if TYPE_CHECKING:
    from ...core.ids import ServiceName
    from ...messages.discovery import RateLimit
    from .routes import RouteIndex
    from .state import BalancerState


@dataclass(frozen=True)
class SyncPoint:
    """Name a state of a control process's list of backend servers."""

    source: str
    """Run of the control process; empty before the first answer."""
    revision: int


NOTHING_APPLIED = SyncPoint("", 0)


@dataclass(frozen=True)
class View:
    """Describe the state for other threads; replaced as a whole, never changed."""

    index: RouteIndex | None = None
    evacuation_index: int = 0
    digest: int = digest_instances(())
    """Digest of all stored instances."""
    applied: SyncPoint = NOTHING_APPLIED
    """Latest answer of the followed control process that the state includes."""
    unserved: frozenset[ServiceName] = frozenset()
    """Services that routes name and no stored server belongs to."""
    requests_per_s: int = 1
    """Requests from clients, rounded."""
    rate_limits: tuple[RateLimit, ...] = ()
    """Rate limits in recent answers that differ from those listed by control."""
    published_at: Instant = Instant(0.0)
    limits_organisations: bool = False
    """Whether the routing table has organisations with a rate limit."""

    def aged_rate_limits(self, now: Instant) -> tuple[RateLimit, ...]:
        """Return ``rate_limits`` with their age at this moment."""
        passed = max(0, int((now - self.published_at) * 1000))
        return tuple(
            replace(item, age=Millis(item.age + passed)) for item in self.rate_limits
        )


def unserved_services(state: BalancerState) -> frozenset[ServiceName]:
    """Return the services that routes name and no stored server belongs to."""
    if state.index is None:
        return frozenset()
    served = {item.instance.service for item in state.servers.values()}
    return state.index.routed_services - served
