"""Choose the gateways that may send to a backend server that limits its rate.

The limit holds for the sum over all gateways. An even split would leave a gateway of a
large fleet less than one request in a whole cold period, and one request of each at
once would already be too many. So a few gateways share the rate of a server, and all
others send it nothing.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from functools import cache
from heapq import nlargest
from typing import TYPE_CHECKING

from ...core.region_shares import region_shares
from ...core.rendezvous import rendezvous_score
from ...core.states import MemberState
from ...messages.discovery import RateShare

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from ...core.ids import InstanceId
    from ...core.ids import RegionName
    from ...core.ids import ServiceName
    from ...core.ids import VmName
    from ...messages.discovery import Instance
    from .gateways import RegisteredGateway

MAX_SHARERS = 4
"""Gateways that share the rate of one server.

Each may send one request at once, so this also bounds the burst of a server. It is
more than one, so that a server is still used while one of them has failed.
"""


MIN_REGION_SHARE = 0.01
"""Weight of a gateway whose region sends nothing to the region of a server.

More than zero, so that a server is used whose own region has no gateway left.
"""


@dataclass
class RateShares:
    """Divide the rate of each rate-limited server among a few gateways.

    Gateways are chosen by weighted rendezvous hashing, and get shares in proportion to
    the requests that they would send to a server. Control processes that know the same
    gateways and servers choose the same. A gateway that starts or fails changes at most
    one sharer of a server. Gateways are hashed by their VMs, so a restart changes none.
    """

    by_vm: dict[VmName, list[RateShare]] = field(default_factory=dict)
    """Shares of each gateway, as of the latest update."""
    _scores: dict[InstanceId, dict[VmName, float]] = field(default_factory=dict)
    """Scores of gateways for the servers of the latest update, before weighting."""

    def update(
        self,
        limited: Iterable[Instance],
        servers: Iterable[Instance],
        live: Iterable[RegisteredGateway],
    ) -> None:
        """Divide the rates of the limited servers among the live gateways."""
        gateways = [
            item for item in live if item.gateway.state is not MemberState.LEAVING
        ]
        before, self._scores, self.by_vm = self._scores, {}, {}
        limited = list(limited)
        if not limited:
            return
        shares = _shares_of_regions(servers, gateways)
        for server in limited:
            self._scores[server.instance] = before.get(server.instance, {})
            weights = {
                item.gateway.vm: item.requests_per_s
                * max(
                    MIN_REGION_SHARE,
                    shares(server.service, item.gateway.region).get(server.region, 0.0),
                )
                for item in gateways
            }
            self._divide(server, self._choose(server, weights), weights)

    def _choose(self, server: Instance, weights: dict[VmName, float]) -> list[VmName]:
        """Return the VMs with the highest weighted scores for a server."""
        scores = self._scores[server.instance]

        def score(vm: VmName) -> float:
            if vm not in scores:
                scores[vm] = rendezvous_score(server.instance, vm, 1.0)
            return scores[vm] * weights[vm]

        return nlargest(MAX_SHARERS, weights, key=score)

    def _divide(
        self, server: Instance, sharers: list[VmName], weights: dict[VmName, float]
    ) -> None:
        """Give each sharer its part of a server's rate."""
        total = sum(weights[vm] for vm in sharers)
        for vm in sharers:
            share = RateShare(server.instance, server.born, weights[vm] / total)
            self.by_vm.setdefault(vm, []).append(share)


def _shares_of_regions(
    servers: Iterable[Instance], gateways: Iterable[RegisteredGateway]
) -> Callable[[ServiceName, RegionName], dict[RegionName, float]]:
    """Return the function that divides a region's requests for a service.

    Gateways divide them in the same way.
    """
    slots: dict[ServiceName, dict[RegionName, int]] = {}
    for item in servers:
        by_region = slots.setdefault(item.service, {})
        by_region[item.region] = by_region.get(item.region, 0) + item.slots
    regions = {item.gateway.region for item in gateways}

    @cache
    def shares(service: ServiceName, home: RegionName) -> dict[RegionName, float]:
        return region_shares(home, slots.get(service, {}), regions)

    return shares
