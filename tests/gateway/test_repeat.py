"""Test when a request may be sent again."""

from __future__ import annotations

from snipecart.core.states import SendEnd
from snipecart.gateway.placing.budget import BudgetRule
from snipecart.gateway.placing.budget import RetryBudget
from snipecart.gateway.repeat import could_have_run
from snipecart.gateway.repeat import may_retry

from .world import make_route
from .world import make_routing

SAFE = make_routing(make_route()).routes[0]
ONCE = make_routing(make_route(idempotent=False, attempts=3)).routes[0]


def test_what_may_have_run_is_never_sent_again_where_it_may_run_once():
    for end in (SendEnd.BROKEN, SendEnd.TIMED_OUT, SendEnd.CANCELLED):
        assert could_have_run([end])
        assert not may_retry(ONCE, [end], 1.0)
    assert not may_retry(ONCE, [SendEnd.BROKEN, SendEnd.REJECTED], 1.0)


def test_what_did_not_run_may_go_elsewhere():
    for end in (SendEnd.NOT_SENT, SendEnd.REJECTED, SendEnd.MISDIRECTED):
        assert may_retry(ONCE, [end], 1.0)
    assert may_retry(SAFE, [SendEnd.BROKEN], 1.0)


def test_attempts_time_and_connections_bound_repeats():
    assert not may_retry(SAFE, [SendEnd.BROKEN, SendEnd.BROKEN], 1.0)
    assert not may_retry(SAFE, [SendEnd.BROKEN], 0.01)
    assert may_retry(SAFE, [SendEnd.NOT_SENT] * 3, 1.0)
    assert not may_retry(SAFE, [SendEnd.NOT_SENT] * 7, 1.0)


def test_gateways_keep_the_common_budget_without_a_word():
    rule = BudgetRule(ratio=0.2, window=10.0, slack=56.0)
    budgets = [RetryBudget(rule) for _ in range(7)]
    firsts = repeats = 0
    for step in range(1000):
        now = 100.0 + step * 0.01
        for budget in budgets:
            budget.note_first(now)
            firsts += 1
            repeats += budget.take(7, now)
    assert 0 < repeats <= 0.2 * firsts + 56
