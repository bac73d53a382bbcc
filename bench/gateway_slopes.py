"""Measure the slopes of gateways and of discovery."""

from __future__ import annotations

from snipecart.control.discovery.gateways import LookupIndex
from snipecart.control.discovery.table import InstanceTable
from snipecart.core.ids import Instant
from snipecart.core.states import EndpointState
from snipecart.core.states import MemberState
from snipecart.core.states import SendOutcome
from snipecart.gateway.balancing.outcome import record_send
from snipecart.gateway.balancing.routes import RouteIndex
from snipecart.gateway.balancing.selection import select_server
from snipecart.gateway.balancing.state import BalancerState
from snipecart.gateway.balancing.state import Locality
from snipecart.gateway.balancing.state import apply_instance
from snipecart.gateway.request import HttpRequest
from snipecart.gateway.request import RoutedRequest
from snipecart.gateway.request import SendResult
from snipecart.messages.discovery import Gateway
from snipecart.messages.discovery import Instance
from snipecart.messages.discovery import SyncAnswer
from snipecart.messages.discovery import SyncRequest
from snipecart.text.routing import check_routing
from snipecart.wire.codec import encode

from .slopes import slope
from .slopes import timed

REGIONS = tuple(f"region-{number}" for number in range(9))
NOW = Instant(100.0)
OBJECTS = 64


def make_instance(number: int) -> Instance:
    """Return one of many backend servers, spread over the regions."""
    region = REGIONS[number % len(REGIONS)]
    return Instance(
        f"i-{number:08x}",
        f"10.1.{number // 250}.{number % 250}:8080",
        "racks",
        region,
        f"{region}-a",
        9,
        EndpointState.SERVING,
        7,
        1_700_000_000_000,
        0,
    )


def make_routing():
    """Return a routing table of one route."""
    route = {
        "name": "look",
        "host": "shop.example",
        "prefix": "/look/",
        "targets": [{"service": "racks", "weight": 1}],
        "idempotent": True,
        "timeout_ms": 1500,
        "target_latency_ms": 400,
        "rank": 1,
        "attempts": 2,
        "affinity": True,
    }
    service = {
        "name": "racks",
        "health_path": "/",
        "max_connections": 0,
        "cold_ms": 0,
        "cold_per_s": 0,
    }
    return check_routing({"version": 1, "routes": [route], "services": [service]}).ok


def make_state(servers: int) -> BalancerState:
    """Return a gateway's state that knows some backend servers."""
    state = BalancerState(Locality(REGIONS[0], f"{REGIONS[0]}-a", REGIONS))
    state.index = RouteIndex(make_routing())
    for number in range(servers):
        apply_instance(state, make_instance(number), NOW)
    return state


def make_routed(state: BalancerState, number: int) -> RoutedRequest:
    """Return a routed request for one of some objects."""
    req = HttpRequest("GET", "/look/x", "h", (), b"", "r", str(number), 0, NOW)
    return RoutedRequest(req, state.index.routing.routes[0], 1, Instant(NOW + 1.5))


def place_once(state: BalancerState, routed: RoutedRequest) -> None:
    """Place a request and end it."""
    place = select_server(state, routed, "racks", frozenset(), NOW).ok
    record_send(
        state,
        routed,
        place,
        SendResult(SendOutcome.ANSWERED, 0.2, None, (3, 0, 9)),
        NOW,
    )


@slope("placing of a request, order known", "us", 36, 108, 234, 930)
def place_known(servers: int) -> float:
    """Measure a request whose object was seen since servers last changed."""
    state = make_state(servers)
    wanted = [make_routed(state, number) for number in range(OBJECTS)]
    for routed in wanted:
        place_once(state, routed)
    turns = iter(wanted * 1000)
    return timed(lambda: place_once(state, next(turns)), 2000)


@slope("placing of a request, order made", "us", 36, 108, 234, 930)
def place_fresh(servers: int) -> float:
    """Measure the first request for an object since servers last changed."""
    state = make_state(servers)
    routed = make_routed(state, 1)

    def work() -> None:
        state.preference_orders.clear()
        place_once(state, routed)

    return timed(work, 50)


def make_answer(servers: int) -> SyncAnswer:
    """Return an answer with all backend servers."""
    everyone = tuple(make_instance(number) for number in range(servers))
    return SyncAnswer("s", 9, True, everyone, (), 1, b"", 0, (), (), 0, 7, True)


@slope("complete answer to a gateway on the wire", "bytes", 36, 108, 234, 930)
def answer_on_the_wire(servers: int) -> float:
    """Measure what a gateway gets after a restart."""
    return len(encode(make_answer(servers)))


@slope("request of a gateway on the wire", "bytes", 1, 2, 3)
def request_on_the_wire(count: int) -> float:
    """Measure what a gateway sends each control process twice a second."""
    gateway = Gateway("vm/1", "vm", "r", "r-a", "10.0.0.1:80", MemberState.SERVING)
    request = SyncRequest(gateway, "0123456789ab", 9, 1, 0, False, 7, False, 5)
    return count * len(encode(request))


@slope("repeated report of an instance", "us", 36, 108, 234, 930)
def take_report(servers: int) -> float:
    """Measure a report that only shows life."""
    table = InstanceTable()
    for number in range(servers):
        table.apply_update(make_instance(number), False, NOW)
    said = make_instance(1)
    return timed(lambda: table.apply_update(said, False, NOW), 2000)


@slope("look-up of gateways", "us", 7, 33, 100, 930)
def look_up(count: int) -> float:
    """Measure how a control process chooses whom a look-up names."""
    gateways = [
        Gateway(
            f"g{number}/1",
            f"g{number}",
            REGIONS[number % len(REGIONS)],
            "z",
            "10.0.0.1:80",
            MemberState.SERVING,
        )
        for number in range(count)
    ]
    index = LookupIndex(gateways)
    return timed(lambda: index.select_server(REGIONS[0], "z", 16), 500)
