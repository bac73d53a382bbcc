"""Store the log, votes and snapshots on disk."""

from __future__ import annotations
