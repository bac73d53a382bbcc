"""Follow one backend server as this gateway sees it."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from ...core.ids import Instant
from ...core.states import SendOutcome
from ...core.states import ServerCondition

if TYPE_CHECKING:
    from ...messages.discovery import Instance

REPORT_AGE = 1.5
"""Seconds until a load report counts for nothing."""

FIRST_EJECTION = 0.8
"""Seconds without requests after a first failure to connect."""

LONGEST_EJECTION = 6.0

FAILURES_TO_EJECT = 2
"""Broken or late answers in a row."""

SILENT = 1.0
"""Seconds without any answer after which a timeout counts as a failure.

A server that answers others in time is busy, not down.
"""

RATE_STEP = 0.15
"""Weight of the latest answer in the moving averages."""

SLOW_STEP = 0.5
"""Weight of a late answer that follows another in the average of times."""

GREY_RATE = 0.35
"""Part of failed sends above which a backend server is left alone."""

GREY_EJECTION = 3.0
"""Seconds for which a backend server that fails in part is left alone."""

SLOW_RATIO = 3.5
"""Time against its kind's usual time above which an answer is late."""

SLOW_MEMORY = 2.0
"""Seconds after which a slow backend server is tried anew, by one request at a time."""

OBJECTS_KNOWN = 32
"""Objects that a backend server is taken to know."""

FAILED_ENDS = frozenset(
    {SendOutcome.NOT_SENT, SendOutcome.BROKEN, SendOutcome.TIMED_OUT}
)


@dataclass
class TokenBucket:
    """Bound how often a cold backend server is sent to."""

    rate: float
    burst: float
    tokens: float
    at: Instant

    def take(self, now: Instant) -> bool:
        """Take a token, if there is one."""
        self.tokens = min(self.burst, self.tokens + (now - self.at) * self.rate)
        self.at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


@dataclass(frozen=True)
class OpenSend:
    """Note a request that waits for its answer."""

    begun: Instant
    due: Instant
    """When its answer is overdue."""


@dataclass(eq=False)
class Server:
    """Hold what is observed of a backend server."""

    instance: Instance
    cold_until: Instant
    sends: list[OpenSend] = field(default_factory=list)
    """This gateway's requests that are there now."""
    others: float = 0.0
    """Requests of other gateways at the last report."""
    reported: Instant = Instant(-1e9)
    failures: int = 0
    ejections: int = 0
    ejected_until: Instant = Instant(0.0)
    grey_until: Instant = Instant(0.0)
    answered: Instant = Instant(-1e9)
    """When it last answered."""
    in_time: Instant = Instant(-1e9)
    """When an answer last came that was not late."""
    failing: float = 0.0
    """Moving average of failed sends."""
    slowness: float = 1.0
    """Moving average of time against the usual time."""
    slow_seen: Instant = Instant(-1e9)
    was_late: bool = False
    """Whether the latest answer was late, or late not to come."""
    bucket: TokenBucket | None = None
    objects: OrderedDict[str, None] = field(default_factory=OrderedDict)
    """Objects that it answered for lately, the latest last."""
    told: Instant = Instant(0.0)
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
        self.sends.append(OpenSend(now, due))

    def end_send(self, due: Instant) -> None:
        """Note that a request sent there has ended."""
        ended = next((item for item in self.sends if item.due == due), None)
        if ended is not None:
            self.sends.remove(ended)

    def load(self, now: Instant) -> float:
        """Estimate how many requests are there, whoever sent them."""
        fresh = max(0.0, 1.0 - (now - self.reported) / REPORT_AGE)
        return self.sending + self.others * fresh

    def wait(self, usual: float, now: Instant) -> float:
        """Estimate the seconds until it takes one more request up."""
        return max(0.0, usual * (self.load(now) - self.slots + 1) / self.slots)

    def knows(self, key: str) -> bool:
        """Say whether it answered a request for an object lately."""
        return key in self.objects

    def note_object(self, key: str) -> None:
        """Remember an object that it answered for."""
        self.objects[key] = None
        self.objects.move_to_end(key)
        if len(self.objects) > OBJECTS_KNOWN:
            self.objects.popitem(last=False)

    def report_ms(self, now: Instant) -> int:
        """Return the age of the last load report in milliseconds, at most a minute."""
        return int(min(60.0, now - self.reported) * 1000)

    def is_ejected(self, now: Instant) -> bool:
        """Say whether it is left alone for its failures."""
        return now < self.ejected_until

    def is_grey(self, now: Instant) -> bool:
        """Say whether it lately failed a part of its requests."""
        return now < self.grey_until

    def is_slow(self, now: Instant) -> bool:
        """Say whether it takes much longer than usual, as far as is known.

        One that was slow is tried anew after a while, by one request at a time. An
        overdue answer tells nothing where later requests were answered in time.
        """
        if any(item.due < now and item.begun >= self.in_time for item in self.sends):
            return True
        if self.slowness <= SLOW_RATIO:
            return False
        return now < self.slow_seen + SLOW_MEMORY or self.sending > 0

    def is_sound(self, now: Instant) -> bool:
        """Say whether nothing is held against it."""
        held = self.is_ejected(now) or self.is_grey(now) or self.is_slow(now)
        return not held

    def observed(self, now: Instant) -> ServerCondition:
        """Return what is held against it, the gravest first."""
        if self.is_ejected(now):
            return ServerCondition.EJECTED
        if self.is_grey(now):
            return ServerCondition.FAILING
        if self.is_slow(now):
            return ServerCondition.SLOW
        return ServerCondition.COLD if self.is_cold(now) else ServerCondition.SOUND

    def is_cold(self, now: Instant) -> bool:
        """Say whether it has lately started or restarted."""
        return now < self.cold_until

    def note_load(self, report: tuple[int, int, int], now: Instant) -> None:
        """Take a load report that came with an answer."""
        running, waiting, _ = report
        self.others = max(0.0, running + waiting - self.sending)
        self.reported = now

    def note_end(
        self, end: SendOutcome, ratio: float, told: bool, now: Instant
    ) -> None:
        """Learn from how a send ended; ``ratio`` is its time against the usual.

        A rejection without a load report (``told``) counts as a full server.
        """
        if end is not SendOutcome.ANSWERED and ratio > SLOW_RATIO:
            self._note_time(ratio, now)
        busy = end is SendOutcome.TIMED_OUT and now < self.answered + SILENT
        if busy or end is SendOutcome.CANCELLED:
            return
        failed = end in FAILED_ENDS or end is SendOutcome.REJECTED
        self.failing += RATE_STEP * ((1.0 if failed else 0.0) - self.failing)
        if end is SendOutcome.ANSWERED:
            self.answered = now
            self.failures = 0
            self.ejections = 0
            self._note_time(ratio, now)
        elif end is SendOutcome.REJECTED and not told:
            self.others = max(self.others, self.slots + 1.0)
            self.reported = now
        elif end in FAILED_ENDS:
            self._note_failure(end, now)
        if self.failing > GREY_RATE and not self.is_ejected(now):
            self.failing = GREY_RATE / 2
            self.grey_until = Instant(now + GREY_EJECTION)

    def _note_time(self, ratio: float, now: Instant) -> None:
        if self.slowness > SLOW_RATIO >= ratio and now > self.slow_seen + SLOW_MEMORY:
            self.slowness = 1.0
        late = ratio > SLOW_RATIO
        step = SLOW_STEP if late and self.was_late else RATE_STEP
        self.slowness += step * (ratio - self.slowness)
        self.was_late = late
        if late:
            self.slow_seen = now
        else:
            self.in_time = now

    def _note_failure(self, end: SendOutcome, now: Instant) -> None:
        self.failures += 1
        if end is not SendOutcome.NOT_SENT and self.failures < FAILURES_TO_EJECT:
            return
        span = min(LONGEST_EJECTION, FIRST_EJECTION * 2**self.ejections)
        self.ejections += 1
        self.ejected_until = Instant(now + span)
