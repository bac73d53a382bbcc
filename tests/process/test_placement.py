"""Test the placement plan with real processes, one of which is lost."""

from __future__ import annotations

import time

import pytest

from snipecart.core.events import PLACEMENT_APPLIED
from snipecart.core.events import PLACEMENT_LED
from snipecart.platform import names
from tests.platform.fleet import Backend
from tests.platform.fleet import platform_fleet
from tests.platform.fleet import sending_heartbeats
from tests.platform.fleet import wait_for
from tests.platform.test_decoders import ROUTE
from tests.process.test_platform import make_manifest

NET = "127.73"
OBJECTS = 12
KEPT = 10
"""Objects that stay on their servers, at least, while control processes elect."""


@pytest.fixture
def fleet(tmp_path):
    """Run a fleet with five servers in one region and one in the other."""
    with platform_fleet(tmp_path, NET, bounds=("placement=planned",)) as fleet:
        zones = ["north-a"] * 5 + ["south-a"]
        fleet.backends = [
            Backend(f"{NET}.3.1", number, "racks", zone)
            for number, zone in enumerate(zones, 1)
        ]
        assert fleet.control("POST", names.PUT_ROUTING, make_manifest(1, ROUTE)) == 200
        with sending_heartbeats(fleet, *fleet.backends, interval=0.3):
            wait_for(lambda: fleet.is_ready("entry-1") and fleet.is_ready("entry-2"))
            yield fleet
        for backend in fleet.backends:
            backend.close()


def servers_of(fleet):
    """Return the servers of each object, from a request through each gateway."""
    found = {}
    for key in range(OBJECTS):
        for name in ("entry-1", "entry-2"):
            answer = fleet.request(name, headers={"Affinity-Key": str(key)})
            assert answer.status == 200
            signature = answer.headers["Server-Signature"]
            found.setdefault(key, set()).add(signature.partition(".")[0])
    return found


def leader_of(fleet):
    """Return the control process that began to lead the plan last."""
    led = [
        (line["at"], name)
        for name in fleet.processes
        if name.startswith("control")
        for line in fleet.log(name)
        if line.get("event") == PLACEMENT_LED.number
    ]
    return max(led)[1]


def test_a_plan_outlives_the_process_that_leads_it(fleet):
    """Guards against cold objects after the loss of a control process."""
    wait_for(
        lambda: any(
            line.get("event") == PLACEMENT_APPLIED.number
            for line in fleet.log("entry-1")
        )
    )
    servers_of(fleet)
    time.sleep(1.0)
    before = servers_of(fleet)
    assert all(len(servers) == 1 for servers in before.values())
    assert len(set.union(*before.values())) > 3
    fleet.kill(leader_of(fleet))
    for _ in range(6):
        after = servers_of(fleet)
        assert sum(after[key] == before[key] for key in before) >= KEPT
        time.sleep(0.5)
