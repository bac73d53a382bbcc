"""Test the gateway."""

from __future__ import annotations
