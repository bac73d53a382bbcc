"""Number the placement plan, and tell what has changed since a number."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from ...messages.placement import REVISION_BITS
from ...messages.placement import Coverage
from ...messages.placement import PlacedObject
from ...messages.placement import columns_match
from ...messages.placement import pack_update
from ...messages.placement import unpack_update

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ...core.ids import ServiceName
    from ...core.ids import Term
    from ...messages.placement import PlacementUpdate

MAX_REMOVED = 1024
"""Removed objects that are remembered; receivers of older plans get all objects.

Objects come and go as long as there are new keys, so that the memory has to be bounded.
"""

ObjectId = tuple["ServiceName", int]


@dataclass
class NumberedPlan:
    """Store the assignments of all services with the numbers of their last changes."""

    number: int = 0
    placed: dict[ObjectId, PlacedObject] = field(default_factory=dict)
    changed_at: dict[ObjectId, int] = field(default_factory=dict)
    """Plan number of each object's last change, also of removed ones."""
    coverage: Coverage = Coverage()
    coverage_changed_at: int = 0
    _adopted: int = 0
    """Number of the plan that this process took over; 0 if it took over none."""
    _oldest: int = 0
    """Least number from which the changes are known."""

    def lead(self, term: Term) -> None:
        """Continue the plan in the term of a new leader."""
        first = term << REVISION_BITS
        if first > self.number:
            self._adopted = self.number
            self.number = first

    def change(self, changes: Iterable[PlacedObject]) -> None:
        """Record changed assignments as one revision; without servers, remove them."""
        items = list(changes)
        if not items:
            return
        self.number += 1
        self._record(items)

    def set_coverage(self, coverage: Coverage) -> None:
        """Record the covered services and their demand if they have changed."""
        if coverage != self.coverage:
            self.number += 1
            self.coverage, self.coverage_changed_at = coverage, self.number

    def update_since(self, number: int) -> PlacementUpdate | None:
        """Return what a receiver with a plan lacks; None if its plan is newer."""
        if number > self.number:
            return None
        if not self._knows(number):
            return pack_update(self.number, None, self.placed.values(), self.coverage)
        changed = [key for key, at in self.changed_at.items() if at > number]
        is_newer = self.coverage_changed_at > number
        coverage = self.coverage if is_newer else None
        items = (self.placed.get(key, PlacedObject(*key, (), ())) for key in changed)
        return pack_update(self.number, number, items, coverage)

    def apply(self, update: PlacementUpdate) -> bool:
        """Take over an update of the leader; return False if it doesn't fit."""
        if update.plan <= self.number or not columns_match(update):
            return False
        if not update.complete and update.since != self.number:
            return False
        self.number = update.plan
        if update.complete:
            self.placed.clear()
            self.changed_at.clear()
            self._oldest = update.plan
        if update.coverage is not None:
            self.coverage, self.coverage_changed_at = update.coverage, update.plan
        self._record(unpack_update(update))
        return True

    def _record(self, items: Iterable[PlacedObject]) -> None:
        """Record assignments as of the plan's number; without servers, remove them."""
        for item in items:
            key = (item.service, item.object)
            # The latest change goes to the end: removed objects are forgotten in order.
            self.changed_at.pop(key, None)
            self.changed_at[key] = self.number
            if item.servers:
                self.placed[key] = item
            else:
                self.placed.pop(key, None)
        self._forget_removed()

    def _knows(self, number: int) -> bool:
        """Return whether the changes since a number are known.

        The former leader may have sent numbers after the one that this process took
        over; these are not part of its plan.
        """
        first = self.number >> REVISION_BITS << REVISION_BITS
        return number >= self._oldest and (number <= self._adopted or number >= first)

    def _forget_removed(self) -> None:
        removed = [key for key in self.changed_at if key not in self.placed]
        for key in removed[: max(0, len(removed) - MAX_REMOVED)]:
            self._oldest = max(self._oldest, self.changed_at.pop(key))
