"""Test with real processes that an operator recovers a log without its quorum."""

from __future__ import annotations

import json
import shutil
import time
from pathlib import Path

import pytest
from bench.fleet import Fleet
from click.testing import CliRunner

from snipecart.cli import control
from snipecart.cli import operator
from snipecart.cli.exits import Exit
from snipecart.platform import names
from snipecart.platform.settings import METRICS_PORT_OFFSET
from tests.platform.fleet import INNER
from tests.platform.fleet import platform_fleet
from tests.platform.fleet import wait_for
from tests.process.test_platform import SAFE_ROUTE
from tests.process.test_platform import make_manifest

NET = "127.90"

CONTROLS = tuple(f"control-{number}" for number in range(1, 6))
NEWEST, OLDER, *LOST = CONTROLS

UNREADABLE_SECONDS = 3.0
"""Time for which processes without a quorum are asked for the routing table.

Longer than an election takes.
"""


@pytest.fixture
def fleet(tmp_path):
    """Run five control processes without gateways, which are all voters."""
    with platform_fleet(tmp_path, NET, controls=5, entries=0) as fleet:
        wait_for(lambda: follow_the_same_voters(fleet, *CONTROLS))
        yield fleet


def statuses(fleet, *controls):
    """Return the logs' statuses by process, as ``snipecart fleet`` shows them."""
    port = INNER + METRICS_PORT_OFFSET
    addresses = {f"{fleet.host(name)}:{port}": name for name in controls}
    result = CliRunner().invoke(operator.main, ["fleet", "--json", *addresses])
    answers = json.loads(result.stdout)
    return {
        name: answers[address] and answers[address]["log"]
        for address, name in addresses.items()
    }


def voter_hosts(status):
    return {voter["host"] for voter in status["voters"]} if status else set()


def follow_the_same_voters(fleet, *controls):
    """Return whether exactly these processes are the voters, as all of them know."""
    hosts = {fleet.host(name) for name in controls}
    return all(
        voter_hosts(status) == hosts and not status["learners"]
        for status in statuses(fleet, *controls).values()
    )


def read_table(fleet, name):
    answer = fleet.call("GET", name, names.GET_ROUTING)
    return answer.data if answer is not None and answer.status == 200 else None


def data_folder(fleet, name):
    return fleet.folder / "data" / name


def kill_all(fleet):
    for name in list(fleet.processes):
        fleet.kill(name)


def start(fleet, *controls):
    for name in controls:
        fleet.start(name, bootstrap=False)


def run_command(*args):
    return CliRunner().invoke(control.main, [str(arg) for arg in args])


def newest_of(*folders):
    """Return the folders with the newest log, as the command tells."""
    options = [option for folder in folders for option in ("--data", folder)]
    result = run_command("log", "--json", *options)
    return [Path(path) for path in json.loads(result.stdout)["newest"]]


def test_a_table_outlasts_the_loss_of_a_quorum_once_the_newest_log_is_recovered(fleet):
    first, second, third = (make_manifest(at, SAFE_ROUTE) for at in (1, 2, 3))
    assert fleet.control("POST", names.PUT_ROUTING, first) == 200
    fleet.kill(OLDER)
    assert fleet.control("POST", names.PUT_ROUTING, second) == 200
    wait_for(lambda: read_table(fleet, NEWEST) == second)
    kill_all(fleet)

    for name in LOST:
        shutil.rmtree(data_folder(fleet, name))
    start(fleet, *CONTROLS)
    end = time.monotonic() + UNREADABLE_SECONDS
    while time.monotonic() < end:
        assert all(read_table(fleet, name) is None for name in (NEWEST, OLDER))
    kill_all(fleet)

    newest, older = (data_folder(fleet, name) for name in (NEWEST, OLDER))
    assert newest_of(older, newest) == [newest]
    recovered = run_command("recover", "--yes", "--data", newest)
    assert recovered.exit_code == Exit.DONE
    for name in (OLDER, *LOST):
        shutil.rmtree(data_folder(fleet, name))
    start(fleet, NEWEST)
    wait_for(lambda: read_table(fleet, NEWEST) == second)
    in_use = run_command("recover", "--yes", "--data", newest)
    assert in_use.exit_code == Exit.FAILED

    start(fleet, OLDER, *LOST)
    wait_for(lambda: follow_the_same_voters(fleet, *CONTROLS))
    assert fleet.control("POST", names.PUT_ROUTING, third) == 200
    fleet.kill(NEWEST)
    wait_for(lambda: read_table(fleet, LOST[0]) == third)


@pytest.fixture
def small_fleet(tmp_path):
    """Run three control processes without gateways."""
    with platform_fleet(tmp_path, NET, controls=3, entries=0) as fleet:
        yield fleet


def test_a_voter_that_returns_with_its_old_folder_joins_the_recovered_log(small_fleet):
    fleet = small_fleet
    first, second = (make_manifest(at, SAFE_ROUTE) for at in (1, 2))
    assert fleet.control("POST", names.PUT_ROUTING, first) == 200
    kill_all(fleet)

    folders = {data_folder(fleet, name): name for name in CONTROLS[:2]}
    newest = newest_of(*folders)[0]
    assert run_command("recover", "--yes", "--data", newest).exit_code == Exit.DONE
    recovered = folders.pop(newest)
    (returning,) = folders.values()
    start(fleet, recovered, returning)
    wait_for(lambda: follow_the_same_voters(fleet, recovered, returning))
    assert fleet.control("POST", names.PUT_ROUTING, second) == 200
    assert read_table(fleet, returning) == second


@pytest.fixture
def configured_fleet(tmp_path):
    """Run three processes of snipecart-control with a configuration."""
    fleet = Fleet(tmp_path, NET, part=4)
    try:
        for name in fleet.list_processes("control"):
            settings = fleet.folder / f"{name}.json"
            assert run_command("init", "--settings", settings).exit_code == Exit.DONE
            fleet.start(name)
        wait_for(fleet.find_leader)
        assert fleet.submit(fleet.text)["in_force"]
        yield fleet
    finally:
        fleet.stop()


def open_log_to_vms(fleet, name):
    """Let control processes join on VMs without a voter in the log."""
    settings = {**fleet.read_settings(name), "open_to_vms": True}
    (fleet.folder / f"{name}.json").write_text(json.dumps(settings))


def read_configuration(fleet):
    """Return the accepted configuration and its version from the leader, if any."""
    leader = fleet.find_leader()
    if not leader:
        return None
    status, text = (fleet.get_page(leader, page) for page in ("/status", "/text"))
    return {"version": status["accepted_version"], "configuration": text}


def test_a_configuration_is_recovered_with_settings_files(configured_fleet):
    fleet = configured_fleet
    controls = fleet.list_processes("control")
    accepted = read_configuration(fleet)
    assert accepted["configuration"] == json.loads(Path(fleet.text).read_text())
    for name in controls:
        fleet.kill(name)

    folders = {Path(fleet.read_settings(name)["data"]): name for name in controls}
    newest = newest_of(*folders)[0]
    assert run_command("recover", "--yes", "--data", newest).exit_code == Exit.DONE
    for folder, name in folders.items():
        open_log_to_vms(fleet, name)
        if folder != newest:
            shutil.rmtree(folder)
        fleet.start(name)

    hosts = {fleet.read_settings(name)["host"] for name in controls}
    wait_for(
        lambda: all(
            voter_hosts(fleet.get_page(name, "/status")) == hosts for name in controls
        )
    )
    wait_for(lambda: read_configuration(fleet) == accepted)
    assert fleet.submit(fleet.text)["in_force"]
