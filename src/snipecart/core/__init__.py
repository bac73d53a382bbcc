"""Hold the types and the machinery that every pipeline shares."""

from __future__ import annotations
