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
REFUSALS = Counter(
    "snipecart_control_refusals", "Operators' requests refused", ["reason"]
)
