"""Decide whether a request may be sent to another backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..core.states import SendEnd

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ..text.routing import Route

MIN_RETRY_SECONDS = 0.05
"""Seconds that another send needs at the least."""

MAX_FAILED_CONNECTIONS = 4
"""Connections that may fail before a request is given up."""

NOT_RUN_ENDS = frozenset({SendEnd.NOT_SENT, SendEnd.REJECTED, SendEnd.MISDIRECTED})
"""Ends after which the backend server has not run the request and never will."""


def could_have_run(ends: Sequence[SendEnd]) -> bool:
    """Say whether a request may have run, or may still run, at any of its sends."""
    return any(end not in NOT_RUN_ENDS for end in ends)


def may_retry(route: Route, ends: Sequence[SendEnd], remaining: float) -> bool:
    """Say whether a request may go to one more backend server.

    Only sends that reached a backend server count as attempts.
    """
    if remaining < MIN_RETRY_SECONDS or ends[-1] in (
        SendEnd.CANCELLED,
        SendEnd.TIMED_OUT,
    ):
        return False
    if could_have_run(ends) and not route.idempotent:
        return False
    reached = sum(end is not SendEnd.NOT_SENT for end in ends)
    return (
        reached < route.attempts and len(ends) < route.attempts + MAX_FAILED_CONNECTIONS
    )
