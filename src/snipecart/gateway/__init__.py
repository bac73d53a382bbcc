"""Route HTTP requests by host and path, and forward them to backend servers."""

from __future__ import annotations
