"""Let endpoints spoil the load report in few answers, and count ends of gateways."""

from __future__ import annotations

import sys
import threading
import time
from collections import Counter
from itertools import count
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
    import socket

    from standins.endpoint import Request
    from standins.platform import Platform
    from standins.record import Record

SERVICE, HOSTNAME, PATH = "huvo11a", "ficu95.example", "/lohu930/2f"

ENDPOINTS, FAULTY, GATEWAYS, WORK_S = 8, 4, 3, 0.1

RATE_PER_S = 20.0
"""Requests of each gateway."""

SPOILED_EACH = 50
"""Answers of a faulty endpoint of which it spoils one: the usual `x` of `garble`."""

DIGITS = 400
"""Digits that take the place of the number of running requests."""

TROUBLE_S, PAUSE_S, TROUBLES = 6.0, 8.0, 6

MAX_ENDS, MIN_MACHINES = 3, 2
"""A fault: as many own ends of one process, on as many machines."""

trouble = threading.Event()
"""Set while the faulty endpoints spoil answers."""

answers = {f"i-{at}": count(1) for at in range(FAULTY)}
"""Count the answers of each faulty endpoint while there is trouble."""

spoiled: list[str] = []
"""Ids of the requests whose answers were spoiled."""


def spoil_load(endpoint: Endpoint, sock: socket.socket, request: Request) -> bool:
    """Write a whole answer whose load report has too many digits, now and then."""
    if not trouble.is_set() or next(answers[endpoint.name]) % SPOILED_EACH:
        return False
    spoiled.append(request.id)
    usual = endpoint.answer(request, 200, b"done " + request.id.encode())
    sock.sendall(usual.replace(b"Server-Load: ", b"Server-Load: " + b"1" * DIGITS))
    return True


def run(platform: Platform, record: Record, with_trouble: bool) -> int:
    """Return 1 if gateways ended by themselves too often."""
    platform.start_all()
    time.sleep(3.0)
    cores = platform.with_role("control")
    gateways = platform.with_role("entry")
    route = make_route(
        "r-lookup", HOSTNAME, "/lohu930/", weighted_backends=None, backend=SERVICE
    )
    if Operator(cores).submit(make_manifest(1, [route]), 15.0) != 200:
        record("the manifest was not acknowledged")
        return 2
    zones = list(ZONES)
    for at in range(ENDPOINTS):
        Endpoint(
            f"i-{at}",
            f"127.71.9.{at + 1}",
            9000,
            SERVICE,
            zones[at % len(zones)],
            cores,
            work_s=WORK_S,
            spoil=spoil_load if at < FAULTY else None,
        ).start()
    time.sleep(5.0)
    everyone = [Clients(item.host, HOSTNAME, f"q{item.name}-") for item in gateways]
    seconds = TROUBLES * (TROUBLE_S + PAUSE_S)
    threads = [
        threading.Thread(target=clients.press, args=(PATH, RATE_PER_S, seconds))
        for clients in everyone
    ]
    for thread in threads:
        thread.start()
    for _ in range(TROUBLES):
        if with_trouble:
            trouble.set()
        time.sleep(TROUBLE_S)
        trouble.clear()
        ends = {item.name: len(item.own_ends) for item in gateways}
        record(f"{len(spoiled)} answers spoiled so far; own ends {ends}")
        time.sleep(PAUSE_S)
    for thread in threads:
        thread.join()
    for clients in everyone:
        clients.join()
    outcomes = [item for clients in everyone for item in clients.outcomes]
    statuses = Counter(item.status for item in outcomes)
    record(f"{len(outcomes)} requests, statuses {dict(statuses)}")
    ends = {item.name: len(item.own_ends) for item in gateways}
    record(f"{len(spoiled)} answers spoiled; own ends {ends}")
    if not statuses[200]:
        return 2
    often = [name for name, count in ends.items() if count >= MAX_ENDS]
    broken = len(often) >= MIN_MACHINES
    record("the rule was broken" if broken else "the rule held")
    return int(broken)


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, "127.71.8", 3, run))
