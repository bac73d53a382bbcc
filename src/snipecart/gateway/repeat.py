"""Decide whether a request may be sent to another backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..core.states import SendOutcome

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ..text.routing import Route

LEAST_TIME = 0.05
"""Seconds that another send needs at the least."""

MOST_UNSENT = 4
"""Connections that may fail before a request is given up."""

NOTHING_RAN = frozenset(
    {SendOutcome.NOT_SENT, SendOutcome.REJECTED, SendOutcome.MISDIRECTED}
)
"""Ends after which the backend server has not run the request and never will."""


def may_run_later(ends: Sequence[SendOutcome]) -> bool:
    """Say whether a request may have run, or may still run, at any of its sends."""
    return any(end not in NOTHING_RAN for end in ends)


def may_repeat(route: Route, ends: Sequence[SendOutcome], remaining: float) -> bool:
    """Say whether a request may go to one more backend server.

    Only sends that reached a backend server count as attempts.
    """
    if remaining < LEAST_TIME or ends[-1] in (
        SendOutcome.CANCELLED,
        SendOutcome.TIMED_OUT,
    ):
        return False
    if may_run_later(ends) and not route.idempotent:
        return False
    reached = sum(end is not SendOutcome.NOT_SENT for end in ends)
    return reached < route.attempts and len(ends) < route.attempts + MOST_UNSENT
