"""Kill processes after an endpoint has left, and look for requests at that endpoint."""

from __future__ import annotations

import sys
import threading
import time
from collections import Counter
from pathlib import Path
from typing import TYPE_CHECKING

from standins.case import run_case
from standins.clients import Clients
from standins.endpoint import Endpoint
from standins.operator import Operator
from standins.operator import make_manifest
from standins.operator import make_route
from standins.platform import ZONES

if TYPE_CHECKING:
    from standins.platform import Platform
    from standins.record import Record

SERVICE, HOSTNAME, PATH = "huvo11a", "ficu95.example", "/pufi791/2f"

ENDPOINTS, WORK_S = 4, 0.3

RATE_PER_S = 20.0

DRAIN_S, WINDOW_S = 2.0, 3.0
"""`drain` and `connectivity_window` of the site."""

MARGIN_S = 0.5
"""Time for the start of a killed process, before `connectivity_window`."""

KILL_AFTER_S = 0.3
"""Time from the ack of the departure to the kill."""

DOWN_S = 0.5

REPORT_LATE_S = 2.5
"""Time by which the last status report arrives after the ack of the departure."""

SERVES_FOR_S = 9.0
"""Time for which the endpoint that leaves goes on serving after the ack."""

PRESS_S = 12.0


def leave(endpoint: Endpoint, platform: Platform, record: Record) -> float:
    """Deregister an endpoint; its last status report is still on its way.

    Return the time of the ack.
    """
    endpoint.silent.set()
    late_report = endpoint.make_report()
    cores = platform.with_role("control")
    if not any(endpoint.deregister(item) for item in cores):
        return 0.0
    acked_at = time.monotonic()
    record(f"{endpoint.name} deregistered, acknowledged")

    def deliver() -> None:
        time.sleep(REPORT_LATE_S)
        taker = next(
            (item.name for item in cores if endpoint.send_report(item, late_report)),
            "none",
        )
        record(f"its report from before the departure arrives late, taken by {taker}")

    def exit_later() -> None:
        time.sleep(SERVES_FOR_S)
        endpoint.end()
        record(f"{endpoint.name} exits")

    for target in (deliver, exit_later):
        threading.Thread(target=target, daemon=True).start()
    return acked_at


def run(platform: Platform, record: Record, trouble: bool) -> int:
    """Return 1 if a request reached the endpoint after it had left."""
    platform.start_all()
    time.sleep(3.0)
    cores = platform.with_role("control")
    gateway = platform.with_role("entry")[0]
    route = make_route(
        "r-issue",
        HOSTNAME,
        "/pufi791/",
        route_type="unsafe",
        timeout="2000ms",
        weighted_backends=None,
        backend=SERVICE,
    )
    if Operator(cores).submit(make_manifest(1, [route]), 15.0) != 200:
        record("the manifest was not acknowledged")
        return 2
    zones = list(ZONES)
    endpoints = [
        Endpoint(
            f"i-{at}",
            f"127.71.7.{at + 1}",
            9000,
            SERVICE,
            zones[at % len(zones)],
            cores,
            work_s=WORK_S,
        )
        for at in range(ENDPOINTS)
    ]
    for endpoint in endpoints:
        endpoint.start()
    time.sleep(5.0)
    clients = Clients(gateway.host, HOSTNAME, "q")
    clients.press(PATH, RATE_PER_S, 3.0, "POST")
    leaving = endpoints[0]
    record(f"{len(leaving.arrivals)} requests at {leaving.name} before it leaves")
    acked_at = leave(leaving, platform, record)
    if not acked_at or not leaving.arrivals:
        record("the departure was not acknowledged, or the endpoint was not in use")
        return 2
    time.sleep(KILL_AFTER_S)
    killed_at = time.monotonic()
    if trouble:
        for machine in (*cores, gateway):
            platform.kill(machine, DOWN_S)
        record("killed the control processes and the gateway at the same moment")
    time.sleep(DOWN_S)
    clients.press(PATH, RATE_PER_S, PRESS_S, "POST")
    clients.join()
    in_touch_from = killed_at + DOWN_S + WINDOW_S + MARGIN_S
    return judge(record, leaving, clients, acked_at, in_touch_from)


def judge(
    record: Record,
    leaving: Endpoint,
    clients: Clients,
    acked_at: float,
    in_touch_from: float,
) -> int:
    """Look for requests that arrived after `drain`, sent while all were in touch."""
    sent_at = {item.request: item.sent_at for item in clients.outcomes}
    late = [
        item
        for item in leaving.arrivals
        if item.at > acked_at + DRAIN_S
        and sent_at.get(item.request, 0.0) > in_touch_from
    ]
    for item in late:
        record.note(
            f"{item.request} ran at {item.endpoint}, {item.at - acked_at:.3f} s"
        )
    statuses = Counter(item.status for item in clients.outcomes)
    record(f"{len(clients.outcomes)} requests, statuses {dict(statuses)}")
    if not statuses[200]:
        return 2
    if late:
        record(
            f"{len(late)} requests ran at {leaving.name}"
            f" {late[0].at - acked_at:.1f} to {late[-1].at - acked_at:.1f} s after the"
            " ack, sent by clients while all machines were in touch"
        )
    record("the rule was broken" if late else "the rule held")
    return int(bool(late))


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, "127.71.6", 1, run))
