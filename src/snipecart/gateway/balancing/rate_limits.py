"""Keep to this gateway's leased part of the rate that a backend server accepts.

The rate is a sum over all gateways. Control processes lease it to a few of them, and a
gateway without a valid lease sends nothing: it may have restarted, be cut off, or not
be one of those few.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from ...core.ids import Instant
from ...core.ids import Millis
from ...core.token_bucket import TokenBucket
from ...messages.discovery import RATE_LEASE_DURATION
from ...messages.discovery import RateLimit

if TYPE_CHECKING:
    from ...core.ids import InstanceId
    from ...core.ids import UnixMillis
    from ...messages.discovery import SyncAnswer
    from .server import Server
    from .state import BalancerState

LEASED_BURST = 1.0
"""Requests that one gateway may send to a rate-limited backend server at once."""

LISTING_TIME = 2.0
"""Seconds in which control processes learn of a rate limit and list it everywhere."""


@dataclass
class RateLeases:
    """Store the shares that the followed control process leased last."""

    shares: dict[tuple[InstanceId, UnixMillis], float] = field(default_factory=dict)
    """Fraction of the rate of each run of a backend server."""
    until: Instant = Instant(0.0)
    """End of all leases."""

    def renew(self, answer: SyncAnswer) -> None:
        """Replace the leases by those of a later answer."""
        until = Instant(answer.lease_start + RATE_LEASE_DURATION)
        if not answer.lease_start or until < self.until:
            return
        self.until = until
        self.shares = {
            (item.instance, item.born): item.share for item in answer.rate_shares
        }

    def share(self, server: Server, now: Instant) -> float:
        """Return the leased fraction of a server's rate; 0 without a valid lease."""
        if now >= self.until:
            return 0.0
        instance = server.instance
        return self.shares.get((instance.instance, instance.born), 0.0)


@dataclass
class ListedLimits:
    """Store the rate limits that the followed control process listed last."""

    per_s: dict[tuple[InstanceId, UnixMillis], float] = field(default_factory=dict)

    def replace(self, answer: SyncAnswer) -> None:
        """Replace the limits if an answer lists them."""
        if answer.limits_revision:
            self.per_s = {
                (item.instance, item.born): item.per_s for item in answer.rate_limits
            }

    def of(self, server: Server) -> float | None:
        """Return the limit of a server; None if it has none."""
        return self.per_s.get((server.instance.instance, server.instance.born))


def accepted_rate(state: BalancerState, server: Server, now: Instant) -> float | None:
    """Return the requests per second that a server accepts from all gateways.

    Return None if it limits no rate.
    """
    rates = (_cold_rate(state, server, now), _named_limit(state, server, now))
    return min((rate for rate in rates if rate is not None), default=None)


def _cold_rate(state: BalancerState, server: Server, now: Instant) -> float | None:
    if not server.is_cold(now) or state.index is None:
        return None
    service = state.index.services.get(server.instance.service)
    return service.cold_per_s or None if service is not None else None


def _named_limit(state: BalancerState, server: Server, now: Instant) -> float | None:
    """Return the limit that a server named to this gateway or to others.

    An own answer counts until control processes have had time to list what it said. A
    gateway without a valid lease may be cut off, and keeps to what it heard itself.
    """
    is_recent = now < server.noticed_at + LISTING_TIME
    if is_recent:
        return server.rate_limit
    listed = state.listed_limits.of(server)
    if now >= state.rate_leases.until and listed is None:
        return server.rate_limit
    return listed


def unlisted_limits(state: BalancerState, now: Instant) -> tuple[RateLimit, ...]:
    """Return the limits in recent answers that control processes don't list so."""
    listed = {name for name, _ in state.listed_limits.per_s}
    names = (state.limited_servers | listed) & state.servers.keys()
    return tuple(
        RateLimit(
            server.instance.instance,
            server.instance.born,
            server.rate_limit or 0.0,
            Millis(int((now - server.noticed_at) * 1000)),
        )
        for server in map(state.servers.__getitem__, sorted(names))
        if now < server.noticed_at + LISTING_TIME
        and server.rate_limit != state.listed_limits.of(server)
    )


def may_send(state: BalancerState, server: Server, now: Instant) -> bool:
    """Return whether a server accepts a request of this gateway now."""
    if server.is_paused(now):
        return False
    if not (state.listed_limits.per_s or server.may_limit_rate(now)):
        return True
    bucket = _leased_bucket(state, server, now)
    return bucket is None or bucket.has(now)


def acquire_send(state: BalancerState, server: Server, now: Instant) -> bool:
    """Count a request against the rate of a server; return False if it accepts none."""
    if server.is_paused(now):
        return False
    bucket = _leased_bucket(state, server, now)
    return bucket is None or bucket.try_acquire(now)


def usable_share(state: BalancerState, server: Server, now: Instant) -> float:
    """Return the fraction of a server's rate that this gateway may use.

    Without any valid lease, gateways split a named limit evenly, and begin slowly:
    control may be down for long. A cold server gets nothing then, as it is cold for a
    short time and may fail when it gets too much.
    """
    if now >= state.rate_leases.until and not server.is_cold(now):
        return 1 / state.gateways
    return state.rate_leases.share(server, now)


def _leased_bucket(
    state: BalancerState, server: Server, now: Instant
) -> TokenBucket | None:
    """Return the bucket of a server at the leased rate; None if it limits no rate.

    A changed rate keeps the tokens, so that a new lease allows no new burst.
    """
    rate = accepted_rate(state, server, now)
    if rate is None:
        server.bucket = None
        return None
    leased = rate * usable_share(state, server, now)
    if server.bucket is None:
        is_leased = now < state.rate_leases.until and leased > 0
        tokens = LEASED_BURST if is_leased else 0.0
        server.bucket = TokenBucket(leased, LEASED_BURST, tokens, now)
    server.bucket.set_rate(leased, now)
    return server.bucket
