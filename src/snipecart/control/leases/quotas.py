"""Divide the rate limits of organisations among gateways.

Addresses limits that bind the sum over all gateways, under any division of an
organisation's demand: steady at many gateways, rare at each of them, or moving.

What an organisation may send is a flow of tokens at its rate. A part of the flow is
leased to gateways with steady demand; the rest fills a central bucket, from which
single tokens are granted. Tokens that gateways keep and those in the central bucket
together never exceed the burst and a part of the platform's slack. So the requests in
any window are at most the rate times the window, plus that sum.
"""

from __future__ import annotations

from heapq import nlargest
from typing import TYPE_CHECKING

from ...messages.quota import MILLI
from ...messages.quota import QuotaAnswer
from ...messages.quota import organisation_id
from .accounts import MAX_WAIT_MS
from .accounts import Account
from .accounts import AccountStatus
from .accounts import DemandLeases
from .ledger import Ledger
from .limits import UNLIMITED
from .limits import Limit

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ...core.ids import Instant
    from ...core.ids import MemberId
    from ...core.ids import OrganisationName
    from ...messages.quota import QuotaRequest
    from .limits import QuotaRule

HEADROOM = 1.25
"""Leased rates over the demand while the limit allows it; covers its variation."""

MIN_NEW_RATE = 1.5 * MILLI
"""Rate below which a gateway without a lease gets single tokens instead.

Other gateways can't use a leased rate while its holder has no requests.
"""

MIN_KEPT_RATE = 0.75 * MILLI
"""Rate below which a lease ends.

Lower than for a new one, as demand varies, and the rate of an ended lease can't be used
until the gateway confirms its end.
"""

KEPT_CHANGE = 0.25
"""Change relative to a leased rate up to which the rate stays.

A reduced rate cannot be leased to others until the gateway confirms it, so rates that
follow the random variation of demand would leave a part of the limit unused.
"""

STORE_SECONDS = 0.5
"""Seconds of a leased rate that a gateway may keep as tokens, beyond one.

These are the seconds between two of its reports.
"""

RESERVED_FRACTION = 0.5
"""Fraction of the central bucket that is granted only to waiting requests.

A waiting request is refused without a token, while a kept one only saves a message.
"""


class Quotas:
    """Grant rates and tokens in one term of the leader."""

    def __init__(
        self, first_grant: int, began_at: Instant, opens_at: Instant, rule: QuotaRule
    ) -> None:
        self.rule = rule
        self.ledger = Ledger(opens_at)
        self.limits: dict[int, Limit | None] = {}
        """Limits by the organisations' numbers; None for those without a limit."""
        self.accounts: dict[OrganisationName, Account] = {}
        self.version = -1
        """Version of the routing table that the limits come from."""
        self._grant = first_grant
        self._began_at = began_at
        self._demand_leases = DemandLeases()

    def set_limits(
        self, version: int, limits: Iterable[tuple[OrganisationName, float, float]]
    ) -> None:
        """Replace all limits: name, requests per second and burst of organisations."""
        self.version = version
        self.limits = {
            organisation_id(name): Limit.of(name, rate, burst, self.rule)
            for name, rate, burst in limits
        }
        names = {limit.name for limit in self.limits.values() if limit is not None}
        for name in self.accounts.keys() - names:
            del self.accounts[name]

    def answer(self, req: QuotaRequest, now: Instant) -> QuotaAnswer:
        """Renew what a gateway holds of each reported organisation."""
        self._grant += 1
        self._forget_demands(now)
        rows = [self._grant_row(req, at, now) for at in range(len(req.organisations))]
        rates, stores, tokens, waits = (
            zip(*rows, strict=True) if rows else ((), (), (), ())
        )
        return QuotaAnswer(
            req.sent_at,
            True,
            self._grant,
            req.organisations,
            rates,
            stores,
            tokens,
            waits,
        )

    def busiest(self, number: int) -> tuple[AccountStatus, ...]:
        """Return the use of the limits with the most demand."""
        names = nlargest(
            number, self.accounts, key=lambda name: self.accounts[name].total_demand
        )
        return tuple(
            AccountStatus.of(self.accounts[name], self.limits[organisation_id(name)])
            for name in names
        )

    def _grant_row(
        self, req: QuotaRequest, at: int, now: Instant
    ) -> tuple[int, int, int, int]:
        """Return the rate, the store, the tokens and the wait of one organisation."""
        number = req.organisations[at]
        if number not in self.limits:
            return 0, 0, 0, MAX_WAIT_MS
        limit = self.limits[number]
        if limit is None:
            return UNLIMITED, UNLIMITED, req.waiting[at] * MILLI, 0
        account = self._update_account(limit, now)
        self._record_demand(account, limit, req.gateway, req.demand[at], now)
        account.tokens += req.returned[at]
        self._clip_tokens(account, limit, now)
        granted = account.grant_waiting(req.waiting[at])
        rate, store = self._lease(account, limit, req, at, now)
        account.leased = self.ledger.total_bound(limit.name, now)
        self._clip_tokens(account, limit, now)
        # While demand exceeds the limit, all gateways lack tokens.
        reserved = 0.0
        if account.total_demand <= limit.rate:
            reserved = RESERVED_FRACTION * self._central_room(limit, now)
        granted += account.grant_kept(store - req.tokens[at], reserved)
        refused = req.waiting[at] * MILLI > granted
        wait = account.expect_token(limit) if refused else 0
        return rate, store, granted, wait

    def _clip_tokens(self, account: Account, limit: Limit, now: Instant) -> None:
        """Drop tokens beyond the capacity that gateways' tokens leave."""
        account.tokens = min(account.tokens, self._central_room(limit, now))

    def _central_room(self, limit: Limit, now: Instant) -> int:
        """Return how many tokens the central bucket may have."""
        stored = self.ledger.total_bound(limit.store, now)
        return max(0, limit.capacity - stored)

    def _update_account(self, limit: Limit, now: Instant) -> Account:
        """Return an organisation's account, with the tokens earned since."""
        account = self.accounts.get(limit.name)
        if account is None:
            tokens = min(MILLI, limit.opening)
            account = Account(float(tokens), self._began_at)
            self.accounts[limit.name] = account
        account.earn_opening(limit, self.rule.window_s, self.ledger.opens_at, now)
        account.earn(limit, now)
        return account

    def _lease(
        self, account: Account, limit: Limit, req: QuotaRequest, at: int, now: Instant
    ) -> tuple[int, int]:
        """Return the leased rate, and the tokens that the gateway may keep."""
        demand, held = req.demand[at], req.held[at]
        rate = _target_rate(demand, account.total_demand, limit.leasable, held)
        if abs(rate - held) <= KEPT_CHANGE * held or not self.ledger.is_open(now):
            rate = held if demand else 0
        room = self._store_room(limit, req.gateway, now)
        if room < MILLI:
            rate = 0
        store = _target_store(demand, account.total_demand, limit, rate, room)
        granted = self.ledger.renew(
            req.gateway,
            {limit.name: held, limit.store: req.stores[at]},
            req.grant_seen,
            self._grant,
            {limit.name: rate, limit.store: store},
            {limit.name: limit.leasable, limit.store: limit.storable},
            now,
        )
        return granted.get(limit.name, 0), granted.get(limit.store, 0)

    def _store_room(self, limit: Limit, gateway: MemberId, now: Instant) -> int:
        """Return how many tokens the other gateways leave for one to keep."""
        total = self.ledger.total_bound(limit.store, now)
        return limit.storable - (
            total - self.ledger.member_bound(gateway, limit.store, now)
        )

    def _record_demand(
        self,
        account: Account,
        limit: Limit,
        gateway: MemberId,
        demand: int,
        now: Instant,
    ) -> None:
        account.set_demand(gateway, demand)
        if demand:
            self._demand_leases.renew(gateway, limit.name, now)
        else:
            self._demand_leases.remove(gateway, limit.name)

    def _forget_demands(self, now: Instant) -> None:
        """Forget the demand of gateways that don't report it any more."""
        for gateway, name in self._demand_leases.take_ended(now):
            if name in self.accounts:
                self.accounts[name].set_demand(gateway, 0)


def _target_rate(demand: int, total: int, leasable: int, held: int) -> int:
    """Return the rate to lease for a demand, in proportion to that of all gateways."""
    wanted = int(demand * HEADROOM)
    if total * HEADROOM > leasable:
        wanted = leasable * demand // total
    return wanted if wanted >= (MIN_KEPT_RATE if held else MIN_NEW_RATE) else 0


def _target_store(demand: int, total: int, limit: Limit, rate: int, room: int) -> int:
    """Return the tokens to keep for a demand, at least one while there is room."""
    if not demand or room < MILLI:
        return 0
    wanted = MILLI + int(rate * STORE_SECONDS)
    return max(MILLI, min(wanted, limit.storable * demand // total, room))
