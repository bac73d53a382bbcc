"""Test when a request may be retried."""

from __future__ import annotations

from snipecart.core.states import SendOutcome
from snipecart.gateway.balancing.budget import BudgetRule
from snipecart.gateway.balancing.budget import RetryBudget
from snipecart.gateway.retry import could_have_run
from snipecart.gateway.retry import may_retry

from .world import make_route
from .world import make_routing

SAFE = make_routing(make_route()).routes[0]
ONCE = make_routing(make_route(idempotent=False, attempts=3)).routes[0]


def test_a_request_that_may_have_run_is_never_retried_unless_idempotent():
    for end in (SendOutcome.BROKEN, SendOutcome.TIMED_OUT, SendOutcome.CANCELLED):
        assert could_have_run([end])
        assert not may_retry(ONCE, [end], 1.0)
    assert not may_retry(ONCE, [SendOutcome.BROKEN, SendOutcome.REJECTED], 1.0)


def test_a_request_that_did_not_run_may_be_retried():
    for end in (SendOutcome.NOT_SENT, SendOutcome.REJECTED, SendOutcome.MISDIRECTED):
        assert may_retry(ONCE, [end], 1.0)
    assert may_retry(SAFE, [SendOutcome.BROKEN], 1.0)


def test_attempts_deadline_and_connections_bound_retries():
    assert not may_retry(SAFE, [SendOutcome.BROKEN, SendOutcome.BROKEN], 1.0)
    assert not may_retry(SAFE, [SendOutcome.BROKEN], 0.01)
    assert may_retry(SAFE, [SendOutcome.NOT_SENT] * 3, 1.0)
    assert not may_retry(SAFE, [SendOutcome.NOT_SENT] * 7, 1.0)


def test_gateways_keep_the_shared_budget_without_coordination():
    rule = BudgetRule(ratio=0.2, window=10.0, slack=56.0)
    budgets = [RetryBudget(rule) for _ in range(7)]
    firsts = repeats = 0
    for step in range(1000):
        now = 100.0 + step * 0.01
        for budget in budgets:
            budget.record_first(now)
            firsts += 1
            repeats += budget.try_acquire(7, now)
    assert 0 < repeats <= 0.2 * firsts + 56


def test_first_sends_of_a_service_without_retries_take_bounded_memory():
    budget = RetryBudget(BudgetRule(window=10.0))
    for step in range(10_000):
        budget.record_first(100.0 + step * 0.1)
    assert len(budget.first_sends) <= 102
