"""Plan on which backend servers objects are kept warm."""

from __future__ import annotations
