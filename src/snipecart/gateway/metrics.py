"""Define the metrics of a gateway."""

from __future__ import annotations

from prometheus_client import Counter
from prometheus_client import Gauge
from prometheus_client import Histogram

REQUESTS = Counter(
    "snipecart_gateway_requests", "Requests taken, by how they ended", ["route", "end"]
)
REFUSALS = Counter(
    "snipecart_gateway_refusals", "Requests refused or failed, by reason", ["reason"]
)
RETRIES = Counter(
    "snipecart_gateway_retries", "Requests sent again, by reason", ["reason"]
)
SENDS = Counter(
    "snipecart_gateway_sends", "Sends to backend servers, by how they ended", ["end"]
)
MALFORMED_NOTICES = Counter(
    "snipecart_gateway_malformed_notices",
    "Malformed headers about leaving, pauses and rate limits in answers",
    ["field"],
)
CONNECTIONS = Counter(
    "snipecart_gateway_connections", "Connections opened to backend servers"
)
BODY_BYTES = Gauge(
    "snipecart_gateway_body_bytes", "Bytes of request bodies that are held in memory"
)
ANSWER_BYTES = Gauge(
    "snipecart_gateway_answer_bytes", "Bytes of answers that are held in memory"
)
REQUEST_SECONDS = Histogram(
    "snipecart_gateway_request_seconds",
    "Time from taking a request to its answer",
    ["rank"],
    buckets=(0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1, 1.5, 2, 3, 5),
)
THREAD_WAIT_SECONDS = Histogram(
    "snipecart_gateway_thread_wait_seconds",
    "Time from the arrival of a request's head until a thread reads it",
    buckets=(0.005, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2),
)
ROUTING_VERSION = Gauge(
    "snipecart_gateway_routing_version", "Version of the routing table in force here"
)
ORGANISATIONS = Gauge(
    "snipecart_gateway_organisations", "Organisations in the routing table in force"
)
KEYS_REQUIRED = Gauge(
    "snipecart_gateway_keys_required",
    "1 if the routing table in force lists organisations or an empty list of them",
)
TABLE_PROOF_AGE = Gauge(
    "snipecart_gateway_table_proof_age_seconds",
    "Age of the proof that the routing table is current; -1 without one",
)
QUOTA_DECISIONS = Counter(
    "snipecart_gateway_quota_decisions",
    "Requests of organisations with a rate limit, by what was decided",
    ["decision"],
)
QUOTA_REPORTS = Counter(
    "snipecart_gateway_quota_reports",
    "Reports on organisations' rate limits, regular and urgent ones",
    ["kind"],
)
