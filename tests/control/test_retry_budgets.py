"""Test the sum of the retries that all gateways send to a service."""

from __future__ import annotations

from concurrent.futures import Future

import pytest

from snipecart.core.ids import Instant
from snipecart.gateway.balancing.budget import BudgetRule
from snipecart.gateway.balancing.messages import SelectRetryServer
from tests.control.rate_simulation import SETTLED_SECONDS
from tests.control.rate_simulation import RateSimulation

RULE = BudgetRule(ratio=0.2, window=10.0, slack=60.0)
REQUESTS_PER_GATEWAY = 4


class RetrySimulation(RateSimulation):
    """Run a fleet whose requests all fail, and record the retries that are allowed."""

    def __init__(self, *args, **kwargs):
        self.firsts, self.retries = [], []
        super().__init__(*args, **kwargs)

    def _make_gateway(self, at, seeds):
        task = super()._make_gateway(at, seeds)
        task._balancer.state.budget_rule = RULE
        return task

    def select(self, gateway, routed):
        """Select a server, and then one for a retry if the budget allows it."""
        selected = super().select(gateway, routed)
        self.firsts.append(self.now)
        fut = Future()
        retry = SelectRetryServer(routed, "racks", frozenset(), True, fut)
        gateway._balancer.handle([retry], Instant(self.now))
        if fut.result().is_ok():
            self.retries.append(self.now)
        return selected

    def excess(self):
        """Return by how much the retries exceed the budget in any window."""
        return max(
            sum(at <= item < at + RULE.window for item in self.retries)
            - RULE.ratio * sum(at <= item < at + RULE.window for item in self.firsts)
            - RULE.slack
            for at in self.retries[::20]
        )


@pytest.mark.parametrize("gateways", [7, 33, 74])
@pytest.mark.parametrize("change", ["none", "restart", "add", "kill"])
def test_retries_of_all_gateways_stay_within_the_budget(monkeypatch, gateways, change):
    fleet = RetrySimulation(monkeypatch, gateways, 20)
    fleet.offer(gateways * REQUESTS_PER_GATEWAY, SETTLED_SECONDS)
    if change == "restart":
        fleet.restart(0.6)
    elif change == "add":
        fleet.add_gateways(gateways)
    elif change == "kill":
        fleet.stop_gateways(0.5)
    fleet.offer(gateways * REQUESTS_PER_GATEWAY, 12.0)
    assert fleet.retries
    assert fleet.excess() <= 0
