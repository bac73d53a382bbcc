"""Test with real processes that texts at their edges are served and end no process."""

from __future__ import annotations

import json
import time

import pytest

from snipecart.platform import names
from tests.platform.fleet import Backend
from tests.platform.fleet import platform_fleet
from tests.platform.fleet import sending_heartbeats
from tests.platform.fleet import wait_for
from tests.platform.test_decoders import MANIFEST
from tests.platform.test_decoders import ROUTE
from tests.platform.test_extreme_numbers import replace_field

NET = "127.73"
APPLY_SECONDS = 2.0
"""Time within which an acknowledged table is in force."""

KEY = "sk-secret"
TENANT = {"name": "acme", "api_keys": [KEY], "rate_per_s": 500, "burst": 500}
URGENT = {**ROUTE, "name": "urgent", "path_prefix": "/urgent/", "priority": 0}
SOUND = {**MANIFEST, "routes": [ROUTE, URGENT], "tenants": [TENANT]}


EXTREMES = {
    "burst": "1.7976931348623157e308",
    "weight": "1e308",
    "cold_per_s": "1e400",
    "max_attempts": "9" * 400,
    "max_connections": "9" * 5000,
    "max_header_bytes": "18446744073709551616",
    "idle_timeout": '"4294967297ms"',
    "cold_start": '"' + "9" * 400 + 's"',
}
"""JSON literals by field."""


def make_extreme(document):
    """Return the text of a document whose numbers are at the ends of their types."""
    for field in EXTREMES:
        document = json.loads(replace_field(document, field, f'"@{field}"'))
    document["routes"][0]["priority"] = 10**400
    text = json.dumps(document)
    for field, literal in EXTREMES.items():
        text = text.replace(f'"@{field}"', literal)
    return text.encode()


@pytest.fixture
def fleet(tmp_path):
    """Run three control and two entry processes with a backend server."""
    with platform_fleet(tmp_path, NET) as fleet:
        backend = Backend(f"{NET}.3.1", 1, "racks", "north-a")
        put(fleet, 1, json.dumps(SOUND).encode())
        with sending_heartbeats(fleet, backend):
            wait_for(lambda: fleet.is_ready("entry-1") and fleet.is_ready("entry-2"))
            yield fleet
        backend.close()


def put(fleet, version, body):
    """Put a document in force under a version."""
    body = body.replace(b'"0000000c"', f'"{version:08x}"'.encode())
    assert fleet.control("POST", names.PUT_ROUTING, body) == 200
    time.sleep(APPLY_SECONDS)


def statuses(fleet, key=KEY):
    """Return the statuses of requests to both routes at both entry processes."""
    headers = {"Authorization": f"Bearer {key}"}
    return {
        fleet.request(name, path, headers=headers).status
        for _ in range(20)
        for name in ("entry-1", "entry-2")
        for path in ("/look/x", "/urgent/x")
    }


def test_texts_at_their_edges_are_served_and_end_no_process(fleet):
    """Guards against accepted texts that end processes or are read as others."""
    running = {name: process.pid for name, process in fleet.processes.items()}
    put(fleet, 2, make_extreme(SOUND))
    assert statuses(fleet) == {200}
    put(fleet, 3, json.dumps({**SOUND, "tenants": []}).encode())
    assert statuses(fleet) == {401}
    put(fleet, 4, json.dumps({**SOUND, "routes": []}).encode())
    assert statuses(fleet) == {404}
    put(fleet, 5, json.dumps({**SOUND, "routes": [], "backends": []}).encode())
    assert statuses(fleet) == {404}
    put(fleet, 6, json.dumps(SOUND).encode())
    assert statuses(fleet) == {200}
    assert statuses(fleet, "sk-other") == {401}
    for name, process in fleet.processes.items():
        assert process.poll() is None and process.pid == running[name], name
