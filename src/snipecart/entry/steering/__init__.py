"""Admit or refuse calls, queue them, and select a backend server for each."""

from __future__ import annotations

from . import admission
from . import handlers
from . import retry
from . import routing

__all__ = ["admission", "handlers", "retry", "routing"]
