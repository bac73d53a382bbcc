"""Define the metrics of control processes."""

from __future__ import annotations

from prometheus_client import Counter

REFUSALS = Counter(
    "snipecart_control_refusals", "Operators' requests refused", ["reason"]
)
