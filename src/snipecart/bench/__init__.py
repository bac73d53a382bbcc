"""Simulate backend servers and callers for tests and measurements."""

from __future__ import annotations
