"""Share the tokens of organisations between the request threads and the sync task."""

from __future__ import annotations

import threading
from concurrent.futures import Future
from dataclasses import replace
from heapq import nlargest
from typing import TYPE_CHECKING

from ..core.events import QUOTA_LEADER_LOST
from ..core.events import QUOTA_LEADER_SELECTED
from ..core.events import emit
from ..core.ids import Instant
from ..core.ids import VmName
from ..core.task import monotonic
from ..wire.codec import Envelope
from .balancing.quota import CONTACT_SECONDS
from .balancing.quota import REPORT_INTERVAL
from .balancing.quota import Admission
from .balancing.quota import QuotaState
from .metrics import QUOTA_DECISIONS
from .metrics import QUOTA_REPORTS

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..core.ids import OrganisationName
    from ..messages.discovery import Gateway
    from ..messages.quota import QuotaAnswer
    from ..messages.quota import QuotaRequest
    from .balancing.quota import Holding
    from .peers import Peer

TOKEN_WAIT = 0.1
"""Longest time in seconds that a request waits for the leader's answer."""

URGENT_INTERVAL = 0.02
"""Shortest time in seconds from any report of a gateway to an urgent one."""


class TokensWanted:
    """Ask the sync task to send an urgent report."""


class QuotaGate:
    """Decide which requests of limited organisations are admitted.

    The lock is held for one decision, one report or one answer at a time.
    """

    def __init__(self) -> None:
        self.state = QuotaState()
        self.notify: Callable[[TokensWanted], object] = lambda message: None
        """Posts to the task that sends reports."""
        self._lock = threading.Lock()
        self._notified = False

    def admit(self, name: OrganisationName, wait: float) -> Admission:
        """Take a token for a request; wait for the leader's answer if needed."""
        with self._lock:
            admission = self.state.admit(name, monotonic())
            if admission is Admission.WAITING:
                decision: Future[Admission] = Future()
                self.state.add_waiter(name, decision)
                notified, self._notified = self._notified, True
        if admission is Admission.WAITING:
            if not notified:
                self.notify(TokensWanted())
            admission = self._await(name, decision, min(wait, TOKEN_WAIT))
        QUOTA_DECISIONS.labels(admission.name.lower()).inc()
        return admission

    def _await(
        self, name: OrganisationName, decision: Future[Admission], wait: float
    ) -> Admission:
        try:
            return decision.result(max(0.0, wait))
        except TimeoutError:
            with self._lock:
                if decision.done():
                    return decision.result()
                self.state.remove_waiter(name, decision)
                if self.state.take_continued(name, monotonic()):
                    return Admission.ADMITTED
            return Admission.CUT_OFF

    def take_again(self, name: OrganisationName) -> bool:
        """Take a token for another send of a request that may have run."""
        with self._lock:
            return self.state.take_again(name, monotonic())

    def put_back(self, name: OrganisationName) -> None:
        """Return the token of a request that was not run."""
        with self._lock:
            self.state.put_back(name, monotonic())

    def seconds_to_token(self, name: OrganisationName) -> float:
        """Return the time until a token of an organisation is expected."""
        with self._lock:
            return self.state.seconds_to_token(name, monotonic())

    def report(
        self, gateway: Gateway, now: Instant, *, urgent: bool
    ) -> QuotaRequest | None:
        """Return a report to the leader; None if an urgent one has become needless."""
        with self._lock:
            self._notified = False
            if urgent and not self.state.has_waiters():
                return None
            return self.state.report(gateway.gateway, gateway.vm, now, urgent=urgent)

    def expect_contact(self) -> None:
        """Let requests wait for an answer, as none was asked for lately.

        The routing table had no limits, or the VM was suspended.
        """
        with self._lock:
            self.state.heard_at = None

    def release(self, gateway: Gateway, now: Instant) -> QuotaRequest:
        """Return a report that gives up everything."""
        with self._lock:
            return self.state.release(gateway.gateway, gateway.vm, now)

    def busiest(self, number: int) -> list[Holding]:
        """Return copies of what is held of the organisations with the most demand."""
        with self._lock:
            holdings = self.state.holdings.values()
            return [
                replace(item)
                for item in nlargest(number, holdings, key=lambda item: item.demand)
            ]

    def apply(self, answer: QuotaAnswer, now: Instant) -> None:
        """Apply an answer of a control process, and wake the requests it decides."""
        with self._lock:
            for waiter, admission in self.state.apply(answer, now):
                waiter.set_result(admission)


class QuotaReporter:
    """Decide when a gateway reports to which control process.

    Owned by the sync task. Without organisations with a limit, nothing is due.
    """

    def __init__(self, gate: QuotaGate) -> None:
        self.gate = gate
        self.leader = VmName("")
        """Control process that answered as leader last; empty if it lost contact."""
        self._led_at = Instant(-1e9)
        self._urgent_wanted = False
        """Whether requests wait for an urgent report."""
        self._report_due = Instant(0.0)
        self._sent_at = Instant(-1e9)

    def request_urgent_report(self) -> None:
        """Make an urgent report due, as requests wait for tokens."""
        self._urgent_wanted = True

    def next_due(self, now: Instant) -> Instant:
        """Return when a report is due next."""
        if self._urgent_wanted:
            return Instant(max(now, self._sent_at + URGENT_INTERVAL))
        return self._report_due

    def apply(self, vm: VmName, answer: QuotaAnswer, now: Instant) -> None:
        """Apply an answer, and remember whether its sender leads."""
        if answer.leads:
            if vm != self.leader:
                emit(QUOTA_LEADER_SELECTED, vm=vm)
            self.leader, self._led_at = vm, now
            self.gate.apply(answer, now)
        elif vm == self.leader:
            self._lose_leader()

    def send_due(
        self, gateway: Gateway, peers: dict[VmName, Peer], now: Instant
    ) -> None:
        """Send the report that is due, if any."""
        regular = now >= self._report_due
        if not (regular or (self._urgent_wanted and now >= self.next_due(now))):
            return
        if now > self._sent_at + CONTACT_SECONDS:
            self.gate.expect_contact()
        self._urgent_wanted, self._sent_at = False, now
        if regular:
            self._report_due = Instant(now + REPORT_INTERVAL)
        if self.leader and now > self._led_at + CONTACT_SECONDS:
            self._lose_leader()
        report = self.gate.report(gateway, now, urgent=not regular)
        if report is not None:
            QUOTA_REPORTS.labels("regular" if regular else "urgent").inc()
            self._send(report, peers, now)

    def release(
        self, gateway: Gateway, peers: dict[VmName, Peer], now: Instant
    ) -> None:
        """Give up everything, as this gateway ends."""
        if self.leader:
            self._send(self.gate.release(gateway, now), peers, now)

    def _send(
        self, report: QuotaRequest, peers: dict[VmName, Peer], now: Instant
    ) -> None:
        for vm in self._find_leaders(peers, now):
            peers[vm].link.post(Envelope(0, report))

    def _find_leaders(self, peers: dict[VmName, Peer], now: Instant) -> set[VmName]:
        """Return the leader, or all that answering control processes name as such."""
        if self.leader in peers:
            return {self.leader}
        named = {peer.leader for peer in peers.values() if peer.is_answering(now)}
        return named & peers.keys()

    def _lose_leader(self) -> None:
        emit(QUOTA_LEADER_LOST, vm=self.leader)
        self.leader = VmName("")
