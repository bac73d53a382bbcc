"""Test when refused clients are told to come back."""

from __future__ import annotations

from dataclasses import replace
from random import Random

from snipecart.gateway.pipeline import choose_retry_after
from tests.gateway.world import Gateway
from tests.gateway.world import make_route
from tests.gateway.world import make_routing

REQUEST = Gateway(make_routing(make_route())).request().req


def returns(wait_ms):
    """Return many clients' times to come back."""
    rng = Random(7)
    return [
        choose_retry_after(rng, replace(REQUEST, client_timeout_ms=wait_ms))
        for _ in range(500)
    ]


def test_clients_with_little_time_come_back_soon():
    times = returns(1500)
    assert min(times) >= 0.4
    assert max(times) <= 1.2


def test_clients_with_much_time_are_spread_over_a_quarter_of_it():
    times = returns(8000)
    assert max(times) > 2.0
    assert max(times) <= 2.4
    assert sum(time < 1.4 for time in times) < 300
