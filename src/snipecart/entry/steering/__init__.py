"""Decide which calls wait, which are refused, and where each one goes."""

from __future__ import annotations

from . import admission
from . import handlers
from . import retry
from . import routing

__all__ = ["admission", "handlers", "retry", "routing"]
