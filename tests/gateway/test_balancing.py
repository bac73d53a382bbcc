"""Test the selection of backend servers, without sockets and threads."""

from __future__ import annotations

from collections import Counter

from snipecart.core.ids import Instant
from snipecart.core.region_shares import region_shares
from snipecart.core.states import EndpointState
from snipecart.core.states import SendOutcome
from snipecart.gateway.balancing.state import GATEWAY_COUNT_DELAY
from snipecart.gateway.balancing.state import PROPAGATION_TIME
from snipecart.gateway.balancing.state import apply_departure
from snipecart.gateway.balancing.state import apply_sync
from snipecart.gateway.load_report import LoadReport
from snipecart.messages.discovery import RateShare
from snipecart.messages.discovery import SyncAnswer
from snipecart.text.routing import dump_routing

from .world import Gateway
from .world import make_instance
from .world import make_route
from .world import make_routing

ONE = make_routing(make_route())


def make_sync(**overrides):
    fields = {
        "source": "s",
        "revision": 1,
        "complete": False,
        "instances": (),
        "gone": (),
        "routing_version": 1,
        "routing": b"",
        "evacuation_index": 0,
        "evacuated": (),
        "control": (),
        "control_index": 0,
        "gateways": 3,
        "ready": True,
        "absent_are_gone": False,
    }
    return SyncAnswer(**{**fields, **overrides})


def test_gateways_of_a_region_prefer_the_same_server_for_an_object():
    servers = [make_instance(number) for number in range(8)]
    one, other = (
        Gateway(ONE).add_instances(*servers),
        Gateway(ONE).add_instances(*reversed(servers)),
    )
    for key in map(str, range(40)):
        routed = one.request(key=key)
        first = one.select(routed)
        one.end(routed, first)
        routed = other.request(key=key)
        second = other.select(routed)
        other.end(routed, second)
        assert second.instance == first.instance


def test_only_objects_of_a_removed_server_move():
    servers = [make_instance(number) for number in range(8)]
    before, after = (
        Gateway(ONE).add_instances(*servers),
        Gateway(ONE).add_instances(*servers[1:]),
    )
    keys = [str(number) for number in range(200)]

    def first_server(gateway, key):
        routed = gateway.request(key=key)
        destination = gateway.select(routed)
        gateway.end(routed, destination)
        return destination.instance

    moved = sum(first_server(before, key) != first_server(after, key) for key in keys)
    expected = sum(first_server(before, key) == servers[0].instance for key in keys)
    assert moved == expected


def test_requests_beyond_a_servers_slots_go_to_the_next_server():
    gateway = Gateway(ONE).add_instances(make_instance(1), make_instance(2))
    destinations = Counter(gateway.select().instance for _ in range(5))
    assert sorted(destinations.values()) == [1, 4]


def test_objects_stay_on_warm_servers_once_most_slots_are_used():
    gateway = Gateway(ONE).add_instances(make_instance(1), make_instance(2))
    gateway.state.usual_times["look"] = 0.2
    destinations = [gateway.select() for _ in range(20)]
    counts = Counter(
        item.instance for item in destinations if not isinstance(item, str)
    )
    assert max(counts.values()) > 4
    assert min(counts.values()) < 4
    assert destinations[-1] == "server_saturated"


def test_load_reports_include_requests_of_other_gateways():
    gateway = Gateway(ONE).add_instances(make_instance(1), make_instance(2))
    routed = gateway.request()
    first = gateway.select(routed)
    gateway.end(routed, first, load=LoadReport(4, 3, 4))
    assert gateway.select().instance != first.instance


def test_evacuated_leaving_and_excluded_servers_get_no_requests():
    south_only = make_routing(make_route(regions=["south"]))
    gateway = Gateway(south_only).add_instances(
        make_instance(1), make_instance(2, "south")
    )
    assert gateway.select().instance == "i-racks-2"
    apply_sync(
        gateway.state, make_sync(evacuation_index=5, evacuated=("south-a",)), 100.0
    )
    assert gateway.select() == "no_endpoint"
    gateway = Gateway(ONE).add_instances(make_instance(1, state=EndpointState.LEAVING))
    assert gateway.select() == "no_endpoint"


def test_an_older_evacuation_is_ignored():
    gateway = Gateway(ONE).add_instances(make_instance(1))
    apply_sync(gateway.state, make_sync(evacuation_index=9, evacuated=()), 100.0)
    apply_sync(
        gateway.state, make_sync(evacuation_index=5, evacuated=("north-a",)), 100.0
    )
    assert gateway.select().instance == "i-racks-1"


def test_an_older_routing_table_is_ignored():
    gateway = Gateway(make_routing(make_route(), version=5))
    older = dump_routing(make_routing(make_route(), version=4))
    apply_sync(gateway.state, make_sync(routing=older), 100.0)
    assert gateway.state.index.routing.version == 5


def test_a_complete_list_removes_servers_that_it_lacks():
    gateway = Gateway(ONE).add_instances(make_instance(1), make_instance(2))
    complete = make_sync(complete=True, instances=(make_instance(2),))
    apply_sync(gateway.state, complete, 100.0 + PROPAGATION_TIME + 0.1)
    assert set(gateway.state.servers) == {"i-racks-2"}


def test_a_stale_complete_list_neither_removes_nor_restores_servers():
    gateway = Gateway(ONE).add_instances(make_instance(1), make_instance(2))
    apply_departure(gateway.state, make_instance(2))
    lagging = make_sync(complete=True, instances=(make_instance(2),))
    apply_sync(gateway.state, lagging, 100.3)
    assert set(gateway.state.servers) == {"i-racks-1"}
    restarted = make_instance(2, born=9000)
    apply_sync(gateway.state, make_sync(instances=(restarted,)), 100.4)
    assert set(gateway.state.servers) == {"i-racks-1", "i-racks-2"}


def test_a_departure_without_a_start_time_removes_the_current_instance():
    gateway = Gateway(ONE).add_instances(make_instance(1), make_instance(2))
    apply_departure(gateway.state, make_instance(2, born=0, sequence=0))
    assert set(gateway.state.servers) == {"i-racks-1"}
    gateway.add_instances(make_instance(2, sequence=9))
    assert set(gateway.state.servers) == {"i-racks-1"}
    gateway.add_instances(make_instance(2, born=9000))
    assert set(gateway.state.servers) == {"i-racks-1", "i-racks-2"}


def test_a_stale_list_does_not_restore_a_leaving_server():
    gateway = Gateway(ONE).add_instances(make_instance(1), make_instance(2))
    gateway.add_instances(make_instance(2, sequence=5, state=EndpointState.LEAVING))
    without = make_sync(complete=True, instances=(make_instance(1),))
    apply_sync(gateway.state, without, 100.0 + PROPAGATION_TIME + 0.1)
    gateway.add_instances(make_instance(2, sequence=4))
    assert set(gateway.state.servers) == {"i-racks-1"}


def test_a_lower_gateway_count_is_applied_after_a_delay():
    gateway = Gateway(ONE)
    apply_sync(gateway.state, make_sync(gateways=7), 100.0)
    apply_sync(gateway.state, make_sync(gateways=1), 100.2)
    assert gateway.state.gateways == 7
    apply_sync(gateway.state, make_sync(gateways=5), 100.2 + GATEWAY_COUNT_DELAY)
    assert gateway.state.gateways == 5


def test_spillover_of_a_burst_to_other_regions_is_bounded():
    north = [make_instance(number) for number in range(4)]
    south = [make_instance(number, "south") for number in range(10, 14)]
    gateway = Gateway(ONE).add_instances(*north, *south)
    spilled = selected = 0
    for turn in range(400):
        gateway.now = Instant(gateway.now + 0.005)
        destination = gateway.select(gateway.request(key=str(turn % 40)))
        if not isinstance(destination, str):
            selected += 1
            region = gateway.state.servers[destination.instance].instance.region
            spilled += region == "south"
        if turn % 8 == 0:
            for server in gateway.state.servers.values():
                server.sends = server.sends[1:]
    assert selected > 100
    assert spilled <= 0.15 * selected


def test_gateways_share_the_rate_of_a_cold_server():
    server = make_instance(1, cold=3000, slots=50)
    gateway = Gateway(ONE).add_instances(server)
    share = RateShare(server.instance, server.born, 1 / 5)
    sent = 0
    for _ in range(200):
        gateway.now = Instant(gateway.now + 0.01)
        leased = make_sync(lease_start=gateway.now, rate_shares=(share,))
        apply_sync(gateway.state, leased, gateway.now)
        routed = gateway.request()
        destination = gateway.select(routed)
        if not isinstance(destination, str):
            sent += 1
            gateway.end(routed, destination)
    assert 4 <= sent <= 2 * 10 / 5 + 1


def test_a_server_that_refuses_connections_is_ejected_and_retried():
    gateway = Gateway(ONE).add_instances(make_instance(1), make_instance(2))
    routed = gateway.request()
    first = gateway.select(routed)
    gateway.end(routed, first, SendOutcome.NOT_SENT)
    assert gateway.select().instance != first.instance
    gateway.now = Instant(gateway.now + 1.0)
    assert gateway.select().instance == first.instance


def test_an_unresponsive_server_is_ejected_and_a_busy_one_is_not():
    gateway = Gateway(ONE).add_instances(make_instance(1), make_instance(2))
    routed = gateway.request()
    first = gateway.select(routed)
    gateway.end(routed, first)
    for _ in range(3):
        gateway.end(routed, gateway.select(routed), SendOutcome.TIMED_OUT, 1.5)
        gateway.end(routed, gateway.select(routed))
    assert gateway.select(routed).instance == first.instance
    gateway.now = Instant(gateway.now + 1.5)
    for _ in range(3):
        gateway.end(routed, first, SendOutcome.TIMED_OUT, 1.5)
    assert gateway.select(gateway.request()).instance != first.instance


def test_a_server_whose_sends_end_without_an_answer_loses_its_objects():
    gateway = Gateway(ONE).add_instances(
        *(make_instance(number) for number in range(4))
    )
    for turn in range(40):
        routed = gateway.request(key=str(turn % 8))
        gateway.end(routed, gateway.select(routed))
    slow = gateway.select(gateway.request(key="1")).instance
    for end in (SendOutcome.TIMED_OUT, SendOutcome.CANCELLED) * 6:
        for key in "0123":
            routed = gateway.request(key=key)
            destination = gateway.select(routed)
            late = destination.instance == slow
            gateway.end(
                routed, destination, end if late else SendOutcome.ANSWERED, 1.5 * late
            )
    assert gateway.select(gateway.request(key="1")).instance != slow


def reject(gateway, routed, destination):
    gateway.end(routed, destination, SendOutcome.REJECTED, load=LoadReport(1, 0, 4))


def test_a_failing_server_is_excluded_while_others_are_sound():
    gateway = Gateway(ONE).add_instances(
        *(make_instance(number) for number in range(4))
    )
    failing_server = gateway.select().instance
    for _ in range(8):
        routed = gateway.request()
        destination = gateway.select(routed)
        if destination.instance == failing_server:
            reject(gateway, routed, destination)
    assert gateway.select().instance != failing_server


def test_servers_that_are_all_failing_still_get_requests():
    gateway = Gateway(ONE).add_instances(
        *(make_instance(number) for number in range(4))
    )
    for turn in range(60):
        routed = gateway.request(key=str(turn))
        reject(gateway, routed, gateway.select(routed))
    for turn in range(60):
        routed = gateway.request(key=str(turn))
        destination = gateway.select(routed)
        assert not isinstance(destination, str)
        gateway.end(routed, destination)


def test_a_slow_server_loses_its_objects():
    gateway = Gateway(ONE).add_instances(
        *(make_instance(number) for number in range(4))
    )
    for key in map(str, range(60)):
        routed = gateway.request(key=key)
        gateway.end(routed, gateway.select(routed))
    slow = gateway.select(gateway.request(key="1")).instance
    for turn in range(60):
        routed = gateway.request(key=str(turn % 5))
        destination = gateway.select(routed)
        seconds = 1.0 if destination.instance == slow else 0.2
        gateway.end(routed, destination, seconds=seconds)
    assert gateway.select(gateway.request(key="1")).instance != slow


def test_an_overload_is_rejected_at_once_and_less_urgent_routes_first():
    routing = make_routing(
        make_route("look", rank=0), make_route("issue", rank=2, target_latency_ms=1200)
    )
    gateway = Gateway(routing).add_instances(make_instance(1))
    for name in ("look", "issue"):
        gateway.state.usual_times[name] = 0.2
    ends = [gateway.select(gateway.request("/issue/x")) for _ in range(40)]
    issued = sum(not isinstance(end, str) for end in ends)
    admitted_looks = sum(
        not isinstance(gateway.select(gateway.request("/look/x")), str)
        for _ in range(40)
    )
    assert 4 <= issued < 12
    assert admitted_looks > 0
    assert gateway.select(gateway.request("/issue/x")) == "server_saturated"


def test_warm_objects_are_kept_apart_by_route():
    routing = make_routing(make_route("look"), make_route("issue"))
    gateway = Gateway(routing).add_instances(make_instance(1))
    routed = gateway.request("/look/x")
    gateway.end(routed, gateway.select(routed))
    server = gateway.state.servers["i-racks-1"]
    assert server.is_warm_for(gateway.request("/look/x").object_key)
    assert not server.is_warm_for(gateway.request("/issue/x").object_key)


def test_region_shares_fill_the_own_region_before_others():
    shares = region_shares(
        "north", {"north": 10, "south": 50, "east": 60}, ("north", "south", "east")
    )
    assert shares["north"] == 0.25
    assert abs(sum(shares.values()) - 1.0) < 1e-9
    assert region_shares("south", {"north": 10, "south": 50}, ())["south"] == 1.0


def test_a_traffic_split_follows_its_weights_over_few_requests():
    targets = [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}]
    gateway = Gateway(make_routing(make_route(targets=targets)))
    route = gateway.state.index.find("shop.example:80", "/look/x?y=1")
    served = Counter(gateway.state.traffic_splits.next(route) for _ in range(50))
    assert served == {"a": 45, "b": 5}


def test_the_longest_prefix_wins_and_hosts_ignore_case_and_port():
    routing = make_routing(make_route("look"), make_route("deep", prefix="/look/deep/"))
    index = Gateway(routing).state.index
    assert index.find("SHOP.example:8080", "/look/deep/x").name == "deep"
    assert index.find("shop.example", "/look/deeper/x").name == "look"
    assert index.find("shop.example", "/loo") is None
    assert index.find("other.example", "/look/x") is None
