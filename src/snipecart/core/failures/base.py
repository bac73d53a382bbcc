"""Provide the base of all failures, and those that any task may report."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import ClassVar


class Category(StrEnum):
    """Group failures by how the receiver may react to them."""

    INVALID = "invalid"
    UNAUTHENTICATED = "unauthenticated"
    NOT_FOUND = "not_found"
    CONFLICT = "conflict"
    OVERLOAD = "overload"
    UNAVAILABLE = "unavailable"
    TIMEOUT = "timeout"
    TOO_LARGE = "too_large"
    MISDIRECTED = "misdirected"
    UPSTREAM = "upstream"


@dataclass(frozen=True)
class Failure:
    """Describe a failure; each subclass is one reason.

    ``detail`` is free text for people.
    """

    detail: str = ""
    category: ClassVar[Category] = Category.INVALID

    @property
    def reason(self) -> str:
        """Return the reason in snake case, as used in metrics and answers."""
        name = type(self).__name__
        return "".join(
            f"_{char.lower()}" if char.isupper() else char for char in name
        ).lstrip("_")


class BadCall(Failure):
    """Reject a call whose path or headers can't be parsed."""


class Busy(Failure):
    """Reject work because a task's mailbox is full or its answer is late."""

    category = Category.OVERLOAD


class Stopping(Failure):
    """Reject a call because this process is stopping."""

    category = Category.UNAVAILABLE


class RequestFailed(Failure):
    """Report that handling a request raised an error; the log has the error."""

    category = Category.UNAVAILABLE
