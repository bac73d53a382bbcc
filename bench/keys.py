"""Measure the decision by API key, for tables of several sizes.

Target: under 20 us for each decision of a gateway, at 84 and at 10,000 organisations.
"""

from __future__ import annotations

import statistics
import time
import tracemalloc
from random import Random
from types import SimpleNamespace

from tests.gateway.world import make_route
from tests.gateway.world import make_routing

from snipecart.core.ids import Instant
from snipecart.core.task import monotonic
from snipecart.gateway.authentication import check_key
from snipecart.gateway.authentication import read_key
from snipecart.gateway.balancing.routes import RouteIndex
from snipecart.gateway.balancing.view import View
from snipecart.gateway.key_lease import KeyLease
from snipecart.gateway.key_lease import TableProof
from snipecart.gateway.pipeline import GatewayContext
from snipecart.gateway.request import HttpRequest
from snipecart.gateway.request import RoutedRequest
from snipecart.text.routing import Route
from snipecart.text.routing import check_routing
from snipecart.text.routing import digest_key

SIZES = (84, 10_000)
"""Numbers of organisations in the routing table."""

KEYS_PER_ORGANISATION = 2
DECISIONS = 500
"""Decisions in a round; requests in progress at a busy gateway are not more."""

ROUNDS = 99
"""Rounds whose median is printed."""

HEADERS = tuple((f"X-Header-{at}", "value") for at in range(8))
LEASE_SECONDS = 3600.0
MICROSECONDS = 1e6
BYTES_PER_MB = 1_000_000


def make_index(count: int) -> RouteIndex:
    """Return the index of a table with some number of organisations."""
    document = make_routing(make_route()).model_dump()
    document["organisations"] = [
        {
            "name": f"org-{at}",
            "key_digests": [
                digest_key(make_key(at, number).encode())
                for number in range(KEYS_PER_ORGANISATION)
            ],
            "rank": at % 3,
        }
        for at in range(count)
    ]
    return RouteIndex(check_routing(document).ok)


def make_key(at: int, number: int) -> str:
    """Return one of the keys of an organisation."""
    return f"sk-{at:08d}-{number:024d}"


def time_decisions(ctx: GatewayContext, values: list[str]) -> tuple[float, float]:
    """Return the processor time of a decision and of the check before a send, in us.

    The decision includes reading the key, and the headers to forward.
    """
    route = ctx.balancer.view.index.routing.routes[0]
    requests = [make_request(route, value) for value in values]
    started_at = time.thread_time()
    identified = []
    for value, request in zip(values, requests, strict=True):
        read_key(value)
        identified.append(check_key(ctx, request, monotonic()).ok)
    decided_at = time.thread_time()
    for request in identified:
        check_key(ctx, request, monotonic())
    checked_at = time.thread_time()
    per_request = MICROSECONDS / len(values)
    return (
        (decided_at - started_at) * per_request,
        (checked_at - decided_at) * per_request,
    )


def make_request(route: Route, value: str) -> RoutedRequest:
    """Return a request with a key and some other headers."""
    headers = (*HEADERS, ("Authorization", value))
    key = read_key(value)
    req = HttpRequest("GET", "/", "h", headers, b"", "r", "", 0, Instant(0.0), key=key)
    return RoutedRequest(req, route, 1, Instant(0.0))


def make_values(rng: Random, count: int) -> list[str]:
    """Return header values with keys of random organisations."""
    return [
        f"Bearer {make_key(rng.randrange(count), rng.randrange(KEYS_PER_ORGANISATION))}"
        for _ in range(DECISIONS)
    ]


def main() -> None:
    """Print a row for each number of organisations."""
    print("| organisations | decision, us | check before a send, us | table, MB |")
    for count in SIZES:
        tracemalloc.start()
        index = make_index(count)
        size = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        lease = KeyLease(LEASE_SECONDS)
        lease.proof = TableProof(index.routing.version, monotonic())
        balancer = SimpleNamespace(view=View(index=index))
        ctx = GatewayContext(balancer, SimpleNamespace(), Random(1), lease=lease)
        rng = Random(7)
        rounds = [time_decisions(ctx, make_values(rng, count)) for _ in range(ROUNDS)]
        decision, check = (
            statistics.median(column) for column in zip(*rounds, strict=True)
        )
        print(f"| {count} | {decision:.1f} | {check:.1f} | {size / BYTES_PER_MB:.1f} |")


if __name__ == "__main__":
    main()
