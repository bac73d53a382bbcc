"""Declare the messages about where objects are placed."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..core.ids import InstanceId
from ..core.ids import RegionName
from ..core.ids import ServiceName
from ..core.ids import VmName
from ..core.message import message
from ..core.message import record

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator


REVISION_BITS = 32
"""Bits of a plan number that hold the revision; the term precedes them."""

MAX_PLANNED_OBJECTS = 1000
"""Objects of one service that a plan assigns, those with the most requests.

Others use the order that is the same in all regions, which needs no message.
"""


@record
class ServiceDemand:
    """Report the requests of one route for a service since the last report."""

    service: ServiceName
    objects: tuple[int, ...]
    """64-bit hashes of object keys; 0 for requests without one."""
    counts: tuple[int, ...]
    """Requests for each object."""
    warm_ms: int = 0
    """Usual response time of a server that is warm for the object, in milliseconds; 0
    if it isn't known."""


@message
class DemandReport:
    """Report a gateway's demand to the leader, and ask for a newer plan."""

    vm: VmName
    region: RegionName
    plan: int
    """Number of the plan that the gateway uses; 0 for none."""
    demand: tuple[ServiceDemand, ...]


@record
class RegionDemand:
    """State the part of a service's requests that the callers of a region send."""

    service: ServiceName
    region: RegionName
    percent: int


@message
class PlacementUpdate:
    """Bring a gateway or a control process up to the plan with a number.

    The assignments are columns with one item per object; ``owners`` and ``shares`` have
    ``listed`` items for each object. Names are listed once, as a complete plan goes to
    every gateway.
    """

    plan: int
    since: int
    """Number of the plan that the changes apply to; unused if ``complete``."""
    complete: bool
    """Whether all objects are listed; others have no servers of their own."""
    services: tuple[ServiceName, ...] = ()
    servers: tuple[InstanceId, ...] = ()
    service_of: tuple[int, ...] = ()
    """Index in ``services``."""
    objects: tuple[int, ...] = ()
    listed: tuple[int, ...] = ()
    """Number of servers; 0 if the object has none of its own any more."""
    owners: tuple[int, ...] = ()
    """Indexes in ``servers``."""
    shares: tuple[int, ...] = ()
    """Percentages of the object's requests."""
    regions: tuple[RegionDemand, ...] = ()
    """Demand of all regions; sent with ``covered``."""
    wanted: bool = False
    """Whether the leader has no plan, and asks for the one that the gateway uses."""
    covered: tuple[ServiceName, ...] = ()
    """Services that the plan covers."""
    coverage_sent: bool = False
    """Whether the update has ``covered`` and ``regions``, empty or not."""

    @property
    def coverage(self) -> Coverage | None:
        """Return the coverage; None if the earlier one stands.

        A leader of an earlier version sends a coverage that isn't empty without
        ``coverage_sent``.
        """
        if self.coverage_sent or self.covered:
            return Coverage(self.covered, self.regions)
        return None


@dataclass(frozen=True)
class Coverage:
    """List the services that a plan covers, and the demand of all regions for them."""

    services: tuple[ServiceName, ...] = ()
    regions: tuple[RegionDemand, ...] = ()


@dataclass(frozen=True)
class PlacedObject:
    """Assign an object to backend servers, each with a percentage of its requests."""

    service: ServiceName
    object: int
    """64-bit hash of the object key."""
    servers: tuple[InstanceId, ...]
    """Empty if the object has no servers of its own any more."""
    shares: tuple[int, ...]


def pack_update(
    plan: int,
    since: int | None,
    placed: Iterable[PlacedObject],
    coverage: Coverage | None = None,
) -> PlacementUpdate:
    """Return the update with these objects; without ``since`` it is complete.

    Without ``coverage``, the earlier one stands.
    """
    items = list(placed)
    services = sorted({item.service for item in items})
    servers = sorted({name for item in items for name in item.servers})
    service_at = {name: at for at, name in enumerate(services)}
    server_at = {name: at for at, name in enumerate(servers)}
    return PlacementUpdate(
        plan,
        since or 0,
        since is None,
        tuple(services),
        tuple(servers),
        tuple(service_at[item.service] for item in items),
        tuple(item.object for item in items),
        tuple(len(item.servers) for item in items),
        tuple(server_at[name] for item in items for name in item.servers),
        tuple(share for item in items for share in item.shares),
        coverage.regions if coverage is not None else (),
        covered=coverage.services if coverage is not None else (),
        coverage_sent=coverage is not None,
    )


def columns_match(update: PlacementUpdate) -> bool:
    """Return whether the columns of an update fit each other."""
    objects, owners = len(update.objects), len(update.owners)
    return (
        len(update.service_of) == len(update.listed) == objects
        and sum(update.listed) == len(update.shares) == owners
        and max(update.service_of, default=-1) < len(update.services)
        and max(update.owners, default=-1) < len(update.servers)
    )


def unpack_update(update: PlacementUpdate) -> Iterator[PlacedObject]:
    """Yield the objects in an update whose columns match."""
    begin = 0
    for service, item, listed in zip(
        update.service_of, update.objects, update.listed, strict=True
    ):
        end = begin + listed
        yield PlacedObject(
            update.services[service],
            item,
            tuple(update.servers[at] for at in update.owners[begin:end]),
            update.shares[begin:end],
        )
        begin = end
