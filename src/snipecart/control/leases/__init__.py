"""Lend shares of bounded resources and follow who is there."""

from __future__ import annotations
