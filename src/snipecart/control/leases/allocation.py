"""Divide slots and links among entry processes by demand and place."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from ...core.ids import EndpointId
    from ...core.ids import MemberId
    from ...core.ids import RegionName
    from ...core.ids import ServiceName
    from ...core.ids import ZoneName
    from ...messages.members import Announcement
    from ...messages.members import Member
    from ...text.model import Text

IDLE_WEIGHT = 1.0
"""Slots an entry process is taken to want besides its demand."""

HEADROOM = 1.25
"""Slots a region keeps for itself for each one its own callers use."""

SOME = 0.3
"""Slots wanted from which a member gets one, if there are enough."""

KEEP = 1.5
"""Slots that a member's share may be off before it is changed."""

KBIT_PER_MBIT = 1000


@dataclass(frozen=True)
class MemberDemand:
    """Describe an entry process that wants slots of one service."""

    member: MemberId
    region: RegionName
    zone: ZoneName
    demand: float


def slot_resource(endpoint: EndpointId) -> str:
    """Name the slots of a backend server as a resource."""
    return f"slots/{endpoint}"


def link_resource(source: RegionName, target: RegionName) -> str:
    """Name the link between two regions as a resource, in kbit/s."""
    return f"link/{source}>{target}"


def allocate_links(text: Text, members: list[Member]) -> dict[MemberId, dict[str, int]]:
    """Divide each link evenly among the entry processes at its source."""
    targets: dict[MemberId, dict[str, int]] = defaultdict(dict)
    for link in text.links:
        local = [member for member in members if member.region == link.source]
        resource = link_resource(link.source, link.target)
        cap = link.mbit_per_s * KBIT_PER_MBIT
        for member in local:
            targets[member.member][resource] = cap // len(local)
    return targets


def link_caps(text: Text) -> dict[str, int]:
    """Return each link's cap in kbit/s."""
    return {
        link_resource(link.source, link.target): link.mbit_per_s * KBIT_PER_MBIT
        for link in text.links
    }


def allocate_slots(
    endpoints: list[Announcement],
    claimants: list[MemberDemand],
    current: dict[MemberId, dict[EndpointId, int]],
) -> dict[MemberId, dict[EndpointId, int]]:
    """Divide one service's slots: by region, then member, then endpoint."""
    if not claimants:
        return {}
    targets: dict[MemberId, dict[EndpointId, int]] = defaultdict(dict)
    by_region: dict[RegionName, list[Announcement]] = defaultdict(list)
    for endpoint in sorted(endpoints, key=lambda item: item.endpoint):
        by_region[endpoint.region].append(endpoint)
    wants = _regional_wants(by_region, claimants)
    for region, local in by_region.items():
        names = {item.endpoint for item in local}
        held = {
            member: sum(
                count
                for endpoint, count in current.get(member, {}).items()
                if endpoint in names
            )
            for member in wants[region]
        }
        quotas = _round(wants[region], held, sum(item.slots for item in local))
        zones = {claimant.member: claimant.zone for claimant in claimants}
        for member, dealt in _deal(local, quotas, zones, current).items():
            targets[member].update(dealt)
    return targets


def _regional_wants(
    by_region: dict[RegionName, list[Announcement]], claimants: list[MemberDemand]
) -> dict[RegionName, dict[MemberId, float]]:
    """Return the slots of each region that each member should have."""
    slots = {
        region: sum(item.slots for item in local) for region, local in by_region.items()
    }
    weights = {item.member: item.demand + IDLE_WEIGHT for item in claimants}
    local_need: dict[RegionName, float] = defaultdict(float)
    for item in claimants:
        local_need[item.region] += weights[item.member] * HEADROOM
    spare = {
        region: max(0.0, count - local_need[region]) for region, count in slots.items()
    }
    lack = {
        region: max(0.0, need / HEADROOM - slots.get(region, 0))
        for region, need in local_need.items()
    }
    all_spare, all_lack = sum(spare.values()), sum(lack.values())
    moved = min(1.0, all_lack / all_spare) if all_spare else 0.0
    wants: dict[RegionName, dict[MemberId, float]] = {}
    for region, count in slots.items():
        given = spare[region] * moved if local_need[region] else float(count)
        wants[region] = {}
        for item in claimants:
            share = weights[item.member] * HEADROOM / local_need[item.region]
            if item.region == region:
                wants[region][item.member] = (count - given) * share
            elif all_lack:
                part = lack[item.region] / all_lack
                wants[region][item.member] = given * part * share
            elif not local_need[region]:
                total = sum(weights.values())
                wants[region][item.member] = given * weights[item.member] / total
    return wants


def _round(
    wants: dict[MemberId, float], held: dict[MemberId, int], total: int
) -> dict[MemberId, int]:
    """Round to whole slots within a total, and keep what is held nearly right.

    A slot on its way between two members serves neither for two heartbeats.
    """
    quotas = {
        member: held[member]
        if held[member] and abs(want - held[member]) < KEEP
        else max(round(want), int(want > SOME))
        for member, want in wants.items()
    }
    surplus = sum(quotas.values()) - min(total, round(sum(wants.values())))
    while surplus:
        step = -1 if surplus > 0 else 1
        most = max(
            sorted(wants),
            key=lambda member: (
                quotas[member] > 1 or step > 0,
                (wants[member] - quotas[member]) * step,
            ),
        )
        quotas[most] += step
        surplus += step
    return quotas


def _deal(
    endpoints: list[Announcement],
    quotas: dict[MemberId, int],
    zones: dict[MemberId, ZoneName],
    current: dict[MemberId, dict[EndpointId, int]],
) -> dict[MemberId, dict[EndpointId, int]]:
    """Deal whole slots, keeping what members hold, same zone next."""
    free = {item.endpoint: item.slots for item in endpoints}
    left = dict(quotas)
    dealt: dict[MemberId, dict[EndpointId, int]] = defaultdict(dict)

    def give(member: MemberId, endpoint: EndpointId, count: int) -> None:
        if count > 0:
            dealt[member][endpoint] = dealt[member].get(endpoint, 0) + count
            free[endpoint] -= count
            left[member] -= count

    for member in sorted(left):
        for endpoint, held in sorted(current.get(member, {}).items()):
            kept = min(held, free.get(endpoint, 0), left[member])
            give(member, endpoint, kept)
    for same_zone in (True, False):
        _deal_free(
            endpoints, quotas, left, free, dealt, zones, give, same_zone=same_zone
        )
    return dealt


def _deal_free(
    endpoints: list[Announcement],
    quotas: dict[MemberId, int],
    left: dict[MemberId, int],
    free: dict[EndpointId, int],
    dealt: dict[MemberId, dict[EndpointId, int]],
    zones: dict[MemberId, ZoneName],
    give: Callable[[MemberId, EndpointId, int], None],
    *,
    same_zone: bool,
) -> None:
    """Deal single slots in turn, from the freest endpoint first.

    No more than half a member's slots stand on one endpoint of its own zone, so that
    it can do without it.
    """
    dealt_one = True
    while dealt_one:
        dealt_one = False
        for member in sorted(left):
            if left[member] <= 0:
                continue
            most = max(1, quotas[member] // 2)
            choices = [
                item
                for item in endpoints
                if free[item.endpoint] > 0
                and (
                    not same_zone
                    or item.zone == zones[member]
                    and dealt[member].get(item.endpoint, 0) < most
                )
            ]
            if choices:
                best = max(
                    choices, key=lambda item: (free[item.endpoint], item.endpoint)
                )
                give(member, best.endpoint, 1)
                dealt_one = True


def slots_by_service(
    endpoints: list[Announcement],
) -> dict[ServiceName, list[Announcement]]:
    """Group backend servers by their service."""
    groups: dict[ServiceName, list[Announcement]] = defaultdict(list)
    for endpoint in endpoints:
        groups[endpoint.service].append(endpoint)
    return groups
