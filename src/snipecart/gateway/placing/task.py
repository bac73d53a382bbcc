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
from ..request import SendResult
from .choice import choose
from .outcome import budget_of
from .outcome import note_end
from .state import PlacingState
from .state import take_departure
from .state import take_instance
from .state import take_sync

if TYPE_CHECKING:
    from ..request import Destination
    from ..request import RoutedRequest
    from .routes import RouteIndex

PLACE_WAIT = 1.0
"""Seconds a worker waits for the task's answer."""

NEVER_SENT = SendResult(SendEnd.CANCELLED, 0.0, detail="place came too late")

PlaceFuture = Future[Result["Destination", Failure]]


@dataclass(frozen=True)
class AskPlace:
    """Ask for a first place."""

    routed: RoutedRequest
    fut: PlaceFuture


@dataclass(frozen=True)
class AskAgain:
    """Ask for another place after a send that came to nothing."""

    routed: RoutedRequest
    service: ServiceName
    tried: frozenset[InstanceId]
    counted: bool
    """Whether the last send reached a backend server and so draws on the budget."""
    fut: PlaceFuture


@dataclass(frozen=True)
class SendEnded:
    """Free a place and tell how its send ended."""

    routed: RoutedRequest
    place: Destination
    sent: SendResult


class RetriesSpent(Failure):
    """Refuse a repeat beyond the retry budget."""


@dataclass(frozen=True)
class View:
    """Show other threads what is in force, replaced whole."""

    index: RouteIndex | None = None
    evacuation_index: int = 0
    digest: int = digest_of(())
    """Of all backend servers known here."""


Handler = Callable[["PlacingTask", Any, Instant], None]

HANDLERS: Registry[type[Any], Handler] = Registry("handlers of placing messages")


class PlacingTask(Task):
    """Own what a gateway knows of routes and backend servers."""

    def __init__(self, state: PlacingState, forget: Callable[[set[str]], None]) -> None:
        super().__init__("placing", 16_384)
        self.state = state
        self.view = View()
        self.forget = forget

    def place(self, routed: RoutedRequest) -> Result[Destination, Failure]:
        """Block until the task has chosen a place."""
        return self._ask(AskPlace(routed, Future()))

    def place_again(
        self,
        routed: RoutedRequest,
        service: ServiceName,
        tried: frozenset[InstanceId],
        counted: bool,
    ) -> Result[Destination, Failure]:
        """Block until the task has chosen a place not tried yet."""
        return self._ask(AskAgain(routed, service, tried, counted, Future()))

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

    def _ask(self, message: AskPlace | AskAgain) -> Result[Destination, Failure]:
        if not self.post(message):
            return Error(Busy("placing mailbox full"))
        try:
            return message.fut.result(PLACE_WAIT)
        except TimeoutError:
            message.fut.add_done_callback(self._give_back(message.routed))
            return Error(Busy("no place in time"))

    def _give_back(self, routed: RoutedRequest) -> Callable[[PlaceFuture], None]:
        """Return what frees a place that came too late for its worker."""

        def give_back(fut: PlaceFuture) -> None:
            chosen = fut.result()
            if chosen.is_ok():
                self.post(SendEnded(routed, chosen.ok, NEVER_SENT))

        return give_back


@HANDLERS.register(AskPlace)
def handle_ask(task: PlacingTask, ask: AskPlace, now: Instant) -> None:
    """Choose a first place."""
    state, routed = task.state, ask.routed
    state.link.note_request(len(routed.req.body), now)
    if not state.link.admit(routed.route, routed.more_urgent_ranks, now):
        ask.fut.set_result(Error(LinkSaturated()))
        return
    service = state.divisions.next(routed.route)
    chosen = choose(state, routed, service, frozenset(), now)
    budget_of(state, service).note_first(now)
    ask.fut.set_result(chosen)


@HANDLERS.register(AskAgain)
def handle_ask_again(task: PlacingTask, ask: AskAgain, now: Instant) -> None:
    """Choose another place, if the budget allows it."""
    state = task.state
    budget = budget_of(state, ask.service)
    if ask.counted and not budget.take(state.gateways, now):
        ask.fut.set_result(Error(RetriesSpent(ask.service)))
        return
    ask.fut.set_result(choose(state, ask.routed, ask.service, ask.tried, now))


@HANDLERS.register(SendEnded)
def handle_ended(task: PlacingTask, ended: SendEnded, now: Instant) -> None:
    """Free a place."""
    note_end(task.state, ended.routed, ended.place, ended.sent, now)


@HANDLERS.register(SyncAnswer)
def handle_sync(task: PlacingTask, answer: SyncAnswer, now: Instant) -> None:
    """Take over what a control process knows."""
    take_sync(task.state, answer, now)
    if answer.instances or answer.gone or answer.complete:
        task.forget({item.instance.endpoint for item in task.state.servers.values()})
    task.publish()


@HANDLERS.register(InstanceChanged)
def handle_changed(task: PlacingTask, change: InstanceChanged, now: Instant) -> None:
    """Take over one pushed change."""
    if change.gone:
        take_departure(task.state, change.instance)
    else:
        take_instance(task.state, change.instance, now)
    task.publish()
