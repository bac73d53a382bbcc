"""Define the failures of routed requests before they reach a backend server."""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar

from .base import Category
from .base import Failure


class NoRoute(Failure):
    """Reject a request that matches no route of the routing table."""

    category = Category.NOT_FOUND


class NoRouting(Failure):
    """Reject a request before this process has a routing table."""

    category = Category.UNAVAILABLE


class ApiKeyMissing(Failure):
    """Reject a request without an API key on a route that requires one."""

    category = Category.UNAUTHENTICATED


class ApiKeyUnknown(Failure):
    """Reject a request whose API key belongs to no organisation."""

    category = Category.UNAUTHENTICATED


class ApiKeyUnproven(Failure):
    """Reject a request whose API key may have been removed by a newer routing table."""

    category = Category.UNAVAILABLE


@dataclass(frozen=True)
class ServerSaturated(Failure):
    """Reject a request at once that no backend server could answer in time."""

    excess_wait: float = 0.0
    """Seconds by which the shortest wait exceeds what is allowed."""
    category: ClassVar[Category] = Category.UNAVAILABLE


@dataclass(frozen=True)
class ServiceOverloaded(Failure):
    """Reject a request at once as the queues of its service are usually too long."""

    excess_wait: float = 0.0
    """Seconds by which the usual wait exceeds what is allowed."""
    category: ClassVar[Category] = Category.UNAVAILABLE


class RateLimited(Failure):
    """Reject a request at once as each backend server's rate is used up for now."""

    category = Category.UNAVAILABLE


@dataclass(frozen=True)
class ServersPaused(Failure):
    """Reject a request at once as all backend servers asked for a pause."""

    retry_after: float = 0.0
    """Seconds until the first pause ends."""
    category: ClassVar[Category] = Category.UNAVAILABLE


@dataclass(frozen=True)
class OrganisationLimited(Failure):
    """Reject a request at once as its organisation's rate limit is used up for now."""

    retry_after: float = 0.0
    """Seconds until a token is expected."""
    category: ClassVar[Category] = Category.OVERLOAD


class QuotaUnavailable(Failure):
    """Reject a request as no leader grants tokens of its organisation's rate limit."""

    category = Category.UNAVAILABLE


class LinkSaturated(Failure):
    """Reject a request at once whose answer this VM's network link can't carry."""

    category = Category.UNAVAILABLE


class ClientGone(Failure):
    """Cancel a request whose client has disconnected."""

    category = Category.UPSTREAM


class AttemptsSpent(Failure):
    """Reject a request that every backend server tried has rejected."""

    category = Category.UNAVAILABLE
