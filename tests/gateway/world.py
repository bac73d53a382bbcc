"""Build routing tables, backend servers, requests and gateway states for tests."""

from __future__ import annotations

from dataclasses import replace

from snipecart.core.ids import Instant
from snipecart.core.states import EndpointState
from snipecart.core.states import SendOutcome
from snipecart.gateway.balancing.outcome import record_send
from snipecart.gateway.balancing.routes import RouteIndex
from snipecart.gateway.balancing.selection import select_server
from snipecart.gateway.balancing.state import BalancerState
from snipecart.gateway.balancing.state import Locality
from snipecart.gateway.balancing.state import apply_instance
from snipecart.gateway.request import HttpRequest
from snipecart.gateway.request import RoutedRequest
from snipecart.gateway.request import SendResult
from snipecart.messages.discovery import RATE_LEASE_DURATION
from snipecart.messages.discovery import Instance
from snipecart.text.routing import check_routing

REGIONS = ("north", "south")


def make_route(name="look", service="racks", **overrides):
    """Return a route as it stands in a configuration document."""
    return {
        "name": name,
        "host": "shop.example",
        "prefix": f"/{name}/",
        "targets": [{"service": service, "weight": 1}],
        "idempotent": True,
        "timeout_ms": 1500,
        "target_latency_ms": 400,
        "rank": 1,
        "attempts": 2,
        "affinity": True,
        "regions": [],
        **overrides,
    }


def make_routing(*routes, version=1, cold_per_s=10.0):
    """Return a checked routing table with all services that the routes name."""
    names = {target["service"] for route in routes for target in route["targets"]}
    document = {
        "version": version,
        "routes": list(routes),
        "services": [
            {
                "name": name,
                "health_path": "/health",
                "max_connections": 100,
                "cold_ms": 3000,
                "cold_per_s": cold_per_s,
            }
            for name in sorted(names)
        ],
    }
    return check_routing(document).ok


def make_instance(number, region="north", service="racks", **overrides):
    """Return a backend server."""
    instance = Instance(
        f"i-{service}-{number}",
        f"10.0.{len(service)}.{number}:80",
        service,
        region,
        f"{region}-a",
        4,
        EndpointState.SERVING,
        1,
        1000 + number,
        0,
    )
    return replace(instance, **overrides)


class Gateway:
    """Drive the load balancing decisions of one gateway with its own clock."""

    def __init__(self, routing, region="north", **overrides):
        self.now = Instant(100.0)
        self.state = BalancerState(
            Locality(region, f"{region}-a", REGIONS), **overrides
        )
        self.state.index = RouteIndex(routing)
        self.count = 0

    def add_instances(self, *instances):
        """Add or update backend servers."""
        for instance in instances:
            apply_instance(self.state, instance, self.now)
        return self

    def lease(self, instance, share=1.0):
        """Lease the gateway a share of the rate of a backend server."""
        leases = self.state.rate_leases
        leases.shares[(instance.instance, instance.born)] = share
        leases.until = Instant(self.now + RATE_LEASE_DURATION)
        return self

    def request(self, path="/look/x", key="7", wait_ms=0):
        """Return a routed request."""
        self.count += 1
        req = HttpRequest(
            "GET", path, "shop.example", (), b"", f"r{self.count}", key, wait_ms, 0.0
        )
        route = self.state.index.find(req.host, req.target)
        deadline = Instant(self.now + (wait_ms or route.timeout_ms) / 1000)
        return RoutedRequest(req, route, 1, deadline)

    def select(self, routed=None, tried=()):
        """Return the destination of a request, or the reason of its rejection."""
        routed = routed or self.request()
        service = self.state.traffic_splits.next(routed.route)
        selection = select_server(
            self.state, routed, service, frozenset(tried), self.now
        )
        return selection.ok if selection.is_ok() else selection.error.reason

    def end(
        self, routed, destination, end=SendOutcome.ANSWERED, seconds=0.2, load=None
    ):
        """Record how a send ended."""
        record_send(
            self.state,
            routed,
            destination,
            SendResult(end, seconds, None, load),
            self.now,
        )
