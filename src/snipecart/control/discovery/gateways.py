"""Track live gateways and the updates that they have not confirmed yet."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from itertools import count
from typing import TYPE_CHECKING
from typing import Any

from ...core.states import MemberState
from ...messages.discovery import RATE_LEASE_DURATION

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from ...core.ids import Instant
    from ...core.ids import MemberId
    from ...core.ids import RegionName
    from ...core.ids import ZoneName
    from ...messages.alive import GatewayAlive
    from ...messages.discovery import Departure
    from ...messages.discovery import Gateway
    from ...messages.discovery import InstanceSeen
    from ...messages.discovery import SyncRequest

LIVE_TIMEOUT = 1.7
"""Seconds after its last report for which a gateway must confirm changes.

Longer than CONTACT_TIMEOUT, so that an isolated control process stops confirming
updates before its gateways expire.
"""

LOOKUP_TIMEOUT = 2.2
"""Seconds after its last report for which lookups return a gateway."""

CONTACT_TIMEOUT = 1.0
"""Seconds after its last gossip for which a control process counts as reachable."""

SHARE_TIMEOUT = CONTACT_TIMEOUT + RATE_LEASE_DURATION + 0.5
"""Seconds after its last report for which a gateway keeps its rate shares.

By then its leases have ended, also where only an isolated control process still heard
from it, which goes on for CONTACT_TIMEOUT. The rest allows for one request.
"""

CONFIRMATION_TIMEOUT = 0.7
"""Seconds that an update waits for the gateways' confirmations and the log."""


@dataclass
class RegisteredGateway:
    """Store a gateway, the time of its last report, and how to push to it."""

    gateway: Gateway
    last_sync_at: Instant
    push: Callable[[Any], None]
    requests_per_s: int = 1
    """Requests that it gets from clients, rounded."""
    differs_at: int = -1
    """Revision at which its servers differed in its last request; -1 if they didn't."""


@dataclass
class UnconfirmedUpdate:
    """Store an update of a leaving instance until gateways and log have it."""

    departure: Departure
    waiting: set[MemberId]
    """Gateways that have not confirmed it."""
    deadline: Instant
    reply: Callable[[bool], None]

    def record_confirmation(self, seen: InstanceSeen) -> None:
        """Stop waiting for a gateway that has confirmed this update or a later one.

        Its confirmation of another instance, or of an earlier state, doesn't count.
        """
        instance = self.departure.instance
        is_current = not seen.sequence or seen.sequence >= instance.sequence
        if seen.instance == instance.instance and is_current:
            self.waiting.discard(seen.gateway)


@dataclass
class GatewayTable:
    """Store the gateways by their ids, which are new with each start."""

    gateways: dict[MemberId, RegisteredGateway] = field(default_factory=dict)
    revision: int = 0
    """Increases when a gateway is added or changes."""

    def record_sync(
        self, sync: SyncRequest, push: Callable[[Any], None], now: Instant
    ) -> None:
        """Record a sync request, and remove earlier gateway runs on the same VM."""
        gateway, requests_per_s = sync.gateway, max(1, sync.requests_per_s)
        known = self.gateways.get(gateway.gateway)
        if known is not None:
            self.revision += known.gateway != gateway
            known.gateway, known.last_sync_at, known.push = gateway, now, push
            known.requests_per_s = requests_per_s
            return
        self.revision += 1
        for other in list(self.gateways.values()):
            if other.gateway.vm == gateway.vm:
                del self.gateways[other.gateway.gateway]
        self.gateways[gateway.gateway] = RegisteredGateway(
            gateway, now, push, requests_per_s
        )

    def record_alive(
        self, report: GatewayAlive, push: Callable[[Any], None], now: Instant
    ) -> bool:
        """Record a short report, and return whether the gateway's run is known."""
        known = self.gateways.get(report.gateway)
        if known is None:
            return False
        known.last_sync_at, known.push = now, push
        known.requests_per_s = max(1, report.requests_per_s)
        return True

    def differs_again(self, gateway: MemberId, revision: int, differs: bool) -> bool:
        """Record whether a gateway's servers differ although it has a revision.

        Return whether they also did in its last request: one difference may come from a
        change that another control process has pushed already.
        """
        known = self.gateways[gateway]
        before, known.differs_at = known.differs_at, revision if differs else -1
        return differs and before == revision

    def live(
        self, now: Instant, timeout: float = LIVE_TIMEOUT
    ) -> list[RegisteredGateway]:
        """Return the gateways that sent a report within ``timeout`` seconds."""
        return [
            item for item in self.gateways.values() if now < item.last_sync_at + timeout
        ]

    def remove_silent(self, now: Instant) -> None:
        """Remove gateways that sent no report for ten times LIVE_TIMEOUT."""
        for item in list(self.gateways.values()):
            if now > item.last_sync_at + 10 * LIVE_TIMEOUT:
                del self.gateways[item.gateway.gateway]


class LookupIndex:
    """Select the gateways that clients should use; rebuilt when gateways change.

    Clients get the gateways of their region, those of their zone first, or all
    gateways if their region has none. If there are more gateways than an answer may
    contain, successive lookups rotate through them.
    """

    def __init__(self, gateways: Iterable[Gateway] = ()) -> None:
        self.gateways = tuple(gateways)
        serving = [item for item in self.gateways if item.state is MemberState.SERVING]
        self._serving = sorted(serving, key=lambda item: item.vm)
        self._by_region: dict[RegionName, list[Gateway]] = {}
        for item in self._serving:
            self._by_region.setdefault(item.region, []).append(item)
        self._rotations = count()

    def select_gateways(
        self, region: RegionName, zone: ZoneName, limit: int
    ) -> list[Gateway]:
        """Return up to ``limit`` gateways for a client in a region and zone."""
        candidates = self._by_region.get(region, self._serving)
        same_zone = [item for item in candidates if item.zone == zone]
        other_zones = [item for item in candidates if item.zone != zone]
        rotation = next(self._rotations)
        return [
            *_rotate(same_zone, rotation, limit),
            *_rotate(other_zones, rotation, limit - len(same_zone)),
        ]


def _rotate(items: list[Gateway], rotation: int, limit: int) -> list[Gateway]:
    """Return up to ``limit`` items, starting at another one on each rotation."""
    if limit <= 0:
        return []
    if len(items) <= limit:
        return items
    start = rotation * limit % len(items)
    return [*items[start:], *items[:start]][:limit]
