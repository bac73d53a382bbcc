"""Limit retries by a budget that first tries fill."""

from __future__ import annotations

from collections.abc import Callable

from ...core.registry import Registry
from ...core.states import RetryReason
from .state import RetryBudget

RETRY_RATIO = 0.1
"""Retries allowed per first try."""

MAX_TOKENS = 10.0
"""Most retries that a budget holds."""

INITIAL_TOKENS = 1.0
"""Retries that a new budget holds."""

RetryPolicy = Callable[[RetryBudget, RetryReason], bool]
"""Return whether a call may be dispatched again, and charge the budget if so."""

RETRY_POLICIES: Registry[str, RetryPolicy] = Registry("retry policies")


def record_first_try(budget: RetryBudget) -> None:
    """Add RETRY_RATIO of a token for a first try."""
    budget.tokens = min(MAX_TOKENS, budget.tokens + RETRY_RATIO)


@RETRY_POLICIES.register("budget")
def allow_within_budget(budget: RetryBudget, reason: RetryReason) -> bool:
    """Allow a retry within the budget.

    A retry is free if no byte of the call reached a backend server.
    """
    if reason is RetryReason.NOT_SENT:
        return True
    if budget.tokens < 1.0:
        return False
    budget.tokens -= 1.0
    return True


@RETRY_POLICIES.register("unbounded")
def allow_always(budget: RetryBudget, reason: RetryReason) -> bool:
    """Allow every retry, as a baseline."""
    return True


@RETRY_POLICIES.register("none")
def allow_never(budget: RetryBudget, reason: RetryReason) -> bool:
    """Allow no retry, as a baseline."""
    return False
