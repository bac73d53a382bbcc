"""Declare what gateways and control processes tell each other about who serves."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

from ..core.ids import EndpointId
from ..core.ids import InstanceId
from ..core.ids import LogIndex
from ..core.ids import MemberId
from ..core.ids import Millis
from ..core.ids import RegionName
from ..core.ids import RoutingVersion
from ..core.ids import ServiceName
from ..core.ids import UnixMillis
from ..core.ids import VmName
from ..core.ids import ZoneName
from ..core.message import message
from ..core.message import record
from ..core.states import EndpointState
from ..core.states import MemberState
from .commands import Node

if TYPE_CHECKING:
    from collections.abc import Iterable


FINAL_SEQUENCE = 2**62
"""Sequence of a run that has said it is gone; nothing of it comes later."""


@record
class Instance:
    """Describe one run of a backend server, as it last said itself."""

    instance: InstanceId
    endpoint: EndpointId
    service: ServiceName
    region: RegionName
    zone: ZoneName
    slots: int
    state: EndpointState
    sequence: int
    """Grows with each report of one run."""
    born: UnixMillis
    """Start of the run by its own clock; tells runs of one id apart."""
    cold: Millis
    """How long it stays cold from the moment this message was sent."""


def digest_instances(instances: Iterable[Instance]) -> int:
    """Return a digest of the runs and states of instances, in any order."""
    lines = sorted(f"{item.instance} {item.born} {item.state}" for item in instances)
    return zlib.crc32("\n".join(lines).encode())


@record
class Gateway:
    """Describe an entry process that takes routed requests."""

    gateway: MemberId
    vm: VmName
    region: RegionName
    zone: ZoneName
    address: EndpointId
    state: MemberState


@message
class SyncRequest:
    """Tell that a gateway lives, and ask for what changed since a revision."""

    gateway: Gateway
    source: str
    """Run of the control process that counted ``revision``; empty at first."""
    revision: int
    routing_version: RoutingVersion
    evacuation_index: int
    wants_changes: bool
    """Only one control process a gateway answers with changes."""
    digest: int
    """Of all instances that the gateway holds, to find what it missed."""
    wants_routing: bool
    """Only one control process a gateway sends a newer routing table."""
    control_index: LogIndex
    """Entry of the log that named the control processes the gateway knows."""


@message
class SyncAnswer:
    """Bring a gateway up to date; empty fields repeat nothing it already holds."""

    source: str
    revision: int
    complete: bool
    """Whether ``instances`` is everything, so that others are gone."""
    instances: tuple[Instance, ...]
    gone: tuple[InstanceId, ...]
    routing_version: RoutingVersion
    routing: bytes
    evacuation_index: int
    evacuated: tuple[ZoneName, ...]
    control: tuple[Node, ...]
    control_index: LogIndex
    """Entry of the log that named these control processes."""
    gateways: int
    ready: bool
    """Whether this process has heard every backend server since its start."""


@message
class InstanceChanged:
    """Push one change to a gateway, which confirms it."""

    instance: Instance
    gone: bool


@message
class InstanceSeen:
    """Confirm a pushed change."""

    gateway: MemberId
    instance: InstanceId


@message
class RoutingChanged:
    """Tell a gateway that it should ask for newer routing now."""

    routing_version: RoutingVersion
    evacuation_index: int


@record
class Heard:
    """Hand on a report that a control process took itself."""

    instance: Instance
    gone: bool


@message
class Gossip:
    """Hand on all reports taken since the last gossip; empty ones show life."""

    sender: VmName
    heard: tuple[Heard, ...]
