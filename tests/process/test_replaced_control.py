"""Test that replaced control VMs and a loss of all power lose no routing table."""

from __future__ import annotations

import json
import signal
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager

import pytest
from urllib3.exceptions import HTTPError

from snipecart.platform import names
from tests.platform.fleet import Backend
from tests.platform.fleet import platform_fleet
from tests.platform.fleet import wait_for
from tests.process.test_platform import SAFE_ROUTE
from tests.process.test_platform import make_manifest

NET = "127.82"
CONTROLS = 5
GATEWAYS = ("entry-1", "entry-2")
OLDER_SERVICE, NEWER_SERVICE = "racks", "bins"

REPLACEMENTS = 3
PACE_SECONDS = 6.0
"""Time from one loss of a control VM to the next."""

JOIN_SECONDS = 1.0
"""Time from the loss of a control VM to the start of its replacement."""

POWER_OFF_SECONDS = 1.4
RECOVERY_SECONDS = 15.0
HEARTBEAT_SECONDS = 0.3


@contextmanager
def announced_servers(fleet):
    """Run a server of each service, and announce them until the block ends."""
    servers = {
        service: Backend(f"{NET}.3.1", number, service, "north-a")
        for number, service in enumerate((OLDER_SERVICE, NEWER_SERVICE))
    }
    stopping = threading.Event()

    def send_heartbeats():
        while not stopping.wait(HEARTBEAT_SECONDS):
            for server in servers.values():
                announce(fleet, server)

    thread = threading.Thread(target=send_heartbeats)
    thread.start()
    try:
        yield servers
    finally:
        stopping.set()
        thread.join()
        for server in servers.values():
            server.close()


def announce(fleet, server):
    """Send a heartbeat to one control process after the other."""
    path, body = names.HEARTBEAT + server.name, server.report()
    for name in list_controls(fleet):
        answer = fleet.call("POST", name, path, body)
        if answer is not None and answer.status == 200:
            return


def list_controls(fleet):
    """Return the names of the control processes that run."""
    return [name for name in list(fleet.processes) if name.startswith("control")]


def list_events(fleet, name, number):
    """Return the lines of one event in a process's log."""
    return [line for line in fleet.log(name) if line["event"] == number]


def find_leader(fleet):
    """Return the process that became leader last."""

    def led_at(name):
        return max((line["at"] for line in list_events(fleet, name, 2001)), default=0)

    return max(list_controls(fleet), key=led_at)


def all_are_voters(fleet):
    """Return whether each control process is a voter by the last change of them."""
    changes = list_events(fleet, find_leader(fleet), 2003)
    return bool(changes) and len(changes[-1]["voters"].split(",")) == CONTROLS


def put_table(fleet, version, service):
    """Put a routing table that sends all requests to one service, and return it."""
    targets = [{"backend": service, "weight": 90}]
    document = json.loads(
        make_manifest(version, {**SAFE_ROUTE, "weighted_backends": targets})
    )
    [backend] = document["backends"]
    document["backends"] = [
        {**backend, "name": name} for name in (OLDER_SERVICE, NEWER_SERVICE)
    ]
    table = json.dumps(document).encode()
    assert fleet.control("POST", names.PUT_ROUTING, table) == 200
    return table


def lose_power(fleet, lost_disk=""):
    """Kill all processes at the same moment, and start them a while later."""
    everyone = list(fleet.processes)
    for name in everyone:
        fleet.processes[name].send_signal(signal.SIGKILL)
    for name in everyone:
        fleet.processes.pop(name).wait(20)
    if lost_disk:
        fleet.lose_data(lost_disk)
    time.sleep(POWER_OFF_SECONDS)
    for name in everyone:
        fleet.start(name, bootstrap=False)


def serves(fleet, gateway):
    """Return whether a gateway serves a request."""
    try:
        return fleet.request(gateway).status == 200
    except HTTPError:
        return False


def returns_table(fleet, table):
    """Return whether a control process returns the table as it was put."""
    for name in list_controls(fleet):
        answer = fleet.call("GET", name, names.GET_ROUTING)
        if answer is not None and answer.status == 200:
            return answer.data == table
    return False


def holds_in_time(condition):
    """Return whether a condition becomes true before the recovery must be over."""
    end = time.monotonic() + RECOVERY_SECONDS
    while time.monotonic() < end:
        if condition():
            return True
        time.sleep(0.01)
    return False


def check_recovery(fleet, servers, newest):
    """Check that the newest table is returned, and that gateways serve by no other."""
    restarted_at = time.monotonic()
    conditions = [lambda: returns_table(fleet, newest)] + [
        lambda gateway=gateway: serves(fleet, gateway) for gateway in GATEWAYS
    ]
    with ThreadPoolExecutor() as pool:
        held = list(pool.map(holds_in_time, conditions))
    received = servers[OLDER_SERVICE].received
    outdated = [request for at, request in received if at > restarted_at]
    assert (held, outdated) == ([True] * len(conditions), [])


@pytest.fixture
def fleet(tmp_path):
    """Run five control processes, three of them seeds, and two gateways."""
    with platform_fleet(tmp_path, NET, CONTROLS, len(GATEWAYS)) as fleet:
        wait_for(lambda: all_are_voters(fleet))
        yield fleet


def test_a_table_survives_replaced_control_vms_a_lost_disk_and_no_power(fleet):
    with announced_servers(fleet) as servers:
        put_table(fleet, 1, OLDER_SERVICE)
        wait_for(lambda: all(serves(fleet, gateway) for gateway in GATEWAYS))
        for _ in range(REPLACEMENTS):
            lost_at = time.monotonic()
            lost = find_leader(fleet)
            fleet.kill(lost)
            time.sleep(JOIN_SECONDS)
            fleet.add_control(lost)
            time.sleep(lost_at + PACE_SECONDS - time.monotonic())
        newest = put_table(fleet, 2, NEWER_SERVICE)
        lose_power(fleet, lost_disk=find_leader(fleet))
        check_recovery(fleet, servers, newest)


def test_gateways_that_lost_all_take_no_older_table(fleet):
    with announced_servers(fleet) as servers:
        put_table(fleet, 1, OLDER_SERVICE)
        wait_for(lambda: all(serves(fleet, gateway) for gateway in GATEWAYS))
        newest = put_table(fleet, 2, NEWER_SERVICE)
        lose_power(fleet)
        check_recovery(fleet, servers, newest)


def test_a_blank_disk_joins_though_all_seeds_in_its_settings_are_gone(fleet):
    seeds = list(fleet.seeds)
    for name in seeds:
        fleet.kill(name)
        time.sleep(JOIN_SECONDS)
        fleet.add_control(name)
        time.sleep(PACE_SECONDS - JOIN_SECONDS)
    blank = next(name for name in list_controls(fleet) if name != find_leader(fleet))
    fleet.kill(blank)
    fleet.lose_data(blank)
    time.sleep(JOIN_SECONDS)
    fleet.seeds = seeds
    fleet.start(blank, bootstrap=False)

    identity = fleet.folder / "data" / blank / "identity"
    wait_for(identity.exists)

    def is_voter():
        voters = list_events(fleet, find_leader(fleet), 2003)[-1]["voters"].split(",")
        return identity.read_text() in voters and len(voters) == CONTROLS

    assert holds_in_time(is_voter)
