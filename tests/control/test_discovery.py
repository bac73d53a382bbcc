"""Test the tracking of instances, the confirmation of updates, and lookups."""

from __future__ import annotations

from dataclasses import replace

import pytest

from snipecart.control.discovery.change_feed import FULL_SYNC_SERVERS_PER_SECOND
from snipecart.control.discovery.gateways import LookupIndex
from snipecart.control.discovery.table import SILENCE_TIMEOUT
from snipecart.control.discovery.table import InstanceTable
from snipecart.control.discovery.table import UpdateVerdict
from snipecart.control.discovery.task import DiscoveryTask
from snipecart.control.discovery.updates import CommittedState
from snipecart.control.discovery.updates import InstanceUpdate
from snipecart.control.inspect import describe_discovery
from snipecart.control.machine.state import MachineState
from snipecart.control.machine.state import apply_entry
from snipecart.core.ids import Instant
from snipecart.core.ids import LogIndex
from snipecart.core.states import EndpointState
from snipecart.core.states import MemberState
from snipecart.messages.commands import Entry
from snipecart.messages.commands import Node
from snipecart.messages.discovery import FINAL_SEQUENCE
from snipecart.messages.discovery import RATE_LEASE_DURATION
from snipecart.messages.discovery import Departure
from snipecart.messages.discovery import Gateway
from snipecart.messages.discovery import Gossip
from snipecart.messages.discovery import Heard
from snipecart.messages.discovery import InstanceChanged
from snipecart.messages.discovery import InstanceSeen
from snipecart.messages.discovery import RepeatedHeartbeat
from snipecart.messages.discovery import SyncRequest
from snipecart.text.routing import dump_routing
from snipecart.wire.links import IncomingMessage
from tests.gateway.world import make_instance
from tests.gateway.world import make_route
from tests.gateway.world import make_routing

FIRST = make_instance(1, born=1000, sequence=1)
NEWS, REPEATED, STALE = UpdateVerdict.NEWS, UpdateVerdict.REPEATED, UpdateVerdict.STALE


def apply_update(table, instance, now=10.0, *, gone=False):
    return table.apply_update(instance, gone, now).verdict


def test_repeated_heartbeats_are_no_news():
    table = InstanceTable()
    assert apply_update(table, FIRST) is NEWS
    assert apply_update(table, replace(FIRST, sequence=2)) is REPEATED
    leaving = replace(FIRST, sequence=3, state=EndpointState.LEAVING)
    assert apply_update(table, leaving) is NEWS


def test_late_heartbeats_change_nothing():
    table = InstanceTable()
    leaving = replace(FIRST, sequence=5, state=EndpointState.LEAVING)
    apply_update(table, leaving)
    assert apply_update(table, replace(FIRST, sequence=4)) is STALE
    assert table.live[FIRST.instance].instance.state is EndpointState.LEAVING


def test_late_heartbeats_of_a_gone_instance_are_stale_and_a_new_start_is_news():
    table = InstanceTable()
    apply_update(table, FIRST)
    departure = replace(FIRST, born=0, sequence=0)
    assert apply_update(table, departure, gone=True) is NEWS
    assert apply_update(table, replace(FIRST, sequence=9)) is STALE
    assert apply_update(table, replace(FIRST, born=2000)) is NEWS
    assert apply_update(table, replace(FIRST, born=1000), gone=True) is STALE


def test_late_heartbeats_are_stale_if_the_instance_left_before_it_was_known():
    table = InstanceTable()
    departure = replace(FIRST, born=0, sequence=0)
    apply_update(table, departure, 10.0, gone=True)
    assert apply_update(table, replace(FIRST, sequence=4), 11.0) is STALE
    assert apply_update(table, replace(FIRST, sequence=5), 30.0) is STALE
    assert apply_update(table, replace(FIRST, born=2000), 31.0) is NEWS


def test_a_new_start_is_news_if_the_instance_that_left_was_never_known():
    table = InstanceTable()
    apply_update(table, replace(FIRST, born=0, sequence=0), 10.0, gone=True)
    assert apply_update(table, replace(FIRST, born=2000, sequence=1), 12.0) is NEWS


def test_only_a_later_instance_takes_over_an_address():
    table = InstanceTable()
    apply_update(table, FIRST)
    later = make_instance(2, endpoint=FIRST.endpoint, born=5000)
    assert apply_update(table, later) is NEWS
    assert set(table.live) == {later.instance}
    earlier = make_instance(3, endpoint=FIRST.endpoint, born=3000)
    assert apply_update(table, earlier) is STALE


def test_silent_instances_expire_and_a_later_heartbeat_restores_them():
    table = InstanceTable()
    apply_update(table, FIRST, 10.0)
    assert not table.expire(10.0 + SILENCE_TIMEOUT)
    assert [item.gone for item in table.expire(10.1 + SILENCE_TIMEOUT)] == [True]
    assert apply_update(table, replace(FIRST, sequence=2), 30.0) is NEWS


def test_a_reader_gets_what_changed_since_its_revision():
    table = InstanceTable()
    apply_update(table, FIRST)
    revision = table.revision
    apply_update(table, make_instance(2))
    apply_update(table, replace(FIRST, sequence=2), gone=True)
    changes = {
        item.instance.instance: item.gone for item in table.changes_since(revision, 1)
    }
    assert changes == {"i-racks-1": True, "i-racks-2": False}


def test_a_cold_period_is_news_once():
    table = InstanceTable()
    apply_update(table, replace(FIRST, cold=3000), 10.0)
    again = replace(FIRST, sequence=2, cold=1500)
    assert apply_update(table, again, 11.5) is REPEATED
    assert apply_update(table, replace(FIRST, sequence=3, cold=3000), 20.0) is NEWS


def make_gateway(name, region="north", state=MemberState.SERVING):
    return Gateway(name, f"vm-{name}", region, f"{region}-a", f"{name}:80", state)


def make_request(name, **overrides):
    request = SyncRequest(make_gateway(name), "", 0, 0, 0, True, 0, False, 0, 9.0)
    return replace(request, **overrides)


class TaskDriver:
    """Pass messages to one discovery task, without its thread."""

    def __init__(self, started_at=40.0, departures=(), *, caught_up=True, interval=1.5):
        self.proposed = []
        self.task = DiscoveryTask(
            "c1", lambda message: None, self.proposed.append, interval
        )
        self.task.started_at = started_at
        nodes = tuple(Node(f"{vm}/founder", vm, vm, 1) for vm in ("c1", "c2", "c3"))
        self.machine = MachineState(departures=dict(departures))
        self.committed_state = CommittedState(voters=nodes)
        self.commit(50.0, caught_up=caught_up)
        self.replies = []
        self.pushed = []

    def receive_gossip(self, now, *peers):
        gossip = [IncomingMessage(Gossip(peer, ()), print) for peer in peers]
        self.task.handle(gossip, now)

    def send_sync(self, name, now):
        self.send_request(make_request(name), now)

    def send_sync_answer(self, name, now):
        return self.send_request(make_request(name), now)

    def send_request(self, req, now):
        self.task.handle([IncomingMessage(req, self.pushed.append)], now)
        return self.pushed[-1]

    def send_update(self, instance, now, *, gone=False, commit=True):
        self.task.handle([InstanceUpdate(instance, gone, self.replies.append)], now)
        if commit and self.proposed:
            self.commit(now)

    def commit(self, now, *, caught_up=True):
        """Commit the proposed departures to the log."""
        for command in self.proposed:
            entry = Entry(LogIndex(len(self.machine.departures) + 1), 1, 0, command)
            apply_entry(self.machine, entry)
        self.proposed.clear()
        self.committed_state = replace(
            self.committed_state,
            departures=tuple(self.machine.departures.values()),
            caught_up=caught_up,
        )
        self.task.handle([self.committed_state], now)

    def confirm(self, name, now, instance=FIRST):
        confirmation = InstanceSeen(name, instance.instance, instance.sequence)
        self.task.handle([IncomingMessage(confirmation, print)], now)


def test_leaving_is_confirmed_once_every_live_gateway_has_confirmed_it():
    control = TaskDriver()
    control.receive_gossip(50.0, "c2")
    for name in ("g1", "g2"):
        control.send_sync(name, 50.0)
    control.send_update(replace(FIRST, state=EndpointState.LEAVING), 50.1)
    assert sum(isinstance(item, InstanceChanged) for item in control.pushed) == 2
    control.confirm("g1", 50.2)
    assert control.replies == []
    control.confirm("g2", 50.3)
    assert control.replies == [True]


def test_a_confirmation_counts_for_its_own_instance_and_state_only():
    control = TaskDriver()
    control.receive_gossip(50.0, "c2")
    control.send_sync("g1", 50.0)
    control.send_update(FIRST, 50.0)
    leaving = replace(FIRST, state=EndpointState.LEAVING, sequence=FIRST.sequence + 1)
    control.send_update(leaving, 50.1)
    control.confirm("g1", 50.2, make_instance(2))
    control.confirm("g1", 50.2, FIRST)
    assert control.replies == [True]
    control.confirm("g1", 50.3, leaving)
    assert control.replies == [True, True]


def test_a_departure_is_confirmed_by_the_pushed_departure():
    control = TaskDriver()
    control.receive_gossip(50.0, "c2")
    control.send_sync("g1", 50.0)
    control.send_update(FIRST, 50.0)
    control.send_update(replace(FIRST, born=0, sequence=0), 50.1, gone=True)
    pushed = [item for item in control.pushed if isinstance(item, InstanceChanged)]
    control.confirm("g1", 50.2, FIRST)
    assert control.replies == [True]
    control.confirm("g1", 50.3, pushed[-1].instance)
    assert control.replies == [True, True]


def test_leaving_is_not_confirmed_without_every_live_gateway():
    control = TaskDriver()
    control.receive_gossip(50.0, "c2")
    control.send_sync("g1", 50.0)
    control.send_update(replace(FIRST, state=EndpointState.LEAVING), 50.1)
    control.task.handle([], 50.9)
    assert control.replies == [False]


def test_a_repeated_departure_is_confirmed_again():
    control = TaskDriver()
    control.receive_gossip(50.0, "c2")
    control.send_sync("g1", 50.0)
    control.send_update(FIRST, 50.0)
    control.send_update(FIRST, 50.1, gone=True)
    control.task.handle([], 50.9)
    control.send_update(FIRST, 51.0, gone=True)
    assert control.replies == [True, False, False]


def test_a_repeated_departure_has_the_start_time_of_the_instance():
    control = TaskDriver()
    control.receive_gossip(50.0, "c2")
    control.send_sync("g1", 50.0)
    control.send_update(FIRST, 50.0)
    departure = replace(FIRST, born=0, sequence=0)
    for now in (50.1, 50.6):
        control.send_update(departure, now, gone=True)
    pushed = [item for item in control.pushed if isinstance(item, InstanceChanged)]
    assert [(item.gone, item.instance.born) for item in pushed[1:]] == [
        (True, 1000)
    ] * 2


def test_an_isolated_control_process_confirms_nothing():
    control = TaskDriver()
    control.receive_gossip(50.0, "c2")
    control.send_update(FIRST, 50.5)
    control.send_update(replace(FIRST, sequence=2), 51.5)
    assert control.replies == [True, False]


def test_a_process_that_has_just_started_takes_heartbeats_but_no_departures():
    control = TaskDriver(started_at=50.0)
    control.send_update(FIRST, 50.1)
    leaving = replace(FIRST, state=EndpointState.LEAVING, sequence=FIRST.sequence + 1)
    control.send_update(leaving, 50.2)
    assert control.replies == [True, False]
    for now in (51.0, 51.9, 52.5):
        control.task.handle([], now)
    control.send_update(make_instance(2), 52.6)
    assert control.replies == [True, False, False]


def test_servers_are_pushed_only_once_the_process_has_settled():
    control = TaskDriver(started_at=50.0)
    control.receive_gossip(50.0, "c2")
    control.send_sync("g1", 50.0)
    control.send_update(FIRST, 50.1)
    assert not [item for item in control.pushed if isinstance(item, InstanceChanged)]
    answer = control.send_sync_answer("g1", 50.2)
    assert [item.instance for item in answer.instances] == [FIRST.instance]
    leaving = replace(FIRST, state=EndpointState.LEAVING, sequence=FIRST.sequence + 1)
    control.send_update(leaving, 50.3)
    assert [type(item) for item in control.pushed[2:]] == [InstanceChanged]
    for now in (50.9, 51.8, 52.6):
        control.receive_gossip(now, "c2")
    control.send_sync("g1", 52.6)
    control.send_update(make_instance(2), 52.7)
    assert type(control.pushed[-1]) is InstanceChanged


def test_a_process_expires_no_instances_after_a_suspension():
    control = TaskDriver()
    control.receive_gossip(50.0, "c2")
    control.send_update(FIRST, 50.0)
    control.send_sync("g1", 50.0)
    control.pushed.clear()
    control.receive_gossip(70.0, "c2")
    control.send_sync("g1", 70.0)
    assert not any(isinstance(item, InstanceChanged) for item in control.pushed)
    assert FIRST.instance in control.task.instances.live
    assert not control.pushed[-1].ready


def test_a_process_expires_no_instances_after_isolation():
    control = TaskDriver()
    control.receive_gossip(50.0, "c2")
    control.send_update(FIRST, 50.0)
    for step in range(40):
        control.task.handle([], 50.0 + step / 2)
    control.receive_gossip(70.0, "c2")
    control.task.handle([], 71.0)
    assert FIRST.instance in control.task.instances.live


def test_a_gateway_that_lacks_an_instance_gets_all_instances():
    control = TaskDriver()
    control.receive_gossip(50.0, "c2")
    control.send_update(FIRST, 50.0)
    task = control.task
    current = make_request("g1", source=task.run_id, revision=task.instances.revision)
    control.receive_gossip(50.5, "c2")
    assert not control.send_request(current, 50.5).instances
    assert control.send_request(current, 50.9).instances
    digest = task.instances.digest()
    assert not control.send_request(replace(current, digest=digest), 50.9).instances
    assert not control.send_request(current, 50.9).instances


def test_a_change_that_another_process_has_pushed_costs_no_list_of_all_instances():
    control = TaskDriver()
    control.receive_gossip(50.0, "c2")
    control.send_update(FIRST, 50.0)
    task = control.task
    ahead = make_request("g1", source=task.run_id, revision=task.instances.revision)
    assert not control.send_request(ahead, 50.5).instances
    pushed = Heard(make_instance(2), gone=False)
    control.task.handle([IncomingMessage(Gossip("c2", (pushed,)), print)], 50.8)
    digest = task.instances.digest()
    answer = control.send_request(replace(ahead, digest=digest), 51.0)
    assert [item.instance for item in answer.instances] == [pushed.instance.instance]


def test_an_answer_without_changes_names_no_revision():
    control = TaskDriver()
    control.receive_gossip(50.0, "c2")
    control.send_update(FIRST, 50.0)
    answer = control.send_request(make_request("g1", wants_changes=False), 50.5)
    assert (answer.source, answer.revision, answer.complete) == ("", 0, False)


def test_lists_of_all_instances_are_limited():
    control = TaskDriver()
    control.receive_gossip(50.0, "c2")
    for number in range(1000):
        control.send_update(make_instance(number), 50.0)
    listed = [
        bool(control.send_request(make_request(f"g{at}"), 50.5).instances)
        for at in range(10)
    ]
    assert sum(listed) == FULL_SYNC_SERVERS_PER_SECOND / 1000
    control.receive_gossip(51.5, "c2")
    assert control.send_request(make_request("g9"), 51.5).instances


def test_a_gateway_gets_a_routing_table_only_on_request():
    control = TaskDriver()
    committed_state = replace(
        control.task.committed_state, routing_version=3, routing=b"{}"
    )
    control.task.handle([committed_state], 50.0)
    sync_answer = control.send_request(make_request("g1"), 50.0)
    assert (sync_answer.routing_version, sync_answer.routing) == (3, b"")
    assert (
        control.send_request(make_request("g1", wants_routing=True), 50.1).routing
        == b"{}"
    )


def test_a_gateway_gets_the_control_processes_only_if_they_changed():
    control = TaskDriver()
    nodes = (Node("c1/1", "c1", "c1", 1),)
    committed_state = replace(
        control.task.committed_state, members=nodes, members_index=7
    )
    control.task.handle([committed_state], 50.0)
    assert (
        control.send_request(make_request("g1", control_index=6), 50.0).control == nodes
    )
    assert control.send_request(make_request("g1", control_index=7), 50.1).control == ()


def test_absent_servers_are_gone_only_after_the_silence_timeout_in_contact():
    start = 50.0
    control = TaskDriver(start)
    answers = {}
    for step in range(1, 20):
        seconds = step / 2
        control.receive_gossip(Instant(start + seconds), "c2")
        answers[seconds] = control.send_sync_answer("g1", Instant(start + seconds))
    gone = {seconds for seconds, answer in answers.items() if answer.absent_are_gone}
    assert gone == {seconds for seconds in answers if seconds > SILENCE_TIMEOUT}
    control.task.gossip.contacts.clear()
    assert not control.send_sync_answer("g1", Instant(start + 9.6)).absent_are_gone


def test_lookups_return_serving_gateways_of_the_clients_region():
    nearby = make_gateway("g1")
    distant = make_gateway("g2", "south")
    leaving = make_gateway("g3", state=MemberState.LEAVING)
    gateways = LookupIndex((distant, leaving, nearby)).select_gateways(
        "north", "north-a", 5
    )
    assert gateways == [nearby]
    assert LookupIndex((distant, leaving)).select_gateways("north", "north-a", 5) == [
        distant
    ]


def test_lookups_rotate_if_an_answer_cannot_contain_all_gateways():
    nearby = [make_gateway(f"g{number:02}") for number in range(40)]
    index = LookupIndex(nearby)
    answers = [index.select_gateways("north", "north-a", 16) for _ in range(5)]
    assert all(len(set(answer)) == 16 for answer in answers)
    assert {item for answer in answers for item in answer} == set(nearby)


def test_lookups_return_the_clients_zone_first():
    nearby, other = make_gateway("g9"), make_gateway("g1")
    other = replace(other, zone="north-b")
    assert LookupIndex((other, nearby)).select_gateways("north", "north-a", 5) == [
        nearby,
        other,
    ]
    assert LookupIndex((other, nearby)).select_gateways("north", "north-a", 1) == [
        nearby
    ]


def gossiped_by(task):
    """Return the messages that a task broadcasts."""
    sent = []
    task.broadcast = sent.append
    return sent


def pass_on(sent, receiver, now):
    receiver.task.handle([IncomingMessage(message, print) for message in sent], now)


def test_a_restarted_process_ignores_late_heartbeats_of_servers_that_left():
    leaving = make_instance(2, born=1000, sequence=7, state=EndpointState.LEAVING)
    old, restarted = TaskDriver(), TaskDriver(started_at=50.0)
    sent = gossiped_by(old.task)
    old.receive_gossip(50.0, "c2")
    for instance in (FIRST, leaving):
        old.send_update(instance, 50.0)
    old.send_update(replace(FIRST, born=0, sequence=0), 50.1, gone=True)
    old.task.handle([IncomingMessage(Gossip("c2", (), "first"), print)], 50.6)
    sent.clear()
    old.task.handle([IncomingMessage(Gossip("c2", (), "second"), print)], 51.0)
    pass_on(sent, restarted, 51.1)
    for late in (
        replace(FIRST, sequence=6),
        replace(leaving, sequence=6, state=EndpointState.SERVING),
    ):
        restarted.send_update(late, 51.2)
    live = restarted.task.instances.live
    assert {name: item.instance.state for name, item in live.items()} == {
        leaving.instance: EndpointState.LEAVING
    }


def test_departures_are_repeated_once_for_each_start_of_a_process():
    control = TaskDriver()
    sent = gossiped_by(control.task)
    control.receive_gossip(50.0, "c2")
    control.send_update(FIRST, 50.0)
    control.send_update(FIRST, 50.1, gone=True)
    for step in range(6):
        gossip = IncomingMessage(Gossip("c2", (), "second"), print)
        control.task.handle([gossip], Instant(50.5 + step / 2))
    departures = [item for message in sent for item in message.heard if item.gone]
    assert len(departures) == 2


def heartbeats(control, sent, numbers, now, sequence):
    """Send a heartbeat of each server, and return the gossip that follows."""
    sent.clear()
    for number in numbers:
        control.send_update(make_instance(number, born=1, sequence=sequence), now)
    control.receive_gossip(now + 0.4, "c2")
    return sent[-1]


def test_unchanged_heartbeats_are_gossiped_in_short_form_and_sometimes_whole():
    control = TaskDriver()
    sent = gossiped_by(control.task)
    for step in range(6):
        control.receive_gossip(50.0 + step, "c2")
    whole, short = [], []
    for step in range(9):
        now = Instant(56.0 + 1.5 * step)
        for at in (0.0, 0.7):
            control.receive_gossip(now + at, "c2")
        gossip = heartbeats(control, sent, range(5), Instant(now + 0.8), step + 1)
        whole.append(len(gossip.heard))
        short.append(len(gossip.repeated))
    assert whole == [5, 0, 0, 0, 5, 0, 0, 0, 5]
    assert short == [0, 5, 5, 5, 0, 5, 5, 5, 0]


def test_a_short_heartbeat_keeps_an_instance_alive_but_not_its_older_state():
    control = TaskDriver()
    stored = make_instance(1, born=1, sequence=4)
    control.receive_gossip(50.0, "c2")
    control.send_update(stored, 50.0)
    for step in range(30):
        now = Instant(50.5 + step / 2)
        repeated = RepeatedHeartbeat(stored.instance, 1, 5 + step)
        control.task.handle(
            [IncomingMessage(Gossip("c2", (), "", (repeated,)), print)], now
        )
    assert control.task.instances.live[stored.instance].instance.sequence == 4
    other_run = RepeatedHeartbeat(stored.instance, 2, 99)
    for step in range(20):
        now = Instant(66.0 + step / 2)
        control.task.handle(
            [IncomingMessage(Gossip("c2", (), "", (other_run,)), print)], now
        )
    assert stored.instance not in control.task.instances.live


def test_heartbeats_are_gossiped_whole_to_a_process_that_starts_again():
    control = TaskDriver()
    sent = gossiped_by(control.task)
    for step in range(12):
        control.receive_gossip(50.0 + step / 2, "c2")
    assert heartbeats(control, sent, range(5), Instant(56.0), 1).heard
    assert heartbeats(control, sent, range(5), Instant(56.8), 2).repeated
    control.task.handle(
        [IncomingMessage(Gossip("c2", (), "second"), print)], Instant(57.5)
    )
    sent.clear()
    for number in range(5):
        control.send_update(make_instance(number, born=1, sequence=3), 57.6)
    control.task.handle(
        [IncomingMessage(Gossip("c2", (), "second"), print)], Instant(58.1)
    )
    assert len(sent[-1].heard) == 5


def test_the_status_lists_serving_instances_before_leaving_ones():
    control = TaskDriver()
    control.receive_gossip(50.0, "c2")
    control.send_update(replace(FIRST, state=EndpointState.LEAVING), 50.0)
    control.send_update(make_instance(2), 50.1)
    (service,) = describe_discovery(control.task, Instant(50.2)).services
    assert list(service.states.items()) == [("serving", 1), ("leaving", 1)]


def test_a_departure_is_gossiped_before_it_is_acknowledged():
    control = TaskDriver()
    sent = gossiped_by(control.task)
    control.receive_gossip(50.0, "c2")
    control.send_sync("g1", 50.0)
    control.send_update(FIRST, 50.1)
    sent.clear()
    control.send_update(FIRST, 50.2, gone=True)
    assert control.replies == [True]
    assert [item.gone for message in sent for item in message.heard] == [False, True]


def test_a_departure_is_not_confirmed_until_the_log_has_recorded_it():
    control = TaskDriver()
    control.receive_gossip(50.0, "c2")
    control.send_update(FIRST, 50.0)
    control.send_update(FIRST, 50.1, gone=True, commit=False)
    assert control.replies == [True]
    control.commit(50.2)
    assert control.replies == [True, True]
    control.receive_gossip(50.9, "c2")
    control.send_update(make_instance(2), 50.9, gone=True, commit=False)
    control.task.handle([], 51.7)
    assert control.replies == [True, True, False]


def test_an_unrecorded_departure_is_proposed_again_until_it_is_recorded():
    control = TaskDriver()
    control.receive_gossip(50.0, "c2")
    control.send_update(FIRST, 50.1, gone=True, commit=False)
    for now in (50.5, 50.7):
        control.task.handle([], now)
    assert len(control.proposed) == 2
    control.commit(50.7)
    control.task.handle([], 51.1)
    assert control.proposed == []


@pytest.mark.parametrize("gone", [True, False])
def test_late_heartbeats_are_stale_after_a_restart_of_all_control_processes(gone):
    departure = replace(FIRST, sequence=9, state=EndpointState.LEAVING)
    before = TaskDriver()
    before.receive_gossip(50.0, "c2")
    before.send_update(departure, 50.1, gone=gone)
    restarted = TaskDriver(50.0, before.machine.departures, caught_up=False)
    restarted.send_update(replace(FIRST, sequence=8), 50.2)
    live = restarted.task.instances.live.values()
    assert not [item for item in live if item.instance.state is EndpointState.SERVING]


@pytest.mark.parametrize("caught_up", [True, False])
def test_a_process_says_that_its_table_may_be_older_until_its_log_has_caught_up(
    caught_up,
):
    control = TaskDriver(started_at=50.0, caught_up=caught_up)
    control.receive_gossip(50.2, "c2")
    answer = control.send_sync_answer("g1", 50.3)
    assert answer.may_be_behind is not caught_up


def test_a_process_that_is_cut_off_says_that_its_table_may_be_older():
    control = TaskDriver(started_at=50.0)
    control.receive_gossip(50.2, "c2")
    assert not control.send_sync_answer("g1", 50.3).may_be_behind
    assert control.send_sync_answer("g1", 60.0).may_be_behind


def test_a_process_is_not_ready_before_its_log_has_caught_up():
    control = TaskDriver(started_at=50.0, caught_up=False)
    for now in (50.9, 51.8, 52.7):
        control.receive_gossip(now, "c2")
    assert not control.send_sync_answer("g1", 52.8).ready
    control.commit(52.9)
    assert control.send_sync_answer("g1", 53.0).ready


def test_departures_that_are_not_known_to_be_committed_count_after_a_restart():
    control = TaskDriver(started_at=50.0, caught_up=False)
    departure = Departure(replace(FIRST, sequence=FINAL_SEQUENCE), gone=True)
    control.task.handle(
        [replace(control.committed_state, uncommitted_departures=(departure,))], 50.1
    )
    control.send_update(replace(FIRST, sequence=9), 50.2)
    assert not control.send_sync_answer("g1", 50.3).instances


def test_a_recorded_departure_removes_no_later_run_of_the_instance():
    control = TaskDriver()
    control.receive_gossip(50.0, "c2")
    control.send_update(FIRST, 50.1, gone=True)
    reborn = TaskDriver(50.0, caught_up=False)
    reborn.send_update(replace(FIRST, born=2000), 50.2)
    reborn.machine = control.machine
    reborn.commit(50.3)
    assert FIRST.instance in reborn.task.instances.live


def test_a_process_leases_no_rates_while_leases_of_an_earlier_run_may_be_valid():
    control = TaskDriver(started_at=50.0, interval=0.2)
    for now in (50.1, 50.9, 51.4, 51.6):
        control.receive_gossip(now, "c2")
        answer = control.send_sync_answer("g1", now)
        assert bool(answer.lease_start) == (now > 50.0 + RATE_LEASE_DURATION)


@pytest.mark.parametrize("service", ["racks", "unnamed"])
def test_an_unnamed_service_takes_no_address_of_a_named_one(service):
    control = TaskDriver()
    control.receive_gossip(50.0, "c2")
    routing = dump_routing(make_routing(make_route(service="racks")))
    control.task.handle(
        [replace(control.committed_state, routing_version=1, routing=routing)], 50.0
    )
    control.send_update(FIRST, 50.1)
    other = replace(make_instance(2), endpoint=FIRST.endpoint, service=service)
    control.send_update(other, 50.2)
    expected = FIRST if service == "unnamed" else other
    assert list(control.task.instances.live) == [expected.instance]
    unnamed = make_instance(3, service="unnamed")
    control.send_update(unnamed, 50.3)
    assert unnamed.instance in control.task.instances.live
