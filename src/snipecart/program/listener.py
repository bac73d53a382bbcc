"""Describe where HTTP is served."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

WsgiApp = Callable[[dict[str, Any], Callable[..., Any]], list[bytes]]


@dataclass(frozen=True)
class HttpListener:
    """Describe one listening address and the threads behind it."""

    host: str
    port: int
    threads: int
