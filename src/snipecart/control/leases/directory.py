"""Track live entry processes and backend servers by lease."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

from ...core.ids import EndpointId
from ...core.ids import Instant
from ...core.ids import MemberId
from ...core.ids import Millis
from ...core.ids import TextVersion
from ...core.states import EndpointState

if TYPE_CHECKING:
    from ...messages.members import Announcement
    from ...messages.members import Demand
    from ...messages.members import Heartbeat
    from ...messages.members import Member

MEMBER_LEASE = 3.0
"""Seconds after its last heartbeat at which an entry process is removed."""


@dataclass
class MemberLease:
    """Store the last heartbeat of an entry process."""

    member: Member
    text_version: TextVersion
    demands: tuple[Demand, ...]
    expires: Instant


@dataclass
class EndpointLease:
    """Store the last announcement of a backend server."""

    announcement: Announcement
    expires: Instant


class Directory:
    """Store members and endpoints with their leases; each change gets a version."""

    def __init__(self, first_version: int) -> None:
        self.version = first_version
        self.members: dict[MemberId, MemberLease] = {}
        self.endpoints: dict[EndpointId, EndpointLease] = {}

    def record_heartbeat(self, heartbeat: Heartbeat, now: Instant) -> None:
        """Record a member's heartbeat and the announcements that it forwards."""
        current = self.members.get(heartbeat.member.member)
        if current is None or current.member != heartbeat.member:
            self.version += 1
        self.members[heartbeat.member.member] = MemberLease(
            heartbeat.member,
            heartbeat.text_version,
            heartbeat.demands,
            Instant(now + MEMBER_LEASE),
        )
        for announcement in heartbeat.announcements:
            self._record_announcement(announcement, now)

    def remove_member(self, member: MemberId) -> None:
        """Remove an entry process that has left."""
        if self.members.pop(member, None) is not None:
            self.version += 1

    def expire(self, now: Instant) -> None:
        """Remove members and endpoints whose lease has expired."""
        expired_members = [
            key for key, lease in self.members.items() if lease.expires <= now
        ]
        expired_endpoints = [
            key for key, lease in self.endpoints.items() if lease.expires <= now
        ]
        for key in expired_members:
            del self.members[key]
        for key in expired_endpoints:
            del self.endpoints[key]
        if expired_members or expired_endpoints:
            self.version += 1

    def _record_announcement(self, announcement: Announcement, now: Instant) -> None:
        current = self.endpoints.get(announcement.endpoint)
        expires = Instant(now + announcement.lease / 1000)
        if current is not None:
            expires = max(expires, current.expires)
        without_lease = replace(announcement, lease=Millis(0))
        if current is None or current.announcement != without_lease:
            self.version += 1
        self.endpoints[announcement.endpoint] = EndpointLease(without_lease, expires)

    def serving_endpoints(self) -> list[Announcement]:
        """Return the backend servers that accept new requests."""
        return [
            lease.announcement
            for lease in self.endpoints.values()
            if lease.announcement.state is EndpointState.SERVING
        ]
