"""Hold the filters a call runs through, each under a name."""

from __future__ import annotations

from . import admit
from . import answer
from . import check
from . import claim
from . import dispatch

__all__ = ["admit", "answer", "check", "claim", "dispatch"]
