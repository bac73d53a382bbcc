"""Test that messages of the platform are either decoded completely or rejected."""

from __future__ import annotations

import ast
import json
from copy import deepcopy
from ipaddress import ip_address
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from snipecart.core.states import EndpointState
from snipecart.messages.discovery import InstanceChanged
from snipecart.platform import names
from snipecart.platform.heartbeats import decode_deregistration
from snipecart.platform.heartbeats import decode_heartbeat
from snipecart.platform.manifest import decode_manifest
from snipecart.wire.codec import decode as decode_message
from snipecart.wire.codec import encode as encode_message

REGIONS = {"north-a": "north"}

ROUTE = {
    "name": "r1",
    "hostname": "shop.example",
    "path_prefix": "/look/",
    "route_type": "safe",
    "timeout": "1.5s",
    "target_latency": "400ms",
    "priority": 1,
    "weighted_backends": [{"backend": "racks", "weight": 90}],
    "max_attempts": 2,
    "session_affinity": True,
    "allowed_regions": [],
}
MANIFEST = {
    "version": "0000000c",
    "routes": [ROUTE],
    "backends": [
        {
            "name": "racks",
            "health_check_path": "/health",
            "max_connections": 330,
            "protocol": "h1",
            "tls": False,
            "cold_start": "3s",
            "cold_per_s": 9.7,
        }
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 4096,
        "header_timeout": "3000ms",
        "idle_timeout": "15000ms",
    },
}
HEARTBEAT = {
    "address": "10.0.0.1:80",
    "born": 1_700_000_000_000,
    "info": {"backend": "racks", "version": "v1", "zone": "north-a", "slots": 9},
    "status": {"state": "ready", "sequence": 4, "cold_remaining": "1.5s"},
}


def encode(document):
    return json.dumps(document).encode()


def test_a_manifest_becomes_a_routing_table():
    routing = decode_manifest(encode(MANIFEST)).ok
    assert routing.version == 12
    route = routing.routes[0]
    assert (route.timeout_ms, route.target_latency_ms) == (1500, 400)
    assert route.idempotent and route.targets[0].service == "racks"
    assert routing.services[0].cold_ms == 3000


@pytest.mark.parametrize(
    ("kind", "idempotent"), [("safe", True), ("unsafe", False), ("upload", False)]
)
def test_only_safe_requests_may_run_again(kind, idempotent):
    document = {**MANIFEST, "routes": [{**ROUTE, "route_type": kind}]}
    assert decode_manifest(encode(document)).ok.routes[0].idempotent is idempotent


@pytest.mark.parametrize(
    "change",
    [
        {"weighted_backends": [{"backend": "none", "weight": 1}]},
        {"timeout": "601s"},
        {"target_latency": "61.5s"},
        {"max_attempts": 0},
        {"route_type": "odd"},
        {"timeout": 5},
        {"path_prefix": "look"},
        {"priority": True},
    ],
)
def test_a_manifest_with_a_faulty_route_is_rejected(change):
    document = {**MANIFEST, "routes": [ROUTE, {**ROUTE, **change}]}
    assert decode_manifest(encode(document)).is_error()


def test_a_truncated_manifest_is_rejected():
    data = encode(MANIFEST)
    for end in range(0, len(data), 7):
        assert decode_manifest(data[:end]).is_error()


def test_a_heartbeat_becomes_an_instance():
    instance = decode_heartbeat("i-1", encode(HEARTBEAT), REGIONS).ok
    assert (instance.instance, instance.region, instance.slots) == ("i-1", "north", 9)
    assert (instance.sequence, instance.cold, instance.state) == (
        4,
        1500,
        EndpointState.SERVING,
    )


def test_a_deregistration_needs_no_body():
    assert decode_deregistration("i-1", b"").ok.born == 0
    assert decode_deregistration("i-1", b'{"born": 5}').ok.born == 5
    assert decode_deregistration("i-1", b'{"born": "x"}').is_error()


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)


def _paths(document, path=()):
    if isinstance(document, dict):
        for key, value in document.items():
            yield (*path, key)
            yield from _paths(value, (*path, key))
    elif isinstance(document, list):
        for index, value in enumerate(document):
            yield from _paths(value, (*path, index))


def _changed(document, path, value):
    changed = deepcopy(document)
    inner = changed
    for step in path[:-1]:
        inner = inner[step]
    inner[path[-1]] = value
    return changed


@settings(max_examples=200, derandomize=True)
@given(st.sampled_from(sorted(_paths(HEARTBEAT))), JSON)
def test_no_heartbeat_breaks_the_decoder(path, value):
    decode_heartbeat("i-1", encode(_changed(HEARTBEAT, path, value)), REGIONS)


@settings(max_examples=200, derandomize=True)
@given(st.sampled_from(sorted(_paths(MANIFEST), key=str)), JSON)
def test_no_manifest_breaks_the_decoder(path, value):
    decode_manifest(encode(_changed(MANIFEST, path, value)))


@settings(max_examples=200, derandomize=True)
@given(st.binary(max_size=60))
def test_no_bytes_break_the_decoders(data):
    decode_heartbeat("i-1", data, REGIONS)
    decode_deregistration("i-1", data)
    decode_manifest(data)


def test_only_the_adapter_knows_the_platforms_names():
    platform_names = {
        value
        for value in vars(names.HEADERS).values()
        if isinstance(value, str) and "-" in value
    }
    platform_names |= {
        names.SETTINGS_VARIABLE,
        names.HEARTBEAT,
        names.PUT_ROUTING,
        names.START_EVACUATION,
    }
    for path in Path("src/snipecart").rglob("*.py"):
        if "platform" in path.parts:
            continue
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Constant) and isinstance(node.value, str):
                assert node.value not in platform_names, f"{path}: {node.value}"


NESTED = b'{"a":' * 100_000 + b"1" + b"}" * 100_000


def _odd_heartbeats():
    """Yield heartbeats of a writer that knows no limits."""
    info, status = HEARTBEAT["info"], HEARTBEAT["status"]
    for number in (2**31, 2**32, 2**62, 2**63, 2**64, 10**30):
        yield {**HEARTBEAT, "born": number}
        yield {**HEARTBEAT, "info": {**info, "slots": number}}
        yield {**HEARTBEAT, "status": {**status, "sequence": number}}
        yield {**HEARTBEAT, "status": {**status, "cold_remaining": f"{number}s"}}
    yield {**HEARTBEAT, "status": {**status, "cold_remaining": "9" * 400 + "s"}}
    for address in ("10.0.0.1:65536", "10.0.0.1:0", "10.0.0.256:80", "١.0.0.1:80"):
        yield {**HEARTBEAT, "address": address}
    for name in ("\ud800", "\0", "x" * 100_000, ""):
        yield {**HEARTBEAT, "info": {**info, "backend": name}}


@pytest.mark.parametrize("document", list(_odd_heartbeats()), ids=lambda item: "")
def test_an_odd_heartbeat_is_refused_or_passes_through_every_process(document):
    decoded = decode_heartbeat("i-1", encode(document), REGIONS)
    if decoded.is_error():
        return
    instance = decoded.ok
    host, _, port = instance.endpoint.rpartition(":")
    assert ip_address(host)
    assert 0 < int(port) < 2**16
    changed = InstanceChanged(instance, False)
    assert decode_message(encode_message(changed)).ok.message == changed


@pytest.mark.parametrize("name", ["\ud800", "", "x" * 100_000])
def test_an_odd_id_names_no_server(name):
    assert decode_heartbeat(name, encode(HEARTBEAT), REGIONS).is_error()
    assert decode_deregistration(name, b"").is_error()


def test_deeply_nested_documents_are_refused():
    assert decode_heartbeat("i-1", NESTED, REGIONS).is_error()
    assert decode_deregistration("i-1", NESTED).is_error()
    assert decode_manifest(NESTED).is_error()
