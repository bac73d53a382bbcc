"""Test that an overloaded service that many gateways share still serves its callers."""

from __future__ import annotations

import math
from collections import Counter
from copy import deepcopy
from functools import cache

import pytest

from snipecart.core.ids import Instant
from snipecart.core.states import SendOutcome
from snipecart.gateway.balancing.selection import select_server
from snipecart.gateway.balancing.service_load import SAMPLE_MAX_AGE
from snipecart.gateway.balancing.shedding import FLOOR
from snipecart.gateway.balancing.shedding import MIN_GATEWAYS
from snipecart.gateway.balancing.shedding import SHEDDING_RULES
from snipecart.gateway.inspect import describe_balancer
from snipecart.gateway.inspect import describe_destination
from snipecart.gateway.load_report import LoadReport

from .shared_servers import WARM_UP_SECONDS
from .shared_servers import SharedSimulation
from .shared_servers import dense
from .shared_servers import medium
from .shared_servers import sparse
from .world import Gateway
from .world import make_instance
from .world import make_route
from .world import make_routing

SLOTS = 3
IDLE, FULL = LoadReport(0, 0, SLOTS), LoadReport(SLOTS, 9, SLOTS)
IMPOSSIBLE = LoadReport(10**12, 10**12, 1)


@cache
def simulate(kind, load, seed=1, **policies):
    """Return a simulation of a service after its run."""
    deployment = {"sparse": sparse, "medium": lambda _: medium()}[kind](load)
    seconds = {"sparse": 24.0, "medium": 12.0}[kind]
    return SharedSimulation(deployment, load, seconds, seed, **policies).run()


def goodput(simulation):
    """Return the answers on time a second, relative to the warm capacity."""
    seconds = simulation.seconds - WARM_UP_SECONDS
    capacity = simulation.deployment.warm_capacity()
    return simulation.total().on_time / seconds / capacity


@pytest.mark.parametrize("load", [1.0, 1.3])
def test_gateways_that_hear_little_serve_callers_on_time_beyond_capacity(load):
    # Each took servers for idle that others had filled, and every answer was late.
    assert goodput(simulate("sparse", load, shedding="none")) < 0.05
    assert goodput(simulate("sparse", load)) > 0.35


def test_goodput_beyond_capacity_is_nearly_that_at_capacity():
    seeds = (1, 2, 3)
    at, beyond = (
        sum(goodput(simulate("sparse", load, seed)) for seed in seeds)
        for load in (1.0, 1.3)
    )
    assert beyond > 0.9 * at


def test_a_service_of_more_slots_and_fewer_gateways_serves_callers_on_time():
    assert goodput(simulate("medium", 1.3, shedding="none")) < 0.1
    assert goodput(simulate("medium", 1.3)) > 0.6


def test_uneven_demand_is_served_better_beyond_capacity():
    uneven = [
        SharedSimulation(sparse(1.3, uneven=True), 1.3, shedding=rule).run()
        for rule in ("none", "busy-servers")
    ]
    assert goodput(uneven[1]) > goodput(uneven[0]) + 0.2


def test_more_urgent_ranks_are_served_more_and_each_gets_some():
    ranks = simulate("sparse", 1.3).ranks
    served = [ranks[name].share(ranks[name].served) for name in ranks]
    look, list_, index = (
        ranks[name].share(ranks[name].on_time) for name in ("look", "list", "index")
    )
    assert look > list_ > index
    assert min(served) > 0.4


def test_nothing_is_rejected_that_was_served_without_overload():
    rule, none = simulate("sparse", 0.3), simulate("sparse", 0.3, shedding="none")
    assert rule.total().refusals <= none.total().refusals + 0.01 * rule.total().callers
    rule, none = simulate("sparse", 0.5), simulate("sparse", 0.5, shedding="none")
    served = rule.total().share(rule.total().served)
    assert served > none.total().share(none.total().served) - 0.02


@pytest.mark.parametrize("load", [0.8, 1.3])
def test_few_gateways_that_hear_often_decide_as_without_the_rule(load):
    rule, none = (
        SharedSimulation(dense(), load, seconds=12.0, shedding=name).run()
        for name in ("busy-servers", "none")
    )
    assert rule.ranks == none.ranks


def test_many_gateways_that_hear_often_decide_as_without_the_rule():
    gateway = overloaded_gateway(report=FULL)
    for number in range(3):
        for _ in range(40):
            answer(gateway, number, FULL)
    assert rejected(gateway) == 0.0


@pytest.mark.parametrize(
    ("nonsense", "share"), [(IMPOSSIBLE, 0.3), (LoadReport(SLOTS, 10**12, SLOTS), 0.1)]
)
def test_servers_that_report_nonsense_cause_no_rejections(nonsense, share):
    count = [0]

    def speak(report):
        count[0] += 1
        return nonsense if count[0] % round(1 / share) == 0 else report

    lying = simulate("sparse", 0.3, speak=speak)
    assert lying.total().refusals < 0.02 * lying.total().callers


def test_servers_that_report_nothing_are_served_as_without_the_rule():
    def speak(report):
        return None

    silent = simulate("sparse", 0.5, speak=speak)
    baseline = simulate("sparse", 0.5, speak=speak, shedding="none")
    assert silent.total().on_time >= 0.98 * baseline.total().on_time


def overloaded_gateway(report, gateways=100, routing=None, **policies):
    """Return a gateway that has heard a report from each of twelve servers."""
    routing = routing or make_routing(make_route())
    gateway = Gateway(routing, **{"shedding": "busy-servers", **policies})
    gateway.add_instances(*(make_instance(number, slots=SLOTS) for number in range(12)))
    gateway.state.gateways = gateways
    for number in range(12):
        answer(gateway, number, report)
        gateway.now = Instant(gateway.now + 0.3)
    return gateway


def answer(gateway, number, report):
    """Record an answer of a server, whichever was selected."""
    routed = gateway.request()
    server = gateway.state.servers[make_instance(number).instance]
    for other in gateway.state.servers.values():
        other.leaving = other is not server
    gateway.state.shedding, rule = "none", gateway.state.shedding
    server.other_load = 0.0
    selected = gateway.select(routed)
    gateway.state.shedding = rule
    gateway.end(routed, selected, load=report)
    for other in gateway.state.servers.values():
        other.leaving = False


def rejected(gateway, count=100, path="/look/x"):
    """Return the fraction of requests that are rejected for the service's load."""
    ends = Counter()
    for number in range(count):
        routed = gateway.request(path, key=str(number))
        selected = gateway.select(routed)
        if isinstance(selected, str):
            ends[selected] += 1
        else:
            gateway.state.servers[selected.instance].end_send(selected.due)
    return ends["service_overloaded"] / count


def test_a_service_whose_servers_are_full_gets_the_floor_of_the_requests():
    assert rejected(overloaded_gateway(FULL)) == pytest.approx(1 - FLOOR, abs=0.05)


@pytest.mark.parametrize(
    "gateway",
    [
        overloaded_gateway(IDLE),
        overloaded_gateway(FULL, gateways=MIN_GATEWAYS - 1),
        overloaded_gateway(FULL, shedding="none"),
        overloaded_gateway(FULL, wait_rule="timeout"),
    ],
    ids=["idle", "few gateways", "rule is off", "long waits are allowed"],
)
def test_requests_are_admitted(gateway):
    assert rejected(gateway) == 0.0


def test_reports_are_forgotten_so_that_requests_find_out_when_the_overload_ends():
    gateway = overloaded_gateway(FULL)
    gateway.now = Instant(gateway.now + SAMPLE_MAX_AGE)
    assert rejected(gateway) == 0.0


def test_a_retry_is_rejected_only_if_the_request_can_not_have_run():
    gateway = overloaded_gateway(FULL)
    ends = {
        may_have_run: sum(
            select_retry(gateway, may_have_run).is_error() for _ in range(50)
        )
        for may_have_run in (False, True)
    }
    assert ends[False] > 40
    assert ends[True] == 0


def select_retry(gateway, may_have_run):
    """Select a server for a retry, and free its slot."""
    tried = frozenset({make_instance(1).instance})
    selected = select_server(
        gateway.state, gateway.request(), "racks", tried, gateway.now, may_have_run
    )
    if selected.is_ok():
        gateway.state.servers[selected.ok.instance].end_send(selected.ok.due)
    return selected


def test_a_description_of_an_overloaded_service_changes_no_decision():
    gateway = overloaded_gateway(FULL)
    before = deepcopy((gateway.state.service_loads, gateway.state.admission_credits))
    where = describe_destination(
        gateway.state, "shop.example", "/look/x", "7", gateway.now
    )
    assert where.refusal == "service_overloaded"
    after = gateway.state.service_loads, gateway.state.admission_credits
    assert after == before
    (load,) = describe_balancer(gateway.state, gateway.now).service_loads
    assert (load.service, load.busy) == ("racks", 1.0)


def test_rejections_without_reports_count_as_full_servers():
    gateway = overloaded_gateway(IDLE)
    gateway.now = Instant(gateway.now + SAMPLE_MAX_AGE)
    sends = []
    for number in range(6):
        routed = gateway.request(key=str(number))
        sends.append((routed, gateway.select(routed)))
    for routed, destination in sends:
        gateway.end(routed, destination, SendOutcome.REJECTED)
    assert rejected(gateway) > 0.5


def test_a_rejection_states_a_wait_that_json_has():
    """Guards against an answer to the client that it can't parse."""
    gateway = overloaded_gateway(LoadReport(SLOTS, 10**12, SLOTS))
    for load in gateway.state.service_loads.values():
        for _ in range(load.samples.maxlen):
            load.record(math.inf, SLOTS, gateway.now)
    failures = []
    while not failures:
        routed = gateway.request()
        selected = select_server(
            gateway.state, routed, "racks", frozenset(), gateway.now
        )
        failures += [selected.error] if selected.is_error() else []
    assert 0 < failures[0].excess_wait <= routed.route.timeout_ms / 1000


def test_the_admitted_fraction_never_grows_with_the_number_of_busy_servers():
    rule = SHEDDING_RULES.get("busy-servers")
    fractions = [rule(number / 100) for number in range(101)]
    assert fractions == sorted(fractions, reverse=True)
    assert (fractions[0], fractions[-1]) == (1.0, FLOOR)
