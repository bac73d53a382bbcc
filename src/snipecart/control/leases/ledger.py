"""Lease shares of bounded resources so that their sum never exceeds the capacity."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from dataclasses import field

from ...core.ids import Instant
from ...core.ids import MemberId

SHARE_LEASE = 3.0
"""Seconds from sending a heartbeat for which the shares in its answer are valid."""


@dataclass
class ShareBound:
    """Store an upper bound of a member's use of a resource, until its lease ends."""

    bound: int
    expires: Instant
    unacknowledged: list[tuple[int, int]] = field(default_factory=list)
    """Number and amount of each grant that the member has not acknowledged."""


class Ledger:
    """Track an upper bound of what each member may use of each resource."""

    def __init__(self, opens_at: Instant) -> None:
        self._opens_at = opens_at
        self._bounds: dict[str, dict[MemberId, ShareBound]] = defaultdict(dict)

    def is_open(self, now: Instant) -> bool:
        """Return whether all shares that an earlier leader granted have expired."""
        return now >= self._opens_at

    def renew(
        self,
        member: MemberId,
        reported: dict[str, int],
        acknowledged_grant: int,
        grant: int,
        targets: dict[str, int],
        caps: dict[str, int],
        now: Instant,
    ) -> dict[str, int]:
        """Grant a member the shares nearest to its targets, and return them.

        ``reported`` are the shares that the member has now, ``acknowledged_grant`` is
        the number of the last grant it received, ``grant`` the number of this one.
        Until the ledger is open, no share grows beyond the reported one.
        """
        shares: dict[str, int] = {}
        for resource in reported.keys() | targets.keys():
            bound = self._current_bound(
                member, resource, reported.get(resource, 0), acknowledged_grant
            )
            target = targets.get(resource, 0)
            free = caps.get(resource, 0) - self._others_bound(member, resource, now)
            share = max(0, min(target, free))
            if not self.is_open(now):
                share = min(share, reported.get(resource, 0))
            self._record_grant(
                member, resource, share, bound, grant, acknowledged_grant, now
            )
            if share:
                shares[resource] = share
        self._remove_expired(member, reported.keys() | targets.keys(), now)
        return shares

    def total_bound(self, resource: str, now: Instant) -> int:
        """Return an upper bound of what all members may use of a resource."""
        return sum(
            share_bound.bound
            for share_bound in self._bounds.get(resource, {}).values()
            if share_bound.expires > now
        )

    def member_bound(self, member: MemberId, resource: str, now: Instant) -> int:
        """Return an upper bound of what one member may use of a resource."""
        share_bound = self._bounds.get(resource, {}).get(member)
        return share_bound.bound if share_bound and share_bound.expires > now else 0

    def release(self, member: MemberId) -> None:
        """Remove all shares of a member that reported none."""
        for bounds in self._bounds.values():
            bounds.pop(member, None)

    def _current_bound(
        self, member: MemberId, resource: str, reported: int, acknowledged_grant: int
    ) -> int:
        share_bound = self._bounds[resource].get(member)
        unacknowledged = share_bound.unacknowledged if share_bound else []
        return max(
            [
                reported,
                *(
                    amount
                    for number, amount in unacknowledged
                    if number > acknowledged_grant
                ),
            ]
        )

    def _others_bound(self, member: MemberId, resource: str, now: Instant) -> int:
        return self.total_bound(resource, now) - self.member_bound(
            member, resource, now
        )

    def _record_grant(
        self,
        member: MemberId,
        resource: str,
        share: int,
        bound: int,
        grant: int,
        acknowledged_grant: int,
        now: Instant,
    ) -> None:
        share_bound = self._bounds[resource].get(member)
        previous = share_bound.unacknowledged if share_bound else []
        unacknowledged = [
            (number, amount)
            for number, amount in previous
            if number > acknowledged_grant
        ]
        expires = Instant(now + SHARE_LEASE)
        if share or bound or unacknowledged:
            unacknowledged.append((grant, share))
            share_bound = ShareBound(max(bound, share), expires, unacknowledged)
            self._bounds[resource][member] = share_bound
        else:
            self._bounds[resource].pop(member, None)

    def _remove_expired(
        self, member: MemberId, resources: set[str], now: Instant
    ) -> None:
        for resource in list(self._bounds):
            bounds = self._bounds[resource]
            for holder, share_bound in list(bounds.items()):
                if share_bound.expires <= now:
                    del bounds[holder]
            if not bounds:
                del self._bounds[resource]
