"""Test that the log and its messages stay small, whatever the size of its entries."""

from __future__ import annotations

import pytest

from snipecart.control.machine.state import MachineState
from snipecart.control.node import SNAPSHOT_BYTES
from snipecart.control.node import NodeOutputs
from snipecart.control.node import NodeTask
from snipecart.control.raft.effects import PersistSnapshot
from snipecart.control.raft.events import SyncCompletion
from snipecart.control.raft.log import Log
from snipecart.control.raft.replication import MAX_APPEND_BYTES
from snipecart.control.raft.replication import MAX_APPEND_ENTRIES
from snipecart.control.raft.snapshots import TRAILING_BYTES
from snipecart.core.message import payload_size
from snipecart.messages.commands import Entry
from snipecart.messages.commands import Node
from snipecart.messages.commands import Noop
from snipecart.messages.commands import PutRouting
from snipecart.wire.codec import _encode_small
from snipecart.wire.codec import encode_nested
from snipecart.wire.links import IncomingMessage

from .test_restart import bootstrap_log
from .test_restart import restart

MANIFEST = b"m" * 77_000
CHANGES = 400
OWN_NODE = Node("a/founder", "a", "h", 1)


def put_routing(version):
    return PutRouting(version, MANIFEST, MANIFEST + b"%d" % version)


def run_changes(tmp_path):
    """Commit large changes in a log with one voter; return its node and snapshots."""
    bootstrap_log(tmp_path, "a", (OWN_NODE,))
    state, _ = restart(tmp_path)
    persisted = []
    outputs = NodeOutputs(print, lambda effect: persisted.append(effect) or True, print)
    node = NodeTask(state, MachineState(), OWN_NODE, outputs)
    node.handle([], 10.0)
    now = node.state.election_due
    messages = []
    for version in range(CHANGES):
        now += 0.01
        last = node.state.log.last_index
        term = node.state.log.last_term
        messages.append(SyncCompletion(node.state.term, last, term))
        if node.leader_state is not None:
            messages.append(IncomingMessage(put_routing(version + 1), lambda _: None))
        node.handle(messages, now)
        messages = []
    return node, [item for item in persisted if isinstance(item, PersistSnapshot)]


def test_a_log_of_large_changes_is_compacted_by_its_bytes(tmp_path):
    # A start read the entries since the last snapshot, and exceeded its memory.
    node, snapshots = run_changes(tmp_path)
    assert node.machine.routing_version > CHANGES - 10
    size = sum(payload_size(entry.command) for entry in node.state.log.entries)
    assert size < SNAPSHOT_BYTES + TRAILING_BYTES + 1_000_000
    assert len(snapshots) >= CHANGES * 2 * len(MANIFEST) // SNAPSHOT_BYTES - 1
    for item in snapshots:
        trailing = [
            payload_size(entry.command)
            for entry in item.rest.entries
            if entry.index <= item.snapshot.index
        ]
        assert sum(trailing) <= TRAILING_BYTES


@pytest.mark.parametrize("size", [10, 3000, 2 * MAX_APPEND_BYTES])
def test_an_append_request_has_a_bounded_size_and_at_least_one_entry(size):
    log = Log()
    for index in range(1, 600):
        log.append(Entry(index, 1, 0, PutRouting(index, b"x" * size, b"")))
    entries = log.after(0, MAX_APPEND_ENTRIES, MAX_APPEND_BYTES)
    fitting = min(MAX_APPEND_ENTRIES, MAX_APPEND_BYTES // size)
    assert len(entries) == max(1, fitting)
    assert log.after(599, MAX_APPEND_ENTRIES, MAX_APPEND_BYTES) == ()


def test_large_entries_are_not_kept_encoded():
    before = _encode_small.cache_info().currsize
    assert encode_nested(put_routing(1)) == encode_nested(put_routing(1))
    assert _encode_small.cache_info().currsize == before
    encode_nested(Noop())
    assert encode_nested(Noop()) is encode_nested(Noop())
