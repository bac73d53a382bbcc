"""Match requests to routes, and split the traffic of a route over its services."""

from __future__ import annotations

import math
import sys
from bisect import bisect_left
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ...core.ids import KeyDigest
    from ...core.ids import RouteName
    from ...core.ids import ServiceName
    from ...text.routing import Organisation
    from ...text.routing import Route
    from ...text.routing import RoutedService
    from ...text.routing import Routing


LARGE_WEIGHT_BITS = 64
"""Bits by which weights are reduced that are too large to be added."""

LARGE_WEIGHT = math.ldexp(sys.float_info.max, -LARGE_WEIGHT_BITS)
"""Sum of weights from which they are reduced."""


class RouteIndex:
    """Look up routes by host and longest path prefix."""

    def __init__(self, routing: Routing) -> None:
        self.routing = routing
        self._by_host: dict[str, dict[str, Route]] = {}
        self.services: dict[ServiceName, RoutedService] = {
            service.name: service for service in routing.services
        }
        self.routed_services = frozenset(
            target.service for route in routing.routes for target in route.targets
        )
        organisations = routing.listed_organisations
        self.limits_organisations = any(item.is_limited for item in organisations)
        self._ranks = sorted(
            {route.rank for route in routing.routes}
            | {item.rank for item in organisations if item.rank is not None}
        )
        self.requires_keys = routing.organisations is not None
        """Whether requests need API keys; so it is if the list is empty, too."""
        self._by_digest: dict[KeyDigest, Organisation] = {
            digest: organisation
            for organisation in organisations
            for digest in organisation.key_digests
        }
        for route in routing.routes:
            self._by_host.setdefault(route.host.lower(), {})[route.prefix] = route

    def count_more_urgent(self, rank: int) -> int:
        """Return how many ranks in the routing table are more urgent than this one."""
        return bisect_left(self._ranks, rank)

    def find_organisation(self, digest: KeyDigest) -> Organisation | None:
        """Return the organisation that has an API key with this digest, or None."""
        return self._by_digest.get(digest)

    def find(self, host: str, target: str) -> Route | None:
        """Return the route that matches a host and target, or None."""
        routes = self._by_host.get(_bare_host(host))
        if routes is None:
            return None
        path = target.partition("?")[0]
        while path:
            path = path[: path.rfind("/") + 1]
            route = routes.get(path)
            if route is not None:
                return route
            path = path[:-1]
        return None


def _bare_host(host: str) -> str:
    name, colon, port = host.rpartition(":")
    return (name if colon and port.isdecimal() else host).lower()


@dataclass
class TrafficSplit:
    """Split the requests of one route by smooth weighted round robin."""

    current: dict[ServiceName, float] = field(default_factory=dict)
    """Current weight of each service."""

    def next(self, route: Route) -> ServiceName:
        """Return the service of the next request."""
        targets = route.targets
        weights = _summable([target.weight for target in targets])
        total = sum(weights)
        if len(targets) == 1 or total <= 0:
            return targets[0].service
        for target, weight in zip(targets, weights, strict=True):
            credit = self.current.get(target.service, 0.0)
            self.current[target.service] = credit + weight
        due = max(targets, key=lambda target: self.current[target.service]).service
        self.current[due] -= total
        return due


def _summable(weights: list[float]) -> list[float]:
    """Return weights of the same ratio whose sum is far below the largest float."""
    if sum(weights) < LARGE_WEIGHT:
        return weights
    return [math.ldexp(weight, -LARGE_WEIGHT_BITS) for weight in weights]


class TrafficSplits:
    """Store one traffic split for each route of a routing table."""

    def __init__(self) -> None:
        self._splits: dict[RouteName, TrafficSplit] = {}

    def next(self, route: Route) -> ServiceName:
        """Return the service of a route's next request."""
        return self._splits.setdefault(route.name, TrafficSplit()).next(route)
