"""Test how slots are divided."""

from __future__ import annotations

from dataclasses import replace

from snipecart.control.leases.allocation import MemberDemand
from snipecart.control.leases.allocation import allocate_slots
from snipecart.core.states import EndpointState
from snipecart.messages.members import Announcement


def endpoint(at: int, region: str, slots: int = 3) -> Announcement:
    """Make a backend server."""
    state = EndpointState.SERVING
    return Announcement(f"e{at}:1", "s", region, f"{region}-a", slots, state, 0)


def total(targets, member: str) -> int:
    """Sum a member's slots."""
    return sum(targets.get(member, {}).values())


def test_every_slot_is_dealt_once():
    ends = [endpoint(at, "r") for at in range(12)]
    members = [MemberDemand(f"m{at}", "r", "r-a", 0.0) for at in range(7)]
    targets = allocate_slots(ends, members, {})
    dealt = [total(targets, member.member) for member in members]
    assert sum(dealt) == 36
    assert max(dealt) - min(dealt) <= 1


def test_demand_draws_slots():
    ends = [endpoint(at, "r") for at in range(12)]
    members = [
        MemberDemand("busy", "r", "r-a", 20.0),
        MemberDemand("idle", "r", "r-a", 0.0),
    ]
    targets = allocate_slots(ends, members, {})
    assert total(targets, "busy") > 4 * total(targets, "idle")


def test_a_region_keeps_headroom_and_lends_the_rest():
    ends = [endpoint(at, "r") for at in range(6)]
    ends += [endpoint(at, "q") for at in range(6, 8)]
    members = [
        MemberDemand("here", "r", "r-a", 4.0),
        MemberDemand("there", "q", "q-a", 20.0),
    ]
    targets = allocate_slots(ends, members, {})
    lent = sum(
        count
        for end, count in targets["there"].items()
        if end in {f"e{i}:1" for i in range(6)}
    )
    assert lent >= 6
    assert total(targets, "here") >= 5


def test_what_is_held_is_kept_when_nothing_changes():
    ends = [endpoint(at, "r") for at in range(12)]
    members = [MemberDemand(f"m{at}", "r", "r-a", 0.0) for at in range(5)]
    first = allocate_slots(ends, members, {})
    assert allocate_slots(ends, members, first) == first


def test_a_region_without_members_is_shared_by_all():
    ends = [endpoint(at, "empty") for at in range(4)]
    members = [MemberDemand(f"m{at}", "r", "r-a", 1.0) for at in range(3)]
    targets = allocate_slots(ends, members, {})
    assert sum(total(targets, member.member) for member in members) == 12


def test_everyone_gets_a_slot_where_there_are_enough():
    ends = [endpoint(at, "r") for at in range(3)]
    members = [MemberDemand(f"m{at}", "r", "r-a", 20.0 * (at == 0)) for at in range(7)]
    targets = allocate_slots(ends, members, {})
    held = {"m0": dict(targets["m0"])}
    for _ in range(3):
        targets = allocate_slots(ends, members, held)
        held = {key: dict(value) for key, value in targets.items()}
    assert all(total(targets, member.member) >= 1 for member in members)


def test_no_member_stands_on_one_server_of_its_zone():
    ends = [endpoint(at, "r", 9) for at in range(3)]
    ends[0] = replace(ends[0], zone="r-b")
    targets = allocate_slots(ends, [MemberDemand("m", "r", "r-b", 4.0)], {})
    assert len(targets["m"]) == 3
