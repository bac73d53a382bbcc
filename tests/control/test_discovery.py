"""Test which reports of backend servers are news, and who must confirm them."""

from __future__ import annotations

from dataclasses import replace

from snipecart.control.discovery.gateways import LookupIndex
from snipecart.control.discovery.table import SILENCE_TIMEOUT
from snipecart.control.discovery.table import InstanceTable
from snipecart.control.discovery.table import UpdateVerdict
from snipecart.control.discovery.task import CommittedState
from snipecart.control.discovery.task import DiscoveryTask
from snipecart.control.discovery.task import InstanceUpdate
from snipecart.core.states import EndpointState
from snipecart.core.states import MemberState
from snipecart.messages.commands import Node
from snipecart.messages.discovery import Gateway
from snipecart.messages.discovery import Gossip
from snipecart.messages.discovery import InstanceChanged
from snipecart.messages.discovery import InstanceSeen
from snipecart.messages.discovery import SyncRequest
from snipecart.wire.links import Received
from tests.gateway.world import make_instance

FIRST = make_instance(1, born=1000, sequence=1)
NEWS, REPEATED, STALE = UpdateVerdict.NEWS, UpdateVerdict.REPEATED, UpdateVerdict.STALE


def judge(table, instance, now=10.0, *, gone=False):
    return table.report(instance, gone, now).verdict


def test_later_reports_without_news_only_show_life():
    table = InstanceTable()
    assert judge(table, FIRST) is NEWS
    assert judge(table, replace(FIRST, sequence=2)) is REPEATED
    leaving = replace(FIRST, sequence=3, state=EndpointState.LEAVING)
    assert judge(table, leaving) is NEWS


def test_late_reports_change_nothing():
    table = InstanceTable()
    leaving = replace(FIRST, sequence=5, state=EndpointState.LEAVING)
    judge(table, leaving)
    assert judge(table, replace(FIRST, sequence=4)) is STALE
    assert table.known[FIRST.instance].instance.state is EndpointState.LEAVING


def test_a_departed_run_stays_gone_and_a_new_run_of_its_id_counts():
    table = InstanceTable()
    judge(table, FIRST)
    departure = replace(FIRST, born=0, sequence=0)
    assert judge(table, departure, gone=True) is NEWS
    assert judge(table, replace(FIRST, sequence=9)) is STALE
    assert judge(table, replace(FIRST, born=2000)) is NEWS
    assert judge(table, replace(FIRST, born=1000), gone=True) is STALE


def test_late_reports_of_a_run_that_left_before_it_was_known_are_stale():
    table = InstanceTable()
    departure = replace(FIRST, born=0, sequence=0)
    judge(table, departure, 10.0, gone=True)
    assert judge(table, replace(FIRST, sequence=4), 11.0) is STALE
    assert judge(table, replace(FIRST, sequence=5), 30.0) is STALE
    assert judge(table, replace(FIRST, born=2000), 31.0) is NEWS


def test_a_new_run_counts_though_the_one_that_left_was_never_known():
    table = InstanceTable()
    judge(table, replace(FIRST, born=0, sequence=0), 10.0, gone=True)
    assert judge(table, replace(FIRST, born=2000, sequence=1), 12.0) is NEWS


def test_a_later_run_takes_an_address_over_and_an_earlier_one_does_not():
    table = InstanceTable()
    judge(table, FIRST)
    later = make_instance(2, endpoint=FIRST.endpoint, born=5000)
    assert judge(table, later) is NEWS
    assert set(table.known) == {later.instance}
    forged = make_instance(3, endpoint=FIRST.endpoint, born=3000)
    assert judge(table, forged) is STALE


def test_the_silent_expire_and_a_later_report_brings_them_back():
    table = InstanceTable()
    judge(table, FIRST, 10.0)
    assert not table.expire(10.0 + SILENCE_TIMEOUT)
    assert [item.gone for item in table.expire(10.1 + SILENCE_TIMEOUT)] == [True]
    assert judge(table, replace(FIRST, sequence=2), 30.0) is NEWS


def test_a_reader_gets_what_changed_since_its_revision():
    table = InstanceTable()
    judge(table, FIRST)
    seen = table.revision
    judge(table, make_instance(2))
    judge(table, replace(FIRST, sequence=2), gone=True)
    changes = {
        item.instance.instance: item.gone for item in table.changes_since(seen, 1)
    }
    assert changes == {"i-racks-1": True, "i-racks-2": False}


def test_a_cold_spell_is_news_once():
    table = InstanceTable()
    judge(table, replace(FIRST, cold=3000), 10.0)
    again = replace(FIRST, sequence=2, cold=1500)
    assert judge(table, again, 11.5) is REPEATED
    assert judge(table, replace(FIRST, sequence=3, cold=3000), 20.0) is NEWS


def make_gateway(name, region="north", state=MemberState.SERVING):
    return Gateway(name, f"vm-{name}", region, f"{region}-a", f"{name}:80", state)


def make_request(name, **more):
    request = SyncRequest(make_gateway(name), "", 0, 0, 0, True, 0, False, 0)
    return replace(request, **more)


class Control:
    """Drive one discovery task by its messages, without its thread."""

    def __init__(self):
        self.task = DiscoveryTask("c1", lambda message: None, 1.5)
        nodes = tuple(Node(f"{vm}/founder", vm, vm, 1) for vm in ("c1", "c2", "c3"))
        self.task.handle([CommittedState(voters=nodes)], 50.0)
        self.replies = []
        self.pushed = []

    def hear(self, now, *peers):
        gossip = [Received(Gossip(peer, ()), print) for peer in peers]
        self.task.handle(gossip, now)

    def sync(self, name, now):
        self.ask(make_request(name), now)

    def ask(self, req, now):
        self.task.handle([Received(req, self.pushed.append)], now)
        return self.pushed[-1]

    def report(self, instance, now, *, gone=False):
        self.task.handle([InstanceUpdate(instance, gone, self.replies.append)], now)

    def confirm(self, name, now):
        seen = InstanceSeen(name, FIRST.instance)
        self.task.handle([Received(seen, print)], now)


def test_leaving_is_confirmed_only_when_every_live_gateway_has_seen_it():
    control = Control()
    control.hear(50.0, "c2")
    for name in ("g1", "g2"):
        control.sync(name, 50.0)
    control.report(replace(FIRST, state=EndpointState.LEAVING), 50.1)
    assert sum(isinstance(item, InstanceChanged) for item in control.pushed) == 2
    control.confirm("g1", 50.2)
    assert control.replies == []
    control.confirm("g2", 50.3)
    assert control.replies == [True]


def test_leaving_is_not_confirmed_while_a_live_gateway_has_not_seen_it():
    control = Control()
    control.hear(50.0, "c2")
    control.sync("g1", 50.0)
    control.report(replace(FIRST, state=EndpointState.LEAVING), 50.1)
    control.task.handle([], 50.9)
    assert control.replies == [False]


def test_a_repeated_departure_is_confirmed_anew():
    control = Control()
    control.hear(50.0, "c2")
    control.sync("g1", 50.0)
    control.report(FIRST, 50.0)
    control.report(FIRST, 50.1, gone=True)
    control.task.handle([], 50.9)
    control.report(FIRST, 51.0, gone=True)
    assert control.replies == [True, False, False]


def test_a_repeated_departure_names_the_run_that_left():
    control = Control()
    control.hear(50.0, "c2")
    control.sync("g1", 50.0)
    control.report(FIRST, 50.0)
    departure = replace(FIRST, born=0, sequence=0)
    for now in (50.1, 50.6):
        control.report(departure, now, gone=True)
    pushed = [item for item in control.pushed if isinstance(item, InstanceChanged)]
    assert [(item.gone, item.instance.born) for item in pushed[1:]] == [
        (True, 1000)
    ] * 2


def test_a_cut_off_control_process_confirms_nothing():
    control = Control()
    control.hear(50.0, "c2")
    control.report(FIRST, 50.5)
    control.report(replace(FIRST, sequence=2), 51.5)
    assert control.replies == [True, False]


def test_a_process_that_stood_still_takes_nobody_for_gone():
    control = Control()
    control.hear(50.0, "c2")
    control.report(FIRST, 50.0)
    control.sync("g1", 50.0)
    control.pushed.clear()
    control.hear(70.0, "c2")
    control.sync("g1", 70.0)
    assert not any(isinstance(item, InstanceChanged) for item in control.pushed)
    assert FIRST.instance in control.task.instances.known
    assert not control.pushed[-1].ready


def test_a_process_that_was_cut_off_takes_nobody_for_gone():
    control = Control()
    control.hear(50.0, "c2")
    control.report(FIRST, 50.0)
    for step in range(40):
        control.task.handle([], 50.0 + step / 2)
    control.hear(70.0, "c2")
    control.task.handle([], 71.0)
    assert FIRST.instance in control.task.instances.known


def test_a_gateway_that_misses_an_instance_gets_everything():
    control = Control()
    control.hear(50.0, "c2")
    control.report(FIRST, 50.0)
    task = control.task
    current = make_request("g1", source=task.run_id, revision=task.instances.revision)
    control.hear(50.5, "c2")
    assert control.ask(current, 50.5).instances
    digest = task.instances.digest()
    assert not control.ask(replace(current, digest=digest), 50.5).instances


def test_a_gateway_gets_a_routing_table_only_where_it_asks_for_it():
    control = Control()
    committed_state = replace(
        control.task.committed_state, routing_version=3, routing=b"{}"
    )
    control.task.handle([committed_state], 50.0)
    told = control.ask(make_request("g1"), 50.0)
    assert (told.routing_version, told.routing) == (3, b"")
    assert control.ask(make_request("g1", wants_routing=True), 50.1).routing == b"{}"


def test_a_gateway_gets_the_control_processes_only_when_others_were_named():
    control = Control()
    nodes = (Node("c1/1", "c1", "c1", 1),)
    committed_state = replace(
        control.task.committed_state, members=nodes, members_index=7
    )
    control.task.handle([committed_state], 50.0)
    assert control.ask(make_request("g1", control_index=6), 50.0).control == nodes
    assert control.ask(make_request("g1", control_index=7), 50.1).control == ()


def test_look_ups_name_serving_gateways_of_the_clients_region_first():
    near = make_gateway("g1")
    far = make_gateway("g2", "south")
    leaving = make_gateway("g3", state=MemberState.LEAVING)
    chosen = LookupIndex((far, leaving, near)).select_gateways("north", "north-a", 5)
    assert chosen == [near]
    assert LookupIndex((far, leaving)).select_gateways("north", "north-a", 5) == [far]


def test_look_ups_take_turns_where_not_all_gateways_can_be_named():
    near = [make_gateway(f"g{number:02}") for number in range(40)]
    index = LookupIndex(near)
    answers = [index.select_gateways("north", "north-a", 16) for _ in range(5)]
    assert all(len(set(answer)) == 16 for answer in answers)
    assert {item for answer in answers for item in answer} == set(near)


def test_look_ups_name_the_clients_zone_first():
    near, other = make_gateway("g9"), make_gateway("g1")
    other = replace(other, zone="north-b")
    assert LookupIndex((other, near)).select_gateways("north", "north-a", 5) == [
        near,
        other,
    ]
    assert LookupIndex((other, near)).select_gateways("north", "north-a", 1) == [near]
