"""Define the metrics of an entry process."""

from __future__ import annotations

from prometheus_client import Counter
from prometheus_client import Gauge
from prometheus_client import Histogram

CALLS = Counter(
    "snipecart_calls", "Calls taken, by how they ended", ["service", "kind", "outcome"]
)
REFUSALS = Counter(
    "snipecart_refusals", "Calls refused or failed, by reason", ["reason"]
)
RETRIES = Counter("snipecart_retries", "Calls dispatched again, by reason", ["reason"])
DISPATCHES = Counter(
    "snipecart_dispatches", "Dispatches to backend servers, by how they ended", ["end"]
)
LATE_ANSWERS = Counter(
    "snipecart_late_answers", "Answers recorded after their caller's deadline"
)
LOOKUPS = Counter("snipecart_lookups", "Look-ups of entry VMs answered")
CALL_SECONDS = Histogram(
    "snipecart_call_seconds",
    "Time from taking a call to its answer",
    ["rank"],
    buckets=(0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30),
)
TEXT_VERSION = Gauge("snipecart_text_version", "Version of the text in force here")
TEXT_CONFIRMED = Gauge(
    "snipecart_text_confirmed", "1 while a quorum confirms the text in force here"
)
