"""Test the sum of what all gateways send to a backend server while it is cold."""

from __future__ import annotations

import pytest

from tests.control.rate_simulation import SETTLED_SECONDS
from tests.control.rate_simulation import RateSimulation

OVERAGE = 1.5
"""Factor of its rate up to which a cold server takes requests within a second."""

SLACK = 5
"""Requests beyond that factor which it takes within a second."""

USED = 0.8
"""Fraction of the rate that must be used where callers need it."""

FLEETS = [7, 33, 74, 300, 930]
REQUESTS_PER_GATEWAY = 12
COLD_SECONDS = 6.0
HANDOVER_SECONDS = 1.0
"""Time in which gateways learn of a cold server."""


def make_fleet(monkeypatch, gateways, cold_per_s=2.5, servers=20, seed=1):
    fleet = RateSimulation(monkeypatch, gateways, servers, cold_per_s, seed)
    fleet.run(SETTLED_SECONDS)
    assert fleet.ready_gateways() == gateways
    return fleet


def assert_within_rate(fleet, cold, since=0.0):
    allowed = fleet.cold_per_s * OVERAGE + SLACK
    most = max(fleet.most_in(name, 1.0, since) for name in cold)
    assert most <= allowed


@pytest.mark.parametrize("gateways", FLEETS)
def test_first_requests_of_many_gateways_do_not_flood_a_cold_server(
    monkeypatch, gateways
):
    fleet = make_fleet(monkeypatch, gateways)
    cold = fleet.start_cold(4, COLD_SECONDS)
    fleet.offer(gateways * REQUESTS_PER_GATEWAY, 3.0)
    assert_within_rate(fleet, cold)


@pytest.mark.parametrize(
    ("gateways", "busy"),
    [(7, 1), (7, 10), (33, 10), (74, 1), (74, 10), (300, 10), (930, 10)],
)
def test_the_rate_of_cold_servers_is_used_when_callers_need_it(
    monkeypatch, gateways, busy
):
    fleet = make_fleet(monkeypatch, gateways)
    fleet.busy = busy
    cold = fleet.turn_cold(COLD_SECONDS + 4.0)
    fleet.run(1.6)
    begin = fleet.now
    fleet.offer(gateways * REQUESTS_PER_GATEWAY, COLD_SECONDS)
    assert_within_rate(fleet, cold, begin)
    used = fleet.rate(cold, begin + HANDOVER_SECONDS, begin + COLD_SECONDS)
    assert used >= USED * fleet.cold_per_s


@pytest.mark.parametrize("gateways", [7, 74])
@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("change", ["restart", "add", "kill"])
def test_changes_of_the_fleet_do_not_flood_a_cold_server(
    monkeypatch, gateways, seed, change
):
    fleet = make_fleet(monkeypatch, gateways, cold_per_s=9.7, seed=seed)
    cold = fleet.start_cold(6, 9.0)
    fleet.offer(gateways * REQUESTS_PER_GATEWAY, 2.0)
    if change == "restart":
        fleet.restart(0.5)
    elif change == "add":
        fleet.add_gateways(gateways)
    else:
        fleet.stop_gateways(0.5)
    fleet.offer(gateways * REQUESTS_PER_GATEWAY, 6.0)
    assert_within_rate(fleet, cold)


@pytest.mark.parametrize("gateways", [7, 74])
@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("with_control", [False, True])
def test_a_cut_does_not_flood_a_cold_server(monkeypatch, gateways, seed, with_control):
    fleet = make_fleet(monkeypatch, gateways, cold_per_s=9.7, seed=seed)
    cold = fleet.start_cold(6, 11.0)
    fleet.offer(gateways * REQUESTS_PER_GATEWAY, 2.0)
    cut = {f"vm{at}" for at in range(0, gateways, 2)}
    if with_control:
        cut.add("c0")
    fleet.cuts.append(cut)
    fleet.offer(gateways * REQUESTS_PER_GATEWAY, 5.0)
    fleet.cuts.clear()
    fleet.offer(gateways * REQUESTS_PER_GATEWAY, 3.0)
    assert_within_rate(fleet, cold)


@pytest.mark.parametrize("policy", ["even", "by-traffic"])
def test_a_burst_of_each_gateway_is_detected(monkeypatch, policy):
    fleet = make_fleet(monkeypatch, 33)
    for task in fleet.control.values():
        task.rate_shares.policy = policy
    cold = fleet.start_cold(4, COLD_SECONDS)
    fleet.offer(33 * REQUESTS_PER_GATEWAY, 3.0)
    with pytest.raises(AssertionError):
        assert_within_rate(fleet, cold)
