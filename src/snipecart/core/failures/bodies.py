"""Define the failures of reading the bodies of requests."""

from __future__ import annotations

from .base import Category
from .base import Failure


class BodyTooLarge(Failure):
    """Reject a body over the size limit."""

    category = Category.TOO_LARGE


class BodyMemoryFull(Failure):
    """Reject a request for whose body this process has no memory left."""

    category = Category.UNAVAILABLE


class BodySlotsFull(Failure):
    """Reject a request whose body is on its way while too many others are."""

    category = Category.UNAVAILABLE


class BodyTooSlow(Failure):
    """Reject a request whose body did not arrive by the request's deadline."""

    category = Category.UNAVAILABLE


class ThreadsBusy(Failure):
    """Reject a request that no thread of this process has taken in time."""

    category = Category.UNAVAILABLE
