"""Allocate shares of bounded resources and track members by lease."""

from __future__ import annotations
