"""Parse durations, versions and typed JSON fields of the platform."""

from __future__ import annotations

import re
from typing import Any

DURATION = re.compile(r"(\d+(?:\.\d+)?)(ms|s)", re.ASCII)
VERSION = re.compile(r"[0-9a-fA-F]{8}")

MAX_DURATION_MS = 10.0**12
"""Duration in milliseconds, some thirty years, for which all longer ones are taken."""

MS_PER_UNIT = {"ms": 1.0, "s": 1000.0}


class ValueMalformed(ValueError):
    """Report a value that is missing, malformed or of the wrong type."""


def parse_duration_ms(value: Any) -> int:
    """Parse a duration such as ``1500ms`` or ``2.5s`` into milliseconds.

    Only a duration of zero becomes zero.
    """
    match = DURATION.fullmatch(value) if isinstance(value, str) else None
    if match is None:
        raise ValueMalformed(f"malformed duration: {value!r}")
    milliseconds = float(match[1]) * MS_PER_UNIT[match[2]]
    if 0 < milliseconds < 1:
        return 1
    return round(min(milliseconds, MAX_DURATION_MS))


def parse_version(value: Any) -> int:
    """Parse a version of eight hexadecimal digits."""
    if not isinstance(value, str) or VERSION.fullmatch(value) is None:
        raise ValueMalformed(f"malformed version: {value!r}")
    return int(value, 16)


def read_field(fields: Any, name: str, expected_type: type[Any]) -> Any:
    """Return a field of the expected type; a boolean is not an integer."""
    value = fields.get(name) if isinstance(fields, dict) else None
    if not isinstance(value, expected_type) or (
        expected_type is int and isinstance(value, bool)
    ):
        raise ValueMalformed(f"{name}: {value!r}")
    return value


def read_number(fields: Any, name: str) -> float:
    """Return a numeric field; a boolean is not a number."""
    value = fields.get(name) if isinstance(fields, dict) else None
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueMalformed(f"{name}: {value!r}")
    return value
