"""Stand-ins of the platform, its operator, clients and endpoints for review cases."""

from __future__ import annotations
