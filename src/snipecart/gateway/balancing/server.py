"""Follow one backend server as this gateway sees it."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from ...core.ids import Instant
from ...core.states import Observed
from ...core.states import SendEnd

if TYPE_CHECKING:
    from ...messages.discovery import Instance

LOAD_REPORT_MAX_AGE = 1.5
"""Seconds until a load report counts for nothing."""

BASE_EJECTION_TIME = 0.8
"""Seconds without requests after a first failure to connect."""

MAX_EJECTION_TIME = 6.0

FAILURES_TO_EJECT = 2
"""Broken or late answers in a row."""

UNRESPONSIVE_AFTER = 1.0
"""Seconds without any answer after which a timeout counts as a failure.

A server that answers others in time is busy, not down.
"""

EWMA_WEIGHT = 0.15
"""Weight of the latest answer in the moving averages."""

LATE_EWMA_WEIGHT = 0.5
"""Weight of a late answer that follows another in the average of times."""

FAILING_THRESHOLD = 0.35
"""Part of failed sends above which a backend server is left alone."""

FAILING_TIME = 3.0
"""Seconds for which a backend server that fails in part is left alone."""

SLOW_RATIO = 3.5
"""Time against its kind's usual time above which an answer is late."""

SLOW_RETRY_DELAY = 2.0
"""Seconds after which a slow backend server is tried anew, by one request at a time."""

MAX_WARM_OBJECTS = 32
"""Objects that a backend server is taken to know."""

FAILED_ENDS = frozenset({SendEnd.NOT_SENT, SendEnd.BROKEN, SendEnd.TIMED_OUT})


@dataclass
class TokenBucket:
    """Bound how often a cold backend server is sent to."""

    rate: float
    burst: float
    tokens: float
    at: Instant

    def try_acquire(self, now: Instant) -> bool:
        """Take a token, if there is one."""
        self.tokens = min(self.burst, self.tokens + (now - self.at) * self.rate)
        self.at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


@dataclass(frozen=True)
class PendingSend:
    """Note a request that waits for its answer."""

    started_at: Instant
    due: Instant
    """When its answer is overdue."""


@dataclass(eq=False)
class Server:
    """Hold what is observed of a backend server."""

    instance: Instance
    cold_until: Instant
    sends: list[PendingSend] = field(default_factory=list)
    """This gateway's requests that are there now."""
    other_load: float = 0.0
    """Requests of other gateways at the last report."""
    load_reported_at: Instant = Instant(-1e9)
    failures: int = 0
    ejections: int = 0
    ejected_until: Instant = Instant(0.0)
    failing_until: Instant = Instant(0.0)
    answered_at: Instant = Instant(-1e9)
    """When it last answered."""
    on_time_at: Instant = Instant(-1e9)
    """When an answer last came that was not late."""
    failing: float = 0.0
    """Moving average of failed sends."""
    slowness: float = 1.0
    """Moving average of time against the usual time."""
    late_at: Instant = Instant(-1e9)
    was_late: bool = False
    """Whether the latest answer was late, or late not to come."""
    bucket: TokenBucket | None = None
    warm_objects: OrderedDict[str, None] = field(default_factory=OrderedDict)
    """Objects that it answered for lately, the latest last."""
    added_at: Instant = Instant(0.0)
    """When it became known here."""

    @property
    def slots(self) -> int:
        """Return how many requests it runs at a time."""
        return max(1, self.instance.slots)

    @property
    def sending(self) -> int:
        """Return how many requests of this gateway are there now."""
        return len(self.sends)

    def begin_send(self, due: Instant, now: Instant) -> None:
        """Note a request that is sent there, and when its answer is overdue."""
        self.sends.append(PendingSend(now, due))

    def end_send(self, due: Instant) -> None:
        """Note that a request sent there has ended."""
        send = next((item for item in self.sends if item.due == due), None)
        if send is not None:
            self.sends.remove(send)

    def load(self, now: Instant) -> float:
        """Estimate how many requests are there, whoever sent them."""
        fresh = max(0.0, 1.0 - (now - self.load_reported_at) / LOAD_REPORT_MAX_AGE)
        return self.sending + self.other_load * fresh

    def expected_wait(self, usual: float, now: Instant) -> float:
        """Estimate the seconds until it takes one more request up."""
        return max(0.0, usual * (self.load(now) - self.slots + 1) / self.slots)

    def is_warm_for(self, key: str) -> bool:
        """Say whether it answered a request for an object lately."""
        return key in self.warm_objects

    def record_warm_object(self, key: str) -> None:
        """Remember an object that it answered for."""
        self.warm_objects[key] = None
        self.warm_objects.move_to_end(key)
        if len(self.warm_objects) > MAX_WARM_OBJECTS:
            self.warm_objects.popitem(last=False)

    def report_ms(self, now: Instant) -> int:
        """Return the age of the last load report in milliseconds, at most a minute."""
        return int(min(60.0, now - self.load_reported_at) * 1000)

    def is_ejected(self, now: Instant) -> bool:
        """Say whether it is left alone for its failures."""
        return now < self.ejected_until

    def is_failing(self, now: Instant) -> bool:
        """Say whether it lately failed a part of its requests."""
        return now < self.failing_until

    def is_slow(self, now: Instant) -> bool:
        """Say whether it takes much longer than usual, as far as is known.

        One that was slow is tried anew after a while, by one request at a time. An
        overdue answer tells nothing where later requests were answered in time.
        """
        if any(
            item.due < now and item.started_at >= self.on_time_at for item in self.sends
        ):
            return True
        if self.slowness <= SLOW_RATIO:
            return False
        return now < self.late_at + SLOW_RETRY_DELAY or self.sending > 0

    def is_sound(self, now: Instant) -> bool:
        """Say whether nothing is held against it."""
        excluded = self.is_ejected(now) or self.is_failing(now) or self.is_slow(now)
        return not excluded

    def observed(self, now: Instant) -> Observed:
        """Return what is held against it, the gravest first."""
        if self.is_ejected(now):
            return Observed.EJECTED
        if self.is_failing(now):
            return Observed.FAILING
        if self.is_slow(now):
            return Observed.SLOW
        return Observed.COLD if self.is_cold(now) else Observed.SOUND

    def is_cold(self, now: Instant) -> bool:
        """Say whether it has lately started or restarted."""
        return now < self.cold_until

    def record_load(self, report: tuple[int, int, int], now: Instant) -> None:
        """Take a load report that came with an answer."""
        running, waiting, _ = report
        self.other_load = max(0.0, running + waiting - self.sending)
        self.load_reported_at = now

    def record_send(
        self, end: SendEnd, ratio: float, has_load: bool, now: Instant
    ) -> None:
        """Learn from how a send ended; ``ratio`` is its time against the usual.

        A rejection without a load report (``told``) counts as a full server.
        """
        if end is not SendEnd.ANSWERED and ratio > SLOW_RATIO:
            self._record_time(ratio, now)
        busy = end is SendEnd.TIMED_OUT and now < self.answered_at + UNRESPONSIVE_AFTER
        if busy or end is SendEnd.CANCELLED:
            return
        failed = end in FAILED_ENDS or end is SendEnd.REJECTED
        self.failing += EWMA_WEIGHT * ((1.0 if failed else 0.0) - self.failing)
        if end is SendEnd.ANSWERED:
            self.answered_at = now
            self.failures = 0
            self.ejections = 0
            self._record_time(ratio, now)
        elif end is SendEnd.REJECTED and not has_load:
            self.other_load = max(self.other_load, self.slots + 1.0)
            self.load_reported_at = now
        elif end in FAILED_ENDS:
            self._record_failure(end, now)
        if self.failing > FAILING_THRESHOLD and not self.is_ejected(now):
            self.failing = FAILING_THRESHOLD / 2
            self.failing_until = Instant(now + FAILING_TIME)

    def _record_time(self, ratio: float, now: Instant) -> None:
        if (
            self.slowness > SLOW_RATIO >= ratio
            and now > self.late_at + SLOW_RETRY_DELAY
        ):
            self.slowness = 1.0
        late = ratio > SLOW_RATIO
        step = LATE_EWMA_WEIGHT if late and self.was_late else EWMA_WEIGHT
        self.slowness += step * (ratio - self.slowness)
        self.was_late = late
        if late:
            self.late_at = now
        else:
            self.on_time_at = now

    def _record_failure(self, end: SendEnd, now: Instant) -> None:
        self.failures += 1
        if end is not SendEnd.NOT_SENT and self.failures < FAILURES_TO_EJECT:
            return
        span = min(MAX_EJECTION_TIME, BASE_EJECTION_TIME * 2**self.ejections)
        self.ejections += 1
        self.ejected_until = Instant(now + span)
