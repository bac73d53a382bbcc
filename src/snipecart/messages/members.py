"""Declare the messages between entry processes and control processes."""

from __future__ import annotations

from ..core.ids import EndpointId
from ..core.ids import MemberId
from ..core.ids import Millis
from ..core.ids import RegionName
from ..core.ids import ServiceName
from ..core.ids import TextVersion
from ..core.ids import VmName
from ..core.ids import ZoneName
from ..core.message import message
from ..core.message import record
from ..core.states import EndpointState
from ..core.states import MemberState
from ..core.states import Rank


@record
class RankPort:
    """Assign a port to the calls of one rank."""

    rank: Rank
    port: int


@record
class Member:
    """Describe an entry process to callers and peers."""

    member: MemberId
    vm: VmName
    region: RegionName
    zone: ZoneName
    host: str
    ports: tuple[RankPort, ...]
    state: MemberState


@record
class Announcement:
    """Describe a backend server as it announces itself, valid for its lease."""

    endpoint: EndpointId
    service: ServiceName
    region: RegionName
    zone: ZoneName
    slots: int
    state: EndpointState
    lease: Millis


@record
class Demand:
    """Report how many slots of a service an entry process could use now."""

    service: ServiceName
    slots: float


@record
class Share:
    """Grant a share of a bounded resource, ``slots/…`` or ``link/…``."""

    resource: str
    amount: int


@message
class Heartbeat:
    """Renew a member's leases, and report its shares, demands and announcements.

    ``grant_seen`` is the latest ``grant`` that the member has received.
    """

    member: Member
    text_version: TextVersion
    directory_version: int
    grant_seen: int
    held: tuple[Share, ...]
    demands: tuple[Demand, ...]
    announcements: tuple[Announcement, ...]


@message
class HeartbeatAnswer:
    """Confirm the configuration that a quorum stores, and grant shares for a lease.

    ``members`` and ``endpoints`` are empty if the directory has not changed.
    """

    text_version: TextVersion
    directory_version: int
    directory_sent: bool
    grant: int
    lease: Millis
    shares: tuple[Share, ...]
    members: tuple[Member, ...]
    endpoints: tuple[Announcement, ...]


@message
class FetchText:
    """Request the configuration that was accepted last."""


@message
class TextAnswer:
    """Answer with the configuration that was accepted last."""

    version: TextVersion
    text: bytes
