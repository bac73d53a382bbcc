"""Test that limits of organisations bind over all gateways and can be used."""

from __future__ import annotations

import sys

import pytest

from snipecart.control.leases.accounts import Account
from snipecart.gateway.balancing.quota import Admission
from tests.control.quota_simulation import QuotaSimulation

SIZES = (7, 31, 125, 930)
SETTLED = 1.0
"""Seconds until the first leader may lease rates."""


def make_fleet(gateways, **limits):
    """Return a fleet whose leader may lease rates."""
    fleet = QuotaSimulation(gateways, limits)
    fleet.run(SETTLED)
    return fleet


@pytest.mark.parametrize("gateways", SIZES)
def test_a_flood_is_bounded_and_uses_the_limit(gateways):
    """Guards against gateways that together exceed a limit, or waste a part of it."""
    fleet = make_fleet(gateways, a=(100.0, 30.0), b=(20.0, 0.0))
    for name in fleet.limits:
        fleet.offer(name, 2 * fleet.limits[name][0], 12)
    start = fleet.now
    fleet.run(12)
    for name in fleet.limits:
        assert fleet.excess(name) <= 0
        assert fleet.used(name, start, start + 12) >= 0.95


@pytest.mark.parametrize("gateways", SIZES)
def test_a_flood_costs_other_organisations_nothing(gateways):
    """Guards against reports of a flood that delay the others' tokens."""
    served = []
    for flood in (0.01, 7.5):
        fleet = make_fleet(gateways, big=(64.0, 16.0), other=(16.0, 4.0))
        fleet.offer("other", 10.0, 12)
        fleet.offer("big", 40.0 * flood, 12)
        fleet.run(13)
        served.append(fleet.served("other"))
    assert served[0] >= 0.98
    assert served[1] >= served[0] - 0.02


@pytest.mark.parametrize("gateways", SIZES)
def test_demand_below_the_limit_is_served_at_one_gateway_and_after_a_move(gateways):
    """Guards against rates that stay leased where the demand no longer is."""
    fleet = make_fleet(gateways, one=(16.0, 4.0), moving=(40.0, 10.0))
    fleet.offer("one", 15.0, 12, [3])
    half = gateways // 2
    fleet.offer("moving", 25.0, 6, range(half))
    fleet.offer("moving", 25.0, 6, range(half, gateways), start=6)
    fleet.run(13)
    assert fleet.served("one") >= 0.95
    assert fleet.served("moving") >= 0.98


@pytest.mark.parametrize("gateways", SIZES)
def test_rare_requests_at_changing_gateways_are_all_served(gateways):
    """Guards against tokens that are all kept at gateways without requests."""
    fleet = make_fleet(gateways, rare=(0.16, 1.0))
    for number in range(12):
        fleet.after(10.0 * number, fleet.request, "rare", number % min(gateways, 31))
    fleet.run(125)
    assert fleet.served("rare") == 1.0


@pytest.mark.parametrize("gateways", SIZES)
def test_limits_bind_while_leaders_change_and_gateways_fail(gateways):
    """Guards against a new leader that leases what earlier leases still include."""
    fleet = make_fleet(gateways, a=(100.0, 30.0), b=(40.0, 10.0))
    fleet.offer("a", 200.0, 16)
    fleet.offer("b", 25.0, 16)
    fleet.run(4)
    fleet.leader = None
    fleet.run(1.5)
    fleet.elect()
    fleet.run(4.5)
    fleet.killed |= set(range(gateways // 7))
    fleet.cut |= set(range(gateways // 7, 2 * gateways // 7 + 1))
    fleet.run(7)
    assert max(fleet.excess("a"), fleet.excess("b")) <= 0
    assert fleet.used("a", fleet.now - 4, fleet.now - 1) >= 0.95
    cut = fleet.gateways[gateways // 7]
    assert cut.admit("a", fleet.now) is Admission.CUT_OFF


@pytest.mark.parametrize("gateways", SIZES)
def test_steady_demand_is_served_while_a_leader_is_replaced(gateways):
    """Guards against gateways that lose their leases with the leader."""
    fleet = make_fleet(gateways, b=(40.0, 10.0))
    fleet.offer("b", 25.0, 14)
    fleet.run(5)
    fleet.leader = None
    fleet.run(1.0)
    fleet.elect()
    fleet.run(8)
    assert fleet.served("b") >= 0.95
    assert fleet.served("b", fleet.now - 4.5) >= 0.98
    assert fleet.excess("b") <= 0


@pytest.mark.parametrize("gateways", SIZES)
def test_a_changed_limit_binds_within_two_and_a_half_seconds(gateways):
    """Guards against leases that outlast a lowered limit."""
    fleet = make_fleet(gateways, a=(100.0, 30.0), first=(1.0, 1.0))
    fleet.offer("a", 220.0, 22)
    fleet.run(5)
    fleet.set_limits({"a": (40.0, 10.0)})
    changed = fleet.now
    fleet.run(8)
    assert fleet.excess("a", changed + 2.5) <= 0
    fleet.set_limits({"new": (1.0, 1.0), "a": (100.0, 30.0)})
    fleet.run(8)
    assert fleet.used("a", fleet.now - 5.5, fleet.now) >= 0.95
    assert fleet.excess("a") <= 0


@pytest.mark.parametrize(
    "limit",
    [(10.0, sys.float_info.max), (10.0, 1e300), (sys.float_info.max, 0.0), (1.0, 1e6)],
)
def test_a_limit_beyond_any_load_refuses_nothing_and_harms_nobody(limit):
    """Guards against a limit that ends each process that leads."""
    fleet = make_fleet(7, huge=limit, b=(20.0, 0.0))
    fleet.offer("huge", 300.0, 8)
    fleet.offer("b", 40.0, 8)
    fleet.run(9)
    assert fleet.served("huge") == 1.0
    assert fleet.excess("b") <= 0
    assert fleet.used("b", fleet.now - 5, fleet.now - 1) >= 0.95


@pytest.mark.parametrize("rate", [5e-324, 1e-4])
def test_a_limit_below_any_load_leaves_the_burst(rate):
    """Guards against a division by a rate that rounds to nothing."""
    fleet = make_fleet(7, tiny=(rate, 5.0))
    fleet.offer("tiny", 40.0, 8)
    fleet.run(9)
    assert fleet.excess("tiny") <= 0
    assert fleet.admitted["tiny"]


@pytest.mark.parametrize("seed", range(6))
def test_limits_bind_while_messages_are_lost_or_late(seed):
    """Guards against grants that count twice or are freed too early."""
    fleet = QuotaSimulation(31, {"a": (100.0, 30.0), "b": (20.0, 0.0)}, seed)
    fleet.lost, fleet.late = 0.1 * (seed % 3), 0.15 * (seed // 2)
    for name in fleet.limits:
        fleet.offer(name, 3 * fleet.limits[name][0], 24)
    for _ in range(3):
        fleet.run(6 + seed % 2)
        fleet.elect()
    fleet.run(5)
    assert max(fleet.excess("a"), fleet.excess("b")) <= 0


def test_tokens_granted_twice_are_detected(monkeypatch):
    """Injects a fault, which shows that the simulation finds an exceeded limit."""
    monkeypatch.setattr(
        "snipecart.control.leases.quotas.Quotas._update_account",
        lambda self, limit, now: Account(50_000.0, now),
    )
    fleet = make_fleet(31, a=(100.0, 30.0))
    fleet.offer("a", 400.0, 6)
    fleet.run(6)
    assert fleet.excess("a") > 0
