"""Lend parts of bounded resources so that their sum never passes the bound."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from dataclasses import field

from ...core.ids import Instant
from ...core.ids import MemberId

SHARE_LEASE = 3.0
"""Seconds a share may be used after the heartbeat that asked for it was sent."""


@dataclass
class Holding:
    """Bound what a member may use of a resource until the lease ends."""

    bound: int
    expires: Instant
    unseen: list[tuple[int, int]] = field(default_factory=list)
    """Grants, by number, whose arrival the member has not confirmed."""


class Ledger:
    """Know an upper bound of what each member may use of each resource."""

    def __init__(self, opens: Instant) -> None:
        self._opens = opens
        self._held: dict[str, dict[MemberId, Holding]] = defaultdict(dict)

    def is_open(self, now: Instant) -> bool:
        """Say whether all shares lent by an earlier leader have lapsed or are known."""
        return now >= self._opens

    def renew(
        self,
        member: MemberId,
        reported: dict[str, int],
        seen: int,
        grant: int,
        targets: dict[str, int],
        caps: dict[str, int],
        now: Instant,
    ) -> dict[str, int]:
        """Return the shares a member gets, nearest to their targets.

        ``reported`` is what the member may use by what it knows, ``seen`` the last
        grant it knows of, and ``grant`` the number of the one made here.
        """
        shares: dict[str, int] = {}
        for resource in reported.keys() | targets.keys():
            bound = self._bound_now(member, resource, reported.get(resource, 0), seen)
            target = targets.get(resource, 0)
            free = caps.get(resource, 0) - self._others(member, resource, now)
            share = max(0, min(target, free))
            if not self.is_open(now):
                share = min(share, reported.get(resource, 0))
            self._lend(member, resource, share, bound, grant, seen, now)
            if share:
                shares[resource] = share
        self._forget_unreported(member, reported.keys() | targets.keys(), now)
        return shares

    def lent(self, resource: str, now: Instant) -> int:
        """Return an upper bound of what all members may use of a resource."""
        return sum(
            holding.bound
            for holding in self._held.get(resource, {}).values()
            if holding.expires > now
        )

    def held_by(self, member: MemberId, resource: str, now: Instant) -> int:
        """Return an upper bound of what one member may use of a resource."""
        holding = self._held.get(resource, {}).get(member)
        return holding.bound if holding and holding.expires > now else 0

    def release(self, member: MemberId) -> None:
        """Take back all shares of a member that confirmed it uses none."""
        for holdings in self._held.values():
            holdings.pop(member, None)

    def _bound_now(
        self, member: MemberId, resource: str, reported: int, seen: int
    ) -> int:
        holding = self._held[resource].get(member)
        unseen = holding.unseen if holding else []
        return max([reported, *(amount for number, amount in unseen if number > seen)])

    def _others(self, member: MemberId, resource: str, now: Instant) -> int:
        return self.lent(resource, now) - self.held_by(member, resource, now)

    def _lend(
        self,
        member: MemberId,
        resource: str,
        share: int,
        bound: int,
        grant: int,
        seen: int,
        now: Instant,
    ) -> None:
        holding = self._held[resource].get(member)
        old = holding.unseen if holding else []
        unseen = [(number, amount) for number, amount in old if number > seen]
        expires = Instant(now + SHARE_LEASE)
        if share or bound or unseen:
            unseen.append((grant, share))
            holding = Holding(max(bound, share), expires, unseen)
            self._held[resource][member] = holding
        else:
            self._held[resource].pop(member, None)

    def _forget_unreported(
        self, member: MemberId, spoken_of: set[str], now: Instant
    ) -> None:
        for resource in list(self._held):
            holdings = self._held[resource]
            for holder, holding in list(holdings.items()):
                if holding.expires <= now:
                    del holdings[holder]
            if not holdings:
                del self._held[resource]
