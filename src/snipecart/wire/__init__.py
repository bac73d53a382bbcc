"""Encode messages between the system's own processes and carry them."""

from __future__ import annotations
