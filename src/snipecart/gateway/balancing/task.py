"""Own the load balancer's state, and select servers for the workers."""

from __future__ import annotations

from collections.abc import Callable
from concurrent.futures import Future
from functools import partial
from typing import TYPE_CHECKING
from typing import Any

from expression import Error
from expression import Result

from ...core.failures import Busy
from ...core.failures import Failure
from ...core.failures import LinkSaturated
from ...core.ids import Instant
from ...core.ids import ServiceName
from ...core.registry import Registry
from ...core.states import SendOutcome
from ...core.task import Task
from ...core.task import contained_failure
from ...core.task import monotonic
from ...messages.discovery import InstanceChanged
from ...messages.discovery import SyncAnswer
from ...messages.discovery import digest_instances
from ..metrics import KEYS_REQUIRED
from ..metrics import ORGANISATIONS
from ..metrics import ROUTING_VERSION
from ..request import SendResult
from .messages import DestinationFuture
from .messages import RecordSend
from .messages import SelectRetryServer
from .messages import SelectServer
from .messages import SetBudgetRule
from .outcome import record_send
from .outcome import retry_budget
from .rate_limits import unlisted_limits
from .selection import select_server
from .state import BalancerState
from .state import apply_departure
from .state import apply_instance
from .state import apply_sync
from .view import NOTHING_APPLIED
from .view import SyncPoint
from .view import View
from .view import unserved_services

if TYPE_CHECKING:
    from ...core.ids import InstanceId
    from ..request import Destination
    from ..request import RoutedRequest

SELECT_TIMEOUT = 1.0
"""Longest time in seconds that a worker waits for the task to select a server."""

UNUSED_SEND = SendResult(
    SendOutcome.CANCELLED, 0.0, failure=Busy("server was selected too late")
)


class RetriesSpent(Failure):
    """Reject a retry beyond the retry budget."""


Handler = Callable[["BalancerTask", Any, Instant], None]

HANDLERS: Registry[type[Any], Handler] = Registry("handlers of balancer messages")


class BalancerTask(Task):
    """Own the routing table and the backend servers of a gateway."""

    def __init__(
        self, state: BalancerState, retain_connections: Callable[[set[str]], None]
    ) -> None:
        super().__init__("placing", 16_384)
        self.state = state
        self.view = View()
        self.applied = NOTHING_APPLIED
        self.started_at = monotonic()
        self.control_answered = False
        """Whether any control process has answered since the start."""
        self.control_behind = False
        """Whether the log of the process that answered last may lack entries."""
        self.retain_connections = retain_connections
        self._digest_revision = -1
        """Revision of the servers for which the digest was computed."""
        self._latest_digest = 0

    def select_server(self, routed: RoutedRequest) -> Result[Destination, Failure]:
        """Block until the task has selected a server for a first send."""
        return self._request(SelectServer(routed, Future()))

    def select_retry_server(
        self,
        routed: RoutedRequest,
        service: ServiceName,
        tried: frozenset[InstanceId],
        needs_budget: bool,
        may_have_run: bool = False,
    ) -> Result[Destination, Failure]:
        """Block until the task has selected a server for a retry."""
        return self._request(
            SelectRetryServer(
                routed, service, tried, needs_budget, Future(), may_have_run
            )
        )

    def handle(self, batch: list[Any], now: Instant) -> None:
        """Pass messages to their registered handlers, in order."""
        for message in batch:
            HANDLERS.get(type(message))(self, message, now)

    def publish(self, now: Instant) -> None:
        """Publish the current state to other threads, as a new view."""
        state = self.state
        if state.index is not self.view.index:
            ROUTING_VERSION.set(state.index.routing.version)
            ORGANISATIONS.set(len(state.index.routing.listed_organisations))
            KEYS_REQUIRED.set(state.index.requires_keys)
        self.view = View(
            state.index,
            int(state.evacuation_index),
            self._digest(),
            self.applied,
            unserved_services(state),
            state.traffic.rounded(now),
            unlisted_limits(state, now),
            now,
            state.index is not None and state.index.limits_organisations,
        )

    def _digest(self) -> int:
        """Return the digest of all stored instances, computed once for each change."""
        if self._digest_revision != self.state.servers_revision:
            self._digest_revision = self.state.servers_revision
            servers = self.state.servers.values()
            self._latest_digest = digest_instances(item.instance for item in servers)
        return self._latest_digest

    def describe_missing_routing(self) -> str:
        """Say since when this gateway has had no routing table, and why."""
        seconds = monotonic() - self.started_at
        if not self.control_answered:
            reason = "no control process has answered"
        elif self.control_behind:
            reason = "the control processes that answered wait for a leader"
        else:
            reason = "the control processes that answered have none"
        return f"none in the {seconds:.1f} s since the start: {reason}"

    def _request(
        self, message: SelectServer | SelectRetryServer
    ) -> Result[Destination, Failure]:
        if not self.post(message):
            return Error(Busy("load balancer mailbox full"))
        timeout = max(0.0, min(SELECT_TIMEOUT, message.routed.remaining()))
        try:
            return message.fut.result(timeout)
        except TimeoutError:
            message.fut.add_done_callback(self._release_late(message.routed))
            return Error(Busy("no server selected in time"))

    def _release_late(
        self, routed: RoutedRequest
    ) -> Callable[[DestinationFuture], None]:
        """Return a callback that frees the slot of a server selected too late."""

        def release(fut: DestinationFuture) -> None:
            selected = fut.result()
            if selected.is_ok():
                self.post(RecordSend(routed, selected.ok, UNUSED_SEND))

        return release


@HANDLERS.register(SelectServer)
def handle_select(task: BalancerTask, message: SelectServer, now: Instant) -> None:
    """Admit a request on the link and select a server for its first send."""
    with contained_failure("selection", partial(_refuse, message)):
        message.fut.set_result(_select_first(task.state, message.routed, now))


def _select_first(
    state: BalancerState, routed: RoutedRequest, now: Instant
) -> Result[Destination, Failure]:
    state.traffic.record(now)
    state.link.record_request(len(routed.req.body), now)
    if not state.link.admit(routed.route, routed.more_urgent_ranks, now):
        return Error(LinkSaturated())
    service = state.traffic_splits.next(routed.route)
    state.demand.record(service, routed.route.name, routed.object_key)
    selected = select_server(state, routed, service, frozenset(), now)
    retry_budget(state, service).record_first(now)
    return selected


def _refuse(message: SelectServer | SelectRetryServer, failure: Failure) -> None:
    message.fut.set_result(Error(failure))


@HANDLERS.register(SelectRetryServer)
def handle_select_retry(
    task: BalancerTask, message: SelectRetryServer, now: Instant
) -> None:
    """Select a server for a retry if the retry budget allows it."""
    with contained_failure("selection for a retry", partial(_refuse, message)):
        message.fut.set_result(_select_retry(task.state, message, now))


def _select_retry(
    state: BalancerState, message: SelectRetryServer, now: Instant
) -> Result[Destination, Failure]:
    budget = retry_budget(state, message.service)
    if message.needs_budget and not budget.try_acquire(state.gateways, now):
        return Error(RetriesSpent(message.service))
    return select_server(
        state,
        message.routed,
        message.service,
        message.tried,
        now,
        message.may_have_run,
    )


@HANDLERS.register(SetBudgetRule)
def handle_budget_rule(
    task: BalancerTask, message: SetBudgetRule, now: Instant
) -> None:
    """Apply another rule to the retry budgets, which keep what they have counted."""
    task.state.budget_rule = message.rule
    for budget in task.state.budgets.values():
        budget.rule = message.rule


@HANDLERS.register(RecordSend)
def handle_record_send(task: BalancerTask, message: RecordSend, now: Instant) -> None:
    """Update the state from the end of a send."""
    record_send(task.state, message.routed, message.destination, message.sent, now)


@HANDLERS.register(SyncAnswer)
def handle_sync(task: BalancerTask, answer: SyncAnswer, now: Instant) -> None:
    """Apply the answer of a control process to a sync request."""
    apply_sync(task.state, answer, now)
    task.control_answered = True
    task.control_behind = answer.may_be_behind
    if answer.source:
        task.applied = SyncPoint(answer.source, answer.revision)
    if answer.instances or answer.gone or answer.complete:
        task.retain_connections(
            {item.instance.endpoint for item in task.state.servers.values()}
        )
    task.publish(now)


@HANDLERS.register(InstanceChanged)
def handle_changed(task: BalancerTask, change: InstanceChanged, now: Instant) -> None:
    """Apply one pushed change of an instance."""
    if change.gone:
        apply_departure(task.state, change.instance)
    else:
        apply_instance(task.state, change.instance, now)
    task.publish(now)
