"""Hold the console commands, one to a module."""

from __future__ import annotations
