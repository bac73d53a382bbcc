"""Test admission, routing, limits and retries by their decisions."""

from __future__ import annotations

from collections import Counter

import pytest

from snipecart.core.ids import Instant
from snipecart.core.states import DispatchOutcome
from snipecart.core.states import EndpointState
from snipecart.core.states import Health
from snipecart.core.states import Rank
from snipecart.core.states import RetryReason
from snipecart.entry.steering.messages import ApplyAnnouncement
from snipecart.entry.steering.messages import ApplyConfiguration
from snipecart.entry.steering.messages import EndCall
from snipecart.entry.steering.messages import RecordDispatch
from snipecart.entry.steering.messages import RetrySlotRequest
from snipecart.entry.steering.messages import SetStopping
from snipecart.entry.steering.messages import Tick
from snipecart.messages.members import Announcement

from .steering import World
from .steering import make_text


def ready(shares=None, ends=None, **more) -> World:
    """Make a world with two warm backend servers."""
    world = World(**more)
    world.confirm(shares or {"e1:1": 2, "e2:1": 2}, ends)
    world.warm()
    return world


def test_calls_stay_within_the_shares():
    world = ready()
    calls = [world.ask() for _ in range(6)]
    places = Counter(world.granted(call) for call in calls)
    assert places == {"e1:1": 2, "e2:1": 2, "": 2}
    world.end(calls[0])
    assert world.granted(calls[4])


def test_shares_lapse_with_their_lease():
    world = ready()
    world.now = Instant(world.now + 3.0)
    assert world.refused(world.ask("once")) == "cut_off"
    assert world.granted(world.ask("fast")) and world.granted(world.ask("fast"))
    assert not world.granted(world.ask("fast"))


def test_a_stale_text_is_not_acted_on():
    world = ready()
    world.confirm({"e1:1": 2}, version=6)
    world.now = Instant(world.now + 2.9)
    assert world.refused(world.ask("slow")) == "cut_off"


def test_an_older_text_never_comes_back():
    world = ready()
    world.run(ApplyConfiguration(4, make_text()))
    assert world.state.version == 5


def test_a_leaving_server_gets_no_new_work():
    world = ready()
    leaving = EndpointState.LEAVING
    info = Announcement("e1:1", "s", "r", "r-a", 3, leaving, 3000)
    world.run(ApplyAnnouncement(info))
    assert {world.granted(world.ask()) for _ in range(2)} == {"e2:1"}


def test_links_keep_to_their_cap():
    world = World()
    world.confirm({"eq1:1": 9, "link/r>q": 100})
    world.warm()
    calls = [world.ask() for _ in range(9)]
    assert sum(bool(world.granted(call)) for call in calls) == 100 // 32
    assert world.refused(calls[8]) == "link_cap_reached"


def test_no_link_share_means_no_crossing():
    world = World()
    world.confirm({"eq1:1": 9})
    assert world.refused(world.ask()) == "link_cap_reached"


def test_a_call_that_would_be_late_is_refused_at_once():
    world = ready()
    for _ in range(4):
        world.ask()
    queue = world.state.queues["s"].kinds["fast"]
    queue.service_time = 1.0
    for _ in range(8):
        world.ask(seconds=60.0)
    assert world.refused(world.ask(seconds=1.2)) == "cannot_meet_deadline"


def test_a_call_is_refused_when_its_dependency_is_gone():
    world = World(make_text(depends_on=["base"]))
    world.confirm({"e1:1": 2})
    assert world.refused(world.ask()) == "dependency_down"


def test_a_stopping_process_takes_no_calls():
    world = ready()
    world.run(SetStopping())
    assert world.refused(world.ask()) == "stopping"


@pytest.mark.parametrize("flood", ["slow", "fast"])
def test_floors_hold_through_a_flood(flood):
    world = ready({"e1:1": 5, "e2:1": 5}, limits=dict.fromkeys(Rank, 1000))
    others = [name for name in ("fast", "once", "slow") if name != flood]
    served = drive(world, {flood: 400, others[0]: 30, others[1]: 10})
    for name in others:
        asked = {others[0]: 30, others[1]: 10}[name]
        floor = {"fast": 0.5, "once": 0.2, "slow": 0.1}[name] * 100
        assert served[name] >= 0.8 * min(asked, floor)


def drive(world: World, rates: dict[str, int], seconds: int = 10) -> Counter:
    """Offer calls that take 0.1 s on ten slots, and count the answers a second."""
    served: Counter[str] = Counter()
    running: list[tuple[float, str, str]] = []
    due = dict.fromkeys(rates, world.now)
    until = world.now + seconds
    while world.now < until:
        world.now = Instant(world.now + 0.005)
        if int(world.now * 200) % 20 == 0:
            world.confirm({"e1:1": 5, "e2:1": 5})
        for when, name, call in [item for item in running if item[0] <= world.now]:
            running.remove((when, name, call))
            world.end(call, seconds=0.1)
            served[name] += 1
        for name, rate in rates.items():
            while due[name] <= world.now:
                due[name] += 1 / rate
                world.ask(name)
        for call in [key for key in world.ends if world.granted(key)]:
            running.append((world.now + 0.1, call.partition("-")[0], call))
            del world.ends[call]
    return Counter({name: count / seconds for name, count in served.items()})


def test_strict_rank_starves_the_others():
    world = ready({"e1:1": 5, "e2:1": 5}, admission="strict_rank")
    served = drive(world, {"fast": 400, "once": 30, "slow": 10})
    assert served["slow"] < 1


def test_the_flooding_caller_pays():
    world = ready(limits={Rank.URGENT: 10})
    for _ in range(30):
        world.ask(caller="flood", seconds=60.0)
    call = world.ask(caller="quiet", seconds=60.0)
    assert world.refused(call) == ""
    world.end(next(iter(world.state.running)))
    world.end(next(iter(world.state.running)))
    assert world.granted(call)


def test_retries_keep_to_the_budget():
    world = ready({"e1:1": 50, "e2:1": 50})
    again = 0
    for _ in range(200):
        call = world.ask()
        world.run(RecordDispatch(call, DispatchOutcome.SHED, 0.01, -1.0))
        del world.ends[call]
        world.run(RetrySlotRequest(call, RetryReason.SHED))
        again += bool(world.granted(call))
        world.run(EndCall(call))
    assert again <= 0.1 * 200 + 1


def test_a_retry_goes_to_another_server():
    world = ready()
    call = world.ask()
    first = world.granted(call)
    world.run(RecordDispatch(call, DispatchOutcome.NOT_SENT, 0.0, -1.0))
    world.run(RetrySlotRequest(call, RetryReason.NOT_SENT))
    assert world.granted(call) not in ("", first)


def test_failures_eject_and_successes_in_a_row_readmit():
    world = ready({"e1:1": 2, "e2:1": 2, "e3:1": 2})
    bad = world.state.servers["e1:1"]
    for _ in range(3):
        bad.tracker.note(DispatchOutcome.TIMED_OUT, 1.0, world.now)
    assert bad.tracker.health is Health.EJECTED
    world.now = Instant(world.now + 1.1)
    world.run(Tick())
    assert bad.tracker.health is Health.PROBING
    for _ in range(2):
        bad.tracker.note(DispatchOutcome.ANSWERED, 0.02, world.now)
    assert bad.tracker.health is Health.PROBING
    bad.tracker.note(DispatchOutcome.ANSWERED, 0.02, world.now)
    assert bad.tracker.health is Health.TRUSTED


def test_a_slow_server_is_used_last():
    world = ready({f"e{at}:1": 1 for at in range(1, 5)})
    used = 0
    for _ in range(60):
        call = world.ask()
        slow = world.granted(call) == "e1:1"
        used += slow
        world.end(call, seconds=0.5 if slow else 0.02)
    assert used == 1


def test_a_slow_server_is_ejected_by_comparison():
    world = ready({f"e{at}:1": 1 for at in range(1, 5)})
    for _ in range(20):
        calls = [world.ask(seconds=60.0) for _ in range(4)]
        for call in calls:
            slow = world.granted(call) == "e1:1"
            world.end(call, seconds=0.5 if slow else 0.02)
    assert world.state.servers["e1:1"].tracker.health is Health.EJECTED


def test_a_cold_server_warms_up():
    world = World()
    world.confirm({"e1:1": 8})
    cold = [world.ask(seconds=60.0) for _ in range(8)]
    assert sum(bool(world.granted(call)) for call in cold) == 1
    world.now = Instant(world.now + 2.0)
    world.run(Tick())
    assert sum(bool(world.granted(call)) for call in cold) == 5


def test_nothing_leaks():
    world = ready()
    calls = [world.ask() for _ in range(9)]
    world.run(ApplyConfiguration(7, make_text()))
    for call in calls:
        world.end(call)
    assert not world.state.running
    assert sum(world.state.outstanding.values()) == 0
    assert all(item.in_flight == 0 for item in world.state.servers.values())


def test_a_first_try_is_not_cut_before_the_service_time_is_known():
    world = ready({"e1:1": 50, "e2:1": 50})
    world.state.budgets["s"].tokens = 5.0
    for _ in range(19):
        call = world.ask()
        assert world.ends[call].slot.attempt_timeout == pytest.approx(2.0)
        world.end(call, seconds=0.3)
    world.end(world.ask(), seconds=0.3)
    call = world.ask()
    assert world.ends[call].slot.attempt_timeout == pytest.approx(1.2)


def test_deferrable_work_leaves_slots_for_urgent_work():
    world = ready({"e1:1": 5, "e2:1": 5})
    for item in world.state.queues["s"].kinds.values():
        item.credit = 0.0
    calls = [world.ask("slow", seconds=60.0) for _ in range(12)]
    assert sum(bool(world.granted(call)) for call in calls) == 8
    assert world.granted(world.ask("fast")) and world.granted(world.ask("fast"))


def test_a_quiet_caller_is_not_refused_for_the_line_of_another():
    world = ready(limits=dict.fromkeys(Rank, 1000))
    world.state.queues["s"].kinds["fast"].service_time = 0.3
    flood = [world.ask(caller="flood") for _ in range(100)]
    refused = [call for call in flood if world.refused(call)]
    assert world.refused(refused[0]) == "cannot_meet_deadline"
    assert not world.refused(world.ask(caller="quiet"))


def test_a_server_that_comes_back_is_not_taken_for_idle():
    world = ready({"e1:1": 2})
    calls = [world.ask(), world.ask()]
    world.confirm({"e2:1": 0}, ends=["e2:1"])
    world.run(Tick())
    world.confirm({"e1:1": 2})
    world.warm()
    assert not world.granted(world.ask())
    assert world.state.servers["e1:1"].in_flight == 2
    world.end(calls[0])


def test_a_place_taken_out_of_the_text_gets_no_new_work():
    world = ready({"e1:1": 2, "eq1:1": 2, "link/r>q": 1000})
    other = {"zone": "q-a", "endpoints": 2, "slots": 3}
    world.run(ApplyConfiguration(6, make_text(places=[other])))
    assert world.granted(world.ask()) == "eq1:1"


def test_a_cancelled_call_holds_its_slot_a_moment_longer():
    world = ready({"e1:1": 1})
    world.end(world.ask(), DispatchOutcome.TIMED_OUT, 1.0)
    late = world.ask()
    assert not world.granted(late)
    world.now = Instant(world.now + 0.6)
    world.run(Tick())
    assert world.granted(late)


def test_the_only_share_is_not_ejected():
    world = ready({"e1:1": 3, "e2:1": 0, "e3:1": 0}, ends=["e1:1", "e2:1", "e3:1"])
    for _ in range(4):
        world.end(world.ask(), DispatchOutcome.BROKEN, 0.01)
    assert world.state.servers["e1:1"].tracker.health is Health.PROBING


def test_a_call_waits_for_a_share_on_its_way():
    world = ready({"e1:1": 0, "e2:1": 0}, ends=["e1:1", "e2:1"])
    call = world.ask("slow")
    assert not world.refused(call)
    world.confirm({"e1:1": 1})
    assert world.granted(call)
    world.now = Instant(world.now + 3.0)
    assert world.refused(world.ask("fast", service="base")) == "no_endpoint"


def test_time_outs_do_not_shut_a_kind_out_for_good():
    world = ready()
    for _ in range(30):
        world.end(world.ask(), DispatchOutcome.TIMED_OUT, 2.0)
        world.now = Instant(world.now + 0.6)
        world.confirm({"e1:1": 2, "e2:1": 2})
        world.run(Tick())
    for item in world.state.servers.values():
        item.tracker.health = Health.TRUSTED
    assert world.granted(world.ask(seconds=1.5))


def test_a_server_that_sheds_all_is_ejected():
    world = ready({f"e{at}:1": 2 for at in range(1, 5)})
    shed = 0
    for _ in range(60):
        call = world.ask()
        bad = world.granted(call) == "e1:1"
        shed += bad
        world.end(call, DispatchOutcome.SHED if bad else DispatchOutcome.ANSWERED, 0.02)
    assert shed == 3
