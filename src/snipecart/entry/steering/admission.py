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

RANK_ORDER = {rank: index for index, rank in enumerate(Rank)}
"""Place of each rank, the most urgent first."""

MAX_CREDIT_TIME = 1.0
"""Seconds of its floor that a kind may save up."""

RESERVED_FRACTION = 0.2
"""Part of the slots that deferrable work leaves free beyond its floor."""


@dataclass(frozen=True)
class SlotCount:
    """Count the slots of a service that this process may use, and the free ones."""

    usable: int
    free: int


AdmissionPolicy = Callable[[list[KindQueue], SlotCount], list[KindQueue]]
"""Order the kinds with calls waiting that may be served, first choice first."""

ADMISSION_POLICIES: Registry[str, AdmissionPolicy] = Registry("admission policies")


def accrue_credit(queue: ServiceQueue, slots: int, now: Instant) -> None:
    """Give each kind the slot-seconds that its floor has earned since."""
    span = max(0.0, now - queue.accrued_at)
    queue.accrued_at = now
    for item in queue.kinds.values():
        rate = item.kind.floor * slots
        most = max(rate * MAX_CREDIT_TIME, item.service_time)
        item.credit = min(most, item.credit + rate * span)


@ADMISSION_POLICIES.register("floors")
def order_by_floors(waiting: list[KindQueue], slots: SlotCount) -> list[KindQueue]:
    """Serve kinds under their floor first, then by rank, then the least served.

    A running call can't be stopped for a more urgent one, so deferrable work beyond
    its floor leaves some slots free.
    """
    full = slots.free <= int(slots.usable * RESERVED_FRACTION + 0.5)
    allowed = [
        item
        for item in waiting
        if not full or item.credit > 0 or item.kind.rank is not Rank.DEFERRABLE
    ]

    def order(item: KindQueue) -> tuple[bool, int, float]:
        return (item.credit <= 0, RANK_ORDER[item.kind.rank], item.used_slot_seconds)

    return sorted(allowed, key=order)


@ADMISSION_POLICIES.register("strict_rank")
def order_by_rank(waiting: list[KindQueue], slots: SlotCount) -> list[KindQueue]:
    """Serve by rank alone, the oldest call first (a baseline)."""

    def order(item: KindQueue) -> tuple[int, float]:
        return (RANK_ORDER[item.kind.rank], item.peek().queued_at)

    return sorted(waiting, key=order)


@ADMISSION_POLICIES.register("fifo")
def order_by_age(waiting: list[KindQueue], slots: SlotCount) -> list[KindQueue]:
    """Serve the oldest call first, whatever its rank (a baseline)."""
    return sorted(waiting, key=lambda item: item.peek().queued_at)
