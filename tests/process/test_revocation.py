"""Test with real processes that a removed API key is refused everywhere in time."""

from __future__ import annotations

import json
import signal
import time

import pytest
from click.testing import CliRunner

from snipecart.cli import operator
from snipecart.platform import names
from tests.platform.fleet import INNER
from tests.platform.fleet import Backend
from tests.platform.fleet import platform_fleet
from tests.platform.fleet import sending_heartbeats
from tests.platform.fleet import wait_for
from tests.platform.test_decoders import MANIFEST
from tests.platform.test_decoders import ROUTE

NET = "127.72"
REVOKE_SECONDS = 2.0
BOUNDS = ("strict_revoke=true", f"revoke={int(REVOKE_SECONDS * 1000)}ms")
KEPT, REMOVED = "sk-kept-secret", "sk-removed-secret"
OPEN_ROUTE = {
    **ROUTE,
    "name": "open",
    "path_prefix": "/open/",
    "allow_anonymous": True,
}


def make_manifest(version, *keys):
    tenants = [{"name": f"org-{key[3:7]}", "api_keys": [key]} for key in keys]
    routes = [ROUTE, OPEN_ROUTE]
    document = {**MANIFEST, "version": f"{version:08x}", "routes": routes}
    return json.dumps({**document, "tenants": tenants}).encode()


def put_table(fleet, version, *keys):
    assert (
        fleet.control("POST", names.PUT_ROUTING, make_manifest(version, *keys)) == 200
    )


@pytest.fixture
def fleet(tmp_path):
    """Run three control and two entry processes; both keys are in table 1."""
    with platform_fleet(tmp_path, NET, bounds=BOUNDS) as fleet:
        backend = fleet.backend = Backend(f"{NET}.3.1", 1, "racks", "north-a")
        put_table(fleet, 1, KEPT, REMOVED)
        assert fleet.report(backend) == 200
        with sending_heartbeats(fleet, backend):
            wait_for(lambda: fleet.is_ready("entry-1") and fleet.is_ready("entry-2"))
            yield fleet
        backend.close()


def send(fleet, name, key=None, path="/look/x"):
    """Return the status of a request, with a key if there is one."""
    headers = {"Authorization": f"Bearer {key}"} if key else {}
    return fleet.request(name, path, headers=headers).status


def signal_process(fleet, name, number):
    fleet.processes[name].send_signal(number)


def count_keys(fleet):
    """Return how often any log names a key."""
    texts = [path.read_text() for path in fleet.folder.glob("*.log")]
    return sum(text.count(key) for text in texts for key in (KEPT, REMOVED))


def test_keys_decide_and_are_shown_nowhere(fleet):
    assert send(fleet, "entry-1", KEPT) == 200
    assert send(fleet, "entry-1") == 401
    assert send(fleet, "entry-1", "sk-unknown") == 401
    assert send(fleet, "entry-1", path="/open/x") == 200
    headers = fleet.backend.headers
    assert [item.get("Tenant") for item in headers] == ["org-kept", None]
    assert not any("Authorization" in item for item in headers)
    addresses = [f"{fleet.host(name)}:{INNER + 2}" for name in fleet.processes]
    page = CliRunner().invoke(operator.main, ["fleet", *addresses]).output
    assert "organisations: 2, routing table proved current" in page
    assert KEPT not in page and count_keys(fleet) == 0
    stored = fleet.call("GET", "control-1", names.GET_ROUTING)
    assert stored.data == make_manifest(1, KEPT, REMOVED)


def test_a_paused_gateway_refuses_a_removed_key_when_it_resumes(fleet):
    assert send(fleet, "entry-2", REMOVED) == 200
    signal_process(fleet, "entry-2", signal.SIGSTOP)
    put_table(fleet, 2, KEPT)
    time.sleep(REVOKE_SECONDS)
    signal_process(fleet, "entry-2", signal.SIGCONT)
    end = time.monotonic() + 3.0
    while time.monotonic() < end:
        assert send(fleet, "entry-2", REMOVED) in (401, 503)
    assert send(fleet, "entry-2", REMOVED) == 401
    assert send(fleet, "entry-2", KEPT) == 200


def test_taking_away_the_last_organisation_closes_the_routes(fleet):
    assert send(fleet, "entry-1", REMOVED) == 200
    put_table(fleet, 2)
    time.sleep(REVOKE_SECONDS)
    for name in ("entry-1", "entry-2"):
        assert send(fleet, name, REMOVED) == send(fleet, name) == 401
        assert send(fleet, name, path="/open/x") == 200
    addresses = [f"{fleet.host(name)}:{INNER + 2}" for name in fleet.processes]
    page = CliRunner().invoke(operator.main, ["fleet", *addresses]).output
    assert "organisations: 0, routing table proved current" in page


def test_without_a_majority_keys_are_refused_until_it_is_back(fleet):
    # A majority that is out of reach may have acknowledged a newer table.
    stopped = ("control-2", "control-3")
    for name in stopped:
        signal_process(fleet, name, signal.SIGSTOP)
    stopped_at = time.monotonic()
    while time.monotonic() < stopped_at + REVOKE_SECONDS:
        assert send(fleet, "entry-1", KEPT) in (200, 503)
    assert send(fleet, "entry-1", KEPT) == 503
    assert send(fleet, "entry-1", path="/open/x") == 200
    for name in stopped:
        signal_process(fleet, name, signal.SIGCONT)
    wait_for(lambda: send(fleet, "entry-1", KEPT) == 200)
    assert {3331, 3332} <= {line.get("event") for line in fleet.log("entry-1")}
