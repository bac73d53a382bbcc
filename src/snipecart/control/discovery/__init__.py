"""Know which backend servers and gateways run, from what they report."""

from __future__ import annotations
