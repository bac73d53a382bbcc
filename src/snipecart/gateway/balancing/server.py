"""Track the load and the health of a backend server as this gateway observes them."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from ...core.events import SERVER_LEAVING
from ...core.events import SERVER_PAUSED
from ...core.events import SERVER_RATE_LIMIT
from ...core.events import emit
from ...core.ids import Instant
from ...core.states import SendOutcome
from ...core.states import ServerCondition

if TYPE_CHECKING:
    from ...core.token_bucket import TokenBucket
    from ...messages.discovery import Instance
    from ..load_report import LoadReport
    from ..server_notice import ServerNotice
    from .slowdown import SlowdownRule

LOAD_REPORT_MAX_AGE = 1.5
"""Seconds until the weight of a load report has fallen to zero."""

SLOWDOWN_MAX_AGE = 10.0
"""Seconds after its last load report for which a server's slowdown is believed.

A server that reports a high one gets no requests, and so can't report a lower one.
"""

BASE_EJECTION_TIME = 0.8
"""Seconds of a first ejection; doubles with each ejection until a send is answered."""

MAX_DOUBLINGS = 10
"""Ejections in a row that double the time; it has reached its maximum before."""

MAX_EJECTION_TIME = 6.0
"""Seconds."""

FAILURES_TO_EJECT = 2
"""Consecutive failures that eject a server; one failure to connect is enough."""

UNRESPONSIVE_AFTER = 1.0
"""Seconds without an answer from the server after which a timeout counts as a failure.

A server that answers other requests on time is busy, not down.
"""

EWMA_WEIGHT = 0.15
"""Weight of the latest send in the moving averages."""

LATE_EWMA_WEIGHT = 0.5
"""Weight in ``Server.slowness`` of a late answer that follows another late one."""

FAILING_THRESHOLD = 0.35
"""Fraction of failed sends above which a backend server counts as failing."""

FAILING_TIME = 3.0
"""Seconds for which a backend server counts as failing."""

SLOW_RATIO = 3.5
"""Ratio of a response time to the usual time of its route above which it is late."""

SLOW_RETRY_DELAY = 2.0
"""Seconds after which a slow backend server is probed, by one request at a time."""

MAX_WARM_OBJECTS = 32
"""Number of latest objects for which a backend server counts as warm."""

FAILED_ENDS = frozenset(
    {SendOutcome.NOT_SENT, SendOutcome.BROKEN, SendOutcome.TIMED_OUT}
)


@dataclass(frozen=True)
class PendingSend:
    """Represent a request of this gateway that has no answer yet."""

    started_at: Instant
    due: Instant
    """Time after which its answer is overdue."""


@dataclass(eq=False)
class Server:
    """Represent a backend server as this gateway observes it."""

    instance: Instance
    cold_until: Instant
    """End of the warm-up time after its start."""
    sends: list[PendingSend] = field(default_factory=list)
    """Requests of this gateway that it has not answered yet."""
    other_load: float = 0.0
    """Requests of other gateways that ran or waited at the last load report."""
    load_reported_at: Instant = Instant(-1e9)
    reported_wait_ratio: float = 0.0
    """Wait for one more request, relative to the usual time of a request, that its
    latest report or rejection meant."""
    reported_slowdown: float = 1.0
    """Ratio of the time that work takes on its machine to the usual time, estimated
    from its load reports."""
    failures: int = 0
    """Consecutive failed sends."""
    ejections: int = 0
    """Ejections since the last answer."""
    ejected_until: Instant = Instant(0.0)
    failing_until: Instant = Instant(0.0)
    answered_at: Instant = Instant(-1e9)
    """Time of its last answer."""
    on_time_at: Instant = Instant(-1e9)
    """Time of its last answer that was not late."""
    failure_rate: float = 0.0
    """Moving average of the fraction of failed sends."""
    slowness: float = 1.0
    """Moving average of the ratio of response times to the usual time."""
    late_at: Instant = Instant(-1e9)
    """Time of the last send that was late."""
    was_late: bool = False
    """Whether the latest send was late, answered or not."""
    rate_limit: float | None = None
    """Requests per second that it accepts from all gateways, by its latest answer."""
    noticed_at: Instant = Instant(-1e9)
    """Time of the latest answer that could name a rate limit."""
    leaving: bool = False
    """Whether it said in an answer that it will end soon."""
    paused_until: Instant = Instant(-1e9)
    """End of the pause that it asked for."""
    on_trial: bool = False
    """Whether it has answered no request since its pause began."""
    bucket: TokenBucket | None = None
    """Limits the rate of requests while the server is cold or names a limit."""
    warm_objects: OrderedDict[str, None] = field(default_factory=OrderedDict)
    """Objects that it answered requests for, the most recent last."""
    added_at: Instant = Instant(0.0)
    """When this gateway added it."""

    @property
    def slots(self) -> int:
        """Return how many requests it runs concurrently."""
        return max(1, self.instance.slots)

    @property
    def sending(self) -> int:
        """Return how many requests of this gateway it has not answered yet."""
        return len(self.sends)

    def begin_send(self, due: Instant, now: Instant) -> None:
        """Add a pending send whose answer is overdue after ``due``."""
        self.sends.append(PendingSend(now, due))

    def end_send(self, due: Instant) -> None:
        """Remove the pending send with this due time."""
        send = next((item for item in self.sends if item.due == due), None)
        if send is not None:
            self.sends.remove(send)

    def load(self, now: Instant) -> float:
        """Estimate how many requests of all gateways run or wait there."""
        fresh = max(0.0, 1.0 - (now - self.load_reported_at) / LOAD_REPORT_MAX_AGE)
        return self.sending + self.other_load * fresh

    def slowdown(self, now: Instant) -> float:
        """Estimate the ratio of the time that work takes there to the usual time."""
        is_fresh = now < self.load_reported_at + SLOWDOWN_MAX_AGE
        return self.reported_slowdown if is_fresh else 1.0

    def expected_wait(self, usual: float, now: Instant) -> float:
        """Estimate the seconds until it starts one more request.

        ``usual`` is the usual time of the route in seconds.
        """
        time = usual * self.slowdown(now)
        return max(0.0, time * (self.load(now) - self.slots + 1) / self.slots)

    def is_warm_for(self, key: str) -> bool:
        """Return whether it recently answered a request for an object."""
        return key in self.warm_objects

    def record_warm_object(self, key: str) -> None:
        """Mark the server as warm for an object; remove the oldest one if full."""
        self.warm_objects[key] = None
        self.warm_objects.move_to_end(key)
        if len(self.warm_objects) > MAX_WARM_OBJECTS:
            self.warm_objects.popitem(last=False)

    def load_report_age_ms(self, now: Instant) -> int:
        """Return the age of the last load report in milliseconds, at most 60,000."""
        return int(min(60.0, now - self.load_reported_at) * 1000)

    def is_ejected(self, now: Instant) -> bool:
        """Return whether it is ejected after consecutive failures."""
        return now < self.ejected_until

    def is_failing(self, now: Instant) -> bool:
        """Return whether it recently failed a part of its requests."""
        return now < self.failing_until

    def is_slow(self, now: Instant) -> bool:
        """Return whether it takes much longer than usual to answer.

        A slow server is probed after SLOW_RETRY_DELAY, by one request at a time. An
        overdue answer doesn't count where the server has answered on time since that
        request was sent.
        """
        if any(
            item.due < now and item.started_at >= self.on_time_at for item in self.sends
        ):
            return True
        if self.slowness <= SLOW_RATIO:
            return False
        return now < self.late_at + SLOW_RETRY_DELAY or self.sending > 0

    def is_sound(self, now: Instant) -> bool:
        """Return whether it is neither ejected nor failing nor slow."""
        excluded = self.is_ejected(now) or self.is_failing(now) or self.is_slow(now)
        return not excluded

    def condition(self, now: Instant) -> ServerCondition:
        """Return its condition; of several that apply, the most severe."""
        if self.leaving:
            return ServerCondition.LEAVING
        if self.is_paused(now):
            return ServerCondition.PAUSED
        if self.is_ejected(now):
            return ServerCondition.EJECTED
        if self.is_failing(now):
            return ServerCondition.FAILING
        if self.is_slow(now):
            return ServerCondition.SLOW
        return ServerCondition.COLD if self.is_cold(now) else ServerCondition.SOUND

    def is_paused(self, now: Instant) -> bool:
        """Return whether it wants no request now.

        After a pause it gets one request at a time until it answers one, as it may ask
        for another pause.
        """
        return now < self.paused_until or (self.on_trial and self.sending > 0)

    def may_limit_rate(self, now: Instant) -> bool:
        """Return whether it is cold or has named a rate limit to this gateway."""
        return self.rate_limit is not None or now < self.cold_until

    def is_cold(self, now: Instant) -> bool:
        """Return whether it recently started or restarted."""
        return now < self.cold_until

    def record_load(
        self, report: LoadReport, estimate: SlowdownRule, now: Instant
    ) -> None:
        """Apply a load report."""
        elapsed = now - self.load_reported_at
        before = self.slowdown(now)
        self.reported_slowdown = estimate(before, report.slowdown, elapsed)
        self.other_load = max(0.0, report.running + report.waiting - self.sending)
        self.load_reported_at = now

    def record_notice(self, notice: ServerNotice, now: Instant) -> None:
        """Apply what the server asks for in an answer."""
        if notice.rate_limit != self.rate_limit:
            emit(
                SERVER_RATE_LIMIT,
                instance=self.instance.instance,
                per_s=notice.rate_limit,
                before=self.rate_limit,
            )
        self.rate_limit = notice.rate_limit
        self.noticed_at = now
        if notice.leaving and not self.leaving:
            emit(SERVER_LEAVING, instance=self.instance.instance)
        self.leaving = self.leaving or notice.leaving
        if notice.pause_s:
            emit(SERVER_PAUSED, instance=self.instance.instance, seconds=notice.pause_s)
            end = Instant(now + notice.pause_s)
            self.paused_until = max(self.paused_until, end)
        self.on_trial = notice.pause_s > 0 or (
            self.on_trial and now < self.paused_until
        )

    def record_send(
        self, end: SendOutcome, ratio: float, has_load: bool, now: Instant
    ) -> None:
        """Update averages and ejection from the end of a send.

        ``ratio`` is its time relative to the usual time of its route. A rejection
        without a load report (``has_load``) means that all slots are in use.
        """
        if end is not SendOutcome.ANSWERED and ratio > SLOW_RATIO:
            self._record_time(ratio, now)
        busy = (
            end is SendOutcome.TIMED_OUT and now < self.answered_at + UNRESPONSIVE_AFTER
        )
        if busy or end is SendOutcome.CANCELLED:
            return
        failed = end in FAILED_ENDS or end is SendOutcome.REJECTED
        self.failure_rate += EWMA_WEIGHT * (
            (1.0 if failed else 0.0) - self.failure_rate
        )
        if end is SendOutcome.ANSWERED:
            self.answered_at = now
            self.failures = 0
            self.ejections = 0
            self._record_time(ratio, now)
        elif end is SendOutcome.REJECTED and not has_load:
            self.other_load = max(self.other_load, self.slots + 1.0)
            self.load_reported_at = now
        elif end in FAILED_ENDS:
            self._record_failure(end, now)
        if self.failure_rate > FAILING_THRESHOLD and not self.is_ejected(now):
            self.failure_rate = FAILING_THRESHOLD / 2
            self.failing_until = Instant(now + FAILING_TIME)

    def _record_time(self, ratio: float, now: Instant) -> None:
        """Update ``slowness`` from the ratio of a response time to the usual time.

        An answer on time to a probe of a slow server resets it.
        """
        if (
            self.slowness > SLOW_RATIO >= ratio
            and now > self.late_at + SLOW_RETRY_DELAY
        ):
            self.slowness = 1.0
        late = ratio > SLOW_RATIO
        ewma_weight = LATE_EWMA_WEIGHT if late and self.was_late else EWMA_WEIGHT
        self.slowness += ewma_weight * (ratio - self.slowness)
        self.was_late = late
        if late:
            self.late_at = now
        else:
            self.on_time_at = now

    def _record_failure(self, end: SendOutcome, now: Instant) -> None:
        """Count a failure, and eject the server after too many consecutive ones."""
        self.failures += 1
        if end is not SendOutcome.NOT_SENT and self.failures < FAILURES_TO_EJECT:
            return
        ejection_time = min(MAX_EJECTION_TIME, BASE_EJECTION_TIME * 2**self.ejections)
        self.ejections = min(self.ejections + 1, MAX_DOUBLINGS)
        self.ejected_until = Instant(now + ejection_time)
