"""Decide whether a call may be dispatched again."""

from __future__ import annotations

from collections.abc import Callable

from ...core.registry import Registry
from ...core.states import RetryReason
from .state import RetryBudget

RETRY_RATIO = 0.1
"""Retries for each first try."""

MAX_TOKENS = 10.0

INITIAL_TOKENS = 1.0

RetryPolicy = Callable[[RetryBudget, RetryReason], bool]

RETRY_POLICIES: Registry[str, RetryPolicy] = Registry("retry policies")


def record_first_try(budget: RetryBudget) -> None:
    """Earn a part of a retry by a first try."""
    budget.tokens = min(MAX_TOKENS, budget.tokens + RETRY_RATIO)


@RETRY_POLICIES.register("budget")
def allow_within_budget(budget: RetryBudget, reason: RetryReason) -> bool:
    """Allow a retry within the budget; one that never left costs nothing."""
    if reason is RetryReason.NOT_SENT:
        return True
    if budget.tokens < 1.0:
        return False
    budget.tokens -= 1.0
    return True


@RETRY_POLICIES.register("unbounded")
def allow_always(budget: RetryBudget, reason: RetryReason) -> bool:
    """Allow every retry (a baseline)."""
    return True


@RETRY_POLICIES.register("none")
def allow_never(budget: RetryBudget, reason: RetryReason) -> bool:
    """Allow no retry (a baseline)."""
    return False
