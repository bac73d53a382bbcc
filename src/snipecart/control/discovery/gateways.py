"""Follow the gateways that ask for changes, and who must confirm which."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from itertools import count
from typing import TYPE_CHECKING
from typing import Any

from ...core.states import MemberState

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from ...core.ids import Instant
    from ...core.ids import MemberId
    from ...core.ids import RegionName
    from ...core.ids import ZoneName
    from ...messages.discovery import Gateway

LIVE_TIMEOUT = 1.7
"""Seconds after its last request for which a gateway must confirm changes.

Longer than CONTACT, so a control process cut off from all stops confirming first.
"""

LOOKUP_TIMEOUT = 2.2
"""Seconds after its last request for which look-ups name a gateway."""

CONTACT_TIMEOUT = 1.0
"""Seconds after its last gossip for which a control process is in contact."""

CONFIRMATION_TIMEOUT = 0.7
"""Seconds that a report waits for the gateways' confirmations."""


@dataclass
class KnownGateway:
    """Hold a gateway, when it last asked, and the way to reach it."""

    gateway: Gateway
    heard: Instant
    push: Callable[[Any], None]


@dataclass
class UnconfirmedUpdate:
    """Hold a report whose news some gateways have yet to confirm."""

    waiting: set[MemberId]
    deadline: Instant
    reply: Callable[[bool], None]


@dataclass
class GatewayTable:
    """Hold the gateways by their runs."""

    gateways: dict[MemberId, KnownGateway] = field(default_factory=dict)

    def record_sync(
        self, gateway: Gateway, push: Callable[[Any], None], now: Instant
    ) -> None:
        """Note that a gateway asked; a new run of its VM replaces the last."""
        for other in list(self.gateways.values()):
            same_vm = other.gateway.vm == gateway.vm
            if same_vm and other.gateway.gateway != gateway.gateway:
                del self.gateways[other.gateway.gateway]
        self.gateways[gateway.gateway] = KnownGateway(gateway, now, push)

    def live(self, now: Instant, timeout: float = LIVE_TIMEOUT) -> list[KnownGateway]:
        """Return the gateways heard within a span of seconds."""
        return [item for item in self.gateways.values() if now < item.heard + timeout]

    def remove_silent(self, now: Instant) -> None:
        """Drop gateways that have long been silent."""
        for item in list(self.gateways.values()):
            if now > item.heard + 10 * LIVE_TIMEOUT:
                del self.gateways[item.gateway.gateway]


class LookupIndex:
    """Name the gateways that clients should use; made anew when gateways change.

    Clients get their region's gateways, those of their zone first; all where their
    region has none. Where there are more than may be named, look-ups take turns.
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
        """Return the gateways that a client of a region and zone should use."""
        candidates = self._by_region.get(region, self._serving)
        same_zone = [item for item in candidates if item.zone == zone]
        other_zones = [item for item in candidates if item.zone != zone]
        rotation = next(self._rotations)
        return [
            *_rotate(same_zone, rotation, limit),
            *_rotate(other_zones, rotation, limit - len(same_zone)),
        ]


def _rotate(items: list[Gateway], rotation: int, limit: int) -> list[Gateway]:
    """Return some of the items, beginning elsewhere at each turn."""
    if limit <= 0:
        return []
    if len(items) <= limit:
        return items
    start = rotation * limit % len(items)
    return [*items[start:], *items[:start]][:limit]
