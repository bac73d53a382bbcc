"""Separate end-to-end headers from hop-by-hop headers."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

Pairs = tuple[tuple[str, str], ...]

HOP_BY_HOP = frozenset(
    {
        "connection",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
    }
)
"""Headers that apply to one connection or to the framing of one message."""


def end_to_end(headers: Iterable[tuple[str, str]]) -> Pairs:
    """Return the headers to forward, without hop-by-hop headers.

    Headers that ``Connection`` names are hop-by-hop, too.
    """
    pairs = tuple(headers)
    excluded = set(HOP_BY_HOP)
    for name, value in pairs:
        if name.lower() == "connection":
            excluded |= {part.strip().lower() for part in value.split(",")}
    return tuple(pair for pair in pairs if pair[0].lower() not in excluded)
