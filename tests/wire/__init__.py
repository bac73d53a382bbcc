"""Test the package of the same place."""

from __future__ import annotations
