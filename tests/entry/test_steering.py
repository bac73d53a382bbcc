"""Test the decisions on admission, server selection, limits and retries."""

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

from .steering import SteeringSimulation
from .steering import make_text


def make_warm_simulation(shares=None, endpoints=None, **options) -> SteeringSimulation:
    """Return a simulation with warm backend servers, two by default."""
    sim = SteeringSimulation(**options)
    sim.apply_heartbeat(shares or {"e1:1": 2, "e2:1": 2}, endpoints)
    sim.warm_up()
    return sim


def test_calls_stay_within_the_shares():
    sim = make_warm_simulation()
    calls = [sim.request() for _ in range(6)]
    counts = Counter(sim.endpoint_of(call) for call in calls)
    assert counts == {"e1:1": 2, "e2:1": 2, "": 2}
    sim.finish(calls[0])
    assert sim.endpoint_of(calls[4])


def test_shares_expire_with_their_lease():
    sim = make_warm_simulation()
    sim.now = Instant(sim.now + 3.0)
    assert sim.refusal_reason(sim.request("once")) == "cut_off"
    assert sim.endpoint_of(sim.request("fast")) and sim.endpoint_of(sim.request("fast"))
    assert not sim.endpoint_of(sim.request("fast"))


def test_an_unconfirmed_configuration_is_cut_off():
    sim = make_warm_simulation()
    sim.apply_heartbeat({"e1:1": 2}, version=6)
    sim.now = Instant(sim.now + 2.9)
    assert sim.refusal_reason(sim.request("slow")) == "cut_off"


def test_an_older_configuration_is_ignored():
    sim = make_warm_simulation()
    sim.handle(ApplyConfiguration(4, make_text()))
    assert sim.state.version == 5


def test_a_leaving_server_gets_no_new_calls():
    sim = make_warm_simulation()
    leaving = EndpointState.LEAVING
    info = Announcement("e1:1", "s", "r", "r-a", 3, leaving, 3000)
    sim.handle(ApplyAnnouncement(info))
    assert {sim.endpoint_of(sim.request()) for _ in range(2)} == {"e2:1"}


def test_calls_stay_within_the_link_share():
    sim = SteeringSimulation()
    sim.apply_heartbeat({"eq1:1": 9, "link/r>q": 100})
    sim.warm_up()
    calls = [sim.request() for _ in range(9)]
    assert sum(bool(sim.endpoint_of(call)) for call in calls) == 100 // 32
    assert sim.refusal_reason(calls[8]) == "link_cap_reached"


def test_calls_without_a_link_share_stay_in_the_region():
    sim = SteeringSimulation()
    sim.apply_heartbeat({"eq1:1": 9})
    assert sim.refusal_reason(sim.request()) == "link_cap_reached"


def test_a_call_that_cannot_meet_its_deadline_is_refused_at_once():
    sim = make_warm_simulation()
    for _ in range(4):
        sim.request()
    queue = sim.state.queues["s"].kinds["fast"]
    queue.service_time = 1.0
    for _ in range(8):
        sim.request(seconds=60.0)
    assert sim.refusal_reason(sim.request(seconds=1.2)) == "cannot_meet_deadline"


def test_a_call_is_refused_when_its_dependency_is_gone():
    sim = SteeringSimulation(make_text(depends_on=["base"]))
    sim.apply_heartbeat({"e1:1": 2})
    assert sim.refusal_reason(sim.request()) == "dependency_down"


def test_a_stopping_process_takes_no_calls():
    sim = make_warm_simulation()
    sim.handle(SetStopping())
    assert sim.refusal_reason(sim.request()) == "stopping"


@pytest.mark.parametrize("flood", ["slow", "fast"])
def test_floors_hold_under_overload(flood):
    sim = make_warm_simulation({"e1:1": 5, "e2:1": 5}, limits=dict.fromkeys(Rank, 1000))
    others = [name for name in ("fast", "once", "slow") if name != flood]
    served = run_load(sim, {flood: 400, others[0]: 30, others[1]: 10})
    for name in others:
        offered = {others[0]: 30, others[1]: 10}[name]
        floor = {"fast": 0.5, "once": 0.2, "slow": 0.1}[name] * 100
        assert served[name] >= 0.8 * min(offered, floor)


def run_load(
    sim: SteeringSimulation, rates: dict[str, int], seconds: int = 10
) -> Counter:
    """Offer calls that take 0.1 s on ten slots; return the answers per second by kind.

    ``rates`` are the offered calls per second of each kind.
    """
    served: Counter[str] = Counter()
    running: list[tuple[float, str, str]] = []
    due = dict.fromkeys(rates, sim.now)
    until = sim.now + seconds
    while sim.now < until:
        sim.now = Instant(sim.now + 0.005)
        if int(sim.now * 200) % 20 == 0:
            sim.apply_heartbeat({"e1:1": 5, "e2:1": 5})
        for when, name, call in [item for item in running if item[0] <= sim.now]:
            running.remove((when, name, call))
            sim.finish(call, seconds=0.1)
            served[name] += 1
        for name, rate in rates.items():
            while due[name] <= sim.now:
                due[name] += 1 / rate
                sim.request(name)
        for call in [key for key in sim.results if sim.endpoint_of(key)]:
            running.append((sim.now + 0.1, call.partition("-")[0], call))
            del sim.results[call]
    return Counter({name: count / seconds for name, count in served.items()})


def test_strict_rank_starves_lower_ranks():
    sim = make_warm_simulation({"e1:1": 5, "e2:1": 5}, admission="strict_rank")
    served = run_load(sim, {"fast": 400, "once": 30, "slow": 10})
    assert served["slow"] < 1


def test_a_full_rank_refuses_calls_of_the_busiest_caller():
    sim = make_warm_simulation(limits={Rank.URGENT: 10})
    for _ in range(30):
        sim.request(caller="flood", seconds=60.0)
    call = sim.request(caller="quiet", seconds=60.0)
    assert sim.refusal_reason(call) == ""
    sim.finish(next(iter(sim.state.running)))
    sim.finish(next(iter(sim.state.running)))
    assert sim.endpoint_of(call)


def test_retries_stay_within_the_budget():
    sim = make_warm_simulation({"e1:1": 50, "e2:1": 50})
    retries = 0
    for _ in range(200):
        call = sim.request()
        sim.handle(RecordDispatch(call, DispatchOutcome.SHED, 0.01, -1.0))
        del sim.results[call]
        sim.handle(RetrySlotRequest(call, RetryReason.SHED))
        retries += bool(sim.endpoint_of(call))
        sim.handle(EndCall(call))
    assert retries <= 0.1 * 200 + 1


def test_a_retry_goes_to_another_server():
    sim = make_warm_simulation()
    call = sim.request()
    first = sim.endpoint_of(call)
    sim.handle(RecordDispatch(call, DispatchOutcome.NOT_SENT, 0.0, -1.0))
    sim.handle(RetrySlotRequest(call, RetryReason.NOT_SENT))
    assert sim.endpoint_of(call) not in ("", first)


def test_consecutive_failures_eject_and_successes_readmit():
    sim = make_warm_simulation({"e1:1": 2, "e2:1": 2, "e3:1": 2})
    failing = sim.state.servers["e1:1"]
    for _ in range(3):
        failing.tracker.record_dispatch(DispatchOutcome.TIMED_OUT, 1.0, sim.now)
    assert failing.tracker.health is Health.EJECTED
    sim.now = Instant(sim.now + 1.1)
    sim.handle(Tick())
    assert failing.tracker.health is Health.PROBING
    for _ in range(2):
        failing.tracker.record_dispatch(DispatchOutcome.ANSWERED, 0.02, sim.now)
    assert failing.tracker.health is Health.PROBING
    failing.tracker.record_dispatch(DispatchOutcome.ANSWERED, 0.02, sim.now)
    assert failing.tracker.health is Health.TRUSTED


def test_a_slow_server_is_selected_last():
    sim = make_warm_simulation({f"e{at}:1": 1 for at in range(1, 5)})
    uses = 0
    for _ in range(60):
        call = sim.request()
        slow = sim.endpoint_of(call) == "e1:1"
        uses += slow
        sim.finish(call, seconds=0.5 if slow else 0.02)
    assert uses == 1


def test_a_server_slower_than_its_peers_is_ejected():
    sim = make_warm_simulation({f"e{at}:1": 1 for at in range(1, 5)})
    for _ in range(20):
        calls = [sim.request(seconds=60.0) for _ in range(4)]
        for call in calls:
            slow = sim.endpoint_of(call) == "e1:1"
            sim.finish(call, seconds=0.5 if slow else 0.02)
    assert sim.state.servers["e1:1"].tracker.health is Health.EJECTED


def test_a_cold_server_warms_up():
    sim = SteeringSimulation()
    sim.apply_heartbeat({"e1:1": 8})
    calls = [sim.request(seconds=60.0) for _ in range(8)]
    assert sum(bool(sim.endpoint_of(call)) for call in calls) == 1
    sim.now = Instant(sim.now + 2.0)
    sim.handle(Tick())
    assert sum(bool(sim.endpoint_of(call)) for call in calls) == 5


def test_counts_return_to_zero_after_a_configuration_change():
    sim = make_warm_simulation()
    calls = [sim.request() for _ in range(9)]
    sim.handle(ApplyConfiguration(7, make_text()))
    for call in calls:
        sim.finish(call)
    assert not sim.state.running
    assert sum(sim.state.outstanding.values()) == 0
    assert all(item.in_flight == 0 for item in sim.state.servers.values())


def test_a_first_try_has_no_early_timeout_before_the_service_time_is_known():
    sim = make_warm_simulation({"e1:1": 50, "e2:1": 50})
    sim.state.budgets["s"].tokens = 5.0
    for _ in range(19):
        call = sim.request()
        assert sim.results[call].slot.attempt_timeout == pytest.approx(2.0)
        sim.finish(call, seconds=0.3)
    sim.finish(sim.request(), seconds=0.3)
    call = sim.request()
    assert sim.results[call].slot.attempt_timeout == pytest.approx(1.2)


def test_deferrable_calls_leave_slots_for_urgent_calls():
    sim = make_warm_simulation({"e1:1": 5, "e2:1": 5})
    for item in sim.state.queues["s"].kinds.values():
        item.credit = 0.0
    calls = [sim.request("slow", seconds=60.0) for _ in range(12)]
    assert sum(bool(sim.endpoint_of(call)) for call in calls) == 8
    assert sim.endpoint_of(sim.request("fast")) and sim.endpoint_of(sim.request("fast"))


def test_a_caller_is_not_refused_for_the_queue_of_another():
    sim = make_warm_simulation(limits=dict.fromkeys(Rank, 1000))
    sim.state.queues["s"].kinds["fast"].service_time = 0.3
    flood = [sim.request(caller="flood") for _ in range(100)]
    refused = [call for call in flood if sim.refusal_reason(call)]
    assert sim.refusal_reason(refused[0]) == "cannot_meet_deadline"
    assert not sim.refusal_reason(sim.request(caller="quiet"))


def test_a_server_listed_again_keeps_its_calls_in_flight():
    sim = make_warm_simulation({"e1:1": 2})
    calls = [sim.request(), sim.request()]
    sim.apply_heartbeat({"e2:1": 0}, endpoints=["e2:1"])
    sim.handle(Tick())
    sim.apply_heartbeat({"e1:1": 2})
    sim.warm_up()
    assert not sim.endpoint_of(sim.request())
    assert sim.state.servers["e1:1"].in_flight == 2
    sim.finish(calls[0])


def test_a_zone_removed_from_the_configuration_gets_no_new_calls():
    sim = make_warm_simulation({"e1:1": 2, "eq1:1": 2, "link/r>q": 1000})
    other = {"zone": "q-a", "endpoints": 2, "slots": 3}
    sim.handle(ApplyConfiguration(6, make_text(places=[other])))
    assert sim.endpoint_of(sim.request()) == "eq1:1"


def test_the_slot_of_a_cancelled_call_is_freed_after_a_delay():
    sim = make_warm_simulation({"e1:1": 1})
    sim.finish(sim.request(), DispatchOutcome.TIMED_OUT, 1.0)
    waiting = sim.request()
    assert not sim.endpoint_of(waiting)
    sim.now = Instant(sim.now + 0.6)
    sim.handle(Tick())
    assert sim.endpoint_of(waiting)


def test_the_only_share_is_not_ejected():
    sim = make_warm_simulation(
        {"e1:1": 3, "e2:1": 0, "e3:1": 0}, endpoints=["e1:1", "e2:1", "e3:1"]
    )
    for _ in range(4):
        sim.finish(sim.request(), DispatchOutcome.BROKEN, 0.01)
    assert sim.state.servers["e1:1"].tracker.health is Health.PROBING


def test_a_call_waits_for_a_share_while_the_lease_runs():
    sim = make_warm_simulation({"e1:1": 0, "e2:1": 0}, endpoints=["e1:1", "e2:1"])
    call = sim.request("slow")
    assert not sim.refusal_reason(call)
    sim.apply_heartbeat({"e1:1": 1})
    assert sim.endpoint_of(call)
    sim.now = Instant(sim.now + 3.0)
    assert sim.refusal_reason(sim.request("fast", service="base")) == "no_endpoint"


def test_timeouts_do_not_refuse_a_kind_forever():
    sim = make_warm_simulation()
    for _ in range(30):
        sim.finish(sim.request(), DispatchOutcome.TIMED_OUT, 2.0)
        sim.now = Instant(sim.now + 0.6)
        sim.apply_heartbeat({"e1:1": 2, "e2:1": 2})
        sim.handle(Tick())
    for item in sim.state.servers.values():
        item.tracker.health = Health.TRUSTED
    assert sim.endpoint_of(sim.request(seconds=1.5))


def test_a_server_that_sheds_every_call_is_ejected():
    sim = make_warm_simulation({f"e{at}:1": 2 for at in range(1, 5)})
    shed = 0
    for _ in range(60):
        call = sim.request()
        sheds = sim.endpoint_of(call) == "e1:1"
        shed += sheds
        sim.finish(
            call, DispatchOutcome.SHED if sheds else DispatchOutcome.ANSWERED, 0.02
        )
    assert shed == 3
