"""Provide what every program needs to start, serve HTTP, log and stop."""

from __future__ import annotations
