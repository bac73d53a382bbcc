"""Test the placement plan: which servers objects get, and when that changes."""

from __future__ import annotations

from dataclasses import replace

import pytest

from snipecart.control.placement.assignment import JOIN_SHARE
from snipecart.control.placement.assignment import PlannedServer
from snipecart.control.placement.demand import ObjectDemand
from snipecart.control.placement.modes import OFF_DELAY
from snipecart.control.placement.modes import ON_DELAY
from snipecart.control.placement.modes import PEAK_LIFETIME
from snipecart.control.placement.modes import PlannedServices
from snipecart.control.placement.moves import MAX_MOVES
from snipecart.control.placement.plan import NumberedPlan
from snipecart.control.placement.planner import ServicePlan
from snipecart.control.placement.region_shifts import REGION_SHIFT_PER_SECOND
from snipecart.control.placement.state import PlacementState
from snipecart.gateway.balancing.placement import Placement
from snipecart.messages.placement import MAX_PLANNED_OBJECTS
from snipecart.messages.placement import Coverage
from snipecart.messages.placement import DemandReport
from snipecart.messages.placement import PlacedObject
from snipecart.messages.placement import RegionDemand
from snipecart.messages.placement import ServiceDemand
from snipecart.messages.placement import pack_update
from snipecart.wire.codec import decode
from snipecart.wire.codec import encode

REGIONS = ("north", "south", "west")
STEP = 0.5


def make_servers(*counts, slots=3):
    """Return servers in each region."""
    regions = [REGIONS[at] for at, count in enumerate(counts) for _ in range(count)]
    return [
        PlannedServer(
            f"i-{at}",
            f"10.0.0.{at}:80",
            region,
            slots,
            1,
            is_usable=True,
            is_cold=False,
        )
        for at, region in enumerate(regions)
    ]


def make_demand(count, rate=2.4, work_s=0.225):
    """Return objects with equal demand in all regions."""
    by_region = dict.fromkeys(REGIONS, rate / 3)
    return [
        ObjectDemand(item, rate, rate, work_s, by_region)
        for item in range(1, count + 1)
    ]


class Plan(ServicePlan):
    """Step a plan at intervals."""

    now = 0.0

    def steps(self, count, demand, servers):
        """Revise the plan a number of times, and return the changed objects of each."""
        changes = []
        for _ in range(count):
            self.now += STEP
            changes.append(self.step(demand, servers, self.now))
        return changes

    def owned(self, name):
        """Return the objects of a server."""
        return {item for item, own in self.assignments.items() if name in own.owners}


@pytest.fixture
def servers():
    return make_servers(21, 21, 5)


@pytest.fixture
def plan(servers):
    """Return a plan that has come to rest."""
    plan = Plan()
    plan.steps(60, make_demand(100), servers)
    return plan


def test_each_object_has_one_server_and_loads_are_balanced(plan, servers):
    """Guards against needless copies, and servers with far more objects than others."""
    assert all(len(own.servers) == 1 for own in plan.assignments.values())
    assert {len(plan.owned(item.instance)) for item in servers} <= {1, 2, 3}


def test_unchanged_demand_changes_nothing(plan, servers):
    """Guards against moves back and forth, each of which makes requests cold."""
    assert not any(plan.steps(20, make_demand(100), servers))


def test_objects_of_a_lost_server_move_at_once_and_no_others(plan, servers):
    """Guards against objects without a server, and moves without a need."""
    lost = plan.owned("i-0")
    (changed,) = plan.steps(1, make_demand(100), servers[1:])
    assert changed == lost
    assert all(plan.assignments[item].owners for item in lost)


def test_an_evacuated_zone_is_left_at_once(plan, servers):
    """Guards against objects that stay on servers that must not get requests."""
    evacuated = [replace(item, is_usable=item.region != "west") for item in servers]
    plan.steps(1, make_demand(100), evacuated)
    assert not any(plan.owned(f"i-{at}") for at in range(42, 47))


def test_a_server_that_returns_cold_is_filled_slowly_and_warmed_first(plan, servers):
    """Guards against objects on a server that accepts few requests, and all at once."""
    plan.steps(1, make_demand(100), servers[5:])
    cold = [replace(item, born=2, is_cold=True) for item in servers[:5]]
    plan.steps(4, make_demand(100), cold + servers[5:])
    assert not any(plan.owned(item.instance) for item in cold)
    warm = [replace(item, is_cold=False) for item in cold]
    (changed,) = plan.steps(1, make_demand(100), warm + servers[5:])
    assert 0 < len(changed) <= MAX_MOVES
    for item in changed:
        own = plan.assignments[item]
        assert own.joining in {server.instance for server in warm}
        assert own.shares == (100 - JOIN_SHARE, JOIN_SHARE)
    plan.steps(40, make_demand(100), warm + servers[5:])
    assert all(plan.owned(item.instance) for item in warm)


def test_a_restarted_server_loses_its_objects(plan, servers):
    """Guards against a plan that takes an empty cache for a warm one."""
    restarted = replace(servers[0], born=2, is_cold=True)
    plan.steps(1, make_demand(100), [restarted, *servers[1:]])
    assert not plan.owned("i-0")


def test_a_hot_object_gets_more_servers_and_gives_them_up(plan, servers):
    """Guards against one object that overloads its server, and copies kept for ever."""
    demand = make_demand(100)
    copies = []
    for rate in (2.4, 8.0, 15.0, 8.0, 2.4):
        demand[6] = replace(demand[6], rate=rate, peak=rate)
        plan.steps(30, demand, servers)
        copies.append(len(plan.assignments[7].owners))
    assert copies == [1, 2, 3, 2, 1]


def test_moves_that_follow_demand_change_the_region_of_few_requests(plan, servers):
    """Guards against a shift between regions that the platform counts as a fault."""
    demand = [
        replace(item, rate=6.0, peak=2.4) if item.object in plan.owned("i-0") else item
        for item in make_demand(100)
    ]
    demand = [replace(item, rate=item.rate * (1 + item.object % 5)) for item in demand]
    region = {item.instance: item.region for item in servers}
    before = {item: own.owners for item, own in plan.assignments.items()}
    seconds = 10.0
    plan.steps(int(seconds / STEP), demand, servers)
    moved = sum(
        2.4
        for item, own in plan.assignments.items()
        if region[own.servers[-1]] != region[before[item][0]]
    )
    assert 0 < moved <= 240 * REGION_SHIFT_PER_SECOND * (seconds + 1) + 2.4


def test_an_object_whose_demand_has_ended_leaves_the_plan(plan, servers):
    """Guards against a plan that grows with each key ever requested."""
    plan.steps(1, make_demand(99), servers)
    assert 100 not in plan.assignments


def test_servers_that_are_replaced_do_not_end_a_plan():
    """Guards against an end where both the old and the new servers are listed."""
    planned = PlannedServices()
    few = {"north": 60, "south": 60, "west": 15}
    assert is_planned_after("auto", few, 5.0, planned)
    assert is_planned_after("auto", {**few, "west": 30}, 5.0, planned)
    assert is_planned_after("auto", few, PEAK_LIFETIME + OFF_DELAY, planned)
    assert not is_planned_after("auto", dict.fromkeys(REGIONS, 60), OFF_DELAY, planned)


def place(item, *servers):
    """Return an assignment to servers with equal shares."""
    return PlacedObject("racks", item, servers, (100 // len(servers),) * len(servers))


def test_receivers_get_what_has_changed_since_their_number():
    """Guards against changes or removals that an update leaves out."""
    plan = NumberedPlan()
    plan.lead(1)
    plan.change([place(1, "i-1"), place(2, "i-2")])
    number = plan.number
    plan.change([place(2, "i-3"), PlacedObject("racks", 1, (), ())])
    update = plan.update_since(number)
    assert not update.complete
    follower = NumberedPlan(number=number, placed={("racks", 1): place(1, "i-1")})
    assert follower.apply(update)
    assert follower.placed == plan.placed == {("racks", 2): place(2, "i-3")}
    assert not follower.apply(update)


def test_a_receiver_with_changes_that_a_new_leader_lacks_gets_all():
    """Guards against gateways that keep what only the former leader had planned."""
    plan = NumberedPlan()
    plan.lead(1)
    plan.change([place(1, "i-1")])
    lost = plan.number + 1
    plan.lead(2)
    assert plan.update_since(lost).complete
    assert not plan.update_since(plan.number).complete
    assert plan.update_since(3 << 32) is None


def receive(update, *receivers):
    """Apply an update to gateways or control processes, as it arrives there."""
    received = decode(encode(update)).ok.message
    for receiver in receivers:
        if isinstance(receiver, Placement):
            receiver.apply(received, 0.0)
        else:
            receiver.apply(received)


def test_receivers_learn_that_no_service_is_covered_any_more():
    """Guards against processes that place objects by rules that others have dropped."""
    plan, follower, gateway = NumberedPlan(), NumberedPlan(), Placement()
    plan.lead(1)
    plan.change([place(1, "i-1")])
    plan.set_coverage(Coverage(("racks",), (RegionDemand("racks", "north", 100),)))
    receive(plan.update_since(0), follower, gateway)
    assert gateway.covered == {"racks"}
    number = plan.number
    plan.change([place(1, "i-2")])
    receive(plan.update_since(number), follower, gateway)
    assert gateway.covered == {"racks"} and gateway.regions
    number = plan.number
    plan.set_coverage(Coverage())
    receive(plan.update_since(number), follower, gateway)
    assert follower.coverage == Coverage()
    assert not gateway.covered and not gateway.regions


def test_the_coverage_of_a_leader_of_an_earlier_version_is_applied():
    """Guards against gateways that ignore what such a leader covers."""
    update = pack_update(1, None, [place(1, "i-1")], Coverage(("racks",)))
    gateway = Placement()
    receive(replace(update, coverage_sent=False), gateway)
    assert gateway.covered == {"racks"}


def test_an_update_whose_columns_do_not_match_is_ignored():
    """Guards against a damaged update that ends a task."""
    update = replace(pack_update(5, None, [place(1, "i-1")]), owners=(7,))
    assert not NumberedPlan().apply(update)
    assert not Placement().apply(update, 0.0)


def is_planned_after(mode, slots, seconds, planned=None, gateways_per_slot=40.0):
    """Return whether a service is planned after some seconds."""
    planned = planned or PlannedServices(mode)
    for step in range(int(seconds / STEP) + 1):
        planned.update({"racks": slots}, {"racks": gateways_per_slot}, step * STEP)
    return bool(planned.services)


def test_only_uneven_regions_are_planned():
    """Guards against a plan where regions are even or the settings exclude it."""
    few = {"north": 60, "south": 60, "west": 15}
    even = dict.fromkeys(REGIONS, 60)
    assert is_planned_after("auto", few, ON_DELAY)
    assert not is_planned_after("auto", few, ON_DELAY - STEP)
    assert not is_planned_after("auto", even, 60.0)
    assert is_planned_after("planned", even, ON_DELAY)
    assert not is_planned_after("regional", few, 60.0)


def test_gateways_that_hear_from_servers_often_need_no_plan():
    """Guards against a plan, and its traffic between regions, for few gateways."""
    few = {"north": 60, "south": 60, "west": 15}
    assert not is_planned_after("auto", few, 60.0, gateways_per_slot=8.0)
    planned = PlannedServices()
    assert is_planned_after("auto", few, ON_DELAY, planned)
    assert is_planned_after("auto", few, 60.0, planned, gateways_per_slot=15.0)
    assert not is_planned_after("auto", few, 60.0, planned, gateways_per_slot=8.0)


def test_a_lost_zone_neither_begins_nor_ends_a_plan():
    """Guards against a change of all orders during a failure."""
    even = PlannedServices()
    is_planned_after("auto", dict.fromkeys(REGIONS, 60), 5.0, even)
    assert not is_planned_after(
        "auto", {"north": 60, "south": 60, "west": 10}, 30.0, even
    )
    few = PlannedServices()
    is_planned_after("auto", {"north": 60, "south": 60, "west": 15}, 5.0, few)
    assert is_planned_after(
        "auto", {"north": 20, "south": 20, "west": 15}, OFF_DELAY, few
    )


def make_leader(term):
    """Return the state of a leader that covers a service."""
    state = PlacementState(PlannedServices("planned", frozenset({"racks"})))
    state.set_term(term, 0.0)
    return state


def report(state, gateway, now):
    """Report one request, apply the answer, and revise the plan."""
    part = ServiceDemand("racks", (7,), (1,), 200)
    update = state.record(DemandReport("vm", "north", gateway.number, (part,)), now)
    if update is not None:
        gateway.apply(update, now)
    if state.check_due(now):
        state.run({"racks": make_servers(3, 3, 1)}, now, settled=True)
    return update


def test_a_leader_without_a_plan_recovers_it_from_a_gateway():
    """Guards against cold objects after a restart of all control processes."""
    first, gateway = make_leader(1), Placement()
    for step in range(10):
        report(first, gateway, step * 0.25)
    gateway.check(3.0)
    known = gateway.placed
    moved = replace(next(iter(known.values())), servers=("i-5",))
    known[("racks", 7)] = moved
    second = make_leader(2)
    assert report(second, gateway, 0.1).wanted
    second.adopt(pack_update(gateway.number, None, known.values()), 0.2)
    report(second, gateway, 0.3)
    assert gateway.placed == {("racks", 7): moved}
    assert gateway.number >> 32 == 2


def test_of_very_many_objects_the_most_requested_are_planned():
    """Guards against plans and reports that grow with the number of object keys."""
    leader = make_leader(1)
    count = MAX_PLANNED_OBJECTS + 500
    for step in range(30):
        items = tuple(range(1, count + 1))
        counts = tuple(1 + (item % 3 == 0) for item in items)
        part = ServiceDemand("racks", items, counts, 200)
        leader.record(DemandReport("vm", "north", 0, (part,)), 1.0 + step * STEP)
        leader.run({"racks": make_servers(9)}, 1.0 + step * STEP, settled=True)
    planned = {item for _, item in leader.plan.placed}
    assert len(planned) == MAX_PLANNED_OBJECTS
    assert planned >= set(range(3, count + 1, 3))
