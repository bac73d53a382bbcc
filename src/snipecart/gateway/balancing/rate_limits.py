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
from ...core.token_bucket import TokenBucket
from ...messages.discovery import RATE_LEASE_DURATION

if TYPE_CHECKING:
    from ...core.ids import InstanceId
    from ...core.ids import UnixMillis
    from ...messages.discovery import SyncAnswer
    from .server import Server
    from .state import BalancerState

LEASED_BURST = 1.0
"""Requests that one gateway may send to a rate-limited backend server at once."""


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


def accepted_rate(state: BalancerState, server: Server, now: Instant) -> float | None:
    """Return the requests per second that a server accepts from all gateways.

    Return None if it limits no rate.
    """
    if not server.is_cold(now) or state.index is None:
        return None
    service = state.index.services.get(server.instance.service)
    return service.cold_per_s or None if service is not None else None


def may_send(state: BalancerState, server: Server, now: Instant) -> bool:
    """Return whether the rate of a server allows this gateway a request now."""
    bucket = _leased_bucket(state, server, now)
    return bucket is None or bucket.has(now)


def acquire_send(state: BalancerState, server: Server, now: Instant) -> bool:
    """Count a request against the rate of a server; return False if it exceeds it."""
    bucket = _leased_bucket(state, server, now)
    return bucket is None or bucket.try_acquire(now)


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
    leased = rate * state.rate_leases.share(server, now)
    if server.bucket is None:
        tokens = LEASED_BURST if leased else 0.0
        server.bucket = TokenBucket(leased, LEASED_BURST, tokens, now)
    server.bucket.set_rate(leased, now)
    return server.bucket
