"""Test what a leader and a candidate report about the voters that answer."""

from __future__ import annotations

from snipecart.control.raft.effects import ElectionFailed
from snipecart.control.raft.events import Tick
from snipecart.control.raft.quorum import describe_quorum
from snipecart.control.raft.state import step

from .cluster import VMS
from .cluster import Cluster


def quorum_of(cluster):
    leader = cluster.leader()
    return describe_quorum(leader.state, cluster.clock(leader))


def test_a_leader_reports_a_voter_that_does_not_answer():
    cluster = Cluster(11)
    cluster.run(6.0)
    assert (quorum_of(cluster).voters, quorum_of(cluster).spare) == (3, 1)
    lost = next(vm for vm in VMS if vm != cluster.leader().vm)
    cluster.crash(lost)
    cluster.run(1.5)
    quorum = quorum_of(cluster)
    assert (quorum.answering, quorum.needed, quorum.spare) == (2, 2, 0)
    assert quorum.silent == (f"{lost}/founder",)
    cluster.start(lost)
    cluster.run(1.5)
    assert quorum_of(cluster).spare == 1


def test_a_candidate_reports_which_voters_are_silent():
    cluster = Cluster(12)
    cluster.run(6.0)
    for vm in "bc":
        cluster.crash(vm)
    cluster.run(6.0)
    process = cluster.processes["a"]
    now = max(cluster.clock(process), process.state.election_due)
    effects = step(process.state, Tick(), now)
    report = next(item for item in effects if isinstance(item, ElectionFailed))
    assert report.granted == ("a/founder",)
    assert report.refused == ()
    assert report.silent == ("b/founder", "c/founder")
    assert len(report.voters) == 3
