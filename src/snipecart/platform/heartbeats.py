"""Decode the heartbeats and deregistrations of the platform's backend servers."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING
from typing import Any

from expression import Error
from expression import Ok
from expression import Result

from ..core.failures import BadCall
from ..core.ids import EndpointId
from ..core.ids import InstanceId
from ..core.ids import Millis
from ..core.ids import RegionName
from ..core.ids import ServiceName
from ..core.ids import UnixMillis
from ..core.ids import ZoneName
from ..core.states import EndpointState
from ..messages.discovery import FINAL_SEQUENCE
from ..messages.discovery import Instance
from ..text.parse import load_json
from .names import DRAINING
from .names import STATES
from .values import ValueMalformed
from .values import parse_duration_ms
from .values import read_field

if TYPE_CHECKING:
    from collections.abc import Mapping

ADDRESS = re.compile(r"\d{1,3}(?:\.\d{1,3}){3}:\d{1,5}")

MAX_COUNT = FINAL_SEQUENCE - 1
"""Largest valid sequence number, time or count."""


def decode_heartbeat(
    name: str, data: bytes, regions: Mapping[ZoneName, RegionName]
) -> Result[Instance, BadCall]:
    """Return the instance that a heartbeat describes, or BadCall."""
    document = load_json(data)
    if document.is_error():
        return Error(BadCall(document.error.reason))
    try:
        return Ok(_read_instance(name, document.ok, regions))
    except ValueMalformed as exc:
        return Error(BadCall(str(exc)))


def _read_instance(
    name: str, fields: Any, regions: Mapping[ZoneName, RegionName]
) -> Instance:
    """Return the instance in a heartbeat, or raise ValueMalformed."""
    info = read_field(fields, "info", dict)
    status = read_field(fields, "status", dict)
    zone = ZoneName(read_field(info, "zone", str))
    state = read_field(status, "state", str)
    address = read_field(fields, "address", str)
    if zone not in regions or state not in STATES or not ADDRESS.fullmatch(address):
        raise ValueMalformed(f"zone {zone!r}, state {state!r}, address {address!r}")
    return Instance(
        InstanceId(name),
        EndpointId(address),
        ServiceName(read_field(info, "backend", str)),
        regions[zone],
        zone,
        _read_count(info, "slots"),
        EndpointState.LEAVING if state == DRAINING else EndpointState.SERVING,
        _read_count(status, "sequence"),
        UnixMillis(_read_count(fields, "born") if "born" in fields else 0),
        Millis(parse_duration_ms(status.get("cold_remaining", "0ms"))),
    )


def _read_count(fields: Any, name: str) -> int:
    """Return a number from 0 to MAX_COUNT, or raise ValueMalformed."""
    value = read_field(fields, name, int)
    if not 0 <= value <= MAX_COUNT:
        raise ValueMalformed(f"{name}: {value!r}")
    return value


def decode_deregistration(name: str, data: bytes) -> Result[Instance, BadCall]:
    """Return the instance that a deregistration names, or BadCall.

    Only its id is set, and its start time if the body has one.
    """
    born = 0
    if data:
        document = load_json(data)
        if document.is_error():
            return Error(BadCall(document.error.reason))
        try:
            if isinstance(document.ok, dict) and "born" in document.ok:
                born = _read_count(document.ok, "born")
        except ValueMalformed as exc:
            return Error(BadCall(str(exc)))
    return Ok(
        Instance(
            InstanceId(name),
            EndpointId(""),
            ServiceName(""),
            RegionName(""),
            ZoneName(""),
            0,
            EndpointState.LEAVING,
            0,
            UnixMillis(born),
            Millis(0),
        )
    )
