"""Sync batches to disk in groups, and send the messages that wait for them."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from ...core.ids import Instant
from ...core.ids import LogIndex
from ...core.ids import Term
from ...core.task import Task
from ..raft.state import Persist
from ..raft.state import PersistSnapshot
from ..raft.state import SendAfterSync
from ..raft.state import SyncCompletion

if TYPE_CHECKING:
    from collections.abc import Callable

    from ...messages.raft import DiskBatch
    from .store import Store

DISK_MAILBOX_SIZE = 65_536
"""Maximum number of queued effects.

More than the node task has pending at a time.
"""


class DiskTask(Task):
    """Run all disk writes of a control process.

    ``send`` sends a message whose earlier effects are durable. ``report`` reports to
    the node task what a sync made durable.
    """

    def __init__(
        self,
        store: Store,
        send: Callable[[SendAfterSync], Any],
        report: Callable[[SyncCompletion], Any],
    ) -> None:
        super().__init__("disk", DISK_MAILBOX_SIZE)
        self._store = store
        self._send = send
        self._report = report

    def handle(self, batch: list[Any], now: Instant) -> None:
        """Write all batches, sync once, then send messages and report completion."""
        completion: SyncCompletion | None = None
        for effect in batch:
            if isinstance(effect, Persist):
                self._store.write(effect.batch)
                completion = _make_batch_completion(effect.batch, completion)
            elif isinstance(effect, PersistSnapshot):
                self._store.replace(effect.snapshot, effect.rest)
                completion = _make_snapshot_completion(effect)
        if completion is not None:
            self._store.sync()
        for effect in batch:
            if isinstance(effect, SendAfterSync):
                self._send(effect)
        if completion is not None:
            self._report(completion)

    def close(self) -> None:
        """Close the log file."""
        self._store.close()


def _make_batch_completion(
    batch: DiskBatch, before: SyncCompletion | None
) -> SyncCompletion:
    if batch.entries:
        last = batch.entries[-1]
        return SyncCompletion(batch.term, last.index, last.term)
    if before is None or batch.cut_from:
        return SyncCompletion(batch.term, LogIndex(0), -1)
    return SyncCompletion(batch.term, before.index, before.index_term)


def _make_snapshot_completion(effect: PersistSnapshot) -> SyncCompletion:
    if effect.rest.entries:
        return _make_batch_completion(effect.rest, None)
    snapshot = effect.snapshot
    return SyncCompletion(Term(effect.rest.term), snapshot.index, snapshot.index_term)
