"""Order backend servers for an object, the same way at every gateway."""

from __future__ import annotations

import math
from hashlib import blake2b
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from ...core.ids import RegionName
    from ...messages.discovery import Instance

HASH_SPACE = float(1 << 64)

MIN_WEIGHT = 1e-6
"""Weight of a backend server whose region gets no share, so that it comes last."""


def rendezvous_score(key: str, name: str, weight: float) -> float:
    """Return a rendezvous score; the highest wins a part equal to its weight."""
    digest = blake2b(f"{key}\n{name}".encode(), digest_size=8).digest()
    uniform = (int.from_bytes(digest, "big") + 0.5) / HASH_SPACE
    return -max(weight, MIN_WEIGHT) / math.log(uniform)


def region_shares(
    home: RegionName, slots: Mapping[RegionName, int], regions: Iterable[RegionName]
) -> dict[RegionName, float]:
    """Divide a region's requests over regions: its own first, then free room.

    Assumes that clients come evenly from all regions, so that every gateway of a
    region finds the same shares without a message.
    """
    names = sorted(set(regions) | set(slots))
    total = sum(slots.values())
    if not total:
        return {}
    demand = total / len(names)
    own = min(demand, slots.get(home, 0))
    room = {name: max(0.0, slots.get(name, 0) - demand) for name in names}
    room[home] = 0.0
    free = sum(room.values())
    shares = dict.fromkeys(names, 0.0)
    shares[home] = own / demand
    if free:
        for name in names:
            shares[name] += (1 - own / demand) * room[name] / free
    return shares


def rendezvous_order(
    key: str, instances: Iterable[Instance], shares: Mapping[RegionName, float]
) -> list[Instance]:
    """Return backend servers in the order in which an object prefers them.

    Addresses are hashed, so that a restarted backend server gets its objects back.
    """
    servers = list(instances)
    slots: dict[RegionName, int] = {}
    for item in servers:
        slots[item.region] = slots.get(item.region, 0) + max(1, item.slots)

    def rate(item: Instance) -> float:
        share = shares.get(item.region, 0.0)
        weight = share * max(1, item.slots) / slots[item.region]
        return rendezvous_score(key, item.endpoint, weight)

    return sorted(servers, key=rate, reverse=True)
