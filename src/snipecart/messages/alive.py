"""Declare the short messages that show control processes that a gateway is alive."""

from __future__ import annotations

from ..core.ids import Instant
from ..core.ids import LogIndex
from ..core.ids import MemberId
from ..core.ids import RoutingVersion
from ..core.ids import VmName
from ..core.message import message
from ..core.message import packed
from .discovery import LogWitness


@packed
@message
class GatewayAlive:
    """Report that a gateway is alive and unchanged since its last full request."""

    gateway: MemberId
    sent_at: Instant
    """When the gateway sent this, by its own clock."""
    requests_per_s: int
    """Requests that the gateway gets from clients, rounded."""


@packed
@message
class AliveAnswer:
    """Answer a short report; a gateway that lacks something sends a full request."""

    sent_at: Instant
    known: bool
    """Whether the process knows this run of the gateway."""
    routing_version: RoutingVersion
    evacuation_index: LogIndex
    control_index: LogIndex
    gateways: int
    ready: bool
    may_be_behind: bool
    witness: LogWitness
    leader: VmName
