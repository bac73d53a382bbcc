"""Select the kind of call that gets the next free slot of a service."""

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
"""Position of each rank, 0 for the most urgent."""

MAX_CREDIT_TIME = 1.0
"""Seconds of its floor that a kind may accumulate as credit."""

RESERVED_FRACTION = 0.2
"""Fraction of the slots that deferrable kinds beyond their floor leave free."""


@dataclass(frozen=True)
class SlotCount:
    """Count the slots of a service that this process may use."""

    usable: int
    free: int
    """Usable slots that no call of this process occupies."""


AdmissionPolicy = Callable[[list[KindQueue], SlotCount], list[KindQueue]]
"""Take the kinds with waiting calls; return those to serve, in order of preference."""

ADMISSION_POLICIES: Registry[str, AdmissionPolicy] = Registry("admission policies")


def accrue_credit(queue: ServiceQueue, usable_slots: int, now: Instant) -> None:
    """Add the slot-seconds that each kind's floor has earned since the last update.

    A kind's credit is at most MAX_CREDIT_TIME of its floor, or the usual time of one
    call if that is more.
    """
    elapsed = max(0.0, now - queue.accrued_at)
    queue.accrued_at = now
    for kind_queue in queue.kinds.values():
        rate = kind_queue.kind.floor * usable_slots
        max_credit = max(rate * MAX_CREDIT_TIME, kind_queue.service_time)
        kind_queue.credit = min(max_credit, kind_queue.credit + rate * elapsed)


@ADMISSION_POLICIES.register("floors")
def order_by_floors(kind_queues: list[KindQueue], slots: SlotCount) -> list[KindQueue]:
    """Order kinds with credit first, then by rank, then by least use of slots.

    A running call isn't preempted by a more urgent one, so deferrable kinds beyond
    their floor leave RESERVED_FRACTION of the slots free.
    """
    only_reserve_left = slots.free <= int(slots.usable * RESERVED_FRACTION + 0.5)
    allowed = [
        kind_queue
        for kind_queue in kind_queues
        if not only_reserve_left
        or kind_queue.credit > 0
        or kind_queue.kind.rank is not Rank.DEFERRABLE
    ]

    def order(kind_queue: KindQueue) -> tuple[bool, int, float]:
        return (
            kind_queue.credit <= 0,
            RANK_ORDER[kind_queue.kind.rank],
            kind_queue.used_slot_seconds,
        )

    return sorted(allowed, key=order)


@ADMISSION_POLICIES.register("strict_rank")
def order_by_rank(kind_queues: list[KindQueue], slots: SlotCount) -> list[KindQueue]:
    """Order kinds by rank, then by the age of their next call, as a baseline."""

    def order(kind_queue: KindQueue) -> tuple[int, float]:
        return (RANK_ORDER[kind_queue.kind.rank], kind_queue.peek().queued_at)

    return sorted(kind_queues, key=order)


@ADMISSION_POLICIES.register("fifo")
def order_by_age(kind_queues: list[KindQueue], slots: SlotCount) -> list[KindQueue]:
    """Order kinds by the age of their next call, whatever their rank, as a baseline."""
    return sorted(kind_queues, key=lambda kind_queue: kind_queue.peek().queued_at)
