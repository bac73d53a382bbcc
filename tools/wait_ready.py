"""Wait until every entry process of a fleet serves every kind of call."""

from __future__ import annotations

import json
import sys
import threading
import time
from pathlib import Path

from urllib3.exceptions import HTTPError

from snipecart.upstream.status_line import StrictPoolManager

READY_TIMEOUT = 60.0
"""Seconds to wait for the fleet."""


def is_ready(entry: str, streams: list[dict[str, str]]) -> bool:
    """Return whether an entry process would serve all kinds of calls."""
    for stream in streams:
        query = f"service={stream['service']}&kind={stream['kind']}"
        try:
            url = f"http://{entry}/explain?{query}"
            answer = (
                StrictPoolManager()
                .request("GET", url, retries=False, timeout=2.0)
                .json()
            )
        except (HTTPError, ValueError):
            return False
        if answer.get("refusal", "none"):
            return False
    return True


def main() -> None:
    """Block until the fleet in a folder is ready, or exit with an error."""
    plan = json.loads((Path(sys.argv[1]) / "plan.json").read_text())
    deadline = time.monotonic() + READY_TIMEOUT
    while not all(is_ready(entry, plan["streams"]) for entry in plan["entries"]):
        if time.monotonic() > deadline:
            sys.exit("the fleet did not become ready")
        threading.Event().wait(0.2)


if __name__ == "__main__":
    main()
