"""Define the types, tasks and pipelines that all packages share."""

from __future__ import annotations
