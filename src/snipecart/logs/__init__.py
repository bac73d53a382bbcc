"""Read the logs of many processes, to explain a request or summarize a period."""

from __future__ import annotations
