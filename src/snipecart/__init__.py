"""Steer calls to backend servers from one operators' text."""

from __future__ import annotations

__version__ = "0.1.0"
