"""Test what gateways make of the slowdown in load reports, under simulated load."""

from __future__ import annotations

from snipecart.gateway.balancing.slowdown import SLOWDOWN_RULES
from snipecart.gateway.load_report import LoadReport
from tests.gateway.simulation import SECONDS
from tests.gateway.simulation import WARM_CAPACITY
from tests.gateway.simulation import SharedMachines
from tests.gateway.simulation import Simulation
from tests.gateway.world import Gateway
from tests.gateway.world import make_instance
from tests.gateway.world import make_route
from tests.gateway.world import make_routing

SEEDS = (1, 2, 3)


def fraction_on_time(rule, machines, load):
    """Return the fraction of requests answered within their latency target."""
    tallies = [
        Simulation(load * WARM_CAPACITY, seed=seed, machines=machines) for seed in SEEDS
    ]
    for simulation in tallies:
        simulation.slowdown_rule = rule
    ends = [simulation.run().between(5.0, SECONDS) for simulation in tallies]
    return sum(end.on_time for end in ends) / sum(end.count for end in ends)


def test_machines_that_stay_slow_for_seconds_are_avoided():
    machines = SharedMachines(slow_part=0.6, fast_part=0.25)
    smoothed = fraction_on_time("smoothed", machines, 0.6)
    assert smoothed > fraction_on_time("ignored", machines, 0.6)


def test_reports_that_are_only_noise_cost_less_than_if_each_was_believed():
    machines = SharedMachines(slow_part=0.0, fast_part=0.4)
    smoothed = fraction_on_time("smoothed", machines, 0.4)
    assert smoothed > fraction_on_time("latest", machines, 0.4)


def test_a_single_report_changes_the_estimate_little():
    estimate = SLOWDOWN_RULES.get("smoothed")
    assert estimate(1.0, 5.0, 0.1) < 1.25
    assert estimate(1.0, 5.0, 20.0) > 4.9


def test_an_object_moves_to_a_warm_server_on_a_faster_machine():
    gateway = Gateway(make_routing(make_route()))
    gateway.add_instances(make_instance(1), make_instance(2))
    routed = gateway.request()
    first = gateway.select(routed)
    other = next(name for name in gateway.state.servers if name != first.instance)
    gateway.state.servers[other].record_warm_object(routed.object_key)
    report = LoadReport(1, 0, 4, 3.0)
    gateway.now += 10.0
    gateway.end(routed, first, load=report)
    assert gateway.select(gateway.request()).instance == other


def test_a_server_that_reported_a_high_slowdown_gets_requests_again():
    gateway = Gateway(make_routing(make_route()))
    gateway.add_instances(make_instance(1), make_instance(2))
    routed = gateway.request()
    first = gateway.select(routed)
    gateway.end(routed, first, load=LoadReport(1, 0, 4, 100.0))
    chosen = []
    for number in range(60):
        gateway.now += 0.5
        routed = gateway.request(key=str(number))
        destination = gateway.select(routed)
        chosen.append(destination.instance)
        gateway.end(routed, destination)
    assert first.instance not in chosen[:10]
    assert first.instance in chosen[30:]
