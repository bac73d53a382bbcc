"""Rank backend servers for an object by weighted rendezvous hashing.

Every gateway of a region computes the same order.
"""

from __future__ import annotations

from dataclasses import dataclass
from operator import itemgetter
from typing import TYPE_CHECKING

from ...core.rendezvous import scores_of

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from ...core.ids import InstanceId
    from ...core.ids import RegionName
    from ...messages.discovery import Instance


@dataclass(frozen=True)
class WeightedServer:
    """Store what a backend server's score for any object is computed from."""

    instance: InstanceId
    endpoint: bytes
    """Address, which is hashed so that a restarted server gets the same objects."""
    weight: float


def weigh_servers(
    instances: Iterable[Instance], shares: Mapping[RegionName, float]
) -> list[WeightedServer]:
    """Divide the share of each region among its backend servers, by their slots."""
    servers = list(instances)
    slots: dict[RegionName, int] = {}
    for item in servers:
        slots[item.region] = slots.get(item.region, 0) + max(1, item.slots)
    return [
        WeightedServer(
            item.instance,
            item.endpoint.encode(),
            shares.get(item.region, 0.0) * max(1, item.slots) / slots[item.region],
        )
        for item in servers
    ]


def weigh_by_slots(instances: Iterable[Instance]) -> list[WeightedServer]:
    """Weigh servers by their slots, so that all regions get the same order."""
    return [
        WeightedServer(item.instance, item.endpoint.encode(), max(1, item.slots))
        for item in instances
    ]


def rendezvous_order(key: str, servers: Iterable[WeightedServer]) -> list[InstanceId]:
    """Return backend servers in the order of preference for an object."""
    score = scores_of(key)
    scored = [(score(item.endpoint, item.weight), item.instance) for item in servers]
    scored.sort(key=itemgetter(0), reverse=True)
    return [instance for _, instance in scored]
