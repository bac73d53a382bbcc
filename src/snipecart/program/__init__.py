"""Hold what every program of the system does at its start and end."""

from __future__ import annotations
