"""Read, check and compare the operators' text."""

from __future__ import annotations
