"""Test with real processes that a gateway which says it is ready can serve."""

from __future__ import annotations

import time

import pytest

from snipecart.control.discovery.table import SILENCE_TIMEOUT
from snipecart.platform import names
from tests.platform.fleet import Backend
from tests.platform.fleet import platform_fleet
from tests.platform.fleet import wait_for
from tests.process.test_platform import SAFE_ROUTE
from tests.process.test_platform import make_manifest

NET = "127.63"

SETTLED_SECONDS = 3.0
"""Time after which control processes have settled and a table is in force."""


@pytest.fixture
def fleet(tmp_path):
    """Run three control processes and a gateway with a routing table, but no server."""
    with platform_fleet(tmp_path, NET, controls=3, entries=1) as fleet:
        body = make_manifest(1, SAFE_ROUTE)
        assert fleet.control("POST", names.PUT_ROUTING, body) == 200
        yield fleet


def test_a_gateway_waits_for_the_first_heartbeat_of_a_service(fleet):
    end = time.monotonic() + SETTLED_SECONDS
    while time.monotonic() < end:
        assert not fleet.is_ready("entry-1")
        time.sleep(0.1)
    backend = Backend(f"{NET}.3.1", 1, "racks", "north-a")
    try:
        assert fleet.report(backend) == 200
        wait_for(lambda: fleet.is_ready("entry-1"))
        assert fleet.request("entry-1").status == 200
    finally:
        backend.close()


def test_a_service_without_servers_delays_readiness_for_the_silence_timeout_only(fleet):
    begin = time.monotonic()
    wait_for(lambda: fleet.is_ready("entry-1"), SILENCE_TIMEOUT + 10)
    assert time.monotonic() - begin > SETTLED_SECONDS
    assert fleet.request("entry-1").status == 503
