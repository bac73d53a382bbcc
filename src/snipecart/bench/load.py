"""Generate open-loop load: send calls at set rates and measure the answers."""

from __future__ import annotations

import threading
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from dataclasses import field
from random import Random
from typing import Annotated
from typing import Any

from hdrh.histogram import HdrHistogram
from pydantic import Field

from ..core.states import Rank
from ..program.settings import Section
from .caller import Caller
from .caller import CallResult
from .caller import create_request_key

MAX_LATENCY_US = 120_000_000
"""Longest latency that a histogram records, in microseconds."""

SIGNIFICANT_DIGITS = 3
"""Decimal digits of precision of the recorded latencies."""


class Stream(Section):
    """Define a stream of calls of one kind."""

    service: str
    kind: str
    rank: Rank
    rate: Annotated[float, Field(gt=0)]
    """Mean calls per second; the intervals are exponentially distributed."""
    keyed: bool = False
    """Whether each call carries a request key."""
    callers: Annotated[int, Field(ge=1)] = 42
    """Number of caller names, of which each call gets a random one."""
    body_bytes: Annotated[int, Field(ge=0)] = 100
    wait_ms: Annotated[int, Field(ge=0)] = 0
    """Deadline that the calls state, in milliseconds; 0 to state none."""
    start_s: Annotated[float, Field(ge=0)] = 0.0
    """Seconds from the start of the run to the first calls."""
    stop_s: float = 1e9
    """Seconds from the start of the run to the end of the stream."""


class LoadPlan(Section):
    """Define a run of the load generator."""

    entries: Annotated[tuple[str, ...], Field(min_length=1)]
    """``host:port`` of the entry processes that answer look-ups."""
    region: str = ""
    seconds: Annotated[float, Field(gt=0)] = 10.0
    warmup_s: Annotated[float, Field(ge=0)] = 0.0
    """Seconds at the start of the run whose calls are not counted."""
    workers: Annotated[int, Field(ge=1, le=1024)] = 128
    """Threads that send calls."""
    machines: Annotated[int, Field(ge=1, le=256)] = 21
    """Simulated caller machines, each with a look-up cache of its own."""
    seed: int = 1
    streams: Annotated[tuple[Stream, ...], Field(min_length=1)]


@dataclass
class StreamResult:
    """Store the measurements of a stream.

    Latency counts from the scheduled send time, so that a delay in the load generator
    is included.
    """

    stream: Stream
    offered: int = 0
    outcomes: Counter[str] = field(default_factory=Counter)
    reasons: Counter[str] = field(default_factory=Counter)
    latency: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    )
    keys: dict[str, str] = field(default_factory=dict)
    """Outcome that the caller received, by request key."""
    late: int = 0
    """Answers that arrived after the caller's deadline."""

    def record_call(self, call_result: CallResult, latency_us: int, key: str) -> None:
        """Record the result and the latency of a call."""
        self.outcomes[call_result.outcome] += 1
        if call_result.reason:
            self.reasons[call_result.reason] += 1
        if call_result.outcome == "answered":
            self.latency.record_value(max(1, min(latency_us, MAX_LATENCY_US)))
        if key:
            self.keys[key] = call_result.outcome

    def summarize(self) -> dict[str, Any]:
        """Return the counts, and the latencies in milliseconds."""
        return {
            "service": self.stream.service,
            "kind": self.stream.kind,
            "rank": self.stream.rank,
            "offered": self.offered,
            "answered": self.outcomes["answered"],
            "outcomes": dict(self.outcomes),
            "reasons": dict(self.reasons),
            "p50_ms": self.latency.get_value_at_percentile(50) / 1000,
            "p99_ms": self.latency.get_value_at_percentile(99) / 1000,
            "max_ms": self.latency.get_max_value() / 1000,
        }


class LoadRun:
    """Send the calls of a plan and measure them."""

    def __init__(self, plan: LoadPlan) -> None:
        self._plan = plan
        self._machines = [
            Caller(plan.entries[offset:] + plan.entries[:offset], plan.region)
            for offset in (
                number % len(plan.entries) for number in range(plan.machines)
            )
        ]
        self.results = [StreamResult(stream) for stream in plan.streams]
        self._lock = threading.Lock()

    def run(self) -> list[StreamResult]:
        """Run the plan, block until all calls have ended, and return the results."""
        start = time.monotonic()
        with ThreadPoolExecutor(self._plan.workers) as pool:
            threads = [
                threading.Thread(
                    target=self._submit_calls, args=(result, number, start, pool)
                )
                for number, result in enumerate(self.results)
            ]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
        return self.results

    def _submit_calls(
        self,
        result: StreamResult,
        stream_number: int,
        start: float,
        pool: ThreadPoolExecutor,
    ) -> None:
        stream = result.stream
        rng = Random(f"{self._plan.seed}/{stream_number}")
        send_at = start + stream.start_s
        end = start + min(self._plan.seconds, stream.stop_s)
        timer = threading.Event()
        while True:
            send_at += rng.expovariate(stream.rate)
            if send_at >= end:
                return
            delay = send_at - time.monotonic()
            if delay > 0:
                timer.wait(delay)
            caller_number = rng.randrange(stream.callers)
            is_counted = send_at >= start + self._plan.warmup_s
            pool.submit(self._measure_call, result, send_at, caller_number, is_counted)

    def _measure_call(
        self, result: StreamResult, send_at: float, caller_number: int, is_counted: bool
    ) -> None:
        stream = result.stream
        key = create_request_key() if stream.keyed else ""
        machine = self._machines[caller_number % len(self._machines)]
        call_result = machine.call(
            stream.service,
            stream.kind,
            stream.rank,
            b"x" * stream.body_bytes,
            key,
            f"caller-{caller_number}",
            stream.wait_ms,
        )
        latency_us = int((time.monotonic() - send_at) * 1e6)
        if not is_counted:
            return
        with self._lock:
            result.offered += 1
            result.record_call(call_result, latency_us, key)


def summarize_ranks(results: list[StreamResult]) -> list[dict[str, Any]]:
    """Return counts and latencies in milliseconds for each rank."""
    rows = []
    for rank in Rank:
        selected = [result for result in results if result.stream.rank is rank]
        if not selected:
            continue
        latency = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        for result in selected:
            latency.add(result.latency)
        rows.append(
            {
                "rank": rank,
                "offered": sum(result.offered for result in selected),
                "answered": sum(result.outcomes["answered"] for result in selected),
                "p50_ms": latency.get_value_at_percentile(50) / 1000,
                "p99_ms": latency.get_value_at_percentile(99) / 1000,
            }
        )
    return rows
