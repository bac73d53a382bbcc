"""Test the adapter to the first users' platform."""

from __future__ import annotations
