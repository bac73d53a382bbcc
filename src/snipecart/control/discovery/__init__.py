"""Track running backend servers and gateways by their messages."""

from __future__ import annotations
