"""Choose the gateways that may send to a backend server that limits its rate.

The limit holds for the sum over all gateways. An even split would leave a gateway of a
large fleet less than one request in a whole cold period, and one request of each at
once would already be too many. So a few gateways share the rate of a server, and all
others send it nothing.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from heapq import nlargest
from typing import TYPE_CHECKING

from ...core.region_shares import region_shares
from ...core.registry import Registry
from ...core.rendezvous import rendezvous_score
from ...core.states import MemberState
from ...messages.discovery import RateShare

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ...core.ids import InstanceId
    from ...core.ids import RegionName
    from ...core.ids import ServiceName
    from ...core.ids import VmName
    from ...messages.discovery import Instance
    from .gateways import RegisteredGateway

MAX_HOLDERS = 4
"""Gateways that share the rate of one server.

Each may send one request at once, so this also bounds the burst of a server. It is
more than one, so that a server is still used while one of them has failed.
"""

SHARE_DIGITS = 2
"""Decimal digits to which the parts that regions send to others are rounded.

Rounded parts seldom change, so that most holders stand from one update to the next.
"""

Weights = dict["VmName", float]
"""Requests that each gateway would send to the servers of a service in a region."""

Scores = dict["VmName", float]
"""Rendezvous scores of gateways for one server, before weighting."""

DivisionPolicy = Callable[["Instance", Weights, Scores], Weights]

DIVISION_POLICIES: Registry[str, DivisionPolicy] = Registry("division policies")
"""Policies that choose the gateways of a server and their parts of its rate."""


@dataclass
class RateShares:
    """Divide the rate of each rate-limited server among a few gateways.

    Gateways are chosen by weighted rendezvous hashing, and get shares in proportion to
    the requests that they would send to a server. Control processes that know the same
    gateways and servers choose the same. A gateway that starts or fails changes at most
    one holder of a server. Gateways are hashed by their VMs, so a restart changes none.
    """

    policy: str = "few"
    """Key of a division policy."""
    by_vm: dict[VmName, list[RateShare]] = field(default_factory=dict)
    """Shares of each gateway, as of the latest update."""
    _by_server: dict[InstanceId, dict[VmName, RateShare]] = field(default_factory=dict)
    _weights: dict[tuple[ServiceName, RegionName], Weights] = field(
        default_factory=dict
    )
    _scores: dict[InstanceId, Scores] = field(default_factory=dict)
    """Scores of gateways for the servers of the latest update, before weighting."""

    def update(
        self,
        limited: Iterable[Instance],
        servers: Iterable[Instance],
        live: Iterable[RegisteredGateway],
        planned: frozenset[ServiceName] = frozenset(),
    ) -> None:
        """Divide the rates of the limited servers among the live gateways.

        Gateways of all regions send to the servers of ``planned`` services.
        """
        limited = list(limited)
        before = self._weights
        self._weights = (
            _weigh_gateways(limited, servers, live, planned) if limited else {}
        )
        divided, self._by_server = self._by_server, {}
        scores, self._scores = self._scores, {}
        for server in limited:
            name, place = server.instance, (server.service, server.region)
            self._scores[name] = scores.get(name, {})
            known = divided.get(name)
            is_current = known and all(
                share.born == server.born for share in known.values()
            )
            if not is_current or before.get(place) != self._weights[place]:
                known = self._divide(server, self._weights[place])
            self._by_server[name] = known
        self.by_vm = {}
        for shares in self._by_server.values():
            for vm, share in shares.items():
                self.by_vm.setdefault(vm, []).append(share)

    def _divide(self, server: Instance, weights: Weights) -> dict[VmName, RateShare]:
        """Return the shares of the gateways that the policy chooses for a server."""
        policy = DIVISION_POLICIES.get(self.policy)
        chosen = policy(server, weights, self._scores[server.instance])
        total = sum(chosen.values())
        return {
            vm: RateShare(server.instance, server.born, weight / total)
            for vm, weight in chosen.items()
        }


@DIVISION_POLICIES.register("few")
def divide_among_few(server: Instance, weights: Weights, scores: Scores) -> Weights:
    """Choose the gateways with the highest scores for a server."""

    def score(vm: VmName) -> float:
        if vm not in scores:
            scores[vm] = rendezvous_score(server.instance, vm, 1.0)
        return scores[vm] * weights[vm]

    return {vm: weights[vm] for vm in nlargest(MAX_HOLDERS, weights, key=score)}


@DIVISION_POLICIES.register("even")
def divide_evenly(server: Instance, weights: Weights, scores: Scores) -> Weights:
    """Choose all gateways with the same weight, as a baseline."""
    return dict.fromkeys(weights, 1.0)


@DIVISION_POLICIES.register("by-traffic")
def divide_by_traffic(server: Instance, weights: Weights, scores: Scores) -> Weights:
    """Choose all gateways with the weights of their requests, as a baseline."""
    return weights


def _weigh_gateways(
    limited: Iterable[Instance],
    servers: Iterable[Instance],
    live: Iterable[RegisteredGateway],
    planned: frozenset[ServiceName],
) -> dict[tuple[ServiceName, RegionName], Weights]:
    """Return the weights of gateways for the services and regions of limited servers.

    A region divides its requests for a service in the same way as its gateways do. If
    no region sends requests to the servers, all gateways have a weight.
    """
    gateways = [item for item in live if item.gateway.state is not MemberState.LEAVING]
    regions = sorted({item.gateway.region for item in gateways})
    slots: dict[ServiceName, dict[RegionName, int]] = {}
    for item in servers:
        by_region = slots.setdefault(item.service, {})
        by_region[item.region] = by_region.get(item.region, 0) + item.slots
    weights: dict[tuple[ServiceName, RegionName], Weights] = {}
    for service, region in {(item.service, item.region) for item in limited}:
        by_region = slots.get(service, {})
        parts = {
            home: round(
                region_shares(home, by_region, regions).get(region, 0.0), SHARE_DIGITS
            )
            for home in regions
        }
        if service in planned:
            parts = dict.fromkeys(regions, 1.0)
        weights[(service, region)] = {
            item.gateway.vm: item.requests_per_s * (parts[item.gateway.region] or 1.0)
            for item in gateways
            if parts[item.gateway.region] or not any(parts.values())
        }
    return weights
