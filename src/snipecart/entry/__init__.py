"""Accept calls and route them to backend servers."""

from __future__ import annotations
