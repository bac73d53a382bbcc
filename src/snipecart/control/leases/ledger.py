"""Lease shares of bounded resources so that their sum never exceeds the capacity."""

from __future__ import annotations

from collections import Counter
from collections import defaultdict
from collections import deque
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
    """Track an upper bound of what each member may use of each resource.

    Sums are kept, so that a renewal costs the same for any number of members. Times
    must not decrease from call to call.
    """

    def __init__(self, opens_at: Instant) -> None:
        self._opens_at = opens_at
        self._bounds: dict[str, dict[MemberId, ShareBound]] = defaultdict(dict)
        self._totals: Counter[str] = Counter()
        """Sum of the bounds of each resource."""
        self._expiries: deque[tuple[Instant, MemberId, str]] = deque()
        """Ends of leases in the order of time, with those renewed since."""

    @property
    def opens_at(self) -> Instant:
        """Return when all shares that an earlier leader granted have expired."""
        return self._opens_at

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
        self._remove_expired(now)
        shares: dict[str, int] = {}
        for resource in reported.keys() | targets.keys():
            bound, unacknowledged = self._current_bound(
                member, resource, reported.get(resource, 0), acknowledged_grant
            )
            target = targets.get(resource, 0)
            others = self._totals[resource] - self.member_bound(member, resource, now)
            share = max(0, min(target, caps.get(resource, 0) - others))
            if not self.is_open(now):
                share = min(share, reported.get(resource, 0))
            if share or bound or unacknowledged:
                unacknowledged.append((grant, share))
                expires = Instant(now + SHARE_LEASE)
                share_bound = ShareBound(max(bound, share), expires, unacknowledged)
                self._set_bound(member, resource, share_bound)
                self._expiries.append((expires, member, resource))
            else:
                self._remove_bound(member, resource)
            if share:
                shares[resource] = share
        return shares

    def total_bound(self, resource: str, now: Instant) -> int:
        """Return an upper bound of what all members may use of a resource."""
        self._remove_expired(now)
        return self._totals[resource]

    def member_bound(self, member: MemberId, resource: str, now: Instant) -> int:
        """Return an upper bound of what one member may use of a resource."""
        share_bound = self._bounds.get(resource, {}).get(member)
        return share_bound.bound if share_bound and share_bound.expires > now else 0

    def holders(self, resource: str) -> int:
        """Return how many members may use a resource."""
        return len(self._bounds.get(resource, ()))

    def release(self, member: MemberId) -> None:
        """Remove all shares of a member that reported none."""
        for resource in list(self._bounds):
            self._remove_bound(member, resource)

    def _current_bound(
        self, member: MemberId, resource: str, reported: int, acknowledged_grant: int
    ) -> tuple[int, list[tuple[int, int]]]:
        """Return what a member may use, and the grants that it may yet receive."""
        share_bound = self._bounds.get(resource, {}).get(member)
        previous = share_bound.unacknowledged if share_bound else ()
        unacknowledged = [item for item in previous if item[0] > acknowledged_grant]
        return max([reported, *(amount for _, amount in unacknowledged)]), (
            unacknowledged
        )

    def _set_bound(
        self, member: MemberId, resource: str, share_bound: ShareBound
    ) -> None:
        before = self._bounds[resource].get(member)
        self._totals[resource] += share_bound.bound - (before.bound if before else 0)
        self._bounds[resource][member] = share_bound

    def _remove_bound(self, member: MemberId, resource: str) -> None:
        bounds = self._bounds.get(resource, {})
        removed = bounds.pop(member, None)
        if removed is not None:
            self._totals[resource] -= removed.bound
        if not bounds:
            self._bounds.pop(resource, None)
            self._totals.pop(resource, None)

    def _remove_expired(self, now: Instant) -> None:
        while self._expiries and self._expiries[0][0] <= now:
            _, member, resource = self._expiries.popleft()
            share_bound = self._bounds.get(resource, {}).get(member)
            if share_bound is not None and share_bound.expires <= now:
                self._remove_bound(member, resource)
