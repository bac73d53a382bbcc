"""Inject faults, and test that the checks of the simulated cluster detect them."""

from __future__ import annotations

import pytest

from snipecart.control.machine import claims
from snipecart.control.raft import timing
from snipecart.control.raft.state import RaftState
from snipecart.core.ids import NodeId
from snipecart.core.states import ClaimVerdict

from .cluster import VMS
from .cluster import Cluster
from .cluster import Disk
from .cluster import InvariantViolation
from .schedules import make_claim


def elect_leader(cluster: Cluster) -> str:
    """Run until a leader is elected, and return its VM."""
    cluster.run(4.0)
    return cluster.leader().vm


def isolate(cluster: Cluster, vm: str) -> None:
    """Cut the links between a VM and all others."""
    cluster.cut_links |= {(vm, other) for other in VMS if other != vm}
    cluster.cut_links |= {(other, vm) for other in VMS if other != vm}


def crash_all(cluster: Cluster) -> None:
    """Submit a configuration, then crash every process at once."""
    elect_leader(cluster)
    cluster.submit(1, 0)
    cluster.run(0.2)
    for vm in VMS:
        cluster.crash(vm)
    cluster.heal()
    cluster.check_settled()


def test_accepted_configurations_survive_a_power_loss():
    crash_all(Cluster(3, sync_time=0.05))


def test_ack_before_sync_is_detected():
    with pytest.raises(InvariantViolation):
        crash_all(Cluster(3, ack_before_sync=True, sync_time=5.0))


def replace_leader(cluster: Cluster) -> None:
    """Isolate the leader and submit a configuration to its successor."""
    isolate(cluster, elect_leader(cluster))
    cluster.run(5.0)
    cluster.submit(1, cluster.newest_version())
    cluster.run(1.0)
    cluster.heal()
    cluster.check_settled()


def test_isolated_leader_stops_answering():
    replace_leader(Cluster(4))


def test_answers_of_a_stale_leader_are_detected(monkeypatch):
    monkeypatch.setattr(timing, "LEASE_DURATION", 30.0)
    monkeypatch.setattr(timing, "STEP_DOWN_TIMEOUT", 30.0)
    with pytest.raises(InvariantViolation, match="stale leader"):
        replace_leader(Cluster(4))


def test_leading_without_a_quorum_is_detected(monkeypatch):
    monkeypatch.setattr(RaftState, "quorum_size", lambda state: 1)
    with pytest.raises(InvariantViolation):
        replace_leader(Cluster(4))


def lose_disk_then_leader(cluster: Cluster) -> None:
    """Lose the disk of one of two acknowledging processes, then crash the other."""
    leader = elect_leader(cluster)
    isolated, holder = (vm for vm in VMS if vm != leader)
    isolate(cluster, isolated)
    cluster.submit(1, 0)
    cluster.run(0.5)
    cluster.lose_disk(holder)
    cluster.crash(leader)
    cluster.cut_links.clear()
    cluster.start(holder)
    cluster.run(6.0)
    cluster.heal()
    cluster.check_settled()


def test_a_blank_disk_does_not_vote():
    lose_disk_then_leader(Cluster(5))


def test_a_vote_of_a_blank_disk_is_detected(monkeypatch):
    def lose_disk(cluster: Cluster, vm: str) -> None:
        cluster.crash(vm)
        first = cluster.processes[vm].disk.synced[:1]
        cluster.processes[vm].disk = Disk(NodeId(f"{vm}/founder"), first)

    monkeypatch.setattr(Cluster, "lose_disk", lose_disk)
    with pytest.raises((InvariantViolation, Exception), match=r".+"):
        lose_disk_then_leader(Cluster(5))


def claim_twice(cluster: Cluster) -> None:
    """Claim one key in two attempts."""
    elect_leader(cluster)
    cluster.propose(make_claim(1, 1))
    cluster.propose(make_claim(1, 2))
    cluster.run(1.0)
    cluster.check_settled()


def test_a_key_is_granted_once():
    cluster = Cluster(6)
    claim_twice(cluster)
    assert cluster.granted == {"k1": "try1"}


def test_a_key_granted_twice_is_detected(monkeypatch):
    monkeypatch.setattr(
        claims, "_check_existing", lambda existing, command: ClaimVerdict.GRANTED
    )
    with pytest.raises(InvariantViolation, match="granted twice"):
        claim_twice(Cluster(6))
