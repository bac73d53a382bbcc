"""Make servers owners of objects once requests have warmed them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .assignment import JOIN_SHARE
from .assignment import Assignment

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ...core.ids import Instant
    from .demand import ObjectDemand

JOIN_SECONDS = 1.5
"""Least time for which a server is warmed."""

JOIN_REQUESTS = 2.0
"""Requests that are expected to have warmed a server before it owns the object."""

MAX_JOIN_SECONDS = 10.0
"""Time after which a server owns the object, however few requests came."""


def finish_joins(
    assignments: dict[int, Assignment],
    by_object: Mapping[int, ObjectDemand],
    now: Instant,
) -> None:
    """Make warmed servers owners of their objects."""
    for item, assignment in assignments.items():
        if assignment.joining is None:
            continue
        rate = by_object[item].rate if item in by_object else 0.0
        if _is_warmed(now - assignment.joining_since, rate):
            assignments[item] = Assignment(assignment.final_owners)


def _is_warmed(passed: float, rate: float) -> bool:
    """Return whether a server has joined for long enough at a rate of requests."""
    has_requests = passed * rate * JOIN_SHARE / 100 >= JOIN_REQUESTS
    return (passed >= JOIN_SECONDS and has_requests) or passed >= MAX_JOIN_SECONDS
