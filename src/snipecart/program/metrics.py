"""Define the metrics of the HTTP servers that all programs share."""

from __future__ import annotations

from prometheus_client import Counter

REJECTED_BODIES = Counter(
    "snipecart_http_rejected_bodies",
    "Requests rejected because of their bodies, by reason",
    ["reason"],
)
