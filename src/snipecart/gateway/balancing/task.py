"""Own the placing state and answer workers that need a place."""

from __future__ import annotations

from collections.abc import Callable
from concurrent.futures import Future
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from expression import Error
from expression import Result

from ...core.failures import Busy
from ...core.failures import Failure
from ...core.failures import LinkSaturated
from ...core.ids import InstanceId
from ...core.ids import Instant
from ...core.ids import ServiceName
from ...core.registry import Registry
from ...core.states import SendEnd
from ...core.task import Task
from ...messages.discovery import InstanceChanged
from ...messages.discovery import SyncAnswer
from ...messages.discovery import digest_of
from ..metrics import ROUTING_VERSION
from ..request import Sent
from .outcome import record_send
from .outcome import retry_budget
from .selection import select_server
from .state import BalancerState
from .state import apply_departure
from .state import apply_instance
from .state import apply_sync

if TYPE_CHECKING:
    from ..request import Place
    from ..request import Routed
    from .routes import RouteIndex

SELECT_TIMEOUT = 1.0
"""Seconds a worker waits for the task's answer."""

UNUSED_SEND = Sent(SendEnd.CANCELLED, 0.0, detail="place came too late")

DestinationFuture = Future[Result["Place", Failure]]


@dataclass(frozen=True)
class SelectServer:
    """Ask for a first place."""

    routed: Routed
    fut: DestinationFuture


@dataclass(frozen=True)
class SelectRetryServer:
    """Ask for another place after a send that came to nothing."""

    routed: Routed
    service: ServiceName
    tried: frozenset[InstanceId]
    needs_budget: bool
    """Whether the last send reached a backend server and so draws on the budget."""
    fut: DestinationFuture


@dataclass(frozen=True)
class RecordSend:
    """Free a place and tell how its send message."""

    routed: Routed
    destination: Place
    sent: Sent


class RetriesSpent(Failure):
    """Refuse a repeat beyond the retry budget."""


@dataclass(frozen=True)
class View:
    """Show other threads what is in force, replaced whole."""

    index: RouteIndex | None = None
    evacuation_index: int = 0
    digest: int = digest_of(())
    """Of all backend servers known here."""


Handler = Callable[["BalancerTask", Any, Instant], None]

HANDLERS: Registry[type[Any], Handler] = Registry("handlers of placing messages")


class BalancerTask(Task):
    """Own what a gateway knows of routes and backend servers."""

    def __init__(
        self, state: BalancerState, retain_connections: Callable[[set[str]], None]
    ) -> None:
        super().__init__("placing", 16_384)
        self.state = state
        self.view = View()
        self.retain_connections = retain_connections

    def select_server(self, routed: Routed) -> Result[Place, Failure]:
        """Block until the task has selected a place."""
        return self._request(SelectServer(routed, Future()))

    def select_retry_server(
        self,
        routed: Routed,
        service: ServiceName,
        tried: frozenset[InstanceId],
        needs_budget: bool,
    ) -> Result[Place, Failure]:
        """Block until the task has selected a place not tried yet."""
        return self._request(
            SelectRetryServer(routed, service, tried, needs_budget, Future())
        )

    def handle(self, batch: list[Any], now: Instant) -> None:
        """Handle messages in order."""
        for message in batch:
            HANDLERS.get(type(message))(self, message, now)

    def publish(self) -> None:
        """Show other threads what is in force now."""
        state = self.state
        if state.index is not self.view.index:
            ROUTING_VERSION.set(state.index.routing.version)
        self.view = View(
            state.index,
            int(state.evacuation_index),
            digest_of(item.instance for item in state.servers.values()),
        )

    def _request(
        self, message: SelectServer | SelectRetryServer
    ) -> Result[Place, Failure]:
        if not self.post(message):
            return Error(Busy("placing mailbox full"))
        try:
            return message.fut.result(SELECT_TIMEOUT)
        except TimeoutError:
            message.fut.add_done_callback(self._release_late(message.routed))
            return Error(Busy("no place in time"))

    def _release_late(self, routed: Routed) -> Callable[[DestinationFuture], None]:
        """Return what frees a place that came too late for its worker."""

        def release(fut: DestinationFuture) -> None:
            selected = fut.result()
            if selected.is_ok():
                self.post(RecordSend(routed, selected.ok, UNUSED_SEND))

        return release


@HANDLERS.register(SelectServer)
def handle_select(task: BalancerTask, message: SelectServer, now: Instant) -> None:
    """Choose a first place."""
    state, routed = task.state, message.routed
    state.link.record_request(len(routed.req.body), now)
    if not state.link.admit(routed.route, routed.urgent, now):
        message.fut.set_result(Error(LinkSaturated()))
        return
    service = state.traffic_splits.next(routed.route)
    selected = select_server(state, routed, service, frozenset(), now)
    retry_budget(state, service).record_first(now)
    message.fut.set_result(selected)


@HANDLERS.register(SelectRetryServer)
def handle_select_retry(
    task: BalancerTask, message: SelectRetryServer, now: Instant
) -> None:
    """Choose another place, if the budget allows it."""
    state = task.state
    budget = retry_budget(state, message.service)
    if message.needs_budget and not budget.try_acquire(state.gateways, now):
        message.fut.set_result(Error(RetriesSpent(message.service)))
        return
    message.fut.set_result(
        select_server(state, message.routed, message.service, message.tried, now)
    )


@HANDLERS.register(RecordSend)
def handle_record_send(task: BalancerTask, message: RecordSend, now: Instant) -> None:
    """Free a place."""
    record_send(task.state, message.routed, message.destination, message.sent, now)


@HANDLERS.register(SyncAnswer)
def handle_sync(task: BalancerTask, answer: SyncAnswer, now: Instant) -> None:
    """Take over what a control process knows."""
    apply_sync(task.state, answer, now)
    if answer.instances or answer.gone or answer.complete:
        task.retain_connections(
            {item.instance.endpoint for item in task.state.servers.values()}
        )
    task.publish()


@HANDLERS.register(InstanceChanged)
def handle_changed(task: BalancerTask, change: InstanceChanged, now: Instant) -> None:
    """Take over one pushed change."""
    if change.gone:
        apply_departure(task.state, change.instance)
    else:
        apply_instance(task.state, change.instance, now)
    task.publish()
