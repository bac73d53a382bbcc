"""Adapt the platform of the first users: its names, formats and calls, no decisions."""

from __future__ import annotations
