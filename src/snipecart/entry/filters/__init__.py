"""Register the filters that a call runs through."""

from __future__ import annotations

from . import admit
from . import answer
from . import check
from . import claim
from . import dispatch

__all__ = ["admit", "answer", "check", "claim", "dispatch"]
