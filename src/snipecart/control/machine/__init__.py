"""Apply committed commands to the replicated state."""

from __future__ import annotations

from . import claims
from . import departures
from . import register
from . import routing

__all__ = ["claims", "departures", "register", "routing"]
