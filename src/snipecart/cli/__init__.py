"""Provide the console commands, one module per program."""

from __future__ import annotations
