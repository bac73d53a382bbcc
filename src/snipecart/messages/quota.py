"""Declare the messages that lease parts of organisations' rate limits to gateways.

Rates are in thousandths of a request per second, and tokens in thousandths of a token,
which allows one request.
"""

from __future__ import annotations

from hashlib import blake2b

from ..core.ids import Instant
from ..core.ids import MemberId
from ..core.ids import OrganisationName
from ..core.ids import VmName
from ..core.message import message

MILLI = 1000
"""Thousandths of a token or of a request per second in a whole one."""

QUOTA_LEASE = 2.8
"""Seconds from sending a report for which a gateway may use what its answer leased."""


def organisation_id(name: OrganisationName) -> int:
    """Return the number by which messages name an organisation.

    It does not depend on the version of the routing table, unlike a position in it.
    """
    return int.from_bytes(blake2b(name.encode(), digest_size=8).digest())


@message
class QuotaRequest:
    """Report a gateway's demand by organisation, and ask for a part of their limits.

    The tuples have one item for each reported organisation, in the same order.
    Organisations that are not listed stay as they are.
    """

    gateway: MemberId
    vm: VmName
    sent_at: Instant
    """When the gateway sent this, by its own clock; its leases start at this time."""
    grant_seen: int
    """Number of the latest grant that the gateway received."""
    organisations: tuple[int, ...]
    """Numbers of the organisations, by ``organisation_id``."""
    demand: tuple[int, ...]
    """Rates at which clients send requests, whether admitted or not."""
    held: tuple[int, ...]
    """Leased rates."""
    stores: tuple[int, ...]
    """Tokens that the gateway may keep."""
    tokens: tuple[int, ...]
    """Tokens that the gateway has kept."""
    returned: tuple[int, ...]
    """Tokens that the gateway gives up with this message."""
    waiting: tuple[int, ...]
    """Requests that wait for a token."""

    def is_complete(self) -> bool:
        """Return whether each organisation has an item in all tuples."""
        columns = (self.demand, self.held, self.stores, self.tokens, self.returned)
        return _have_length(len(self.organisations), *columns, self.waiting)


@message
class QuotaAnswer:
    """Lease parts of organisations' rate limits to a gateway.

    The tuples have one item for each organisation in the request, in the same order.
    """

    sent_at: Instant
    """When the gateway sent the request that this answers, by its own clock."""
    leads: bool
    """Whether the sender leads the log; if not, it grants nothing."""
    grant: int
    organisations: tuple[int, ...]
    rates: tuple[int, ...]
    """Leased rates."""
    stores: tuple[int, ...]
    """Tokens that the gateway may keep."""
    tokens: tuple[int, ...]
    """Tokens that the gateway gets in addition to those it has."""
    wait_ms: tuple[int, ...]
    """Time until a token is expected; 0 if requests need not wait."""

    def is_complete(self) -> bool:
        """Return whether each organisation has an item in all tuples."""
        columns = (self.rates, self.stores, self.tokens, self.wait_ms)
        return _have_length(len(self.organisations), *columns)


def _have_length(length: int, *columns: tuple[int, ...]) -> bool:
    return all(len(column) == length for column in columns)
