"""Define the failures of sends to backend servers."""

from __future__ import annotations

from .base import Category
from .base import Failure


class NoEndpoint(Failure):
    """Reject a call for which no backend server is available."""

    category = Category.UNAVAILABLE


class BackendShed(Failure):
    """Report that the backend server rejected the call before running it."""

    category = Category.OVERLOAD


class BackendUnreachable(Failure):
    """Report that no byte of the call reached the backend server."""

    category = Category.UNAVAILABLE


class BackendBroken(Failure):
    """Report that the connection broke after the call was sent."""

    category = Category.UPSTREAM


class BackendTimedOut(Failure):
    """Report that the backend server did not answer by the deadline."""

    category = Category.TIMEOUT


class AnswerTooLarge(Failure):
    """Report an answer of a backend server that exceeds a limit."""

    category = Category.UPSTREAM


class AnswerMemoryFull(Failure):
    """Report an answer for which this process has no memory left."""

    category = Category.UPSTREAM


class AnswerMalformed(Failure):
    """Report an answer whose head is not valid HTTP or contradicts itself."""

    category = Category.UPSTREAM


class AnswerNotOwn(Failure):
    """Report that only answers to other requests came on a connection."""

    category = Category.UPSTREAM
