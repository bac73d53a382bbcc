"""Decide which backend server gets a request, apart from sockets and threads."""

from __future__ import annotations
