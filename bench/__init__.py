"""Benchmark the system against its targets."""

from __future__ import annotations
