"""Admit requests of organisations within what the leader of the log has granted.

Addresses limits that bind the sum over all gateways. A gateway admits a request of a
limited organisation only with a token. Tokens come from a leased rate, or singly.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from typing import TYPE_CHECKING
from typing import Any

from ...core.ids import Instant
from ...core.ids import MemberId
from ...core.ids import OrganisationName
from ...core.ids import VmName
from ...messages.quota import MILLI
from ...messages.quota import QUOTA_LEASE
from ...messages.quota import QuotaRequest
from ...messages.quota import organisation_id

if TYPE_CHECKING:
    from ...messages.quota import QuotaAnswer

REPORT_INTERVAL = 0.5
"""Seconds between two reports of all organisations seen lately."""

DEMAND_SECONDS = 2.0
"""Time constant of the average of an organisation's demand."""

MIN_MEASURED_SECONDS = 0.2
"""Shortest time over which demand is measured; shorter ones give random results."""

MIN_DEMAND = 0.1
"""Reported demand of an organisation seen lately, in requests per second."""

GONE_REQUESTS = 4.0
"""Expected requests without any arrival after which callers count as gone.

With random arrivals, this is wrong in 2 of 100 intervals.
"""

RETAINED_SECONDS = 6.0
"""Time since the last request for which a gateway keeps tokens of an organisation."""

RENEWAL_SECONDS = 1.4
"""Time before the end of a lease from which it is renewed without any news.

Two more reports may be lost until then.
"""

TOKEN_TRANSIT = 0.5
"""Seconds from a report after which single tokens in its answer are discarded.

Tokens on their way are not part of the bounded sum, so their number is limited.
"""

CONTACT_SECONDS = 1.3
"""Time since the leader's last answer after which a gateway counts as cut off."""


CONTINUED_SECONDS = 3.0
"""Time since the leader's last answer for which a gateway goes on without grants.

Replacing a leader takes one to two seconds.
"""

STORED_SECONDS = 0.5
"""Seconds of the rate without grants that may be used at once."""

CONTINUED_FRACTION = 0.8
"""Fraction of the rate lately admitted that goes on without grants.

All gateways together then stay below the limit, and a new leader has some to grant.
"""


class Admission(Enum):
    """State whether a request of a limited organisation may go on."""

    ADMITTED = "admitted"
    REFUSED = "refused"
    """Over the limit: the leader said that there is no token for now."""
    CUT_OFF = "cut off"
    """Neither a lease nor contact to the leader."""
    WAITING = "waiting"
    """The leader has to be asked for a token."""


@dataclass(slots=True)
class Holding:
    """Store what a gateway may use of one organisation's limit."""

    name: OrganisationName
    number: int
    at: Instant
    """When ``tokens`` was last updated."""
    measured_at: Instant
    seen_at: Instant
    rate: float = 0.0
    """Leased tokens per second."""
    store: float = 0.0
    """Tokens that may be kept."""
    tokens: float = 0.0
    surplus: float = 0.0
    """Tokens that may not be kept, to be returned with the next report."""
    until: Instant = Instant(-1e9)
    """End of the lease."""
    refused_until: Instant = Instant(-1e9)
    """When a token is expected, after the leader refused one."""
    demand: float = 0.0
    arrivals: int = 0
    """Requests since ``measured_at``."""
    admitted: int = 0
    """Requests admitted since ``measured_at``."""
    admitted_rate: float = 0.0
    """Average of the requests per second that were admitted."""
    continued: float = 0.0
    """Tokens to go on without grants."""
    continued_at: Instant = Instant(-1e9)
    """When ``continued`` was last updated."""
    waiters: deque[Any] = field(default_factory=deque)

    def earn(self, now: Instant) -> None:
        """Add the tokens of the leased rate; without a lease, drop all of them."""
        earning = min(now, self.until) - self.at
        if earning > 0:
            self.tokens += earning * self.rate
        self.at = now
        if now >= self.until:
            self.rate = self.store = self.tokens = self.surplus = 0.0
        elif self.tokens > self.store:
            self.surplus += self.tokens - self.store
            self.tokens = self.store

    def measure(self, now: Instant) -> None:
        """Update the average demand from the requests since the last time."""
        seconds = now - self.measured_at
        if seconds < MIN_MEASURED_SECONDS:
            return
        if not self.arrivals and self.demand * seconds >= GONE_REQUESTS:
            self.demand = 0.0
        weight = 1 - math.exp(-seconds / DEMAND_SECONDS)
        self.demand += weight * (self.arrivals / seconds - self.demand)
        self.admitted_rate += weight * (self.admitted / seconds - self.admitted_rate)
        self.arrivals, self.admitted, self.measured_at = 0, 0, now

    def take(self) -> None:
        """Use a token."""
        self.tokens -= 1.0
        self.admitted += 1

    def take_continued(self, granted_at: Instant, now: Instant) -> bool:
        """Use a token of the rate that goes on since the last grants, if there is one.

        The leased rate counts as a part of it.
        """
        leased = self.rate if now < self.until else 0.0
        rate = max(0.0, CONTINUED_FRACTION * self.admitted_rate - leased)
        since = max(granted_at, self.continued_at)
        store = 1.0 + rate * STORED_SECONDS
        self.continued = min(store, self.continued + (now - since) * rate)
        self.continued_at = now
        if self.continued < 1.0:
            return False
        self.continued -= 1.0
        self.admitted += 1
        return True

    def has_news(self, now: Instant) -> bool:
        """Return whether the next regular report has to list this organisation."""
        lacks_token = self.store >= 1.0 > self.tokens
        changed = self.arrivals or self.rate or self.surplus or lacks_token
        return bool(changed) or now > self.until - RENEWAL_SECONDS or self.is_idle(now)

    def is_idle(self, now: Instant) -> bool:
        """Return whether no request came lately."""
        return not self.waiters and now > self.seen_at + RETAINED_SECONDS


class QuotaState:
    """Store what a gateway may use of the limits of organisations seen lately."""

    def __init__(self) -> None:
        self.holdings: dict[OrganisationName, Holding] = {}
        self._by_number: dict[int, Holding] = {}
        self.grant_seen = 0
        self.heard_at: Instant | None = None
        """When the leader answered last, or else when the first request came."""

    def admit(self, name: OrganisationName, now: Instant) -> Admission:
        """Count a request of an organisation, and take a token for it."""
        holding = self.holdings.get(name)
        if holding is None:
            holding = self._add(name, now)
        if self.heard_at is None:
            self.heard_at = now
        holding.arrivals += 1
        holding.seen_at = now
        return self._take(holding, now)

    def take_again(self, name: OrganisationName, now: Instant) -> bool:
        """Take a token for another send of a request that may have run."""
        holding = self.holdings.get(name)
        return holding is not None and (self._take(holding, now) is Admission.ADMITTED)

    def put_back(self, name: OrganisationName, now: Instant) -> None:
        """Return the token of a request that was not run."""
        holding = self.holdings.get(name)
        if holding is not None and now < holding.until:
            holding.earn(now)
            holding.tokens += 1.0
            holding.earn(now)

    def add_waiter(self, name: OrganisationName, waiter: Any) -> None:
        """Add a request that waits for the leader's answer."""
        self.holdings[name].waiters.append(waiter)

    def remove_waiter(self, name: OrganisationName, waiter: Any) -> None:
        """Remove a request that waits no longer."""
        holding = self.holdings.get(name)
        if holding is not None and waiter in holding.waiters:
            holding.waiters.remove(waiter)

    def has_waiters(self) -> bool:
        """Return whether any request waits for a token."""
        return any(holding.waiters for holding in self.holdings.values())

    def seconds_to_token(self, name: OrganisationName, now: Instant) -> float:
        """Return the time until a token is expected here."""
        holding = self.holdings.get(name)
        if holding is None:
            return 0.0
        expected = [holding.refused_until - now]
        if holding.rate > 0:
            expected.append((1.0 - holding.tokens) / holding.rate)
        return max(0.0, min(expected))

    def report(
        self, gateway: MemberId, vm: VmName, now: Instant, *, urgent: bool
    ) -> QuotaRequest:
        """Return the report to the leader, and give up what it returns.

        An urgent one lists only organisations with waiting requests.
        """
        listed = [
            item
            for item in self.holdings.values()
            if item.waiters or (not urgent and item.has_news(now))
        ]
        rows = [_report_row(holding, now) for holding in listed]
        if not urgent:
            for holding in listed:
                if holding.is_idle(now):
                    del self.holdings[holding.name]
                    del self._by_number[holding.number]
        columns = tuple(zip(*rows, strict=True)) if rows else ((),) * 7
        return QuotaRequest(gateway, vm, now, self.grant_seen, *columns)

    def release(self, gateway: MemberId, vm: VmName, now: Instant) -> QuotaRequest:
        """Return a report that gives up everything."""
        for holding in self.holdings.values():
            holding.seen_at = Instant(now - RETAINED_SECONDS - 1)
            holding.waiters.clear()
        return self.report(gateway, vm, now, urgent=False)

    def apply(self, answer: QuotaAnswer, now: Instant) -> list[tuple[Any, Admission]]:
        """Apply an answer, and return the waiting requests that it decides."""
        is_new = answer.leads and answer.grant > self.grant_seen
        if not (is_new and answer.is_complete()):
            return []
        self.grant_seen, self.heard_at = answer.grant, now
        decided: list[tuple[Any, Admission]] = []
        for number, rate, store, tokens, wait_ms in zip(
            answer.organisations,
            answer.rates,
            answer.stores,
            answer.tokens,
            answer.wait_ms,
            strict=True,
        ):
            holding = self._by_number.get(number)
            if holding is None:
                continue
            holding.earn(now)
            holding.rate, holding.store = rate / MILLI, store / MILLI
            holding.until = Instant(answer.sent_at + QUOTA_LEASE)
            if now < answer.sent_at + TOKEN_TRANSIT:
                holding.tokens += tokens / MILLI
            while holding.waiters and holding.tokens >= 1.0:
                holding.take()
                decided.append((holding.waiters.popleft(), Admission.ADMITTED))
            if wait_ms:
                holding.refused_until = Instant(now + wait_ms / 1000)
                decided += [(item, Admission.REFUSED) for item in holding.waiters]
                holding.waiters.clear()
            holding.earn(now)
        return decided

    def _add(self, name: OrganisationName, now: Instant) -> Holding:
        measured_at = Instant(now - REPORT_INTERVAL)
        holding = Holding(name, organisation_id(name), now, measured_at, now)
        self.holdings[name] = self._by_number[holding.number] = holding
        return holding

    def take_continued(self, name: OrganisationName, now: Instant) -> bool:
        """Take a token without the leader, which has not answered in time."""
        holding = self.holdings.get(name)
        return holding is not None and self._continue(holding, now)

    def _continue(self, holding: Holding, now: Instant) -> bool:
        granted_at = self.heard_at
        if granted_at is None or now > granted_at + CONTINUED_SECONDS:
            return False
        return holding.take_continued(granted_at, now)

    def _take(self, holding: Holding, now: Instant) -> Admission:
        holding.earn(now)
        if holding.tokens >= 1.0:
            holding.take()
            return Admission.ADMITTED
        if now > (self.heard_at or now) + CONTACT_SECONDS:
            if self._continue(holding, now):
                return Admission.ADMITTED
            return Admission.REFUSED if now < holding.until else Admission.CUT_OFF
        if now < holding.refused_until:
            return Admission.REFUSED
        return Admission.WAITING


def _report_row(holding: Holding, now: Instant) -> tuple[int, ...]:
    """Return the items of one organisation, in the order of QuotaRequest."""
    holding.earn(now)
    holding.measure(now)
    if holding.is_idle(now):
        returned = int((holding.tokens + holding.surplus) * MILLI)
        return holding.number, 0, 0, 0, 0, returned, 0
    returned = int(holding.surplus * MILLI)
    holding.surplus -= returned / MILLI
    return (
        holding.number,
        int(max(MIN_DEMAND, holding.demand) * MILLI),
        round(holding.rate * MILLI),
        round(holding.store * MILLI),
        int(holding.tokens * MILLI),
        returned,
        len(holding.waiters),
    )
