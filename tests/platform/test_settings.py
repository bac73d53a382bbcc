"""Test how the platform's settings become those of the product."""

from __future__ import annotations

import pytest

from snipecart.platform.settings import PlatformSettings
from snipecart.platform.settings import gateway_settings

FIELDS = {
    "ip": "10.1.0.10",
    "region": "north",
    "zone": "north-a",
    "zones": {"north-a": "north", "south-a": "south"},
    "seed_nodes": ["10.1.0.12:8166"],
    "internal_port_range": [7720, 7735],
    "listen_addrs": {"front": "10.1.0.10:8161", "readiness": "10.1.0.10:8167"},
}

LAST_ACCEPTED_SECONDS = 3.0
"""Time after a stop signal from which a request must not be cut off any more."""


def settings_for(grace):
    return gateway_settings(PlatformSettings({**FIELDS, "bounds": [f"grace={grace}"]}))


@pytest.mark.parametrize("grace", ["4s", "6s", "10s", "60s"])
def test_no_request_is_taken_so_late_that_a_planned_stop_cuts_it_off(grace):
    cfg = settings_for(grace).ok
    assert cfg.linger_s <= LAST_ACCEPTED_SECONDS
    assert cfg.linger_s < cfg.stop_s < float(grace[:-1])
