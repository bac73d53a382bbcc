"""Define HTTP listeners and the type of WSGI applications."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

WsgiApp = Callable[[dict[str, Any], Callable[..., Any]], list[bytes]]


@dataclass(frozen=True)
class HttpListener:
    """Store an address to listen at and the most threads that serve it."""

    host: str
    port: int
    threads: int
    max_body_bytes: int = 0
    """Limit of a request's body; 0 if requests have none."""
    small_body_prefixes: tuple[str, ...] = ()
    """Paths whose requests have small bodies begin with one of these."""
