"""Test the recovery of a data folder after faults."""

from __future__ import annotations

import pytest

from snipecart.control.disk.store import FolderInUse
from snipecart.control.disk.store import IdentityExists
from snipecart.control.disk.store import Store
from snipecart.control.disk.store import bootstrap_log
from snipecart.control.disk.store import lock_data_folder
from snipecart.control.disk.store import recover
from snipecart.core.failures import LogCorrupt
from snipecart.messages.commands import Entry
from snipecart.messages.commands import Node
from snipecart.messages.commands import Noop
from snipecart.messages.raft import DiskBatch
from snipecart.messages.raft import DiskSnapshot

FOUNDERS = (Node("a/founder", "a", "h", 1),)


def write_entries(folder, first: int, last: int, cut_from: int = 0) -> None:
    """Write the entries from ``first`` to ``last``, one per batch."""
    store = Store(folder)
    for index in range(first, last + 1):
        entry = Entry(index, 1, 0, Noop())
        cut = cut_from if index == first else 0
        store.write(DiskBatch(1, "a/founder", cut, (entry,)))
    store.close()


def bootstrap_folder(folder) -> None:
    """Bootstrap a log with a single voter."""
    bootstrap_log(folder, "a", FOUNDERS)


def test_written_entries_are_recovered(tmp_path):
    bootstrap_folder(tmp_path)
    write_entries(tmp_path, 2, 9)
    state = recover(tmp_path, "a").ok
    assert [entry.index for entry in state.entries] == list(range(1, 10))
    assert state.voted_for == "a/founder"


def test_a_torn_record_at_the_end_is_removed(tmp_path):
    bootstrap_folder(tmp_path)
    write_entries(tmp_path, 2, 3)
    whole = (tmp_path / "log").read_bytes()
    write_entries(tmp_path, 4, 4)
    longer = (tmp_path / "log").read_bytes()
    for size in range(len(whole) + 1, len(longer)):
        (tmp_path / "log").write_bytes(longer[:size])
        state = recover(tmp_path, "a").ok
        assert state.entries[-1].index == 3
        assert (tmp_path / "log").read_bytes() == whole


@pytest.mark.parametrize("part", [0.1, 0.3, 0.5, 0.7])
def test_a_corrupt_record_before_the_end_is_rejected(tmp_path, part):
    bootstrap_folder(tmp_path)
    write_entries(tmp_path, 2, 9)
    data = bytearray((tmp_path / "log").read_bytes())
    data[int(len(data) * part)] ^= 0xFF
    (tmp_path / "log").write_bytes(data)
    assert isinstance(recover(tmp_path, "a").error, LogCorrupt)


def test_removed_entries_are_not_recovered(tmp_path):
    bootstrap_folder(tmp_path)
    write_entries(tmp_path, 2, 6)
    write_entries(tmp_path, 4, 4, cut_from=4)
    assert [e.index for e in recover(tmp_path, "a").ok.entries] == [1, 2, 3, 4]


def test_a_snapshot_replaces_entries(tmp_path):
    bootstrap_folder(tmp_path)
    write_entries(tmp_path, 2, 6)
    store = Store(tmp_path)
    rest = DiskBatch(3, "b", 0, (Entry(6, 1, 0, Noop()),))
    store.replace(DiskSnapshot(6, 1, FOUNDERS, (), b"{}"), rest)
    store.close()
    state = recover(tmp_path, "a").ok
    assert (state.snapshot.index, state.term, len(state.entries)) == (6, 3, 1)


def test_a_blank_disk_is_a_new_identity(tmp_path):
    one, two = tmp_path / "one", tmp_path / "two"
    one.mkdir()
    two.mkdir()
    assert recover(one, "a").ok.node != recover(two, "a").ok.node
    assert recover(one, "a").ok.node == recover(one, "a").ok.node


def test_a_log_is_bootstrapped_only_once(tmp_path):
    bootstrap_folder(tmp_path)
    with pytest.raises(IdentityExists):
        bootstrap_folder(tmp_path)


def test_a_locked_folder_cannot_be_locked_again(tmp_path):
    with (
        lock_data_folder(tmp_path),
        pytest.raises(FolderInUse),
        lock_data_folder(tmp_path),
    ):
        pass
