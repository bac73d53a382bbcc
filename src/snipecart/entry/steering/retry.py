"""Decide whether a call may be dispatched again."""

from __future__ import annotations

from collections.abc import Callable

from ...core.registry import Registry
from ...core.states import RetryReason
from .state import RetryBudget

BUDGET_RATIO = 0.1
"""Retries for each first try."""

BUDGET_BURST = 10.0

FIRST_TOKENS = 1.0

Spender = Callable[[RetryBudget, RetryReason], bool]

RETRY: Registry[str, Spender] = Registry("retry policies")


def earn(budget: RetryBudget) -> None:
    """Earn a part of a retry by a first try."""
    budget.tokens = min(BUDGET_BURST, budget.tokens + BUDGET_RATIO)


@RETRY.register("budget")
def spend_budget(budget: RetryBudget, reason: RetryReason) -> bool:
    """Allow a retry within the budget; one that never left costs nothing."""
    if reason is RetryReason.NOT_SENT:
        return True
    if budget.tokens < 1.0:
        return False
    budget.tokens -= 1.0
    return True


@RETRY.register("unbounded")
def spend_freely(budget: RetryBudget, reason: RetryReason) -> bool:
    """Allow every retry (a baseline)."""
    return True


@RETRY.register("none")
def spend_never(budget: RetryBudget, reason: RetryReason) -> bool:
    """Allow no retry (a baseline)."""
    return False
