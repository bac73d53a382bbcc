"""Test which log is the newest, and the recovery of one without its quorum."""

from __future__ import annotations

from pathlib import Path

from snipecart.control.disk.records import encode_record
from snipecart.control.disk.records import replace_file
from snipecart.control.disk.store import SNAPSHOT_FILE
from snipecart.control.disk.store import RecoveredState
from snipecart.control.disk.store import Store
from snipecart.control.disk.store import read_data_folder
from snipecart.control.recovery import select_newest
from snipecart.control.recovery import summarize_log
from snipecart.core.failures import DataFolderBlank
from snipecart.core.failures import LogCorrupt
from snipecart.messages.commands import ChangeVoters
from snipecart.messages.commands import Entry
from snipecart.messages.commands import Node
from snipecart.messages.commands import PutRouting
from snipecart.messages.raft import DiskBatch

A, B, C, D, E = (Node(f"{vm}/1", vm, f"10.0.0.{vm}", 7) for vm in "abcde")
VOTERS = (A, B, C)


def put_routing(index, term=2):
    """Return an entry whose routing table has the index as its version."""
    return Entry(index, term, 0, PutRouting(index, b"table", b"source"))


def membership(index, voters, learners=(), term=1):
    return Entry(index, term, 0, ChangeVoters(voters, learners))


def log_of(*entries, node=A, term=2, commit=0, snapshot=None):
    """Return the state of a data folder of ``node``."""
    return RecoveredState(node.node, term, "", snapshot, list(entries), commit)


def test_the_newest_log_is_that_of_the_highest_last_term_then_index():
    logs = {
        Path("long"): log_of(membership(1, VOTERS), put_routing(2), put_routing(3)),
        Path("new"): log_of(membership(1, VOTERS), put_routing(2, term=3), term=3),
        Path("same"): log_of(membership(1, VOTERS), put_routing(2, term=3), term=9),
    }
    summaries = {path: summarize_log(log).ok for path, log in logs.items()}
    assert select_newest(summaries) == (Path("new"), Path("same"))
    del summaries[Path("new")], summaries[Path("same")]
    assert select_newest(summaries) == (Path("long"),)
    assert select_newest({}) == ()


def test_a_summary_has_the_versions_with_and_without_uncommitted_entries():
    log = log_of(membership(1, VOTERS, (D,)), put_routing(2), put_routing(3), commit=2)
    summary = summarize_log(log).ok
    assert (summary.node, summary.vm) == ("a/1", "a")
    assert (summary.last_index, summary.last_term, summary.commit) == (3, 2, 2)
    assert (summary.voters, summary.learners) == (VOTERS, (D,))
    assert (summary.committed.routing, summary.latest.routing) == (2, 3)


def test_a_log_with_a_gap_is_corrupt():
    log = log_of(membership(1, VOTERS), put_routing(3))
    assert isinstance(summarize_log(log).error, LogCorrupt)


def write_folder(folder, *batches, snapshot=None):
    folder.mkdir(exist_ok=True)
    (folder / "identity").write_text(A.node)
    if snapshot is not None:
        replace_file(folder / SNAPSHOT_FILE, encode_record(snapshot))
    store = Store(folder)
    for batch in batches:
        store.write(batch)
    store.close()


def read_files(folder):
    return {path.name: path.read_bytes() for path in folder.iterdir()}


def test_a_folder_is_read_unchanged_with_a_torn_record(tmp_path):
    write_folder(tmp_path, DiskBatch(2, "", 0, (membership(1, VOTERS),)))
    with (tmp_path / "log").open("ab") as stream:
        stream.write(b"torn")
    before = read_files(tmp_path)
    recovered = read_data_folder(tmp_path).ok
    assert summarize_log(recovered).ok.torn
    assert read_files(tmp_path) == before


def test_a_blank_folder_is_refused_and_stays_blank(tmp_path):
    assert isinstance(read_data_folder(tmp_path).error, DataFolderBlank)
    assert read_files(tmp_path) == {}
