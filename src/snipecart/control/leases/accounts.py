"""Keep the central bucket and the demand of each organisation."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from ...core.ids import Instant
from ...messages.quota import MILLI
from .ledger import SHARE_LEASE

if TYPE_CHECKING:
    from ...core.ids import MemberId
    from ...core.ids import OrganisationName
    from .limits import Limit

MAX_WAIT_MS = 500
"""Longest time until a refused gateway asks again; it reports as often anyway."""


@dataclass
class Account:
    """Store the central bucket and the demand of one organisation, in thousandths."""

    tokens: float
    """Tokens in the central bucket."""
    at: Instant
    """When ``tokens`` was last updated."""
    leased: int = 0
    """Upper bound of all leased rates since then."""
    demands: dict[MemberId, int] = field(default_factory=dict)
    """Reported demand of each gateway."""
    total_demand: int = 0

    def earn(self, limit: Limit, now: Instant) -> None:
        """Add the tokens that the part of the rate that isn't leased has earned."""
        if now > self.at:
            self.tokens += (now - self.at) * max(0, limit.rate - self.leased)
            self.at = now

    def earn_opening(
        self, limit: Limit, window_s: float, opens_at: Instant, now: Instant
    ) -> None:
        """Add the tokens earned while leases of an earlier leader may be valid."""
        if self.at < opens_at:
            until = min(now, opens_at)
            per_s = limit.opening / window_s + limit.rate - limit.leasable
            self.tokens += (until - self.at) * per_s
            self.at = Instant(max(until, self.at))

    def set_demand(self, gateway: MemberId, demand: int) -> None:
        """Replace the demand of a gateway."""
        self.total_demand += demand - self.demands.pop(gateway, 0)
        if demand:
            self.demands[gateway] = demand

    def grant_waiting(self, waiting: int) -> int:
        """Take tokens for waiting requests, and return how many thousandths."""
        granted = min(waiting, int(self.tokens) // MILLI) * MILLI
        self.tokens -= granted
        return granted

    def grant_kept(self, missing: int, reserved: float) -> int:
        """Take tokens for a gateway to keep, and return how many thousandths.

        Reserved ones are left, so that waiting requests elsewhere find some.
        """
        spare = int(self.tokens - reserved)
        granted = max(0, min(missing, spare) // MILLI * MILLI)
        self.tokens -= granted
        return granted

    def expect_token(self, limit: Limit) -> int:
        """Return the milliseconds after which a refused gateway may expect a token.

        All gateways with demand may wait for the same tokens.
        """
        free = limit.rate - self.leased
        if free <= 0:
            return MAX_WAIT_MS
        missing = max(0.0, MILLI - self.tokens) + MILLI * (len(self.demands) - 1)
        return max(1, min(MAX_WAIT_MS, int(1000 * missing / free)))


@dataclass(frozen=True)
class AccountStatus:
    """Describe the use of one organisation's limit."""

    organisation: OrganisationName
    limit_per_s: float
    demand_per_s: float
    gateways: int
    """Gateways that report demand."""
    leased_per_s: float
    """Upper bound of the rates that gateways may use."""
    tokens: int
    """Tokens in the central bucket when it was used last."""

    @classmethod
    def of(cls, account: Account, limit: Limit) -> AccountStatus:
        """Describe an account; rates in requests per second."""
        return cls(
            limit.name,
            limit.rate / MILLI,
            account.total_demand / MILLI,
            len(account.demands),
            account.leased / MILLI,
            int(account.tokens / MILLI),
        )


class DemandLeases:
    """Track until when each gateway's reported demand counts."""

    def __init__(self) -> None:
        self._ends: deque[tuple[Instant, MemberId, OrganisationName]] = deque()
        """Ends in the order of time, with those renewed or removed since."""
        self._until: dict[tuple[MemberId, OrganisationName], Instant] = {}

    def renew(self, gateway: MemberId, name: OrganisationName, now: Instant) -> None:
        """Count a gateway's demand for another SHARE_LEASE."""
        until = Instant(now + SHARE_LEASE)
        self._until[(gateway, name)] = until
        self._ends.append((until, gateway, name))

    def remove(self, gateway: MemberId, name: OrganisationName) -> None:
        """Remove the lease of a gateway that has no demand."""
        self._until.pop((gateway, name), None)

    def take_ended(self, now: Instant) -> list[tuple[MemberId, OrganisationName]]:
        """Remove and return the gateways and organisations whose demand has ended."""
        ended: list[tuple[MemberId, OrganisationName]] = []
        while self._ends and self._ends[0][0] <= now:
            _, gateway, name = self._ends.popleft()
            if self._until.get((gateway, name), now + 1) <= now:
                del self._until[(gateway, name)]
                ended.append((gateway, name))
        return ended
