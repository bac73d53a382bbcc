"""Allocate slots and links to entry processes by demand and location."""

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

BASE_DEMAND = 1.0
"""Slots added to each entry process's demand, so that an idle one gets some."""

HEADROOM_FACTOR = 1.25
"""Slots that a region reserves for each slot that its own callers demand."""

MIN_WANTED_SLOTS = 0.3
"""Number of wanted slots above which a member gets at least one, if possible."""

SLOT_TOLERANCE = 1.5
"""Slots by which a member's share may differ from its target before it changes."""

KBIT_PER_MBIT = 1000


@dataclass(frozen=True)
class MemberDemand:
    """Describe an entry process and its demand for slots of one service."""

    member: MemberId
    region: RegionName
    zone: ZoneName
    demand: float


def slot_resource(endpoint: EndpointId) -> str:
    """Return the resource name of a backend server's slots."""
    return f"slots/{endpoint}"


def link_resource(source: RegionName, target: RegionName) -> str:
    """Return the resource name of a link between two regions, counted in kbit/s."""
    return f"link/{source}>{target}"


def allocate_links(text: Text, members: list[Member]) -> dict[MemberId, dict[str, int]]:
    """Allocate each link evenly to the entry processes in its source region."""
    targets: dict[MemberId, dict[str, int]] = defaultdict(dict)
    for link in text.links:
        local = [member for member in members if member.region == link.source]
        resource = link_resource(link.source, link.target)
        cap = link.mbit_per_s * KBIT_PER_MBIT
        for member in local:
            targets[member.member][resource] = cap // len(local)
    return targets


def link_caps(text: Text) -> dict[str, int]:
    """Return the capacity of each link in kbit/s."""
    return {
        link_resource(link.source, link.target): link.mbit_per_s * KBIT_PER_MBIT
        for link in text.links
    }


def allocate_slots(
    endpoints: list[Announcement],
    member_demands: list[MemberDemand],
    current: dict[MemberId, dict[EndpointId, int]],
) -> dict[MemberId, dict[EndpointId, int]]:
    """Allocate one service's slots by region, then member, then endpoint."""
    if not member_demands:
        return {}
    targets: dict[MemberId, dict[EndpointId, int]] = defaultdict(dict)
    by_region: dict[RegionName, list[Announcement]] = defaultdict(list)
    for endpoint in sorted(endpoints, key=lambda item: item.endpoint):
        by_region[endpoint.region].append(endpoint)
    wanted = _wanted_slots_by_region(by_region, member_demands)
    for region, local in by_region.items():
        endpoint_ids = {item.endpoint for item in local}
        current_totals = {
            member: sum(
                count
                for endpoint, count in current.get(member, {}).items()
                if endpoint in endpoint_ids
            )
            for member in wanted[region]
        }
        quotas = _round_to_slots(
            wanted[region], current_totals, sum(item.slots for item in local)
        )
        zones = {item.member: item.zone for item in member_demands}
        for member, assigned in _assign_slots(local, quotas, zones, current).items():
            targets[member].update(assigned)
    return targets


def _wanted_slots_by_region(
    by_region: dict[RegionName, list[Announcement]], member_demands: list[MemberDemand]
) -> dict[RegionName, dict[MemberId, float]]:
    """Return how many slots of each region each member should have.

    A region lends spare slots to regions that lack some, in proportion to their need.
    A region without members lends all its slots, by weight if no region lacks any.
    """
    slots = {
        region: sum(item.slots for item in local) for region, local in by_region.items()
    }
    weights = {item.member: item.demand + BASE_DEMAND for item in member_demands}
    local_need: dict[RegionName, float] = defaultdict(float)
    for item in member_demands:
        local_need[item.region] += weights[item.member] * HEADROOM_FACTOR
    spare = {
        region: max(0.0, count - local_need[region]) for region, count in slots.items()
    }
    shortage = {
        region: max(0.0, need / HEADROOM_FACTOR - slots.get(region, 0))
        for region, need in local_need.items()
    }
    total_spare, total_shortage = sum(spare.values()), sum(shortage.values())
    lent_fraction = min(1.0, total_shortage / total_spare) if total_spare else 0.0
    wanted: dict[RegionName, dict[MemberId, float]] = {}
    for region, count in slots.items():
        lent = spare[region] * lent_fraction if local_need[region] else float(count)
        wanted[region] = {}
        for item in member_demands:
            share = weights[item.member] * HEADROOM_FACTOR / local_need[item.region]
            if item.region == region:
                wanted[region][item.member] = (count - lent) * share
            elif total_shortage:
                part = shortage[item.region] / total_shortage
                wanted[region][item.member] = lent * part * share
            elif not local_need[region]:
                total = sum(weights.values())
                wanted[region][item.member] = lent * weights[item.member] / total
    return wanted


def _round_to_slots(
    wanted: dict[MemberId, float], current: dict[MemberId, int], total: int
) -> dict[MemberId, int]:
    """Round to whole slots within a total, and keep shares close to the wanted ones.

    A slot that moves between two members serves neither for two heartbeats.
    """
    quotas = {
        member: current[member]
        if current[member] and abs(want - current[member]) < SLOT_TOLERANCE
        else max(round(want), int(want > MIN_WANTED_SLOTS))
        for member, want in wanted.items()
    }
    surplus = sum(quotas.values()) - min(total, round(sum(wanted.values())))
    while surplus:
        step = -1 if surplus > 0 else 1
        adjusted = max(
            sorted(wanted),
            key=lambda member: (
                quotas[member] > 1 or step > 0,
                (wanted[member] - quotas[member]) * step,
            ),
        )
        quotas[adjusted] += step
        surplus += step
    return quotas


def _assign_slots(
    endpoints: list[Announcement],
    quotas: dict[MemberId, int],
    zones: dict[MemberId, ZoneName],
    current: dict[MemberId, dict[EndpointId, int]],
) -> dict[MemberId, dict[EndpointId, int]]:
    """Assign whole slots to members.

    Members keep the slots they have, then get free ones of their own zone, then any.
    """
    free = {item.endpoint: item.slots for item in endpoints}
    remaining = dict(quotas)
    assigned: dict[MemberId, dict[EndpointId, int]] = defaultdict(dict)

    def assign(member: MemberId, endpoint: EndpointId, count: int) -> None:
        if count > 0:
            assigned[member][endpoint] = assigned[member].get(endpoint, 0) + count
            free[endpoint] -= count
            remaining[member] -= count

    for member in sorted(remaining):
        for endpoint, count in sorted(current.get(member, {}).items()):
            amount = min(count, free.get(endpoint, 0), remaining[member])
            assign(member, endpoint, amount)
    for same_zone in (True, False):
        _assign_free_slots(
            endpoints,
            quotas,
            remaining,
            free,
            assigned,
            zones,
            assign,
            same_zone=same_zone,
        )
    return assigned


def _assign_free_slots(
    endpoints: list[Announcement],
    quotas: dict[MemberId, int],
    remaining: dict[MemberId, int],
    free: dict[EndpointId, int],
    assigned: dict[MemberId, dict[EndpointId, int]],
    zones: dict[MemberId, ZoneName],
    assign: Callable[[MemberId, EndpointId, int], None],
    *,
    same_zone: bool,
) -> None:
    """Assign single slots round-robin, from the endpoint with most free slots first.

    At most half of a member's slots come from one endpoint of its own zone, so that
    the member can lose that endpoint.
    """
    has_progress = True
    while has_progress:
        has_progress = False
        for member in sorted(remaining):
            if remaining[member] <= 0:
                continue
            limit = max(1, quotas[member] // 2)
            choices = [
                item
                for item in endpoints
                if free[item.endpoint] > 0
                and (
                    not same_zone
                    or item.zone == zones[member]
                    and assigned[member].get(item.endpoint, 0) < limit
                )
            ]
            if choices:
                best = max(
                    choices, key=lambda item: (free[item.endpoint], item.endpoint)
                )
                assign(member, best.endpoint, 1)
                has_progress = True


def group_by_service(
    endpoints: list[Announcement],
) -> dict[ServiceName, list[Announcement]]:
    """Group backend servers by service."""
    groups: dict[ServiceName, list[Announcement]] = defaultdict(list)
    for endpoint in endpoints:
        groups[endpoint.service].append(endpoint)
    return groups
