"""Follow which entry processes and backend servers are there."""

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
"""Seconds after its last heartbeat at which an entry process is given up."""


@dataclass
class KnownMember:
    """Hold what an entry process told last."""

    member: Member
    text_version: TextVersion
    demands: tuple[Demand, ...]
    expires: Instant


@dataclass
class KnownEndpoint:
    """Hold what a backend server announced last."""

    announcement: Announcement
    expires: Instant


class Directory:
    """Know members and endpoints by lease, with a version for each change."""

    def __init__(self, first_version: int) -> None:
        self.version = first_version
        self.members: dict[MemberId, KnownMember] = {}
        self.endpoints: dict[EndpointId, KnownEndpoint] = {}

    def note(self, beat: Heartbeat, now: Instant) -> None:
        """Take in a heartbeat and the announcements it hands on."""
        known = self.members.get(beat.member.member)
        if known is None or known.member != beat.member:
            self.version += 1
        self.members[beat.member.member] = KnownMember(
            beat.member, beat.text_version, beat.demands, Instant(now + MEMBER_LEASE)
        )
        for announcement in beat.announcements:
            self._note_endpoint(announcement, now)

    def remove_member(self, member: MemberId) -> None:
        """Forget an entry process that said good-bye."""
        if self.members.pop(member, None) is not None:
            self.version += 1

    def expire(self, now: Instant) -> None:
        """Forget everything whose lease has lapsed."""
        gone_members = [
            key for key, known in self.members.items() if known.expires <= now
        ]
        gone_endpoints = [
            key for key, known in self.endpoints.items() if known.expires <= now
        ]
        for key in gone_members:
            del self.members[key]
        for key in gone_endpoints:
            del self.endpoints[key]
        if gone_members or gone_endpoints:
            self.version += 1

    def _note_endpoint(self, announcement: Announcement, now: Instant) -> None:
        known = self.endpoints.get(announcement.endpoint)
        expires = Instant(now + announcement.lease / 1000)
        if known is not None:
            expires = max(expires, known.expires)
        plain = replace(announcement, lease=Millis(0))
        if known is None or known.announcement != plain:
            self.version += 1
        self.endpoints[announcement.endpoint] = KnownEndpoint(plain, expires)

    def serving(self) -> list[Announcement]:
        """List the backend servers that take new work."""
        return [
            known.announcement
            for known in self.endpoints.values()
            if known.announcement.state is EndpointState.SERVING
        ]
