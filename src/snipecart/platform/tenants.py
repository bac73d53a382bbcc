"""Translate the tenants of the platform's routing document into organisations.

Texts of faults never quote values, as any of them may be an API key.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from expression import Error
from expression import Ok
from expression import Result

from ..core.failures import Failure
from ..core.failures import Fault
from ..core.failures import TextInvalid
from ..text.routing import MAX_LIMIT
from ..text.routing import digest_key
from .values import ValueMalformed

if TYPE_CHECKING:
    from collections.abc import Collection

    from ..core.ids import KeyDigest
    from ..core.ids import RegionName
    from ..text.routing import Routing

TENANTS = "tenants"

DOCUMENT_FIELDS = {
    "$.organisations": f"$.{TENANTS}",
    ".key_digests": ".api_keys",
    ".rank": ".priority",
    ".regions": ".allowed_regions",
}
"""Steps in the paths of an organisation's faults, and their names in the document."""


class TenantMalformed(ValueMalformed):
    """Report a malformed value of a tenant by its path, without the value."""

    def __init__(self, path: str, expected: str) -> None:
        super().__init__(f"expected {expected}")
        self.path = path


def translate_tenants(tenants: Any) -> list[dict[str, Any]]:
    """Return the organisations in a routing document's list of tenants."""
    _expect(isinstance(tenants, list), f"$.{TENANTS}", "a list")
    return [
        _translate_tenant(item, f"$.{TENANTS}[{at}]") for at, item in enumerate(tenants)
    ]


def _translate_tenant(item: Any, path: str) -> dict[str, Any]:
    _expect(isinstance(item, dict), path, "an object")
    name, rank = item.get("name"), item.get("priority")
    _expect(isinstance(name, str), f"{path}.name", "a string")
    _expect(rank is None or _is_int(rank), f"{path}.priority", "an integer")
    return {
        "name": name,
        "key_digests": _digest_keys(item.get("api_keys"), f"{path}.api_keys"),
        "rank": rank,
        "regions": _read_strings(
            item.get("allowed_regions"), f"{path}.allowed_regions"
        ),
        "rate_per_s": _read_limit(item.get("rate_per_s"), f"{path}.rate_per_s"),
        "burst": _read_limit(item.get("burst"), f"{path}.burst"),
    }


def _digest_keys(value: Any, path: str) -> list[KeyDigest]:
    keys = _read_strings(value, path)
    for at, key in enumerate(keys):
        is_usable = key.isprintable() and len(key.split()) == 1 and key == key.strip()
        _expect(is_usable, f"{path}[{at}]", "a key without spaces")
    return [digest_key(key.encode()) for key in keys]


def _read_strings(value: Any, path: str) -> list[str]:
    if value is None:
        return []
    _expect(isinstance(value, list), path, "a list of strings")
    for at, item in enumerate(value):
        _expect(isinstance(item, str), f"{path}[{at}]", "a string")
    return value


def _read_limit(value: Any, path: str) -> float:
    if value is None:
        return 0.0
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    _expect(is_number, path, "a number")
    # Leaders of an earlier version end with a limit that exceeds their arithmetic.
    return min(value, MAX_LIMIT)


def _is_int(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)


def _expect(condition: bool, path: str, expected: str) -> None:
    if not condition:
        raise TenantMalformed(path, expected)


def hide_values(data: bytes, fault: Fault) -> Fault:
    """Return a syntax fault without the name of a repeated field.

    The name is a key where keys are listed as the fields of an object.
    """
    if "is repeated" not in fault.reason:
        return fault
    return Fault(fault.path, fault.kind, "a field is repeated")


def name_document_paths(failure: Failure) -> Failure:
    """Return a failure whose paths into organisations are those of the document."""
    if not isinstance(failure, TextInvalid):
        return failure
    faults = (
        Fault(_document_path(fault.path), fault.kind, fault.reason)
        for fault in failure.faults
    )
    return TextInvalid(failure.detail, tuple(faults))


def _document_path(path: str) -> str:
    if not path.startswith("$.organisations"):
        return path
    for step, name in DOCUMENT_FIELDS.items():
        path = path.replace(step, name)
    return path


def check_regions(
    routing: Routing, regions: Collection[RegionName]
) -> Result[Routing, Failure]:
    """Return the routing table, or TextInvalid if a tenant names an unknown region."""
    faults = tuple(
        Fault(f"$.{TENANTS}[{at}].allowed_regions[{index}]", "unknown_region", region)
        for at, organisation in enumerate(routing.listed_organisations)
        for index, region in enumerate(organisation.regions)
        if region not in regions
    )
    if faults:
        return Error(TextInvalid("routing table is invalid", faults))
    return Ok(routing)
