"""Test how a gateway follows the control processes, over fake links."""

from __future__ import annotations

from dataclasses import replace
from types import SimpleNamespace

import logbook
import pytest

from snipecart.core.ids import Instant
from snipecart.core.states import MemberState
from snipecart.gateway import sync as sync_module
from snipecart.gateway.balancing.demand import DemandTaken
from snipecart.gateway.balancing.view import SyncPoint
from snipecart.gateway.balancing.view import View
from snipecart.gateway.followed_list import FollowedList
from snipecart.gateway.key_lease import KeyLease
from snipecart.gateway.key_lease import TableProof
from snipecart.gateway.peers import PeerMessage
from snipecart.gateway.sync import SyncTask
from snipecart.gateway.sync_handlers import SetSeeds
from snipecart.messages.commands import Node
from snipecart.messages.discovery import Gateway
from snipecart.messages.discovery import LogWitness
from snipecart.messages.discovery import RoutingChanged
from snipecart.messages.discovery import SyncAnswer
from snipecart.messages.placement import DemandReport
from snipecart.program.settings import ControlPeer

ANSWER = SyncAnswer("s", 1, False, (), (), 0, b"", 0, (), (), 0, 1, True, False)


class RecordingLink:
    """Record the messages posted to a link instead of sending them."""

    def __init__(self, name, host, port, source, sink):
        self.name, self.sent, self.stopped = name, [], False

    def start(self):
        """Do nothing."""

    def post(self, envelope):
        """Record a message."""
        self.sent.append(envelope.message)

    def stop(self, grace):
        """Record that the link was closed."""
        self.stopped = True


class RecordingBalancer:
    """Record the messages posted to the balancer."""

    def __init__(self):
        self.view = View()
        self.received = []

    def post(self, message):
        """Record a message."""
        self.received.append(message)


@pytest.fixture
def sync(monkeypatch):
    """Return a sync task with two seeds and without a thread."""
    monkeypatch.setattr(sync_module, "Link", RecordingLink)
    seeds = tuple(
        ControlPeer(vm=name, host=name, port=1, http_port=2) for name in ("c1", "c2")
    )
    gateway = Gateway("g1", "vm1", "north", "north-a", "h:1", MemberState.STARTING)
    task = SyncTask(gateway, seeds, "h", RecordingBalancer())
    task._update_links(())
    return task


def deliver_answer(task, vm, now, **overrides):
    """Pass an answer of a control process to a sync task."""
    task.handle([PeerMessage(vm, replace(ANSWER, **overrides))], Instant(now))


def nodes(*names):
    """Return the members of the log with the given names."""
    return tuple(Node(f"{name}/1", name, name, 1) for name in names)


def test_links_follow_a_newer_member_list(sync):
    deliver_answer(sync, "c1", 1.0, control=nodes("c1", "c2", "c3"), control_index=7)
    assert set(sync._peers) == {"c1", "c2", "c3"}


def test_an_older_member_list_closes_no_link(sync):
    deliver_answer(sync, "c1", 1.0, control=nodes("c1", "c2", "c3"), control_index=7)
    link = sync._peers["c3"].link
    deliver_answer(sync, "c2", 1.1, control=nodes("c1", "c2"), control_index=3)
    assert sync._peers["c3"].link is link
    assert not link.stopped


def test_the_link_to_a_removed_member_is_closed(sync):
    deliver_answer(sync, "c1", 1.0, control=nodes("c1", "c2", "c3"), control_index=7)
    link = sync._peers["c3"].link
    deliver_answer(sync, "c1", 1.1, control=nodes("c1", "c2"), control_index=9)
    assert link.stopped
    assert "c3" not in sync._peers


def test_demand_is_reported_to_the_leader_only(sync):
    deliver_answer(sync, "c1", 1.0, leader="c2")
    sync.handle([DemandTaken(5, (), False)], Instant(1.1))
    reports = {
        vm: [item for item in peer.link.sent if isinstance(item, DemandReport)]
        for vm, peer in sync._peers.items()
    }
    assert not reports["c1"]
    assert [item.plan for item in reports["c2"]] == [5]


def test_only_the_followed_control_process_changes_the_server_list(sync):
    deliver_answer(sync, "c1", 1.0)
    deliver_answer(sync, "c2", 1.01)
    deliver_answer(sync, "c2", 2.0)
    followed = sync._followed
    other = ({"c1", "c2"} - {followed}).pop()
    sync._balancer.received.clear()
    deliver_answer(sync, other, 2.1, gone=("i-1",))
    deliver_answer(sync, followed, 2.1, gone=("i-2",))
    assert [item.gone for item in sync._balancer.received] == [(), ("i-2",)]


def count_fetches(task, vm):
    """Return the number of routing table requests sent to a control process."""
    return sum(item.wants_routing for item in task._peers[vm].link.sent)


def test_a_newer_routing_table_is_fetched_from_one_control_process(sync):
    for vm in ("c1", "c2"):
        sync.handle([PeerMessage(vm, RoutingChanged(5, 0))], Instant(1.0))
    assert (count_fetches(sync, "c1"), count_fetches(sync, "c2")) == (1, 0)


def test_another_control_process_is_asked_if_the_first_sent_no_table(sync):
    sync.handle([PeerMessage("c1", RoutingChanged(5, 0))], Instant(1.0))
    deliver_answer(sync, "c2", 1.5, routing_version=5)
    assert (count_fetches(sync, "c1"), count_fetches(sync, "c2")) == (1, 1)


def test_the_current_routing_table_is_not_fetched_again(sync):
    routing = SimpleNamespace(version=5)
    sync._balancer.view = View(index=SimpleNamespace(routing=routing))
    deliver_answer(sync, "c1", 1.0, routing_version=5)
    assert count_fetches(sync, "c1") == 0


@pytest.mark.parametrize("behind", [True, False])
def test_a_gateway_that_starts_takes_no_table_that_may_be_older_than_the_newest(
    sync, behind
):
    state = {"routing": b"t", "routing_version": 6, "evacuated": ("z",)}
    deliver_answer(sync, "c1", 1.0, **state, evacuation_index=4, may_be_behind=behind)
    received = sync._balancer.received[-1]
    taken = (received.routing, received.evacuated, received.evacuation_index)
    assert taken == ((b"", (), 0) if behind else (b"t", ("z",), 4))


def test_a_gateway_asks_a_process_that_may_be_behind_for_no_table(sync):
    deliver_answer(sync, "c1", 1.0, routing_version=6, may_be_behind=True)
    deliver_answer(sync, "c2", 1.0, routing_version=10)
    assert (count_fetches(sync, "c1"), count_fetches(sync, "c2")) == (0, 1)


def test_a_gateway_with_a_table_takes_a_newer_one_from_any_process(sync):
    sync._balancer.view = View(
        index=SimpleNamespace(routing=SimpleNamespace(version=5))
    )
    deliver_answer(sync, "c1", 1.0, routing=b"t", routing_version=6, may_be_behind=True)
    assert sync._balancer.received[-1].routing == b"t"


def test_new_seeds_are_linked_beside_the_members_of_the_log(sync):
    deliver_answer(sync, "c1", 1.0, control=nodes("c1", "c3"), control_index=7)
    seed = ControlPeer(vm="c9", host="c9", port=1, http_port=2)
    sync.handle([SetSeeds((seed,))], Instant(1.1))
    assert set(sync._peers) == {"c1", "c3", "c9"}


TABLE = SimpleNamespace(routing=SimpleNamespace(version=5))


def follow_one(task, now):
    """Make a sync task follow its only answering control process."""
    deliver_answer(task, "c1", now, ready=False)
    task.handle([], Instant(now + 1.0))


def apply_answers(task, revision, unserved=()):
    """Publish a view as the balancer does after it has applied an answer."""
    task._balancer.view = View(
        index=TABLE, applied=SyncPoint("s", revision), unserved=frozenset(unserved)
    )


def test_a_gateway_is_not_ready_before_the_answer_is_applied(sync):
    follow_one(sync, 1.0)
    sync._balancer.view = View(index=TABLE)
    deliver_answer(sync, "c1", 2.1, revision=8)
    assert not sync.ready
    apply_answers(sync, 8)
    sync.handle([], Instant(2.2))
    assert sync.ready


def test_a_gateway_is_not_ready_while_a_service_may_only_seem_to_have_no_server(sync):
    follow_one(sync, 1.0)
    apply_answers(sync, 1, unserved=("racks",))
    deliver_answer(sync, "c1", 9.0)
    assert not sync.ready
    deliver_answer(sync, "c1", 9.1, absent_are_gone=True)
    assert sync.ready


def test_a_gateway_stays_ready_when_a_service_loses_its_servers(sync):
    follow_one(sync, 1.0)
    apply_answers(sync, 1)
    deliver_answer(sync, "c1", 2.1)
    apply_answers(sync, 1, unserved=("racks",))
    deliver_answer(sync, "c1", 2.2)
    assert sync.ready


def test_a_gateway_accepts_an_incomplete_list_only_if_it_serves_every_service(sync):
    follow_one(sync, 1.0)
    apply_answers(sync, 1, unserved=("racks",))
    deliver_answer(sync, "c1", 9.0, ready=False)
    assert not sync.ready
    apply_answers(sync, 1)
    deliver_answer(sync, "c1", 9.1, ready=False)
    assert sync.ready


WITNESSES = {vm: LogWitness(f"{vm}/1", 3, 7) for vm in ("c1", "c2", "c3")}
MEMBERS = {
    "control": nodes(*WITNESSES),
    "control_index": 7,
    "voters": tuple(item.node for item in WITNESSES.values()),
}
KEYED = SimpleNamespace(
    routing=SimpleNamespace(version=3), requires_keys=True, routed_services=frozenset()
)


@pytest.fixture
def leased(sync):
    """Return a sync task with a lease, a table with keys, and the log's voters."""
    sync.lease = KeyLease(4.5)
    sync._balancer.view = View(index=KEYED, applied=SyncPoint("s", 1))
    deliver_answer(sync, "c1", 1.0, **MEMBERS)
    return sync


def prove(task, sent_at, now, *vms):
    """Pass the answers of control processes to requests sent at ``sent_at``."""
    for vm in vms:
        deliver_answer(task, vm, now, sent_at=sent_at, witness=WITNESSES[vm], **MEMBERS)


def test_answers_of_all_control_processes_prove_the_table(leased):
    prove(leased, 2.0, 2.1, "c1")
    assert leased.lease.proof.proved_at < 0
    prove(leased, 2.0, 2.1, "c3")
    assert leased.lease.proof == TableProof(3, 2.0)


def test_a_table_that_is_older_than_a_witness_is_not_proved(leased):
    leased._balancer.view = View(
        index=SimpleNamespace(**{**vars(KEYED), "routing": SimpleNamespace(version=2)})
    )
    prove(leased, 2.0, 2.1, "c1", "c2", "c3")
    assert leased.lease.proof.proved_at < 0
    leased._balancer.view = View(index=KEYED)
    leased.handle([], Instant(2.2))
    assert leased.lease.proof == TableProof(3, 2.0)


def test_a_gateway_is_ready_only_once_it_can_admit_keys(leased):
    # It would get requests from the look-up, and refuse them for lack of proof.
    leased._followed = "c1"
    leased.followed_list = FollowedList(source="s", revision=1, ready=True)
    leased.handle([], Instant(2.0))
    assert not leased.ready
    prove(leased, 2.0, 2.1, "c1", "c2")
    assert leased.ready
    leased.handle([], Instant(9.0))
    assert leased.ready, "a gateway that loses contact still serves anonymous requests"


def test_the_lack_and_the_return_of_a_proof_are_logged_once(leased):
    leased.complete = True
    prove(leased, 2.0, 2.1, "c1", "c2")
    with logbook.TestHandler() as lines:
        for now in (3.0, 7.0, 8.0):
            leased.handle([], Instant(now))
        prove(leased, 8.0, 8.1, "c1", "c2")
    events = [item.extra["event"] for item in lines.records]
    assert [event for event in events if event in (3331, 3332)] == [3331, 3332]


def test_a_proof_takes_no_additional_messages(leased):
    leased.handle([], Instant(2.0))
    before = len(leased._peers["c1"].link.sent)
    prove(leased, 2.0, 2.1, "c1", "c2", "c3")
    leased.handle([], Instant(2.2))
    assert len(leased._peers["c1"].link.sent) == before
