"""Follow the gateways that ask for changes, and who must confirm which."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
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

LIVE = 1.7
"""Seconds after its last request for which a gateway must confirm changes.

Longer than CONTACT, so a control process cut off from all stops confirming first.
"""

NAMED = 2.2
"""Seconds after its last request for which look-ups name a gateway."""

CONTACT = 1.0
"""Seconds after its last gossip for which a control process is in contact."""

CONFIRM_LIMIT = 0.7
"""Seconds that a report waits for the gateways' confirmations."""


@dataclass
class KnownGateway:
    """Hold a gateway, when it last asked, and the way to reach it."""

    gateway: Gateway
    heard: Instant
    push: Callable[[Any], None]


@dataclass
class Unconfirmed:
    """Hold a report whose news some gateways have yet to confirm."""

    waiting: set[MemberId]
    deadline: Instant
    reply: Callable[[bool], None]


@dataclass
class GatewayTable:
    """Hold the gateways by their runs."""

    gateways: dict[MemberId, KnownGateway] = field(default_factory=dict)

    def hear(self, gateway: Gateway, push: Callable[[Any], None], now: Instant) -> None:
        """Note that a gateway asked; a new run of its VM replaces the last."""
        for other in list(self.gateways.values()):
            same_vm = other.gateway.vm == gateway.vm
            if same_vm and other.gateway.gateway != gateway.gateway:
                del self.gateways[other.gateway.gateway]
        self.gateways[gateway.gateway] = KnownGateway(gateway, now, push)

    def live(self, now: Instant, span: float = LIVE) -> list[KnownGateway]:
        """Return the gateways heard within a span of seconds."""
        return [item for item in self.gateways.values() if now < item.heard + span]

    def forget_silent(self, now: Instant) -> None:
        """Drop gateways that have long been silent."""
        for item in list(self.gateways.values()):
            if now > item.heard + 10 * LIVE:
                del self.gateways[item.gateway.gateway]


def named_gateways(
    gateways: Iterable[Gateway], region: RegionName, zone: ZoneName, most: int
) -> list[Gateway]:
    """Choose the gateways a client should use: its region's, else all.

    Those of the client's zone come first.
    """
    serving = [item for item in gateways if item.state is MemberState.SERVING]
    near = [item for item in serving if item.region == region]
    chosen = sorted(near or serving, key=lambda item: (item.zone != zone, item.vm))
    return chosen[:most]
