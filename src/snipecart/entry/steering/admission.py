"""Choose which kind of call gets the next free slot of a service."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ...core.registry import Registry
from ...core.states import Rank
from .state import KindQueue
from .state import ServiceQueue

if TYPE_CHECKING:
    from ...core.ids import Instant

RANK_ORDER = {rank: place for place, rank in enumerate(Rank)}
"""Place of each rank, the most urgent first."""

CREDIT_SPAN = 1.0
"""Seconds of its floor that a kind may save up."""

RESERVED_PART = 0.2
"""Part of the slots that deferrable work leaves free beyond its floor."""


@dataclass(frozen=True)
class Slots:
    """Count the slots of a service that this process may use, and the free ones."""

    usable: int
    free: int


Picker = Callable[[list[KindQueue], Slots], list[KindQueue]]
"""Order the kinds with calls waiting that may be served, first choice first."""

ADMISSION: Registry[str, Picker] = Registry("admission policies")


def accrue_credit(queue: ServiceQueue, slots: int, now: Instant) -> None:
    """Give each kind the slot-seconds that its floor has earned since."""
    span = max(0.0, now - queue.accrued_at)
    queue.accrued_at = now
    for item in queue.kinds.values():
        rate = item.kind.floor * slots
        most = max(rate * CREDIT_SPAN, item.service_time)
        item.credit = min(most, item.credit + rate * span)


@ADMISSION.register("floors")
def pick_by_floors(waiting: list[KindQueue], slots: Slots) -> list[KindQueue]:
    """Serve kinds under their floor first, then by rank, then the least served.

    A running call can't be stopped for a more urgent one, so deferrable work beyond
    its floor leaves some slots free.
    """
    full = slots.free <= int(slots.usable * RESERVED_PART + 0.5)
    allowed = [
        item
        for item in waiting
        if not full or item.credit > 0 or item.kind.rank is not Rank.DEFERRABLE
    ]

    def order(item: KindQueue) -> tuple[bool, int, float]:
        return (item.credit <= 0, RANK_ORDER[item.kind.rank], item.served)

    return sorted(allowed, key=order)


@ADMISSION.register("strict_rank")
def pick_by_rank(waiting: list[KindQueue], slots: Slots) -> list[KindQueue]:
    """Serve by rank alone, the oldest call first (a baseline)."""

    def order(item: KindQueue) -> tuple[int, float]:
        return (RANK_ORDER[item.kind.rank], item.peek().since)

    return sorted(waiting, key=order)


@ADMISSION.register("fifo")
def pick_oldest(waiting: list[KindQueue], slots: Slots) -> list[KindQueue]:
    """Serve the oldest call first, whatever its rank (a baseline)."""
    return sorted(waiting, key=lambda item: item.peek().since)
