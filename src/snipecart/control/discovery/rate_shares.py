"""Choose the gateways that may send to a backend server that limits its rate.

The limit holds for the sum over all gateways. An even split would leave a gateway of a
large fleet less than one request in a whole cold period, and one request of each at
once would already be too many. So a few gateways share the rate of a server, and all
others send it nothing.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from heapq import nlargest
from typing import TYPE_CHECKING

from ...core.rendezvous import rendezvous_score
from ...core.states import MemberState
from ...messages.discovery import RateShare

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ...core.ids import InstanceId
    from ...core.ids import RegionName
    from ...core.ids import VmName
    from ...messages.discovery import Instance
    from .gateways import RegisteredGateway

MAX_SHARERS = 4
"""Gateways that share the rate of one server.

Each may send one request at once, so this also bounds the burst of a server. It is
more than one, so that a server is still used while one of them has failed.
"""


@dataclass
class RateShares:
    """Divide the rate of each rate-limited server among a few gateways.

    Gateways are chosen by rendezvous hashing, and get shares in proportion to their
    requests. Control processes that know the same gateways choose the same, and a
    gateway that starts or fails changes at most one of a server's. They are hashed by
    their VMs, so that a restart changes none.
    """

    by_vm: dict[VmName, list[RateShare]] = field(default_factory=dict)
    """Shares of each gateway, as of the latest update."""
    _scores: dict[InstanceId, dict[VmName, float]] = field(default_factory=dict)
    """Scores of gateways for the servers of the latest update, before weighting."""

    def update(
        self, limited: Iterable[Instance], live: Iterable[RegisteredGateway]
    ) -> None:
        """Divide the rates of all rate-limited servers among the live gateways.

        Gateways of a server's own region come first, as their requests prefer it.
        """
        gateways = [
            item for item in live if item.gateway.state is not MemberState.LEAVING
        ]
        by_region: dict[RegionName, list[RegisteredGateway]] = {}
        for item in gateways:
            by_region.setdefault(item.gateway.region, []).append(item)
        before, self._scores, self.by_vm = self._scores, {}, {}
        for server in limited:
            self._scores[server.instance] = before.get(server.instance, {})
            sharers = self._choose(server, by_region.get(server.region, []))
            if len(sharers) < MAX_SHARERS:
                others = [item for item in gateways if item not in sharers]
                sharers += self._choose(server, others)[: MAX_SHARERS - len(sharers)]
            self._divide(server, sharers)

    def _choose(
        self, server: Instance, gateways: list[RegisteredGateway]
    ) -> list[RegisteredGateway]:
        """Return the gateways with the highest scores, weighted by their requests."""
        scores = self._scores[server.instance]

        def score(item: RegisteredGateway) -> float:
            vm = item.gateway.vm
            if vm not in scores:
                scores[vm] = rendezvous_score(server.instance, vm, 1.0)
            return scores[vm] * item.requests_per_s

        return nlargest(MAX_SHARERS, gateways, key=score)

    def _divide(self, server: Instance, sharers: list[RegisteredGateway]) -> None:
        """Give each sharer its part of a server's rate."""
        total = sum(item.requests_per_s for item in sharers)
        for item in sharers:
            share = item.requests_per_s / total
            self.by_vm.setdefault(item.gateway.vm, []).append(
                RateShare(server.instance, server.born, share)
            )
