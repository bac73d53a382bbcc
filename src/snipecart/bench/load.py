"""Offer calls at set rates, whatever the answers, and measure them."""

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
from .caller import Ended
from .caller import new_key

MAX_MICROS = 120_000_000
"""Longest latency a histogram holds, in microseconds."""

DIGITS = 3


class Stream(Section):
    """Describe one stream of calls."""

    service: str
    kind: str
    rank: Rank
    rate: Annotated[float, Field(gt=0)]
    """Calls a second, at random intervals."""
    keyed: bool = False
    callers: Annotated[int, Field(ge=1)] = 42
    body_bytes: Annotated[int, Field(ge=0)] = 100
    wait_ms: Annotated[int, Field(ge=0)] = 0
    start_s: Annotated[float, Field(ge=0)] = 0.0
    stop_s: float = 1e9


class LoadPlan(Section):
    """Describe a run."""

    entries: Annotated[tuple[str, ...], Field(min_length=1)]
    """``host:port`` of entry processes to look up at first."""
    region: str = ""
    seconds: Annotated[float, Field(gt=0)] = 10.0
    warmup_s: Annotated[float, Field(ge=0)] = 0.0
    """Seconds at the start that are not counted."""
    workers: Annotated[int, Field(ge=1, le=1024)] = 128
    machines: Annotated[int, Field(ge=1, le=256)] = 21
    """Caller machines, each with look-ups of its own."""
    seed: int = 1
    streams: Annotated[tuple[Stream, ...], Field(min_length=1)]


@dataclass
class StreamResult:
    """Hold what one stream measured, latency from the intended send time."""

    stream: Stream
    offered: int = 0
    outcomes: Counter[str] = field(default_factory=Counter)
    reasons: Counter[str] = field(default_factory=Counter)
    latency: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, MAX_MICROS, DIGITS)
    )
    keys: dict[str, str] = field(default_factory=dict)
    """Outcome told for each request key."""
    late: int = 0
    """Answers that came after the caller's deadline."""

    def note(self, ended: Ended, micros: int, key: str) -> None:
        """Count one call."""
        self.outcomes[ended.outcome] += 1
        if ended.reason:
            self.reasons[ended.reason] += 1
        if ended.outcome == "answered":
            self.latency.record_value(max(1, min(micros, MAX_MICROS)))
        if key:
            self.keys[key] = ended.outcome

    def summary(self) -> dict[str, Any]:
        """Return the figures."""
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
    """Offer the calls of a plan."""

    def __init__(self, plan: LoadPlan) -> None:
        self._plan = plan
        self._machines = [
            Caller(plan.entries[at:] + plan.entries[:at], plan.region)
            for at in (number % len(plan.entries) for number in range(plan.machines))
        ]
        self.results = [StreamResult(stream) for stream in plan.streams]
        self._lock = threading.Lock()

    def run(self) -> list[StreamResult]:
        """Block until all calls have ended."""
        began = time.monotonic()
        with ThreadPoolExecutor(self._plan.workers) as pool:
            feeders = [
                threading.Thread(target=self._feed, args=(result, number, began, pool))
                for number, result in enumerate(self.results)
            ]
            for feeder in feeders:
                feeder.start()
            for feeder in feeders:
                feeder.join()
        return self.results

    def _feed(
        self, result: StreamResult, number: int, began: float, pool: ThreadPoolExecutor
    ) -> None:
        stream = result.stream
        rng = Random(f"{self._plan.seed}/{number}")
        due = began + stream.start_s
        end = began + min(self._plan.seconds, stream.stop_s)
        pause = threading.Event()
        while True:
            due += rng.expovariate(stream.rate)
            if due >= end:
                return
            wait = due - time.monotonic()
            if wait > 0:
                pause.wait(wait)
            number = rng.randrange(stream.callers)
            counted = due >= began + self._plan.warmup_s
            pool.submit(self._call, result, due, number, counted)

    def _call(
        self, result: StreamResult, due: float, number: int, counted: bool
    ) -> None:
        stream = result.stream
        key = new_key() if stream.keyed else ""
        machine = self._machines[number % len(self._machines)]
        ended = machine.call(
            stream.service,
            stream.kind,
            stream.rank,
            b"x" * stream.body_bytes,
            key,
            f"caller-{number}",
            stream.wait_ms,
        )
        micros = int((time.monotonic() - due) * 1e6)
        if not counted:
            return
        with self._lock:
            result.offered += 1
            result.note(ended, micros, key)


def summarize_ranks(results: list[StreamResult]) -> list[dict[str, Any]]:
    """Return the figures by rank."""
    rows = []
    for rank in Rank:
        chosen = [result for result in results if result.stream.rank is rank]
        if not chosen:
            continue
        latency = HdrHistogram(1, MAX_MICROS, DIGITS)
        for result in chosen:
            latency.add(result.latency)
        rows.append(
            {
                "rank": rank,
                "offered": sum(result.offered for result in chosen),
                "answered": sum(result.outcomes["answered"] for result in chosen),
                "p50_ms": latency.get_value_at_percentile(50) / 1000,
                "p99_ms": latency.get_value_at_percentile(99) / 1000,
            }
        )
    return rows
