"""Decode the heartbeats and deregistrations of the platform's backend servers."""

from __future__ import annotations

from ipaddress import AddressValueError
from ipaddress import IPv4Address
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

MAX_PORT = 65_535

MAX_COUNT = FINAL_SEQUENCE - 1
"""Largest valid sequence number or time."""

MAX_SLOTS = 1_000_000
"""Largest number of slots that an instance can have."""

MAX_COLD_MS = 86_400_000
"""Cold period in milliseconds for which all longer ones are taken.

Later heartbeats say how much is left.
"""

MAX_NAME_BYTES = 255
"""Longest id of an instance, or name of a service."""


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
    if zone not in regions or state not in STATES:
        raise ValueMalformed(f"zone {zone!r}, state {state!r}")
    cold_ms = parse_duration_ms(status.get("cold_remaining", "0ms"))
    return Instance(
        InstanceId(_check_name(name)),
        _read_address(fields),
        ServiceName(_check_name(read_field(info, "backend", str))),
        regions[zone],
        zone,
        _read_count(info, "slots", MAX_SLOTS),
        EndpointState.LEAVING if state == DRAINING else EndpointState.SERVING,
        _read_count(status, "sequence"),
        UnixMillis(_read_count(fields, "born") if "born" in fields else 0),
        Millis(min(cold_ms, MAX_COLD_MS)),
    )


def _read_address(fields: Any) -> EndpointId:
    """Return an IPv4 address with a port, or raise ValueMalformed."""
    address = read_field(fields, "address", str)
    host, _, port = address.rpartition(":")
    try:
        IPv4Address(host)
    except AddressValueError as exc:
        raise ValueMalformed(f"address: {address!r}") from exc
    is_number = port.isascii() and port.isdecimal() and len(port) <= len(str(MAX_PORT))
    if not is_number or not 0 < int(port) <= MAX_PORT:
        raise ValueMalformed(f"address: {address!r}")
    return EndpointId(address)


def _check_name(name: str) -> str:
    """Return a name that every process can pass on, or raise ValueMalformed."""
    try:
        size = len(name.encode())
    except UnicodeEncodeError as exc:
        raise ValueMalformed(f"name: {name!r}") from exc
    if not 0 < size <= MAX_NAME_BYTES:
        raise ValueMalformed(f"name of {size} bytes")
    return name


def _read_count(fields: Any, name: str, largest: int = MAX_COUNT) -> int:
    """Return a number from 0 to the largest one, or raise ValueMalformed."""
    value = read_field(fields, name, int)
    if not 0 <= value <= largest:
        raise ValueMalformed(f"{name}: {value!r}")
    return value


def decode_deregistration(name: str, data: bytes) -> Result[Instance, BadCall]:
    """Return the instance that a deregistration names, or BadCall.

    Only its id is set, and its start time if the body has one.
    """
    document = load_json(data or b"{}")
    if document.is_error():
        return Error(BadCall(document.error.reason))
    try:
        _check_name(name)
        has_start = isinstance(document.ok, dict) and "born" in document.ok
        born = _read_count(document.ok, "born") if has_start else 0
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
