"""Test the allocation of slots to members."""

from __future__ import annotations

from dataclasses import replace

from snipecart.control.leases.allocation import MemberDemand
from snipecart.control.leases.allocation import allocate_slots
from snipecart.core.states import EndpointState
from snipecart.messages.members import Announcement


def endpoint(at: int, region: str, slots: int = 3) -> Announcement:
    """Return a serving backend server in one zone of a region."""
    state = EndpointState.SERVING
    return Announcement(f"e{at}:1", "s", region, f"{region}-a", slots, state, 0)


def total_slots(targets, member: str) -> int:
    """Return the sum of a member's slots."""
    return sum(targets.get(member, {}).values())


def test_every_slot_is_assigned_once():
    endpoints = [endpoint(at, "r") for at in range(12)]
    members = [MemberDemand(f"m{at}", "r", "r-a", 0.0) for at in range(7)]
    targets = allocate_slots(endpoints, members, {})
    totals = [total_slots(targets, member.member) for member in members]
    assert sum(totals) == 36
    assert max(totals) - min(totals) <= 1


def test_more_demand_gets_more_slots():
    endpoints = [endpoint(at, "r") for at in range(12)]
    members = [
        MemberDemand("busy", "r", "r-a", 20.0),
        MemberDemand("idle", "r", "r-a", 0.0),
    ]
    targets = allocate_slots(endpoints, members, {})
    assert total_slots(targets, "busy") > 4 * total_slots(targets, "idle")


def test_a_region_keeps_headroom_and_lends_the_other_slots():
    endpoints = [endpoint(at, "r") for at in range(6)]
    endpoints += [endpoint(at, "q") for at in range(6, 8)]
    members = [
        MemberDemand("here", "r", "r-a", 4.0),
        MemberDemand("there", "q", "q-a", 20.0),
    ]
    targets = allocate_slots(endpoints, members, {})
    lent = sum(
        count
        for end, count in targets["there"].items()
        if end in {f"e{i}:1" for i in range(6)}
    )
    assert lent >= 6
    assert total_slots(targets, "here") >= 5


def test_allocation_is_stable_if_nothing_changes():
    endpoints = [endpoint(at, "r") for at in range(12)]
    members = [MemberDemand(f"m{at}", "r", "r-a", 0.0) for at in range(5)]
    first = allocate_slots(endpoints, members, {})
    assert allocate_slots(endpoints, members, first) == first


def test_a_region_without_members_is_shared_by_all():
    endpoints = [endpoint(at, "empty") for at in range(4)]
    members = [MemberDemand(f"m{at}", "r", "r-a", 1.0) for at in range(3)]
    targets = allocate_slots(endpoints, members, {})
    assert sum(total_slots(targets, member.member) for member in members) == 12


def test_every_member_gets_a_slot_if_there_are_enough():
    endpoints = [endpoint(at, "r") for at in range(3)]
    members = [MemberDemand(f"m{at}", "r", "r-a", 20.0 * (at == 0)) for at in range(7)]
    targets = allocate_slots(endpoints, members, {})
    current = {"m0": dict(targets["m0"])}
    for _ in range(3):
        targets = allocate_slots(endpoints, members, current)
        current = {key: dict(value) for key, value in targets.items()}
    assert all(total_slots(targets, member.member) >= 1 for member in members)


def test_no_member_depends_on_one_server_of_its_zone():
    endpoints = [endpoint(at, "r", 9) for at in range(3)]
    endpoints[0] = replace(endpoints[0], zone="r-b")
    targets = allocate_slots(endpoints, [MemberDemand("m", "r", "r-b", 4.0)], {})
    assert len(targets["m"]) == 3
