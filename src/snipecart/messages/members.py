"""Declare what entry processes and control processes tell each other."""

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
    """Say where calls of one rank are taken."""

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
    """Describe a backend server as it announces itself."""

    endpoint: EndpointId
    service: ServiceName
    region: RegionName
    zone: ZoneName
    slots: int
    state: EndpointState
    lease: Millis


@record
class Demand:
    """Tell how many slots of a service an entry process could use now."""

    service: ServiceName
    slots: float


@record
class Share:
    """Lend a part of a bounded resource, ``slots/…`` or ``link/…``."""

    resource: str
    amount: int


@message
class Heartbeat:
    """Renew a member's leases and tell what it holds and needs."""

    member: Member
    text_version: TextVersion
    directory_version: int
    grant_seen: int
    held: tuple[Share, ...]
    demands: tuple[Demand, ...]
    announcements: tuple[Announcement, ...]


@message
class HeartbeatAnswer:
    """Confirm the text a quorum holds and lend shares until the lease ends.

    ``members`` and ``endpoints`` are empty where the directory has not changed.
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
    """Ask for the text accepted last."""


@message
class TextAnswer:
    """Carry the text accepted last."""

    version: TextVersion
    text: bytes
