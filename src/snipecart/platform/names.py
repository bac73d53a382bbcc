"""Define the headers, paths and values that the platform's protocol uses."""

from __future__ import annotations

from ..gateway.request import HeaderNames

SETTINGS_VARIABLE = "SNIPECART_NODE_FILE"

HEADERS = HeaderNames(
    request_id="Request-Id",
    object="Affinity-Key",
    deadline_ms="Deadline-Ms",
    expected_instance="Expect-Instance",
    load_report="Server-Load",
    leaving="Server-Leaving",
    rate_limit="Server-Limit",
    organisation="Tenant",
    not_run="Not-Executed",
)

READY = "/-/ready"
RESOLVE = "/-/resolve"
HEARTBEAT = "/-/Instances.Heartbeat/"
DEREGISTER = "/-/Instances.Deregister/"
PUT_ROUTING = "/-/Config.Replace"
GET_ROUTING = "/-/Config.Get"
START_EVACUATION = "/-/Evacuations.Start/"
STOP_EVACUATION = "/-/Evacuations.Stop/"

IDEMPOTENT = {"safe": True, "unsafe": False, "upload": False}
"""Whether the requests of a route type may run more than once."""

DRAINING = "draining"
STATES = frozenset({"ready", DRAINING})

SMALL_BODY_PREFIXES = (HEARTBEAT, DEREGISTER)
"""Beginnings of the paths of the calls that backend servers send."""
