"""Divide the requests of a region among the regions that have backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from .ids import RegionName

MIN_DEMAND = 1e-6
"""Least demand of a region, in slots, so that its requests can be divided."""


def region_shares(
    home: RegionName,
    slots: Mapping[RegionName, int],
    regions: Iterable[RegionName],
    demand_parts: Mapping[RegionName, float] | None = None,
) -> dict[RegionName, float]:
    """Return the fraction of a region's requests that each region should serve.

    A region serves its own requests first; the rest goes to regions in proportion to
    their spare slots. Without ``demand_parts``, assumes that all regions have the same
    demand, so that every gateway of a region computes the same shares without
    coordination.
    """
    names = sorted(set(regions) | set(slots))
    total = sum(slots.values())
    if not total:
        return {}
    demand = dict.fromkeys(names, total / len(names))
    parts_total = sum(demand_parts.values()) if demand_parts else 0.0
    if demand_parts and parts_total:
        demand = {
            name: total * demand_parts.get(name, 0.0) / parts_total for name in names
        }
    own_demand = max(demand[home], MIN_DEMAND)
    local_load = min(own_demand, slots.get(home, 0))
    spare = {name: max(0.0, slots.get(name, 0) - demand[name]) for name in names}
    spare[home] = 0.0
    total_spare = sum(spare.values())
    shares = dict.fromkeys(names, 0.0)
    shares[home] = local_load / own_demand
    if total_spare:
        for name in names:
            shares[name] += (1 - local_load / own_demand) * spare[name] / total_spare
    return shares
