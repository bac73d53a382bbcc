"""Decide which changes of backend servers a gateway gets in answer to a request."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ...core.events import GATEWAY_OUT_OF_SYNC
from ...core.events import emit

if TYPE_CHECKING:
    from ...core.ids import Instant
    from ...core.token_bucket import TokenBucket
    from ...messages.discovery import SyncRequest
    from .gateways import GatewayTable
    from .table import Change
    from .table import InstanceTable

FULL_SYNC_SERVERS_PER_SECOND = 4_000.0
"""Backend servers in full syncs per second.

Encoding them must leave a control process time for its part in the log.
"""


@dataclass(frozen=True)
class SyncChanges:
    """Store the changes since a gateway's revision, or all servers in a full sync."""

    incremental: bool
    changes: tuple[Change, ...] = ()


@dataclass
class ChangeFeed:
    """Choose between the changes since a revision and a full sync."""

    run: str
    """Id of this process's run, which revisions belong to."""
    table: InstanceTable
    gateways: GatewayTable
    full_syncs: TokenBucket
    """Limits the servers in full syncs."""

    def changes_for(self, sync: SyncRequest, now: Instant) -> SyncChanges | None:
        """Return what a gateway lacks; None if it wants no changes or must ask again.

        Full syncs are limited, so that many gateways that start together don't keep
        this process from its part in the log.
        """
        if not sync.wants_changes:
            return None
        if self._has_missed_changes(sync):
            emit(GATEWAY_OUT_OF_SYNC, gateway=sync.gateway.gateway)
        elif self._knows_revision(sync):
            changes = self.table.changes_since(sync.revision, now)
            return SyncChanges(True, tuple(changes))
        if not self.full_syncs.try_acquire(now, len(self.table.live)):
            return None
        return SyncChanges(False, tuple(self.table.changes_since(0, now)))

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
