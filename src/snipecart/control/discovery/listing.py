"""Decide which changes of backend servers a gateway gets in answer to a request."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ...core.events import GATEWAY_OUT_OF_SYNC
from ...core.events import emit
from ...core.ids import Instant

if TYPE_CHECKING:
    from ...messages.discovery import SyncRequest
    from .gateways import GatewayTable
    from .table import Change
    from .table import InstanceTable

LISTED_SERVERS_PER_SECOND = 4_000.0
"""Backend servers that a process lists in a second for gateways that lack all.

A process spends about a third of a core on that many.
"""


@dataclass(frozen=True)
class Listing:
    """Store the changes that a gateway lacks, or all servers."""

    incremental: bool
    changes: tuple[Change, ...] = ()


@dataclass
class ListBudget:
    """Limit the servers that lists of all servers contain in a second."""

    left: float = LISTED_SERVERS_PER_SECOND
    updated_at: Instant = Instant(-1e9)

    def try_spend(self, servers: int, now: Instant) -> bool:
        """Spend the budget for one list, unless earlier ones have used it up."""
        earned = LISTED_SERVERS_PER_SECOND * (now - self.updated_at)
        self.left = min(LISTED_SERVERS_PER_SECOND, self.left + earned)
        self.updated_at = now
        if self.left <= 0:
            return False
        self.left -= servers
        return True


@dataclass
class Lister:
    """Store what decides between the changes since a revision and all servers."""

    run: str
    """Id of this process's run, which revisions belong to."""
    table: InstanceTable
    gateways: GatewayTable
    budget: ListBudget

    def list_changes(self, sync: SyncRequest, now: Instant) -> Listing | None:
        """Return what a gateway lacks; None if it wants no changes or must ask again.

        Lists of all servers are limited, so that many gateways that start together
        don't keep this process from its part in the log.
        """
        if not sync.wants_changes:
            return None
        if self._has_missed_changes(sync):
            emit(GATEWAY_OUT_OF_SYNC, gateway=sync.gateway.gateway)
        elif self._knows_revision(sync):
            return Listing(True, tuple(self.table.changes_since(sync.revision, now)))
        if not self.budget.try_spend(len(self.table.live), now):
            return None
        return Listing(False, tuple(self.table.changes_since(0, now)))

    def _knows_revision(self, sync: SyncRequest) -> bool:
        same_run = sync.source == self.run
        return same_run and sync.revision >= self.table.compacted_revision

    def _has_missed_changes(self, sync: SyncRequest) -> bool:
        """Return whether an up-to-date gateway differed in two requests in a row."""
        if not self._knows_revision(sync) or sync.revision != self.table.revision:
            return False
        return self.gateways.differs_again(
            sync.gateway.gateway,
            sync.revision,
            sync.digest != self.table.digest(),
        )
