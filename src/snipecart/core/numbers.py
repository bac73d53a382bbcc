"""Parse numbers that peers write as text, within bounds."""

from __future__ import annotations

import re

MAX_DIGITS = 12
"""Digits of a number before, and after, its decimal point.

Any such number fits a float, a 64-bit field and, in seconds, a time.
"""

COUNT_PATTERN = re.compile(rf"[0-9]{{1,{MAX_DIGITS}}}")
DECIMAL_PATTERN = re.compile(rf"[0-9]{{1,{MAX_DIGITS}}}(\.[0-9]{{1,{MAX_DIGITS}}})?")


def parse_count(text: str) -> int | None:
    """Return a plain whole number; None for anything else or for too many digits."""
    return int(text) if COUNT_PATTERN.fullmatch(text) else None


def parse_decimal(text: str) -> float | None:
    """Return a plain decimal number; None for anything else or for too many digits."""
    return float(text) if DECIMAL_PATTERN.fullmatch(text) else None


def parse_capped_count(text: str, largest: int) -> int | None:
    """Return a plain whole number of any length, at most ``largest``.

    Return None for anything else.
    """
    if not (text.isascii() and text.isdecimal()):
        return None
    digits = text.lstrip("0") or "0"
    return largest if len(digits) > MAX_DIGITS else min(int(digits), largest)
