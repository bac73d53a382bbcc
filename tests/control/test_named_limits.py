"""Test the sum of what all gateways send to servers that name a rate limit."""

from __future__ import annotations

import pytest

from tests.control.rate_simulation import SETTLED_SECONDS
from tests.control.rate_simulation import RateSimulation
from tests.gateway.world import make_instance

LIMIT = 2.0
"""Requests per second that each server names."""

OVERAGE, SLACK, WINDOW = 1.5, 5, 4.0
"""A server gets at most LIMIT * OVERAGE * WINDOW + SLACK requests in WINDOW seconds."""

NOTICE_SECONDS = 3.0
"""Time from the first answer that names a limit until it binds."""

USED = 0.8
SERVERS = 20
REQUESTS_PER_GATEWAY = 12


def make_fleet(monkeypatch, gateways, limited=14, seed=1):
    fleet = RateSimulation(monkeypatch, gateways, SERVERS, seed=seed)
    fleet.run(SETTLED_SECONDS)
    fleet.offer(gateways * REQUESTS_PER_GATEWAY, 1.0)
    limited = [make_instance(number).instance for number in range(limited)]
    fleet.limits = dict.fromkeys(limited, LIMIT)
    fleet.offer(gateways * REQUESTS_PER_GATEWAY, NOTICE_SECONDS)
    return fleet, limited, fleet.now


def assert_within_limit(fleet, limited, since):
    most = max(fleet.most_in(name, WINDOW, since) for name in limited)
    assert most <= LIMIT * OVERAGE * WINDOW + SLACK


@pytest.mark.parametrize(
    ("gateways", "busy"), [(7, 1), (33, 1), (33, 10), (74, 10), (300, 10)]
)
def test_a_named_limit_is_kept_and_used_by_the_whole_fleet(monkeypatch, gateways, busy):
    fleet, limited, since = make_fleet(monkeypatch, gateways, limited=SERVERS)
    fleet.busy = busy
    fleet.offer(gateways * REQUESTS_PER_GATEWAY, 6.0)
    assert_within_limit(fleet, limited, since)
    assert fleet.rate(limited, since + 1.0, fleet.now) >= USED * LIMIT


@pytest.mark.parametrize("gateways", [7, 74])
@pytest.mark.parametrize("change", ["restart", "add", "kill"])
def test_a_named_limit_is_kept_while_the_fleet_changes(monkeypatch, gateways, change):
    fleet, limited, since = make_fleet(monkeypatch, gateways)
    if change == "restart":
        fleet.restart(0.5)
    elif change == "add":
        fleet.add_gateways(gateways)
    else:
        fleet.stop_gateways(0.5)
    fleet.offer(gateways * REQUESTS_PER_GATEWAY, 6.0)
    assert_within_limit(fleet, limited, since)


@pytest.mark.parametrize("gateways", [7, 33])
def test_a_lifted_limit_no_longer_binds_any_gateway(monkeypatch, gateways):
    fleet, limited, _ = make_fleet(monkeypatch, gateways)
    fleet.limits.clear()
    fleet.offer(gateways * REQUESTS_PER_GATEWAY, 3.0)
    since = fleet.now
    fleet.offer(gateways * REQUESTS_PER_GATEWAY, 2.0)
    everywhere = gateways * REQUESTS_PER_GATEWAY / SERVERS
    assert fleet.rate(limited, since, fleet.now) > everywhere / 2
