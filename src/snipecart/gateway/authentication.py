"""Decide which organisation a request comes from, by its API key.

Handles requests without a key and with an unknown or removed one, also in floods: they
are rejected before they take memory or a place at a backend server.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from expression import Error
from expression import Ok
from expression import Result

from ..core.failures import ApiKeyMissing
from ..core.failures import ApiKeyUnknown
from ..core.failures import ApiKeyUnproven
from ..core.failures import Failure
from ..core.ids import KeyDigest
from ..text.routing import digest_key
from .request import effective_rank

if TYPE_CHECKING:
    from ..core.ids import Instant
    from ..text.routing import Organisation
    from ..text.routing import Route
    from .balancing.routes import RouteIndex
    from .key_lease import KeyLease
    from .key_lease import TableProof
    from .pipeline import GatewayContext
    from .request import RoutedRequest

AUTHORIZATION = "authorization"
"""Lower-case name of the header with the API key."""

SCHEME = "bearer"

MALFORMED_KEY = KeyDigest("")
"""Stands for a key that no organisation can have."""


def read_key(authorization: str | None, *, repeated: bool = False) -> KeyDigest | None:
    """Return the digest of the API key in a header's value; None without a header.

    Return MALFORMED_KEY if the header is repeated or is not ``Bearer KEY``.
    """
    if authorization is None:
        return None
    scheme, _, key = authorization.partition(" ")
    key = key.strip(" ")
    if repeated or scheme.lower() != SCHEME or not key or " " in key or "\t" in key:
        return MALFORMED_KEY
    return digest_key(key.encode("latin-1"))


def authenticate(
    index: RouteIndex,
    route: Route,
    key: KeyDigest | None,
    lease: KeyLease,
    proof: TableProof,
    now: Instant,
) -> Result[Organisation | None, Failure]:
    """Return the organisation of a request; None if it is served without one."""
    if not index.requires_keys:
        return Ok(None)
    if key is None:
        return Ok(None) if route.allow_anonymous else Error(ApiKeyMissing(route.name))
    organisation = index.find_organisation(key)
    if organisation is None:
        return Error(ApiKeyUnknown("the key belongs to no organisation"))
    version = index.routing.version
    if not lease.is_valid(proof, version, now):
        age = proof.age(version, now)
        return Error(
            ApiKeyUnproven(
                f"routing table {version} proved current {age:.1f} s ago,"
                f" more than {lease.seconds:.1f} s"
            )
        )
    return Ok(organisation)


def identify(
    routed: RoutedRequest,
    index: RouteIndex,
    organisation: Organisation | None,
    header: str,
) -> RoutedRequest:
    """Return a request with its organisation, its rank and the headers to forward.

    The key and a client's own header of an organisation are never forwarded where the
    routing table lists organisations. ``header`` is the name of the latter.
    """
    if not index.requires_keys:
        return routed
    removed = {AUTHORIZATION, header.lower()}
    headers = [pair for pair in routed.req.headers if pair[0].lower() not in removed]
    if organisation is not None:
        headers.append((header, organisation.name))
    rank = effective_rank(routed.route, organisation)
    return replace(
        routed,
        organisation=organisation,
        headers=tuple(headers),
        more_urgent_ranks=index.count_more_urgent(rank),
    )


def check_key(
    ctx: GatewayContext, routed: RoutedRequest, now: Instant
) -> Result[RoutedRequest, Failure]:
    """Check the key of a request against the newest table and proof at hand.

    Return the request with its organisation.
    """
    proof = ctx.lease.proof
    index = ctx.balancer.view.index
    decision = authenticate(index, routed.route, routed.req.key, ctx.lease, proof, now)
    if decision.is_error():
        return Error(decision.error)
    organisation = decision.ok
    same_table = index.routing.version == routed.routing_version
    was_identified = routed.headers is not None and same_table
    if was_identified and routed.organisation is organisation:
        return Ok(routed)
    return Ok(identify(routed, index, organisation, ctx.names.organisation))
