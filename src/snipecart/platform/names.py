"""Name what the platform calls things on its wire."""

from __future__ import annotations

from ..gateway.request import HeaderNames

SETTINGS_VARIABLE = "SNIPECART_NODE_FILE"

HEADERS = HeaderNames(
    request="Request-Id",
    object="Affinity-Key",
    wait_ms="Deadline-Ms",
    expected="Expect-Instance",
    load="Server-Load",
    not_run="Not-Executed",
)

READY = "/-/ready"
RESOLVE = "/-/resolve"
REPORT = "/-/Instances.Heartbeat/"
LEAVE = "/-/Instances.Deregister/"
PUT_ROUTING = "/-/Config.Replace"
GET_ROUTING = "/-/Config.Get"
EVACUATE = "/-/Evacuations.Start/"
RETURN = "/-/Evacuations.Stop/"

IDEMPOTENT = {"safe": True, "unsafe": False}
"""Kinds of routes, by whether their requests may run more than once."""

DRAINING = "draining"
STATES = frozenset({"ready", DRAINING})
