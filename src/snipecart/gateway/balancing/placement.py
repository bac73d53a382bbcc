"""Store the placement plan of a gateway, and count the demand that it reports."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from functools import lru_cache
from hashlib import blake2b
from typing import TYPE_CHECKING
from zlib import crc32

from ...core.events import PLACEMENT_APPLIED
from ...core.events import PLACEMENT_STALE
from ...core.events import emit
from ...core.ids import Instant
from ...messages.placement import MAX_PLANNED_OBJECTS
from ...messages.placement import ServiceDemand
from ...messages.placement import columns_match
from ...messages.placement import unpack_update

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from ...core.ids import InstanceId
    from ...core.ids import RegionName
    from ...core.ids import RequestId
    from ...core.ids import RouteName
    from ...core.ids import ServiceName
    from ...messages.placement import Coverage
    from ...messages.placement import PlacedObject
    from ...messages.placement import PlacementUpdate

PLAN_LIFETIME = 10.0
"""Seconds for which a gateway uses its plan without an answer of a control process.

A gateway that is cut off for longer may reach only servers near it.
"""

NEVER = Instant(-1e9)

UNKEYED = 0
"""Hash that stands for requests without an object key."""

MAX_REPORTED = 4096
"""Objects in one report; the requests for further ones are not reported."""

MAX_COUNT = 65_535
"""Largest count that a report can state."""


@lru_cache(maxsize=4096)
def object_hash(key: str) -> int:
    """Return the 64-bit hash of an object key that all processes compute alike."""
    if not key:
        return UNKEYED
    return int.from_bytes(blake2b(key.encode(), digest_size=8).digest(), "big")


@dataclass
class Placement:
    """Store the newest plan of the leader."""

    number: int = 0
    placed: dict[tuple[ServiceName, int], PlacedObject] = field(default_factory=dict)
    covered: frozenset[ServiceName] = frozenset()
    regions: dict[ServiceName, dict[RegionName, float]] = field(default_factory=dict)
    """Part of each region in the requests for a service."""
    confirmed_at: Instant = NEVER
    """When a control process last answered."""
    in_use: bool = False
    """Whether the plan was confirmed at the last check."""

    def apply(self, update: PlacementUpdate, now: Instant) -> bool:
        """Apply an answer of a leader; return whether the plan has changed."""
        if not update.plan or update.plan < self.number or not columns_match(update):
            return False
        if not update.complete and update.since != self.number:
            return False
        self.confirmed_at = now
        if update.plan == self.number:
            return False
        if update.complete:
            self.placed.clear()
        for item in unpack_update(update):
            if item.servers:
                self.placed[(item.service, item.object)] = item
            else:
                self.placed.pop((item.service, item.object), None)
        if update.coverage is not None:
            self._replace_coverage(update.coverage)
        self.number = update.plan
        return True

    def _replace_coverage(self, coverage: Coverage) -> None:
        self.covered, self.regions = frozenset(coverage.services), {}
        for part in coverage.regions:
            by_region = self.regions.setdefault(part.service, {})
            by_region[part.region] = part.percent / 100

    def confirm(self, now: Instant) -> None:
        """Keep the plan in use, although perhaps no leader answers at present.

        While control processes have no leader, all gateways keep the same plan.
        """
        if self.number:
            self.confirmed_at = now

    def check(self, now: Instant) -> bool:
        """Update whether the plan is in use; return whether that has changed."""
        confirmed = now < self.confirmed_at + PLAN_LIFETIME
        if confirmed == self.in_use:
            return False
        self.in_use = confirmed
        emit(
            PLACEMENT_APPLIED if confirmed else PLACEMENT_STALE,
            plan=self.number,
            objects=len(self.placed),
        )
        return True

    def covers(self, service: ServiceName) -> bool:
        """Return whether the plan in use covers a service."""
        return self.in_use and service in self.covered

    def find(self, service: ServiceName, key: str) -> PlacedObject | None:
        """Return the servers of an object; None if it has none of its own."""
        if not (self.in_use and key):
            return None
        return self.placed.get((service, object_hash(key)))

    def lacks_any(self, demand: Iterable[ServiceDemand]) -> bool:
        """Return whether some requested object has no servers of its own yet."""
        return len(self.placed) < MAX_PLANNED_OBJECTS and any(
            item != UNKEYED and (reported.service, item) not in self.placed
            for reported in demand
            if reported.service in self.covered
            for item in reported.objects
        )

    def demand_parts(self, service: ServiceName) -> dict[RegionName, float] | None:
        """Return the part of each region in the requests; None if it isn't known."""
        return self.regions.get(service) if self.in_use else None


def preferred_index(placed: PlacedObject, request_id: RequestId) -> int:
    """Return the index of the planned server that a request prefers.

    Requests for an object are divided by the shares of its servers, as a gateway knows
    too little of their load to divide by it.
    """
    if len(placed.servers) == 1:
        return 0
    point = crc32(request_id.encode()) % max(1, sum(placed.shares))
    for at, share in enumerate(placed.shares):
        point -= share
        if point < 0:
            return at
    return 0


def planned_order(
    placed: PlacedObject,
    first: int,
    order: list[InstanceId],
    known: Mapping[InstanceId, object],
) -> list[InstanceId]:
    """Return the planned servers, beginning with one, and the others in their order."""
    rotated = (*placed.servers[first:], *placed.servers[:first])
    planned = [name for name in rotated if name in known]
    return planned + [name for name in order if name not in planned]


@dataclass
class DemandMeter:
    """Count requests by service, route and object until they are reported."""

    active: bool = False
    """Whether control processes want reports."""
    counts: dict[tuple[ServiceName, RouteName], dict[int, int]] = field(
        default_factory=dict
    )

    def record(self, service: ServiceName, route: RouteName, key: str) -> None:
        """Count a request that a client has sent."""
        if not self.active:
            return
        objects = self.counts.setdefault((service, route), {})
        item = object_hash(key)
        if item in objects or len(objects) < MAX_REPORTED:
            objects[item] = min(MAX_COUNT, objects.get(item, 0) + 1)

    def take(self, usual_times: Mapping[RouteName, float]) -> tuple[ServiceDemand, ...]:
        """Return what was counted since the last call."""
        counts, self.counts = self.counts, {}
        return tuple(
            ServiceDemand(
                service,
                tuple(objects),
                tuple(objects.values()),
                int(usual_times.get(route, 0.0) * 1000),
            )
            for (service, route), objects in counts.items()
        )
