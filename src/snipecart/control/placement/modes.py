"""Decide which services a placement plan covers."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from ...core.registry import Registry

if TYPE_CHECKING:
    from ...core.ids import Instant
    from ...core.ids import RegionName
    from ...core.ids import ServiceName

Slots = Mapping["RegionName", int]

UNEVEN_RATIO = 0.4
"""Ratio of a region's slots to the mean below which regions are uneven."""

EVEN_RATIO = 0.55
"""Ratio of each region's slots to the mean above which they are even again."""

ON_DELAY = 2.0
"""Seconds for which regions must be uneven before a plan begins."""

OFF_DELAY = 30.0
"""Seconds for which regions must be even before a plan ends."""

PEAK_LIFETIME = 120.0
"""Seconds for which a region counts with the most slots that it had.

A zone that fails doesn't make regions uneven. A region in which each server is listed
twice for a moment, as it is replaced, doesn't make them even: the slots that it has now
must agree.
"""

MANY_GATEWAYS = 20.0
"""Gateways for each slot of a server above which they can't share it by themselves.

Each has less than a twentieth of a slot's work there, so it seldom hears from the
server and knows neither its queue nor its warm objects.
"""

FEW_GATEWAYS = 10.0
"""Gateways for each slot of a server below which they can again."""

PlacementMode = Callable[[Slots, float, bool], bool]
"""Return whether a service is to be planned, by its slots, the gateways for each slot
of a server, and whether it is now."""

PLACEMENT_MODES: Registry[str, PlacementMode] = Registry("placement modes")


@PLACEMENT_MODES.register("auto")
def plan_uneven(slots: Slots, gateways_per_slot: float, is_planned: bool) -> bool:
    """Plan services of uneven regions that many gateways share, with hysteresis."""
    if gateways_per_slot < (FEW_GATEWAYS if is_planned else MANY_GATEWAYS):
        return False
    equipped = [number for number in slots.values() if number > 0]
    if len(equipped) < 2:
        return False
    ratio = min(equipped) * len(equipped) / sum(equipped)
    return ratio < (EVEN_RATIO if is_planned else UNEVEN_RATIO)


@PLACEMENT_MODES.register("planned")
def plan_all(slots: Slots, gateways_per_slot: float, is_planned: bool) -> bool:
    """Plan all services."""
    return True


@PLACEMENT_MODES.register("regional")
def plan_none(slots: Slots, gateways_per_slot: float, is_planned: bool) -> bool:
    """Plan no service: regions hash objects by themselves."""
    return False


@dataclass
class PlannedServices:
    """Store which services are planned, and since when that should change."""

    mode: str = "auto"
    """Key of a placement mode."""
    services: frozenset[ServiceName] = frozenset()
    _peaks: dict[tuple[ServiceName, RegionName], tuple[int, float]] = field(
        default_factory=dict
    )
    """Most slots of each region, and when it had them last."""
    _differs_since: dict[ServiceName, float] = field(default_factory=dict)

    def update(
        self,
        slots: Mapping[ServiceName, Slots],
        gateways_per_slot: Mapping[ServiceName, float],
        now: Instant,
    ) -> frozenset[ServiceName]:
        """Update the planned services from all known servers and gateways."""
        decide = PLACEMENT_MODES.get(self.mode)
        for service, peaks in self._peak_slots(slots, now).items():
            is_planned = service in self.services
            views = (peaks, slots.get(service, {}))
            sharing = gateways_per_slot.get(service, 0.0)
            if any(decide(view, sharing, is_planned) == is_planned for view in views):
                self._differs_since.pop(service, None)
                continue
            since = self._differs_since.setdefault(service, now)
            if now >= since + (OFF_DELAY if is_planned else ON_DELAY):
                self.services ^= {service}
                del self._differs_since[service]
        return self.services

    def _peak_slots(
        self, slots: Mapping[ServiceName, Slots], now: Instant
    ) -> dict[ServiceName, dict[RegionName, int]]:
        for service, by_region in slots.items():
            for region, number in by_region.items():
                peak, _ = self._peaks.get((service, region), (0, 0.0))
                if number >= peak:
                    self._peaks[(service, region)] = (number, now)
        peaks: dict[ServiceName, dict[RegionName, int]] = {}
        for (service, region), (peak, at) in list(self._peaks.items()):
            if now > at + PEAK_LIFETIME:
                number = slots.get(service, {}).get(region, 0)
                self._peaks[(service, region)] = (number, now)
                peak = number
            peaks.setdefault(service, {})[region] = peak
        return peaks
