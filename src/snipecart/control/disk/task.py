"""Sync batches to disk in groups, and send the messages that wait for them."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from ...core.events import DISK_BLOCKED
from ...core.events import DISK_RECOVERED
from ...core.events import emit
from ...core.ids import Instant
from ...core.ids import LogIndex
from ...core.ids import Term
from ...core.states import DiskState
from ...core.task import Task
from ..metrics import DISK_ERRORS
from ..metrics import DISK_WRITABLE
from ..raft.effects import Persist
from ..raft.effects import PersistSnapshot
from ..raft.effects import SendAfterSync
from ..raft.events import DiskStateChanged
from ..raft.events import SyncCompletion

if TYPE_CHECKING:
    from collections.abc import Callable

    from ...messages.raft import DiskBatch
    from .store import Store

RETRY_INTERVAL = 0.2
"""Seconds between two attempts to write while the data folder can't be written."""

DISK_MAILBOX_SIZE = 65_536
"""Maximum number of queued effects.

More than the node task has pending at a time.
"""


class DiskTask(Task):
    """Run all disk writes of a control process.

    ``send`` sends a message whose earlier effects are durable. ``report`` reports to
    the node task what a sync made durable, and when the data folder can't be written.
    Until it can be written again, writes are repeated and messages that wait for them
    are dropped, so that nothing is acknowledged that isn't durable.
    """

    def __init__(
        self,
        store: Store,
        send: Callable[[SendAfterSync], Any],
        report: Callable[[SyncCompletion | DiskStateChanged], Any],
    ) -> None:
        super().__init__("disk", DISK_MAILBOX_SIZE)
        self._store = store
        self._send = send
        self._report = report
        self._failed: list[Persist | PersistSnapshot] = []
        """Writes that failed, in order."""
        DISK_WRITABLE.set(1)

    def next_wait(self, now: Instant) -> float:
        """Return the seconds until failed writes are repeated."""
        return RETRY_INTERVAL if self._failed else super().next_wait(now)

    def handle(self, batch: list[Any], now: Instant) -> None:
        """Write all batches, sync once, then send messages and report completion."""
        writes = [item for item in batch if not isinstance(item, SendAfterSync)]
        blocked = bool(self._failed)
        writes = [*self._failed, *writes]
        try:
            completion = self._write(writes)
        except OSError as exc:
            self._failed = writes
            self._report_failure(exc, blocked)
            return
        self._failed = []
        if blocked:
            self._report_recovery()
        for effect in batch:
            if isinstance(effect, SendAfterSync):
                self._send(effect)
        if completion is not None:
            self._report(completion)

    def _write(self, writes: list[Persist | PersistSnapshot]) -> SyncCompletion | None:
        """Make writes durable in order, or raise OSError."""
        completion: SyncCompletion | None = None
        for effect in writes:
            if isinstance(effect, Persist):
                self._store.write(effect.batch)
                completion = _make_batch_completion(effect.batch, completion)
            else:
                self._store.replace(effect.snapshot, effect.rest)
                completion = _make_snapshot_completion(effect)
        if completion is not None:
            self._store.sync()
        return completion

    def _report_failure(self, exc: OSError, blocked: bool) -> None:
        DISK_ERRORS.inc()
        if blocked:
            return
        emit(DISK_BLOCKED, error=repr(exc), writes=len(self._failed))
        DISK_WRITABLE.set(0)
        self._report(DiskStateChanged(DiskState.BLOCKED))

    def _report_recovery(self) -> None:
        emit(DISK_RECOVERED)
        DISK_WRITABLE.set(1)
        self._report(DiskStateChanged(DiskState.WRITABLE))

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
