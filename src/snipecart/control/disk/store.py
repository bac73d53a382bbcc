"""Manage the data folder of one control process."""

from __future__ import annotations

import fcntl
import uuid
from contextlib import closing
from contextlib import contextmanager
from contextlib import suppress
from dataclasses import dataclass
from dataclasses import field
from typing import IO
from typing import TYPE_CHECKING

from expression import Error
from expression import Ok
from expression import Result

from ...core.events import LOG_TAIL_TRUNCATED
from ...core.events import emit
from ...core.failures import DataFolderBlank
from ...core.failures import Failure
from ...core.failures import LogCorrupt
from ...core.ids import LogIndex
from ...core.ids import NodeId
from ...core.ids import Term
from ...core.ids import UnixMillis
from ...core.ids import VmName
from ...messages.commands import ChangeVoters
from ...messages.commands import Entry
from ...messages.commands import Node
from ...messages.raft import DiskBatch
from ...messages.raft import DiskSnapshot
from .records import encode_record
from .records import read_records
from .records import replace_file
from .records import sync_file
from .records import sync_folder
from .records import write_all

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

IDENTITY_FILE = "identity"
LOG_FILE = "log"
SNAPSHOT_FILE = "snapshot"
LOCK_FILE = "lock"


class FolderInUse(Exception):
    """Report a data folder that another process has locked."""


class IdentityExists(Exception):
    """Report a data folder that already has an identity."""


@dataclass
class RecoveredState:
    """Store the state that was read from the data folder at start."""

    node: NodeId
    term: Term = Term(0)
    voted_for: NodeId = NodeId("")
    snapshot: DiskSnapshot | None = None
    entries: list[Entry] = field(default_factory=list)
    commit: LogIndex = LogIndex(0)
    """Index up to which entries are known to be committed."""
    torn_at: int | None = None
    """Byte offset of an incomplete record at the end of the log file, if any."""


@contextmanager
def lock_data_folder(path: Path) -> Iterator[Path]:
    """Create and lock a data folder; raise FolderInUse if it is locked."""
    path.mkdir(parents=True, exist_ok=True)
    with (path / LOCK_FILE).open("w") as lock:
        _lock_file(lock, path)
        yield path


@contextmanager
def lock_existing_folder(path: Path) -> Iterator[Path]:
    """Lock a data folder without changing it; raise FolderInUse if it is locked.

    A folder without a lock file, such as a copy of the other files, isn't locked.
    """
    if not (path / LOCK_FILE).exists():
        yield path
        return
    with (path / LOCK_FILE).open() as lock:
        _lock_file(lock, path)
        yield path


def _lock_file(lock: IO[str], folder: Path) -> None:
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        raise FolderInUse(str(folder)) from None


def founder_id(vm: VmName) -> NodeId:
    """Return the node id of a VM's first disk.

    It follows from the VM's name, so that every founding VM can name the first voters.
    """
    return NodeId(f"{vm}/founder")


def bootstrap_log(folder: Path, vm: VmName, founders: tuple[Node, ...]) -> None:
    """Write the first entry of a new log, which makes the founders its voters.

    Raise IdentityExists if the folder has an identity.
    """
    if (folder / IDENTITY_FILE).exists():
        raise IdentityExists(str(folder))
    first = Entry(LogIndex(1), 1, UnixMillis(0), ChangeVoters(founders, ()))
    batch = DiskBatch(Term(1), NodeId(""), LogIndex(0), (first,))
    replace_file(folder / LOG_FILE, encode_record(batch))
    replace_file(folder / IDENTITY_FILE, founder_id(vm).encode())


def bootstrap_log_if_blank(path: Path, vm: VmName, founders: tuple[Node, ...]) -> None:
    """Lock the folder and bootstrap its log, unless it has an identity."""
    with lock_data_folder(path) as folder, suppress(IdentityExists):
        bootstrap_log(folder, vm, founders)


def read_or_create_identity(folder: Path, vm: VmName) -> NodeId:
    """Return the node id of the disk; a blank disk gets a new one."""
    path = folder / IDENTITY_FILE
    if not path.exists():
        replace_file(path, f"{vm}/{uuid.uuid4().hex}".encode())
    return NodeId(path.read_text())


def recover(folder: Path, vm: VmName) -> Result[RecoveredState, Failure]:
    """Read the state in the data folder; fail with LogCorrupt.

    A blank folder gets an identity. A torn record at the end of the log file is
    removed.
    """
    read_or_create_identity(folder, vm)
    recovered = read_data_folder(folder)
    if recovered.is_ok():
        remove_torn_record(folder, recovered.ok)
    return recovered


def read_data_folder(folder: Path) -> Result[RecoveredState, Failure]:
    """Read the state in a data folder without changing the folder.

    Fail with DataFolderBlank or LogCorrupt.
    """
    if not (folder / IDENTITY_FILE).exists():
        return Error(DataFolderBlank(str(folder)))
    recovered = RecoveredState(NodeId((folder / IDENTITY_FILE).read_text()))
    snapshot = read_records(folder / SNAPSHOT_FILE)
    if snapshot.is_error() or snapshot.ok.torn:
        return Error(LogCorrupt(SNAPSHOT_FILE))
    if snapshot.ok.messages:
        recovered.snapshot = snapshot.ok.messages[0]
    batches = read_records(folder / LOG_FILE)
    if batches.is_error():
        return Error(batches.error)
    if batches.ok.torn:
        recovered.torn_at = batches.ok.end
    for batch in batches.ok.messages:
        _replay(recovered, batch)
    return Ok(recovered)


def remove_torn_record(folder: Path, recovered: RecoveredState) -> None:
    """Remove the incomplete record at the end of the log file, if there is one."""
    if recovered.torn_at is None:
        return
    emit(LOG_TAIL_TRUNCATED, at=recovered.torn_at)
    _truncate_file(folder / LOG_FILE, recovered.torn_at)


def append_batch(folder: Path, recovered: RecoveredState, batch: DiskBatch) -> None:
    """Append a batch to a log that no process uses, and make it durable.

    It is a single record: after a crash, the log has either all or nothing of it.
    """
    remove_torn_record(folder, recovered)
    with closing(Store(folder)) as store:
        store.write(batch)
        store.sync()


def _truncate_file(path: Path, end: int) -> None:
    with path.open("r+b") as stream:
        stream.truncate(end)
        sync_file(stream)


def _replay(recovered: RecoveredState, batch: DiskBatch) -> None:
    recovered.term = batch.term
    recovered.voted_for = batch.voted_for
    if batch.cut_from:
        recovered.entries = [
            entry for entry in recovered.entries if entry.index < batch.cut_from
        ]
    recovered.entries += batch.entries
    recovered.commit = max(recovered.commit, batch.commit)


class Store:
    """Write the log file and the snapshot file of one data folder.

    After an OSError of any method, everything since the last successful ``sync`` or
    ``replace`` must be written again: a failed sync may have lost what was written.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._stream = (folder / LOG_FILE).open("ab", buffering=0)
        self._unwritten = bytearray()
        self._durable_size = self._stream.tell()
        """Size of the log file as of the last sync."""
        self._has_unsynced_tail = False
        """Whether the log file may be longer than ``_durable_size``."""
        sync_folder(folder)

    def write(self, batch: DiskBatch) -> None:
        """Buffer a batch, which the next sync makes durable."""
        self._unwritten += encode_record(batch)

    def sync(self) -> None:
        """Make all buffered batches durable.

        They are appended in a single write, so that no valid record follows a torn one.
        """
        data = bytes(self._unwritten)
        self._unwritten.clear()
        if self._has_unsynced_tail:
            self._stream.truncate(self._durable_size)
        self._has_unsynced_tail = True
        write_all(self._stream, data)
        sync_file(self._stream)
        self._durable_size += len(data)
        self._has_unsynced_tail = False

    def replace(self, snapshot: DiskSnapshot, rest: DiskBatch) -> None:
        """Make a snapshot durable, then replace the log file by the remaining batch.

        Buffered batches are discarded: the snapshot and ``rest`` include them.
        """
        self._unwritten.clear()
        replace_file(self._folder / SNAPSHOT_FILE, encode_record(snapshot))
        replace_file(self._folder / LOG_FILE, encode_record(rest))
        stream = (self._folder / LOG_FILE).open("ab", buffering=0)
        self._stream.close()
        self._stream = stream
        self._durable_size = stream.tell()
        self._has_unsynced_tail = False

    def close(self) -> None:
        """Sync what was buffered, as far as the disk allows, and close the log file."""
        with suppress(OSError):
            self.sync()
        self._stream.close()
