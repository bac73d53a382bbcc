"""Decide whether a request may be retried on another backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..core.states import SendOutcome

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ..text.routing import Route

MIN_RETRY_SECONDS = 0.05
"""Time before the deadline below which a request is not retried."""

MAX_FAILED_CONNECTIONS = 4
"""Sends that may fail to connect in addition to the attempts of the route."""

NOT_RUN_ENDS = frozenset(
    {SendOutcome.NOT_SENT, SendOutcome.REJECTED, SendOutcome.MISDIRECTED}
)
"""Ends of sends after which the backend server never runs the request."""


def could_have_run(ends: Sequence[SendOutcome]) -> bool:
    """Return whether any backend server may have run the request or may run it yet."""
    return any(end not in NOT_RUN_ENDS for end in ends)


def may_retry(route: Route, ends: Sequence[SendOutcome], remaining: float) -> bool:
    """Return whether a request may be sent to one more backend server.

    Only sends that reached a backend server count as attempts. ``remaining`` is the
    time until the deadline, in seconds.
    """
    if remaining < MIN_RETRY_SECONDS or ends[-1] in (
        SendOutcome.CANCELLED,
        SendOutcome.TIMED_OUT,
    ):
        return False
    if could_have_run(ends) and not route.idempotent:
        return False
    reached = sum(end is not SendOutcome.NOT_SENT for end in ends)
    return (
        reached < route.attempts and len(ends) < route.attempts + MAX_FAILED_CONNECTIONS
    )
