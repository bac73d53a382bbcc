"""Measure the latency that the steering adds to a direct call to a stand-in server.

Target: at most 5 ms added at p50 with 8 closed-loop clients.
"""

from __future__ import annotations

import json
import sys
import threading
import time
from pathlib import Path

import click
import urllib3
from hdrh.histogram import HdrHistogram

CLIENT_COUNT = 8
MAX_ADDED_P50_MS = 5.0


def measure_latency(url: str, seconds: float) -> HdrHistogram:
    """Send requests to a URL from closed-loop clients and return the latencies.

    Latencies are in microseconds; only answers with status 200 count.
    """
    latency = HdrHistogram(1, 60_000_000, 3)
    lock = threading.Lock()
    pool = urllib3.PoolManager(maxsize=CLIENT_COUNT)
    end = time.monotonic() + seconds

    def send_calls() -> None:
        while time.monotonic() < end:
            start = time.monotonic()
            response = pool.request("POST", url, body=b"x" * 100, retries=False)
            latency_us = int((time.monotonic() - start) * 1e6)
            if response.status == 200:
                with lock:
                    latency.record_value(latency_us)

    threads = [threading.Thread(target=send_calls) for _ in range(CLIENT_COUNT)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return latency


@click.command()
@click.argument("folder", type=click.Path(path_type=Path))
@click.option("--seconds", default=4.0)
def main(folder: Path, seconds: float) -> None:
    """Compare direct and steered calls in the running fleet of a folder."""
    standin = json.loads((folder / "standin-rack-registry.json").read_text())
    entry = json.loads((folder / "entry-1.json").read_text())
    endpoint = standin["endpoints"][0]
    direct = f"http://{endpoint['host']}:{endpoint['port']}/find-rack"
    port = entry["listeners"][0]["port"]
    steered = f"http://{entry['host']}:{port}/call/rack-registry/find-rack"
    percentiles = {}
    for name, url in (("direct", direct), ("steered", steered)):
        measure_latency(url, 1.0)
        latency = measure_latency(url, seconds)
        p50 = latency.get_value_at_percentile(50) / 1000
        p99 = latency.get_value_at_percentile(99) / 1000
        percentiles[name] = (p50, p99)
        count = latency.get_total_count()
        click.echo(f"{name}: {count} calls, p50 {p50:.1f} ms, p99 {p99:.1f} ms")
    added = percentiles["steered"][0] - percentiles["direct"][0]
    click.echo(f"added at p50: {added:.1f} ms (target {MAX_ADDED_P50_MS} ms)")
    sys.exit(0 if added <= MAX_ADDED_P50_MS else 1)


if __name__ == "__main__":
    main()
