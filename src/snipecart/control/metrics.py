"""Define the metrics of control processes."""

from __future__ import annotations

from prometheus_client import Counter
from prometheus_client import Gauge

DISK_ERRORS = Counter(
    "snipecart_control_disk_errors", "Failed attempts to write to the data folder"
)
DISK_WRITABLE = Gauge(
    "snipecart_control_disk_writable", "1 while the data folder can be written"
)
VOTERS = Gauge("snipecart_control_voters", "Voters of the log; 0 unless this leads it")
VOTERS_ANSWERING = Gauge(
    "snipecart_control_voters_answering", "Voters that answer this leader, with it"
)
QUORUM_SIZE = Gauge("snipecart_control_quorum", "Voters that form a quorum")
REFUSALS = Counter(
    "snipecart_control_refusals", "Operators' requests refused", ["reason"]
)
PLACEMENT_OBJECTS = Gauge(
    "snipecart_control_placement_objects",
    "Objects that the placement plan assigns; 0 unless this process leads",
)
PLACEMENT_BUSIEST = Gauge(
    "snipecart_control_placement_busiest",
    "Planned load of the busiest server for its slots over the mean, if this leads",
)
PLACEMENT_REPORTS = Counter(
    "snipecart_control_placement_reports", "Reports of demand received from gateways"
)
QUOTA_REQUESTS = Counter(
    "snipecart_control_quota_requests",
    "Reports of gateways on organisations' rate limits, answered as leader",
)
