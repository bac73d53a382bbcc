"""Test what a restarted control process knows before it hears from a leader."""

from __future__ import annotations

from snipecart.control.disk.records import encode_record
from snipecart.control.disk.records import replace_file
from snipecart.control.disk.store import SNAPSHOT_FILE
from snipecart.control.disk.store import Store
from snipecart.control.disk.store import bootstrap_log
from snipecart.control.disk.store import recover
from snipecart.control.factory import restore_machine
from snipecart.control.factory import restore_raft_state
from snipecart.control.machine.state import dump_state
from snipecart.control.raft.state import step
from snipecart.messages.commands import Entry
from snipecart.messages.commands import Node
from snipecart.messages.commands import PutRouting
from snipecart.messages.raft import AppendRequest
from snipecart.messages.raft import DiskBatch
from snipecart.messages.raft import DiskSnapshot

from .cluster import Cluster

FOUNDERS = (Node("a/founder", "a", "h", 1),)


def put_routing(index):
    return Entry(index, 1, 0, PutRouting(index, b"table %d" % index, b"source"))


def restart(folder):
    """Return the state of the log and the replicated state after a restart."""
    state = restore_raft_state(recover(folder, "a").ok, seed=1)
    return state, restore_machine(state)


def test_committed_entries_are_in_use_at_once_and_others_are_not(tmp_path):
    bootstrap_log(tmp_path, "a", FOUNDERS)
    store = Store(tmp_path)
    store.write(DiskBatch(1, "a", 0, (put_routing(2),), 1))
    store.write(DiskBatch(1, "a", 0, (put_routing(3),), 2))
    store.close()
    state, machine = restart(tmp_path)
    assert (state.commit, machine.routing_version) == (2, 2)
    assert state.log.last_index == 3


def test_a_commit_index_beyond_the_log_is_cut_to_it(tmp_path):
    bootstrap_log(tmp_path, "a", FOUNDERS)
    store = Store(tmp_path)
    store.write(DiskBatch(1, "a", 0, (put_routing(2),), 9))
    store.close()
    state, machine = restart(tmp_path)
    assert (state.commit, machine.routing_version) == (2, 2)


def test_entries_after_a_snapshot_are_applied_to_its_state(tmp_path):
    bootstrap_log(tmp_path, "a", FOUNDERS)
    store = Store(tmp_path)
    store.write(DiskBatch(1, "a", 0, (put_routing(2), put_routing(3)), 3))
    store.sync()
    _, machine = restart(tmp_path)
    snapshot = DiskSnapshot(3, 1, FOUNDERS, (), dump_state(machine))
    store.replace(snapshot, DiskBatch(1, "a", 0, (put_routing(3), put_routing(4)), 4))
    store.close()
    state, machine = restart(tmp_path)
    assert (state.commit, machine.routing_version) == (4, 4)


def test_all_processes_know_an_accepted_change_right_after_a_common_restart():
    cluster = Cluster(3)
    cluster.run(4.0)
    cluster.submit(1, 0)
    cluster.run(2.0)
    version = max(cluster.accepted)
    for vm in "abc":
        cluster.crash(vm)
    for vm in "abc":
        cluster.start(vm)
        assert cluster.processes[vm].machine.version == version
    cluster.check_settled()


def test_a_log_that_ends_before_its_snapshot_takes_entries_again(tmp_path):
    # A process ended between the two files of a snapshot that it installed.
    bootstrap_log(tmp_path, "a", FOUNDERS)
    store = Store(tmp_path)
    store.write(DiskBatch(1, "a", 0, (put_routing(2),), 2))
    store.close()
    snapshot = DiskSnapshot(9, 1, FOUNDERS, (), dump_state(restart(tmp_path)[1]))
    replace_file(tmp_path / SNAPSHOT_FILE, encode_record(snapshot))
    state, _ = restart(tmp_path)
    assert (state.commit, state.log.last_index) == (9, 9)
    now = state.last_leader_contact
    append = AppendRequest(1, "b/founder", 9, 1, (put_routing(10),), 10, 0)
    step(state, append, now)
    assert (state.commit, state.log.last_index) == (10, 10)
