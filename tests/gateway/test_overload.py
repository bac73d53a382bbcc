"""Test overload of simulated servers that answer faster for warm objects."""

from __future__ import annotations

from tests.gateway.simulation import SECONDS
from tests.gateway.simulation import WARM_CAPACITY
from tests.gateway.simulation import Simulation


def simulate(choice, load):
    """Return how the requests of the second half of a simulation ended."""
    simulation = Simulation(load * WARM_CAPACITY, choice).run()
    return simulation.between(SECONDS / 2, SECONDS)


def test_objects_stay_on_warm_servers_under_a_load_that_needs_them():
    warm_first = simulate("warm-first", 0.6)
    any_room = simulate("any-room", 0.6)
    assert warm_first.fraction(warm_first.on_time) > 0.9
    assert (
        warm_first.fraction(warm_first.on_time)
        > any_room.fraction(any_room.on_time) + 0.2
    )


def test_admitted_requests_are_answered_on_time_beyond_capacity():
    tally = simulate("warm-first", 1.5)
    assert tally.fraction(tally.on_time) > 0.45
    assert tally.on_time / (tally.count - tally.refused) > 0.75
