"""Test real processes on loopback addresses."""

from __future__ import annotations
