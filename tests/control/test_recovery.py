"""Test which log is the newest, and the recovery of one without its quorum."""

from __future__ import annotations

from pathlib import Path

import pytest

from snipecart.control.disk.records import encode_record
from snipecart.control.disk.records import replace_file
from snipecart.control.disk.store import SNAPSHOT_FILE
from snipecart.control.disk.store import RecoveredState
from snipecart.control.disk.store import Store
from snipecart.control.disk.store import append_batch
from snipecart.control.disk.store import read_data_folder
from snipecart.control.disk.store import recover
from snipecart.control.factory import restore_raft_state
from snipecart.control.machine.state import MachineState
from snipecart.control.machine.state import dump_state
from snipecart.control.raft.effects import Persist
from snipecart.control.raft.events import SyncCompletion
from snipecart.control.raft.events import Tick
from snipecart.control.raft.replication import CommittedEntryLost
from snipecart.control.raft.state import step
from snipecart.control.recovery import RECOVERY_TERM_STEP
from snipecart.control.recovery import PeerAddress
from snipecart.control.recovery import plan_recovery
from snipecart.control.recovery import select_newest
from snipecart.control.recovery import summarize_log
from snipecart.core.failures import AddressUnknown
from snipecart.core.failures import DataFolderBlank
from snipecart.core.failures import LogCorrupt
from snipecart.core.failures import NeverMember
from snipecart.core.states import Role
from snipecart.messages.commands import ChangeVoters
from snipecart.messages.commands import Entry
from snipecart.messages.commands import Node
from snipecart.messages.commands import Noop
from snipecart.messages.commands import PutRouting
from snipecart.messages.raft import AppendRequest
from snipecart.messages.raft import DiskBatch
from snipecart.messages.raft import DiskSnapshot
from snipecart.messages.raft import VoteRequest

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


def replay(recovered, batch):
    """Return the state of the data folder after a batch, and the Raft state."""
    kept = [
        entry
        for entry in recovered.entries
        if not batch.cut_from or entry.index < batch.cut_from
    ]
    after = RecoveredState(
        recovered.node,
        batch.term,
        batch.voted_for,
        recovered.snapshot,
        [*kept, *batch.entries],
        max(recovered.commit, batch.commit),
    )
    return restore_raft_state(after, seed=1)


def lead_alone(state):
    """Let the election timeout pass, with the disk as the only other party."""
    now = state.election_due
    effects = step(state, Tick(), now)
    while effects:
        persisted = [item.batch for item in effects if isinstance(item, Persist)]
        effects = []
        for batch in persisted:
            last = batch.entries[-1] if batch.entries else Entry(0, -1, 0, Noop())
            done = SyncCompletion(batch.term, last.index, last.term)
            effects += step(state, done, now)
    return state


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
    assert isinstance(plan_recovery(log).error, LogCorrupt)


def test_planning_changes_nothing_that_was_read():
    snapshot = DiskSnapshot(2, 2, VOTERS, (), b"")
    log = log_of(put_routing(2), put_routing(3), snapshot=snapshot)
    entries = list(log.entries)
    summarize_log(log)
    plan_recovery(log)
    assert log.entries == entries


def test_a_recovered_voter_leads_alone_and_commits_what_it_has():
    log = log_of(membership(1, VOTERS, (D,)), put_routing(2), put_routing(3), commit=2)
    plan = plan_recovery(log).ok
    assert plan.removed_voters == (B, C)
    assert plan.removed_learners == (D,)
    assert (plan.commit, plan.last_index) == (2, 3)
    state = lead_alone(replay(log, plan.batch))
    assert (state.role, state.voters, state.learners) == (Role.LEADER, (A,), ())
    assert state.commit == state.log.last_index == 5


def test_without_a_recovery_the_voter_leads_nothing():
    log = log_of(membership(1, VOTERS), put_routing(2), commit=2)
    state = lead_alone(restore_raft_state(log, seed=1))
    assert state.role is Role.CANDIDATE


def recovered_leader(log):
    """Return the leader of a recovered log, which has no other voter."""
    return lead_alone(replay(log, plan_recovery(log).ok.batch))


MISSED_ELECTIONS = 100
"""Elections that the other voters held without the recovered process."""


@pytest.mark.parametrize("pre_vote", [True, False])
def test_a_recovered_voter_votes_for_no_voter_of_the_older_log(pre_vote):
    log = log_of(membership(1, VOTERS), put_routing(2), term=8)
    state = replay(log, plan_recovery(log).ok.batch)
    last_term = 8 + MISSED_ELECTIONS
    assert state.log.last_term > last_term
    req = VoteRequest(pre_vote, state.term + 1, B.node, 99, last_term)
    answer = step(state, req, state.election_due)[-1].message
    assert not answer.granted


def send_log(leader, follower):
    """Let a follower accept the last entries of a leader, after the first one."""
    req = AppendRequest(
        leader.term,
        leader.node_id,
        1,
        leader.log.term_at(1),
        tuple(leader.log.entries[1:]),
        leader.commit,
        0,
    )
    return step(follower, req, follower.election_due)


def test_a_returning_voter_replaces_entries_not_known_to_be_committed():
    first = membership(1, VOTERS)
    leader = recovered_leader(log_of(first, put_routing(2)))
    returning = restore_raft_state(log_of(first, put_routing(2, 1), node=B), seed=1)
    send_log(leader, returning)
    assert returning.log.entries == leader.log.entries
    assert returning.voters == (A,)


def test_a_returning_voter_with_lost_committed_entries_fails():
    first = membership(1, VOTERS)
    leader = recovered_leader(log_of(first, put_routing(2)))
    entries = (first, put_routing(2), put_routing(3))
    returning = restore_raft_state(log_of(*entries, node=B, commit=3), seed=1)
    with pytest.raises(CommittedEntryLost):
        send_log(leader, returning)


def test_a_recovered_voter_fails_if_a_quorum_of_the_older_log_returns():
    first = membership(1, VOTERS)
    recovered = recovered_leader(log_of(first, put_routing(2)))
    older = log_of(first, put_routing(2), put_routing(3), node=B, term=recovered.term)
    leader = restore_raft_state(older, seed=1)
    leader.term += 1
    with pytest.raises(CommittedEntryLost):
        send_log(leader, recovered)


def test_a_voter_that_is_no_longer_a_member_needs_a_stated_address():
    log = log_of(membership(1, VOTERS), membership(2, (B, C)), put_routing(3))
    assert isinstance(plan_recovery(log).error, AddressUnknown)
    plan = plan_recovery(log, PeerAddress("10.9.9.9", 9)).ok
    assert plan.voter == Node("a/1", "a", "10.9.9.9", 9)
    assert plan.removed_voters == (B, C)


def test_a_stated_address_replaces_the_one_in_the_log():
    log = log_of(membership(1, VOTERS))
    plan = plan_recovery(log, PeerAddress("10.9.9.9", 9)).ok
    assert (plan.voter.host, plan.voter.port) == ("10.9.9.9", 9)


def test_a_learner_can_be_recovered_and_does_not_count_as_added():
    added = Node("d/1", "d", "10.0.0.d", 7, added=True)
    log = log_of(membership(1, VOTERS, (added,)), node=D)
    plan = plan_recovery(log).ok
    assert plan.voter == D
    assert plan.removed_voters == VOTERS


@pytest.mark.parametrize("entries", [(), (membership(1, VOTERS),)])
def test_a_node_that_never_was_a_member_is_refused(entries):
    log = log_of(*entries, node=E)
    address = PeerAddress("10.9.9.9", 9)
    assert isinstance(plan_recovery(log, address).error, NeverMember)


def test_a_membership_in_a_snapshot_is_recovered():
    snapshot = DiskSnapshot(7, 2, VOTERS, (), b"")
    log = log_of(node=B, snapshot=snapshot)
    plan = plan_recovery(log).ok
    assert (plan.voter, plan.removed_voters) == (B, (A, C))
    state = lead_alone(replay(log, plan.batch))
    assert (state.role, state.voters) == (Role.LEADER, (B,))
    assert plan.batch.entries[0].index == 8


def test_stale_entries_before_a_snapshot_are_removed():
    # The process ended after it stored a snapshot and before it replaced the log.
    snapshot = DiskSnapshot(7, 2, VOTERS, (), b"")
    log = log_of(membership(1, VOTERS), put_routing(2), snapshot=snapshot)
    plan = plan_recovery(log).ok
    state = lead_alone(replay(log, plan.batch))
    assert (state.role, state.log.base, state.voters) == (Role.LEADER, 7, (A,))


def write_folder(folder, *batches, snapshot=None):
    folder.mkdir(exist_ok=True)
    (folder / "identity").write_text(A.node)
    if snapshot is not None:
        replace_file(folder / SNAPSHOT_FILE, encode_record(snapshot))
    store = Store(folder)
    for batch in batches:
        store.write(batch)
    store.close()


def recover_folder(folder):
    """Recover a data folder as the command does, and return its state after it."""
    recovered = read_data_folder(folder).ok
    append_batch(folder, recovered, plan_recovery(recovered).ok.batch)
    return recover(folder, "a").ok


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


def test_a_recovery_replaces_a_torn_record(tmp_path):
    entries = (membership(1, VOTERS), put_routing(2))
    write_folder(tmp_path, DiskBatch(2, "", 0, entries, 1))
    torn = encode_record(DiskBatch(2, "", 0, (put_routing(3),)))[:-5]
    with (tmp_path / "log").open("ab") as stream:
        stream.write(torn)
    after = recover_folder(tmp_path)
    assert after.torn_at is None
    assert [entry.index for entry in after.entries] == [1, 2, 3]
    assert after.entries[-1].command == ChangeVoters((A,), ())
    assert (after.term, after.voted_for, after.commit) == (
        2 + RECOVERY_TERM_STEP,
        A.node,
        1,
    )


def test_a_recovery_that_ends_halfway_changes_nothing(tmp_path):
    entries = (membership(1, VOTERS), put_routing(2))
    write_folder(tmp_path, DiskBatch(2, "", 0, entries, 1))
    before = (tmp_path / "log").read_bytes()
    recover_folder(tmp_path)
    after = (tmp_path / "log").read_bytes()
    assert after.startswith(before)
    for size in range(len(before), len(after)):
        (tmp_path / "log").write_bytes(after[:size])
        summary = summarize_log(recover(tmp_path, "a").ok).ok
        assert (summary.last_index, summary.voters) == (2, VOTERS)


@pytest.mark.parametrize("entries", [(), (membership(1, VOTERS), put_routing(2))])
def test_a_folder_with_a_snapshot_is_recovered(tmp_path, entries):
    machine = MachineState(routing_version=6, routing=b"table")
    snapshot = DiskSnapshot(7, 2, VOTERS, (), dump_state(machine))
    write_folder(tmp_path, DiskBatch(2, "", 0, entries), snapshot=snapshot)
    summary = summarize_log(recover_folder(tmp_path)).ok
    assert (summary.last_index, summary.voters) == (8, (A,))
    assert summary.latest.routing == 6
