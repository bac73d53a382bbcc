"""Parse, check and compare the configuration that operators submit."""

from __future__ import annotations
