"""Read the platform's values: times, versions and typed fields of JSON."""

from __future__ import annotations

import re
from typing import Any

DURATION = re.compile(r"(\d+(?:\.\d+)?)(ms|s)")
VERSION = re.compile(r"[0-9a-fA-F]{8}")

MS_PER_UNIT = {"ms": 1.0, "s": 1000.0}


class ValueMalformed(ValueError):
    """Report a field that is missing or of another type."""


def parse_duration_ms(value: Any) -> int:
    """Return a span such as ``1500ms`` or ``2.5s`` in milliseconds."""
    match = DURATION.fullmatch(value) if isinstance(value, str) else None
    if match is None:
        raise ValueMalformed(f"no span of time: {value!r}")
    return round(float(match[1]) * MS_PER_UNIT[match[2]])


def parse_version(value: Any) -> int:
    """Return a version written as eight hexadecimal digits."""
    if not isinstance(value, str) or VERSION.fullmatch(value) is None:
        raise ValueMalformed(f"no version: {value!r}")
    return int(value, 16)


def read_field(fields: Any, name: str, expected_type: type[Any]) -> Any:
    """Return a field of a type; a whole number is no truth value."""
    value = fields.get(name) if isinstance(fields, dict) else None
    if not isinstance(value, expected_type) or (
        expected_type is int and isinstance(value, bool)
    ):
        raise ValueMalformed(f"{name}: {value!r}")
    return value


def read_number(fields: Any, name: str) -> float:
    """Return a field that holds a number."""
    value = fields.get(name) if isinstance(fields, dict) else None
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueMalformed(f"{name}: {value!r}")
    return value
