"""Manage the state that only a leader has: live members and their shares."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..core.ids import EndpointId
from ..core.ids import Instant
from ..core.ids import MemberId
from ..core.ids import Millis
from ..core.ids import ServiceName
from ..core.ids import Term
from ..core.ids import TextVersion
from ..core.states import MemberState
from ..messages.members import Heartbeat
from ..messages.members import HeartbeatAnswer
from ..messages.members import Share
from ..text.routing import list_limits
from .leases.allocation import MemberDemand
from .leases.allocation import allocate_links
from .leases.allocation import allocate_slots
from .leases.allocation import group_by_service
from .leases.allocation import link_caps
from .leases.allocation import slot_resource
from .leases.directory import Directory
from .leases.ledger import SHARE_LEASE
from .leases.ledger import Ledger
from .leases.limits import QuotaRule
from .leases.quotas import Quotas
from .metrics import QUOTA_REQUESTS

if TYPE_CHECKING:
    from ..messages.members import Announcement
    from ..messages.members import Member
    from ..messages.quota import QuotaAnswer
    from ..messages.quota import QuotaRequest
    from ..text.model import Text
    from .machine.state import MachineState

ALLOCATION_INTERVAL = 0.25
"""Seconds between two allocations of slots, if nothing changes."""

CLOCK_MARGIN = 0.2
"""Seconds by which a lease ends earlier at the member than at the leader."""

NUMBERS_PER_TERM = 1 << 32
"""Grant numbers and directory versions available in a term.

Those of a term start at its multiple of this number, so they always increase.
"""


@dataclass(frozen=True)
class AcceptedText:
    """Store the accepted configuration and its version."""

    version: TextVersion
    text: Text | None


class LeaderState:
    """Store the members, endpoints and shares of one term."""

    def __init__(self, term: Term, now: Instant) -> None:
        self.directory = Directory(term * NUMBERS_PER_TERM)
        opens_at = Instant(now + SHARE_LEASE + CLOCK_MARGIN)
        self.ledger = Ledger(opens_at)
        self.quotas = Quotas(term * NUMBERS_PER_TERM, now, opens_at, QuotaRule())
        self._grant = term * NUMBERS_PER_TERM
        self._targets: dict[MemberId, dict[str, int]] = {}
        self._caps: dict[str, int] = {}
        self._allocated_at = Instant(-1e9)
        self._allocated_for = (TextVersion(0), -1)

    def answer(
        self, heartbeat: Heartbeat, accepted: AcceptedText, now: Instant
    ) -> HeartbeatAnswer:
        """Record a heartbeat and answer with the shares until the next one."""
        member = heartbeat.member.member
        self.directory.record_heartbeat(heartbeat, now)
        if heartbeat.member.state is MemberState.LEAVING and not heartbeat.held:
            self.ledger.release(member)
            self.directory.remove_member(member)
        self.directory.expire(now)
        self._allocate(accepted, now)
        self._grant += 1
        shares = self.ledger.renew(
            member,
            {share.resource: share.amount for share in heartbeat.held},
            heartbeat.grant_seen,
            self._grant,
            self._targets.get(member, {}),
            self._caps,
            now,
        )
        changed = heartbeat.directory_version != self.directory.version
        return HeartbeatAnswer(
            accepted.version,
            self.directory.version,
            changed,
            self._grant,
            Millis(int((SHARE_LEASE - CLOCK_MARGIN) * 1000)),
            tuple(Share(name, amount) for name, amount in sorted(shares.items())),
            self._members() if changed else (),
            self._endpoints() if changed else (),
        )

    def answer_quota(
        self, req: QuotaRequest, machine: MachineState, rule: QuotaRule, now: Instant
    ) -> QuotaAnswer:
        """Lease a gateway its part of the organisations' limits in the table."""
        QUOTA_REQUESTS.inc()
        if self.quotas.version != machine.routing_version:
            self.quotas.rule = rule
            limits = list_limits(machine.routing)
            self.quotas.set_limits(machine.routing_version, limits)
        return self.quotas.answer(req, now)

    def in_force(self, version: TextVersion, now: Instant) -> bool:
        """Return whether every member with a valid lease uses at least a version."""
        self.directory.expire(now)
        members = self.directory.members.values()
        return self.ledger.is_open(now) and all(
            item.text_version >= version for item in members
        )

    def lagging(self, version: TextVersion) -> list[MemberId]:
        """Return the members that still use an earlier configuration version."""
        return [
            key
            for key, item in self.directory.members.items()
            if item.text_version < version
        ]

    def _members(self) -> tuple[Member, ...]:
        return tuple(item.member for item in self.directory.members.values())

    def _endpoints(self) -> tuple[Announcement, ...]:
        return tuple(item.announcement for item in self.directory.endpoints.values())

    def _allocate(self, accepted: AcceptedText, now: Instant) -> None:
        """Compute the target shares of all members, if due or after a change."""
        basis = (accepted.version, self.directory.version)
        due = now >= self._allocated_at + ALLOCATION_INTERVAL
        if accepted.text is None or not (due or basis != self._allocated_for):
            return
        self._allocated_at, self._allocated_for = now, basis
        serving = [
            item
            for item in self.directory.serving_endpoints()
            if _is_listed(accepted.text, item.service, item.zone)
        ]
        self._caps = {slot_resource(item.endpoint): item.slots for item in serving}
        self._caps.update(link_caps(accepted.text))
        members = [item.member for item in self.directory.members.values()]
        targets = allocate_links(accepted.text, members)
        for service, endpoints in group_by_service(serving).items():
            current = {
                member.member: self._current_slots(member.member, endpoints, now)
                for member in members
            }
            member_demands = self._member_demands(service)
            for member, slots in allocate_slots(
                endpoints, member_demands, current
            ).items():
                for endpoint, count in slots.items():
                    targets[member][slot_resource(endpoint)] = count
        self._targets = targets

    def _current_slots(
        self, member: MemberId, endpoints: list[Announcement], now: Instant
    ) -> dict[EndpointId, int]:
        """Return the slots that a member has now, by backend server.

        They are those of the last allocation or, for a member that is new to this
        leader, the upper bounds of its shares.
        """
        targets = self._targets.get(member)
        slots = {}
        for item in endpoints:
            resource = slot_resource(item.endpoint)
            if targets is None:
                slots[item.endpoint] = self.ledger.member_bound(member, resource, now)
            else:
                slots[item.endpoint] = targets.get(resource, 0)
        return {endpoint: count for endpoint, count in slots.items() if count}

    def _member_demands(self, service: ServiceName) -> list[MemberDemand]:
        return [
            MemberDemand(
                key,
                item.member.region,
                item.member.zone,
                sum(want.slots for want in item.demands if want.service == service),
            )
            for key, item in self.directory.members.items()
        ]


def _is_listed(text: Text, service: ServiceName, zone: str) -> bool:
    return any(
        place.zone == zone
        for item in text.services
        if item.name == service
        for place in item.places
    )
