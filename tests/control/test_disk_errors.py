"""Test the store and its task with errors at each write, sync and rename."""

from __future__ import annotations

import errno
import os
from pathlib import Path

import pytest

from snipecart.control.disk import records
from snipecart.control.disk import store as store_module
from snipecart.control.disk.store import Store
from snipecart.control.disk.store import bootstrap_log
from snipecart.control.disk.store import recover
from snipecart.control.disk.task import DiskTask
from snipecart.control.raft.effects import Persist
from snipecart.control.raft.effects import PersistSnapshot
from snipecart.control.raft.effects import SendAfterSync
from snipecart.control.raft.events import DiskStateChanged
from snipecart.control.raft.events import SyncCompletion
from snipecart.core.ids import Instant
from snipecart.core.states import DiskState
from snipecart.messages.commands import Entry
from snipecart.messages.commands import Node
from snipecart.messages.commands import Noop
from snipecart.messages.raft import DiskBatch
from snipecart.messages.raft import DiskSnapshot

FOUNDERS = (Node("a/founder", "a", "h", 1),)
NOW = Instant(1.0)


class FaultyDisk:
    """Count the disk's operations, and let some of them fail."""

    def __init__(self, monkeypatch):
        self.count = 0
        self.fails_at = lambda number: False
        self.tears = False
        """Whether a failed write leaves a part of its bytes in the file."""
        write_all, fdatasync = records.write_all, os.fdatasync
        fsync, rename = os.fsync, Path.replace

        def write(stream, data):
            if self._fails():
                if self.tears:
                    stream.write(data[: len(data) // 2])
                raise OSError(errno.ENOSPC, "no space left")
            write_all(stream, data)

        def checked(operation):
            def run(*args):
                if self._fails():
                    raise OSError(errno.EIO, "input/output error")
                return operation(*args)

            return run

        monkeypatch.setattr(store_module, "write_all", write)
        monkeypatch.setattr(os, "fdatasync", checked(fdatasync))
        monkeypatch.setattr(os, "fsync", checked(fsync))
        monkeypatch.setattr(Path, "replace", checked(rename))

    def _fails(self):
        self.count += 1
        return self.fails_at(self.count)


@pytest.fixture
def disk(monkeypatch):
    """Return a disk whose operations fail on demand."""
    return FaultyDisk(monkeypatch)


class DiskDriver:
    """Pass effects to a disk task, without its thread."""

    def __init__(self, folder):
        bootstrap_log(folder, "a", FOUNDERS)
        self.folder = folder
        self.sent, self.reports = [], []
        self.task = DiskTask(Store(folder), self.sent.append, self.reports.append)

    def store_entry(self, index):
        """Persist an entry, and send a message once it is durable."""
        self.task.handle([persist(index), SendAfterSync("b/1", f"stored {index}")], NOW)

    def retry(self):
        """Let the task handle no messages, as it does when it waits."""
        self.task.handle([], NOW)

    def recovered(self):
        """Return the indexes that a restarted process would find."""
        entries = recover(self.folder, "a").ok.entries
        return [entry.index for entry in entries]

    @property
    def states(self):
        """Return the reported states of the disk."""
        changes = [item for item in self.reports if isinstance(item, DiskStateChanged)]
        return [item.disk for item in changes]

    @property
    def durable(self):
        """Return the indexes that were reported as durable."""
        return [item.index for item in self.reports if isinstance(item, SyncCompletion)]


def persist(index):
    return Persist(DiskBatch(1, "a/founder", 0, (Entry(index, 1, 0, Noop()),)))


@pytest.mark.parametrize("tears", [False, True])
@pytest.mark.parametrize("failing", ["write", "sync"])
def test_nothing_is_acknowledged_until_a_blocked_disk_has_room(
    tmp_path, disk, failing, tears
):
    driver = DiskDriver(tmp_path)
    driver.store_entry(2)
    start = disk.count
    offset = 1 if failing == "write" else 2
    disk.tears = tears
    disk.fails_at = lambda number: number >= start + offset
    driver.store_entry(3)
    driver.store_entry(4)
    driver.retry()
    assert [item.message for item in driver.sent] == ["stored 2"]
    assert (driver.durable, driver.states) == ([2], [DiskState.BLOCKED])
    disk.fails_at = lambda number: False
    driver.retry()
    assert driver.states == [DiskState.BLOCKED, DiskState.WRITABLE]
    assert driver.durable == [2, 4]
    driver.store_entry(5)
    assert [item.message for item in driver.sent] == ["stored 2", "stored 5"]
    assert driver.recovered() == [1, 2, 3, 4, 5]


@pytest.mark.parametrize("tears", [False, True])
@pytest.mark.parametrize("failing_number", range(1, 24))
def test_what_was_acknowledged_survives_an_error_at_any_operation(
    tmp_path, disk, failing_number, tears
):
    driver = DiskDriver(tmp_path)
    start = disk.count
    disk.tears = tears
    disk.fails_at = lambda number: number == start + failing_number
    for index in range(2, 6):
        driver.store_entry(index)
    snapshot = DiskSnapshot(4, 1, FOUNDERS, (), b"state")
    rest = DiskBatch(1, "a/founder", 0, (Entry(5, 1, 0, Noop()),))
    driver.task.handle([PersistSnapshot(snapshot, rest)], NOW)
    for index in range(6, 9):
        driver.store_entry(index)
    check_recovery(driver, last=max(driver.durable))
    driver.retry()
    check_recovery(driver, last=8)


def check_recovery(driver, last):
    """Check that a restart finds the entries up to ``last``, or a snapshot of them."""
    state = recover(driver.folder, "a").ok
    indexes = [entry.index for entry in state.entries]
    assert indexes == list(range(indexes[0], indexes[-1] + 1))
    first_needed = state.snapshot.index + 1 if state.snapshot else 1
    assert indexes[0] <= first_needed
    assert indexes[-1] >= last


def test_a_failed_snapshot_leaves_no_incomplete_copy_behind(tmp_path, disk):
    driver = DiskDriver(tmp_path)
    start = disk.count
    disk.fails_at = lambda number: number == start + 1
    snapshot = DiskSnapshot(1, 1, FOUNDERS, (), b"state")
    rest = DiskBatch(1, "a/founder", 0, ())
    driver.task.handle([PersistSnapshot(snapshot, rest)], NOW)
    assert driver.states == [DiskState.BLOCKED]
    assert not list(tmp_path.glob("*.new"))
    driver.retry()
    assert recover(tmp_path, "a").ok.snapshot.state == b"state"


def test_a_stop_while_the_disk_is_full_does_not_raise(tmp_path, disk):
    driver = DiskDriver(tmp_path)
    disk.fails_at = lambda number: True
    driver.store_entry(2)
    driver.task.close()
