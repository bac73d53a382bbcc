"""Run endpoints in a process of their own; lines on standard input switch trouble."""

from __future__ import annotations

import json
import os
import sys
import threading
from types import SimpleNamespace
from typing import TYPE_CHECKING

from .endpoint import Endpoint
from .platform import ZONES

if TYPE_CHECKING:
    import socket

    from .endpoint import Request

CHUNK_BYTES = 16
"""Size of a chunk of a body without end."""

CHUNK = f"{CHUNK_BYTES:x}\r\n".encode() + b"x" * CHUNK_BYTES + b"\r\n"

CHUNKS = CHUNK * 3_000
"""What is written at once."""

trouble = threading.Event()
"""Set once faulty endpoints send bytes without end."""


def send_without_end(endpoint: Endpoint, sock: socket.socket, request: Request) -> bool:
    """Send a body that never ends, until the caller closes."""
    if not trouble.is_set():
        return False
    head = (
        "HTTP/1.1 200 OK\r\n"
        f"Request-Id: {request.id}\r\n"
        f"Server-Signature: {endpoint.name}.{request.id}\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
    )
    sock.sendall(head.encode())
    while True:
        sock.sendall(CHUNKS)


def main() -> None:
    """Run endpoints until standard input ends; arguments come as one JSON object."""
    cfg = json.loads(sys.argv[1])
    controls = [SimpleNamespace(host=host) for host in cfg["controls"]]
    zones = list(ZONES)
    for at in range(cfg["count"]):
        Endpoint(
            f"i-{cfg['service']}-{at}",
            f"{cfg['net']}.{at + 1}",
            cfg["port"],
            cfg["service"],
            zones[at % len(zones)],
            controls,
            work_s=cfg["work_s"],
            spoil=send_without_end if at < cfg["faulty"] else None,
        ).start()
    for line in sys.stdin:
        if line.strip() == "start":
            trouble.set()
        else:
            trouble.clear()
    os._exit(0)


if __name__ == "__main__":
    main()
