"""Test the adapter to the platform of the first users."""

from __future__ import annotations
