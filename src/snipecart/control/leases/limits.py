"""Derive what gateways may use of an organisation's limit from the platform's rule."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ...messages.quota import MILLI
from ...text.routing import MAX_LIMIT
from ...text.routing import is_limited

if TYPE_CHECKING:
    from ...core.ids import OrganisationName

LEASED_FRACTION = 0.7
"""Fraction of a limit that may be leased as rates.

A new leader can grant the rest at once, as no earlier lease includes it. The fraction
covers the usual demand of an organisation whose limit is 1.6 times as much.
"""

STORED_FRACTION = 0.7
"""Fraction of all tokens that gateways may keep; the others can be granted anywhere."""

KEPT_SLACK = 0.65
"""Fraction of the platform's slack that may be kept as tokens beyond the burst."""

OPENING_SLACK = 0.25
"""Fraction of the platform's slack that a new leader grants in one window.

It grants this until earlier leases have expired. The rest of the slack covers tokens
that are on their way to a gateway.
"""

UNLIMITED = MAX_LIMIT * MILLI
"""Rate and store of organisations without a limit that binds, in thousandths.

A gateway asks for those without one only while its routing table is older than the
leader's. Messages have 32 bits for each rate.
"""


@dataclass(frozen=True)
class QuotaRule:
    """Store what the platform allows beyond the limits; see QuotaSettings."""

    window_s: float = 5.0
    overage: float = 0.0
    slack: float = 0.0


@dataclass(frozen=True)
class Limit:
    """Store the limit of one organisation; rate and tokens in thousandths."""

    name: OrganisationName
    rate: int
    leasable: int
    """Part of the rate that may be leased."""
    capacity: int
    """Tokens in the central bucket and at all gateways together, at most."""
    opening: int
    """Tokens that a new leader may grant in one window, beyond what can't be leased."""

    @classmethod
    def of(
        cls, name: OrganisationName, rate_per_s: float, burst: float, rule: QuotaRule
    ) -> Limit | None:
        """Return the limit of an organisation under a platform's rule.

        Return None if no limit binds.
        """
        if not is_limited(rate_per_s, burst):
            return None
        slack = rule.slack + rule.overage * (rate_per_s * rule.window_s + burst)
        return cls(
            name,
            _to_milli(rate_per_s),
            _to_milli(rate_per_s * LEASED_FRACTION),
            _to_milli(max(burst, 1.0) + KEPT_SLACK * slack),
            _to_milli(OPENING_SLACK * slack),
        )

    @property
    def storable(self) -> int:
        """Return how many tokens all gateways together may keep."""
        return int(STORED_FRACTION * self.capacity)

    @property
    def store(self) -> str:
        """Return the ledger's resource of the tokens that gateways keep."""
        return f"{self.name}\ntokens"


def _to_milli(amount: float) -> int:
    """Return requests or tokens in thousandths, UNLIMITED at most."""
    return int(min(amount * MILLI, UNLIMITED))
