"""Bound the memory that all requests in progress use together."""

from __future__ import annotations

import sys
import threading
from contextlib import contextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from prometheus_client import Gauge


class MemoryBudget:
    """Count the bytes in use up to a limit, and show them in a gauge, if any."""

    def __init__(self, limit: int, gauge: Gauge | None = None) -> None:
        self._lock = threading.Lock()
        self._limit, self._used = limit, 0
        self._gauge = gauge

    @property
    def free(self) -> int:
        """Return the bytes that may still be reserved."""
        return self._limit - self._used

    def try_reserve(self, size: int) -> bool:
        """Reserve a number of bytes; return False if fewer are free."""
        with self._lock:
            if self._used + size > self._limit:
                return False
            self._used += size
        if self._gauge is not None:
            self._gauge.inc(size)
        return True

    def release(self, size: int) -> None:
        """Free reserved bytes."""
        with self._lock:
            self._used -= size
        if self._gauge is not None:
            self._gauge.dec(size)


@dataclass
class MemoryReservation:
    """Store the memory that one request has reserved so far."""

    budget: MemoryBudget
    reserved: int = 0

    def grow(self, size: int) -> bool:
        """Reserve more bytes; return False if they are not free."""
        reserved = self.budget.try_reserve(size)
        if reserved:
            self.reserved += size
        return reserved

    def clear(self) -> None:
        """Free all reserved bytes."""
        self.budget.release(self.reserved)
        self.reserved = 0


def unlimited_reservation() -> MemoryReservation:
    """Return a reservation of a budget without a limit."""
    return MemoryReservation(MemoryBudget(sys.maxsize))


@contextmanager
def reserving(budget: MemoryBudget) -> Iterator[MemoryReservation]:
    """Free the memory of one request when the block ends."""
    reservation = MemoryReservation(budget)
    try:
        yield reservation
    finally:
        reservation.clear()
