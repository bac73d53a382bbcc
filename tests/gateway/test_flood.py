"""Play a flood on servers that answer faster what they know, and look at callers."""

from __future__ import annotations

from tests.gateway.played import SECONDS
from tests.gateway.played import WARM_CAPACITY
from tests.gateway.played import Play


def play(choice, load):
    """Return how requests of the second half of a day ended."""
    day = Play(load * WARM_CAPACITY, choice).run()
    return day.between(SECONDS / 2, SECONDS)


def test_objects_keep_to_their_servers_under_a_load_that_only_warm_servers_bear():
    warm_first = play("warm-first", 0.6)
    any_room = play("any-room", 0.6)
    assert warm_first.part(warm_first.in_aim) > 0.9
    assert warm_first.part(warm_first.in_aim) > any_room.part(any_room.in_aim) + 0.2


def test_beyond_all_capacity_what_is_taken_is_still_answered_in_time():
    tally = play("warm-first", 1.5)
    assert tally.part(tally.in_aim) > 0.45
    assert tally.in_aim / (tally.count - tally.refused) > 0.75
