"""Define, parse and check the routing table of routed requests."""

from __future__ import annotations

import hashlib
import sys
from typing import TYPE_CHECKING
from typing import Annotated
from typing import Any

from expression import Error
from expression import Ok
from expression import Result
from pydantic import BeforeValidator
from pydantic import Field
from pydantic import ValidationError
from pydantic import field_validator

from ..core.failures import Failure
from ..core.failures import Fault
from ..core.failures import TextInvalid
from ..core.ids import HostName
from ..core.ids import KeyDigest
from ..core.ids import OrganisationName
from ..core.ids import RegionName
from ..core.ids import RouteName
from ..core.ids import RoutingVersion
from ..core.ids import ServiceName
from .model import Part
from .parse import list_faults
from .parse import load_json

if TYPE_CHECKING:
    from collections.abc import Iterator

MAX_TIMEOUT_MS = 600_000
"""Maximum timeout of a route."""

MAX_TARGET_OVER_TIMEOUT_MS = 60_000
"""A latency target that exceeds its route's timeout by this much is a fault."""

MAX_LIMIT = 1_000_000
"""Requests, per second or at once, from which a limit allows all that can come."""

HEADER_VALUE_PATTERN = r"^[!-~]([ -~]*[!-~])?$"
"""Names that a header can carry as they are: printable ASCII, no outer spaces."""

DIGEST_PATTERN = r"^[0-9a-f]{64}$"


def digest_key(key: bytes) -> KeyDigest:
    """Return the SHA-256 digest of an API key, in hexadecimal digits."""
    return KeyDigest(hashlib.sha256(key).hexdigest())


def _to_float(value: object) -> object:
    """Return the float nearest to a number, also to one beyond the largest float."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        return value
    largest = sys.float_info.max
    if abs(value) > largest:
        return largest if value > 0 else -largest
    return float(value)


Quantity = Annotated[
    float,
    BeforeValidator(_to_float),
    Field(ge=0, allow_inf_nan=False, strict=False),
]
"""Number that isn't negative; one that exceeds all floats counts as the largest."""


def is_limited(rate_per_s: float, burst: float) -> bool:
    """Return whether a rate and a burst bind under any load."""
    return 0 < rate_per_s < MAX_LIMIT and burst < MAX_LIMIT


class Target(Part):
    """Represent a service that gets a part of a route's requests.

    ``weight`` is relative to the other targets of the route.
    """

    service: ServiceName
    weight: Quantity


class Route(Part):
    """Represent a route: requests to a host with a path prefix, and their services."""

    name: RouteName
    host: HostName
    prefix: Annotated[str, Field(pattern=r"^/(.*/)?$")]
    targets: Annotated[tuple[Target, ...], Field(min_length=1, strict=False)]
    idempotent: bool
    """Whether a request may run more than once; if not, once for each request id."""
    timeout_ms: Annotated[int, Field(ge=1, le=MAX_TIMEOUT_MS)]
    target_latency_ms: Annotated[int, Field(ge=0)]
    rank: Annotated[int, Field(ge=0)]
    """Urgency of the requests; 0 is the most urgent."""
    attempts: Annotated[int, Field(ge=1)]
    """Maximum number of backend servers that one request may reach."""
    affinity: bool
    """Whether a backend server answers faster if it has the request's object warm."""
    regions: Annotated[tuple[RegionName, ...], Field(strict=False)] = ()
    """Regions that may serve the requests; empty for all regions."""
    allow_anonymous: bool = False
    """Whether requests without an API key are served where organisations have keys."""


class Organisation(Part):
    """Represent an organisation whose requests carry one of its API keys."""

    name: Annotated[OrganisationName, Field(pattern=HEADER_VALUE_PATTERN)]
    key_digests: Annotated[
        tuple[Annotated[KeyDigest, Field(pattern=DIGEST_PATTERN)], ...],
        Field(strict=False, repr=False),
    ] = ()
    """Digests of its API keys, from ``digest_key``."""
    rank: Annotated[int, Field(ge=0)] | None = None
    """Urgency of its requests in place of their routes' rank; None for the latter."""
    regions: Annotated[tuple[RegionName, ...], Field(strict=False)] = ()
    """Regions that may serve its requests; empty for all regions."""
    rate_per_s: Quantity = 0.0
    """Requests per second that it may send through all gateways; 0 for no limit."""
    burst: Quantity = 0.0
    """Requests that it may send at once beyond the rate."""

    @property
    def is_limited(self) -> bool:
        """Return whether its rate and burst bind under any load."""
        return is_limited(self.rate_per_s, self.burst)

    @field_validator("key_digests")
    @classmethod
    def _remove_repeated(cls, digests: tuple[KeyDigest, ...]) -> tuple[KeyDigest, ...]:
        return tuple(dict.fromkeys(digests))


NO_ORGANISATION = Organisation(name=OrganisationName("no-organisation"))
"""Stands for the empty list of organisations in a stored table.

Gateways of an earlier version read an empty list as none, and would need no key.
"""


class RoutedService(Part):
    """Represent a service whose backend servers run the requests of routes."""

    name: ServiceName
    health_path: str
    max_connections: Annotated[int, Field(ge=0)]
    """Connections that a backend server accepts from all callers; 0 for no limit."""
    cold_ms: Annotated[int, Field(ge=0)]
    """Duration of a cold start."""
    cold_per_s: Quantity
    """Requests per second that a cold backend server can run; 0 for no limit."""


class ClientLimits(Part):
    """Limit the size of client requests and the time clients may take to send them."""

    header_bytes: Annotated[int, Field(ge=0)] = 16_384
    body_bytes: Annotated[int, Field(ge=0)] = 64 * 1024 * 1024
    header_timeout_ms: Annotated[int, Field(ge=0)] = 5_000
    idle_timeout_ms: Annotated[int, Field(ge=0)] = 15_000


class Routing(Part):
    """Represent one version of the routing table."""

    version: Annotated[RoutingVersion, Field(ge=0)]
    routes: Annotated[tuple[Route, ...], Field(strict=False)]
    services: Annotated[tuple[RoutedService, ...], Field(strict=False)]
    limits: ClientLimits = ClientLimits()
    organisations: Annotated[tuple[Organisation, ...], Field(strict=False)] | None = (
        None
    )
    """Organisations with API keys; None if requests need no key.

    An empty list admits no key, so it leaves only routes that allow anonymous requests.
    """

    @field_validator("organisations")
    @classmethod
    def _drop_stand_in(
        cls, organisations: tuple[Organisation, ...] | None
    ) -> tuple[Organisation, ...] | None:
        return () if organisations == (NO_ORGANISATION,) else organisations

    @property
    def listed_organisations(self) -> tuple[Organisation, ...]:
        """Return the organisations, whether the list is empty or there is none."""
        return self.organisations or ()


def _find_faults(routing: Routing) -> Iterator[Fault]:
    names = {service.name for service in routing.services}
    for at, route in enumerate(routing.routes):
        for index, target in enumerate(route.targets):
            if target.service not in names:
                path = f"$.routes[{at}].targets[{index}].service"
                yield Fault(path, "unknown_service", target.service)
        excess_ms = route.target_latency_ms - route.timeout_ms
        if excess_ms >= MAX_TARGET_OVER_TIMEOUT_MS:
            path = f"$.routes[{at}].target_latency_ms"
            yield Fault(path, "target_over_timeout", f"{excess_ms} ms over the timeout")
    yield from _find_shared_names_and_keys(routing.listed_organisations)


def _find_shared_names_and_keys(
    organisations: tuple[Organisation, ...],
) -> Iterator[Fault]:
    """Yield a fault for each organisation that has the name or a key of another one."""
    names: set[OrganisationName] = set()
    owners: dict[KeyDigest, OrganisationName] = {}
    for at, organisation in enumerate(organisations):
        path = f"$.organisations[{at}]"
        if organisation.name in names:
            yield Fault(f"{path}.name", "repeated_organisation", organisation.name)
        names.add(organisation.name)
        shared = [digest for digest in organisation.key_digests if digest in owners]
        if shared:
            reason = f"{len(shared)} keys belong to {owners[shared[0]]}"
            yield Fault(f"{path}.key_digests", "shared_key", reason)
        owners.update(dict.fromkeys(organisation.key_digests, organisation.name))


def check_routing(document: object) -> Result[Routing, Failure]:
    """Return the routing table from a parsed JSON document, or TextInvalid."""
    try:
        routing = Routing.model_validate(document)
    except ValidationError as exc:
        return Error(TextInvalid("routing table is invalid", list_faults(exc)))
    faults = tuple(_find_faults(routing))
    if faults:
        return Error(TextInvalid("routing table is invalid", faults))
    return Ok(routing)


def parse_routing(data: bytes) -> Result[Routing, Failure]:
    """Return the routing table from JSON, or TextInvalid."""
    document = load_json(data)
    if document.is_error():
        return Error(TextInvalid("invalid JSON", (document.error,)))
    return check_routing(document.ok)


def list_services(data: bytes) -> frozenset[ServiceName]:
    """Return the services in a routing table as JSON; none if it is malformed."""
    parsed = parse_routing(data)
    if parsed.is_error():
        return frozenset()
    return frozenset(service.name for service in parsed.ok.services)


def list_limits(data: bytes) -> list[tuple[OrganisationName, float, float]]:
    """Return name, rate and burst of all organisations in a routing table as JSON.

    There are none if it is malformed. An accepted table need not be checked again.
    """
    document = load_json(data)
    if document.is_error() or not isinstance(document.ok, dict):
        return []
    return [
        (item["name"], item.get("rate_per_s", 0.0), item.get("burst", 0.0))
        for item in document.ok.get("organisations") or ()
    ]


def dump_routing(routing: Routing) -> bytes:
    """Return the routing table as JSON.

    Omit what concerns API keys where none is needed: gateways of an earlier version
    would reject the unknown fields.
    """
    exclude: dict[str, Any] = {}
    if routing.organisations is None:
        exclude["organisations"] = True
    elif not routing.organisations:
        routing = routing.model_copy(update={"organisations": (NO_ORGANISATION,)})
    if not any(route.allow_anonymous for route in routing.routes):
        exclude["routes"] = {"__all__": {"allow_anonymous"}}
    return routing.model_dump_json(exclude=exclude).encode()
