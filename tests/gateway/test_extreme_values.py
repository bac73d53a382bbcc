"""Test that a gateway serves by numbers that its arithmetic can hardly hold."""

from __future__ import annotations

import pytest

from tests.gateway.world import Gateway
from tests.gateway.world import make_instance
from tests.gateway.world import make_route
from tests.gateway.world import make_routing


def count_queued(rank):
    """Return how many requests queue at a server, beside a route of rank 0."""
    routing = make_routing(make_route(rank=0), make_route("bulk", rank=rank))
    gateway = Gateway(routing).add_instances(make_instance(1, slots=1))
    gateway.state.usual_times["bulk"] = 0.02
    for count in range(100):
        if gateway.select(gateway.request("/bulk/x")) == "server_saturated":
            return count
    return None


@pytest.mark.parametrize("rank", [2, 10**6, 10**400])
def test_a_rank_orders_routes_however_far_it_is_from_the_others(rank):
    """Guards against a gateway that ends with the first request that has to wait."""
    assert count_queued(rank) == count_queued(1) < count_queued(0)
