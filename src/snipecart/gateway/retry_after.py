"""Choose when a refused client should retry."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from ..core.failures import ServerSaturated
from ..core.failures import ServersPaused
from ..core.failures import ServiceOverloaded
from ..core.registry import Registry

if TYPE_CHECKING:
    from random import Random

    from ..core.failures import Failure

MIN_RETRY_AFTER_SECONDS = 0.4
"""Shortest ``Retry-After`` of a rejected request."""

MIN_RETRY_SPREAD_SECONDS = 0.8
"""Shortest interval over which the retries of rejected clients are spread."""

RETRY_SPREAD_RATIO = 0.25
"""Fraction of the client's timeout over which its retry is spread."""

USABLE_FRACTION = 0.3
"""Fraction of a client's remaining time up to which it waits for a retry.

Clients wait a third of it at most, and some of it passes on the way.
"""

MIN_USABLE_SECONDS = 0.05
"""Time within which no retry is worthwhile."""

MIN_SPREAD_RATIO = 0.5
"""Fraction of the usable time over which retries are spread at least."""

RetryAfterRule = Callable[["Random", "Failure", int, float], float]
"""Return the seconds from the failure, the client's timeout in ms and its remaining
time in seconds."""

RETRY_AFTER_RULES: Registry[str, RetryAfterRule] = Registry("rules of Retry-After")


def choose_retry_after(
    rng: Random, client_timeout_ms: int, earliest: float = 0.0
) -> float:
    """Return the seconds after which a rejected client should retry.

    Retries are spread at random so that they don't arrive all at once. The interval
    grows with the client's timeout, as an overload may have ended by then. It begins
    ``earliest`` seconds from now, or after a short wait.
    """
    begin = max(earliest, MIN_RETRY_AFTER_SECONDS)
    return begin + _retry_spread(client_timeout_ms) * rng.random()


def choose_token_retry(rng: Random, earliest: float, remaining: float) -> float:
    """Return the seconds after which a client over its limit should retry.

    Retries are spread from when a token is expected until clients would give up; if
    that is too late for a client, from then on.
    """
    latest = USABLE_FRACTION * remaining
    if latest <= earliest:
        latest = earliest + MIN_RETRY_SPREAD_SECONDS
    return earliest + (latest - earliest) * rng.random()


def _retry_spread(client_timeout_ms: int) -> float:
    """Return the seconds over which the retries of clients are spread."""
    return max(MIN_RETRY_SPREAD_SECONDS, RETRY_SPREAD_RATIO * client_timeout_ms / 1000)


@RETRY_AFTER_RULES.register("spread")
def retry_by_timeout(
    rng: Random, failure: Failure, client_timeout_ms: int, remaining: float
) -> float:
    """Spread retries over a fraction of the timeout, as a baseline."""
    earliest = failure.retry_after if isinstance(failure, ServersPaused) else 0.0
    return choose_retry_after(rng, client_timeout_ms, earliest)


@RETRY_AFTER_RULES.register("expected-room")
def retry_by_room(
    rng: Random, failure: Failure, client_timeout_ms: int, remaining: float
) -> float:
    """Spread retries from when room is expected, within the time clients wait.

    Only refusals for lack of capacity say when there is room.
    """
    usable = USABLE_FRACTION * remaining
    lacks_capacity = isinstance(failure, (ServerSaturated, ServiceOverloaded))
    if not lacks_capacity or usable < MIN_USABLE_SECONDS:
        return retry_by_timeout(rng, failure, client_timeout_ms, remaining)
    begin = min(failure.excess_wait, (1 - MIN_SPREAD_RATIO) * usable)
    spread = min(_retry_spread(client_timeout_ms), usable - begin)
    return begin + spread * rng.random()
