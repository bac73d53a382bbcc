"""Measure how the costs of gateways and of discovery grow with their sizes."""

from __future__ import annotations

from snipecart.control.discovery.gateways import LookupIndex
from snipecart.control.discovery.gateways import RegisteredGateway
from snipecart.control.discovery.rate_shares import RateShares
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
from snipecart.gateway.load_report import LoadReport
from snipecart.gateway.request import HttpRequest
from snipecart.gateway.request import RoutedRequest
from snipecart.gateway.request import SendResult
from snipecart.messages.discovery import Gateway
from snipecart.messages.discovery import Instance
from snipecart.messages.discovery import SyncAnswer
from snipecart.messages.discovery import SyncRequest
from snipecart.text.routing import check_routing
from snipecart.wire.codec import encode

from .slopes import measure_us
from .slopes import register_slope

REGIONS = tuple(f"region-{number}" for number in range(9))
NOW = Instant(100.0)
OBJECT_COUNT = 64
"""Distinct object keys of the measured requests."""


def make_instance(number: int) -> Instance:
    """Return an instance of a backend server; regions are assigned in turn."""
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
    """Return a routing table with one route and one service."""
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
    """Return the balancing state of a gateway that knows some backend servers."""
    state = BalancerState(Locality(REGIONS[0], f"{REGIONS[0]}-a", REGIONS))
    state.index = RouteIndex(make_routing())
    for number in range(servers):
        apply_instance(state, make_instance(number), NOW)
    return state


def make_routed(state: BalancerState, number: int) -> RoutedRequest:
    """Return a routed request whose object key is ``number``."""
    req = HttpRequest("GET", "/look/x", "h", (), b"", "r", str(number), 0, NOW)
    return RoutedRequest(req, state.index.routing.routes[0], 1, Instant(NOW + 1.5))


def complete_request(state: BalancerState, routed: RoutedRequest) -> None:
    """Select a server for a request and record a successful answer."""
    destination = select_server(state, routed, "racks", frozenset(), NOW).ok
    record_send(
        state,
        routed,
        destination,
        SendResult(SendOutcome.ANSWERED, 0.2, None, LoadReport(3, 0, 9)),
        NOW,
    )


@register_slope("placing of a request, order known", "us", 36, 108, 234, 930)
def measure_known_order(servers: int) -> float:
    """Measure the selection for an object key whose preference order is cached."""
    state = make_state(servers)
    requests = [make_routed(state, number) for number in range(OBJECT_COUNT)]
    for routed in requests:
        complete_request(state, routed)
    sequence = iter(requests * 1000)
    return measure_us(lambda: complete_request(state, next(sequence)), 2000)


@register_slope("placing of a request, order made", "us", 36, 108, 234, 930)
def measure_new_order(servers: int) -> float:
    """Measure the selection for an object key whose order must be computed.

    This is the first request for an object after a change of the servers.
    """
    state = make_state(servers)
    routed = make_routed(state, 1)

    def operation() -> None:
        state.preferences.clear()
        complete_request(state, routed)

    return measure_us(operation, 50)


def make_answer(servers: int) -> SyncAnswer:
    """Return the answer to a sync request with all backend servers."""
    instances = tuple(make_instance(number) for number in range(servers))
    return SyncAnswer("s", 9, True, instances, (), 1, b"", 0, (), (), 0, 7, True, False)


@register_slope("complete answer to a gateway on the wire", "bytes", 36, 108, 234, 930)
def measure_answer_bytes(servers: int) -> float:
    """Measure the size of the answer that a gateway receives after a restart."""
    return len(encode(make_answer(servers)))


@register_slope("request of a gateway on the wire", "bytes", 1, 2, 3)
def measure_request_bytes(count: int) -> float:
    """Measure the sync request that a gateway sends twice a second.

    It sends one to each control process.
    """
    gateway = Gateway("vm/1", "vm", "r", "r-a", "10.0.0.1:80", MemberState.SERVING)
    request = SyncRequest(gateway, "0123456789ab", 9, 1, 0, False, 7, False, 5)
    return count * len(encode(request))


@register_slope("repeated report of an instance", "us", 36, 108, 234, 930)
def measure_repeated_heartbeat(servers: int) -> float:
    """Measure the handling of a heartbeat that changes nothing."""
    table = InstanceTable()
    for number in range(servers):
        table.apply_update(make_instance(number), False, NOW)
    heartbeat = make_instance(1)
    return measure_us(lambda: table.apply_update(heartbeat, False, NOW), 2000)


@register_slope("look-up of gateways", "us", 7, 33, 100, 930)
def measure_lookup(count: int) -> float:
    """Measure the selection of the gateways for the answer to a look-up."""
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
    return measure_us(lambda: index.select_gateways(REGIONS[0], "z", 16), 500)


LIMITED_SERVERS = 300
"""Servers that are cold, or have named a rate limit, at the same time."""


@register_slope("division of the rates of limited servers", "us", 7, 33, 100, 930)
def measure_rate_shares(count: int) -> float:
    """Measure a division that changes nothing; each control process makes 5 a second.

    A first division hashes each server with the gateways of the regions that use it.
    """
    gateways = [
        RegisteredGateway(
            Gateway(
                f"g{number}/1",
                f"g{number}",
                REGIONS[number % len(REGIONS)],
                "z",
                "10.0.0.1:80",
                MemberState.SERVING,
            ),
            NOW,
            lambda message: None,
        )
        for number in range(count)
    ]
    servers = [make_instance(number) for number in range(LIMITED_SERVERS)]
    shares = RateShares()
    return measure_us(lambda: shares.update(servers, servers, gateways), 50)
