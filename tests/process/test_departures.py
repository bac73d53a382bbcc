"""Test that departures of backend servers outlast the processes that confirmed them."""

from __future__ import annotations

import threading
import time

import pytest

from snipecart.platform import names
from tests.platform.fleet import Backend
from tests.platform.fleet import platform_fleet
from tests.platform.fleet import wait_for
from tests.platform.test_decoders import ROUTE
from tests.process.test_platform import make_manifest

NET = "127.62"

CONTROLS = ("control-1", "control-2", "control-3")

WATCHED_SECONDS = 4.0
"""Time for which requests are sent after the restart of all processes."""


@pytest.fixture
def fleet(tmp_path):
    """Run three control processes and a gateway with two backend servers."""
    with platform_fleet(tmp_path, NET, entries=1) as fleet:
        fleet.backends = [
            Backend(f"{NET}.3.1", number, "racks", "north-a") for number in (1, 2)
        ]
        assert fleet.control("POST", names.PUT_ROUTING, make_manifest(1, ROUTE)) == 200
        for backend in fleet.backends:
            assert fleet.report(backend) == 200
        wait_for(lambda: fleet.is_ready("entry-1"))
        yield fleet
        for backend in fleet.backends:
            backend.close()


def leave(fleet, backend, how):
    if how == "deregistered":
        return fleet.control("POST", names.DEREGISTER + backend.name)
    return fleet.report(backend, names.DRAINING)


@pytest.mark.parametrize("how", ["deregistered", "draining"])
def test_a_late_heartbeat_after_a_restart_of_all_processes_revives_no_server(
    fleet, how
):
    # All control processes and the gateway are killed after a server has left.
    left, stays = fleet.backends
    late = left.report()
    assert leave(fleet, left, how) == 200
    for name in list(fleet.processes):
        fleet.kill(name)
    left.received.clear()
    for name in (*CONTROLS, "entry-1"):
        fleet.start(name, bootstrap=False)
    stop = threading.Event()

    def send_heartbeats():
        while not stop.wait(0.1):
            fleet.report(stays)
            for name in CONTROLS:
                fleet.call("POST", name, names.HEARTBEAT + left.name, late)

    thread = threading.Thread(target=send_heartbeats)
    thread.start()
    try:
        wait_for(lambda: fleet.is_ready("entry-1"))
        until = time.monotonic() + WATCHED_SECONDS
        while time.monotonic() < until:
            key = str(fleet.count)
            fleet.request("entry-1", headers={"Affinity-Key": key})
    finally:
        stop.set()
        thread.join()
    assert stays.received
    assert not left.received
