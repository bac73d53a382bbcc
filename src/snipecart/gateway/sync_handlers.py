"""Handle the messages to the sync task of a gateway."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Any

from ..core.ids import Instant
from ..core.ids import VmName
from ..core.registry import Registry
from ..core.states import EndpointState
from ..messages.alive import AliveAnswer
from ..messages.discovery import InstanceChanged
from ..messages.discovery import InstanceSeen
from ..messages.discovery import RoutingChanged
from ..messages.discovery import SyncAnswer
from ..messages.placement import DemandReport
from ..messages.placement import PlacementUpdate
from ..messages.quota import QuotaAnswer
from .balancing.demand import DemandTaken
from .balancing.demand import TakePlan
from .peers import PeerMessage
from .quota import TokensWanted
from .short_reports import expand_answer
from .short_reports import without_routing

if TYPE_CHECKING:
    from ..program.settings import ControlPeer
    from .sync import SyncTask

Handler = Callable[["SyncTask", Any, Instant], None]

PeerHandler = Callable[["SyncTask", VmName, Any, Instant], None]
"""Handler of a message from the control process on the VM."""

HANDLERS: Registry[type[Any], Handler] = Registry("handlers of sync messages")

PEER_HANDLERS: Registry[type[Any], PeerHandler] = Registry(
    "handlers of messages from control processes"
)


@dataclass(frozen=True)
class SetLeaving:
    """Ask the task to announce to all control processes that this gateway leaves."""


@dataclass(frozen=True)
class SetSeeds:
    """Ask the task to replace the control processes from the settings."""

    seeds: tuple[ControlPeer, ...]


@HANDLERS.register(SetLeaving)
def handle_leaving(task: SyncTask, message: SetLeaving, now: Instant) -> None:
    """Announce at once that this gateway leaves."""
    task.leave(now)


@HANDLERS.register(SetSeeds)
def handle_seeds(task: SyncTask, message: SetSeeds, now: Instant) -> None:
    """Replace the control processes from the settings."""
    task.replace_seeds(message.seeds)


@HANDLERS.register(TokensWanted)
def handle_tokens_wanted(task: SyncTask, message: TokensWanted, now: Instant) -> None:
    """Make an urgent report due, as requests wait for tokens."""
    task.quota.request_urgent_report()


@HANDLERS.register(DemandTaken)
def handle_demand(task: SyncTask, taken: DemandTaken, now: Instant) -> None:
    """Report demand to the leader of the log."""
    task.demand_schedule.has_unplaced = taken.has_unplaced
    gateway = task.gateway
    task.send_to_leader(
        DemandReport(gateway.vm, gateway.region, taken.plan, taken.demand)
    )


@HANDLERS.register(PlacementUpdate)
def handle_own_plan(task: SyncTask, update: PlacementUpdate, now: Instant) -> None:
    """Send the plan of this gateway to a leader that asked for it."""
    task.send_to_leader(update)


@HANDLERS.register(PeerMessage)
def handle_peer_message(task: SyncTask, received: PeerMessage, now: Instant) -> None:
    """Handle a message from a control process, if it is still linked."""
    kind = type(received.message)
    if received.vm in task.peers and kind in PEER_HANDLERS:
        PEER_HANDLERS.get(kind)(task, received.vm, received.message, now)


@PEER_HANDLERS.register(PlacementUpdate)
def handle_plan(
    task: SyncTask, vm: VmName, update: PlacementUpdate, now: Instant
) -> None:
    """Pass a plan to the balancer, or ask it for its plan if the leader wants that."""
    task.balancer.post(TakePlan(task.post) if update.wanted else update)


@PEER_HANDLERS.register(InstanceChanged)
def handle_instance(
    task: SyncTask, vm: VmName, change: InstanceChanged, now: Instant
) -> None:
    """Pass on the change of a backend server, and confirm that of a leaving one."""
    task.balancer.post(change)
    instance = change.instance
    if change.gone or instance.state is EndpointState.LEAVING:
        task.send(
            vm,
            InstanceSeen(task.gateway.gateway, instance.instance, instance.sequence),
        )


@PEER_HANDLERS.register(RoutingChanged)
def handle_routing(
    task: SyncTask, vm: VmName, change: RoutingChanged, now: Instant
) -> None:
    """Fetch newer routing from the process that announced it."""
    task.fetch_newer_routing(vm, change.routing_version, change.evacuation_index, now)


@PEER_HANDLERS.register(SyncAnswer)
def handle_full_answer(
    task: SyncTask, vm: VmName, answer: SyncAnswer, now: Instant
) -> None:
    """Handle the answer to a full request."""
    follows = vm == task.followed
    task.find_peer(vm).report.record_answer(answer)
    task.demand_schedule.record_answer(answer, now, followed=follows)
    if follows:
        task.followed_list.record_answer(answer, now)
    _apply_answer(task, vm, answer, now)


@PEER_HANDLERS.register(AliveAnswer)
def handle_short_answer(
    task: SyncTask, vm: VmName, answer: AliveAnswer, now: Instant
) -> None:
    """Handle the answer to a short report; fetch what it shows to be newer."""
    peer = task.find_peer(vm)
    peer.report.record_short_answer(answer)
    expanded = expand_answer(answer, peer.region)
    task.demand_schedule.record_answer(expanded, now, followed=False)
    _apply_answer(task, vm, expanded, now)
    task.fetch_newer(vm, answer, now)


@PEER_HANDLERS.register(QuotaAnswer)
def handle_quota_answer(
    task: SyncTask, vm: VmName, answer: QuotaAnswer, now: Instant
) -> None:
    """Apply the leader's decision about tokens."""
    task.quota.apply(vm, answer, now)


def _apply_answer(task: SyncTask, vm: VmName, answer: SyncAnswer, now: Instant) -> None:
    """Pass an answer to the balancer, and update the links and the sync state.

    Changes of backend servers and rate limits are passed on only from the followed
    process.
    """
    task.find_peer(vm).record_answer(answer, now)
    if answer.may_be_behind and task.balancer.view.index is None:
        answer = without_routing(answer)
    task.record_first_answer(now)
    follows = vm == task.followed
    if not follows or not answer.source:
        answer = replace(answer, source="", instances=(), gone=(), complete=False)
    if not follows:
        answer = replace(
            answer, lease_start=Instant(0.0), rate_shares=(), limits_revision=0
        )
    task.balancer.post(answer)
    if not answer.routing:
        task.fetch_newer_routing(vm, answer.routing_version, 0, now)
    task.adopt_members(answer, now)
    task.table_proof.record(answer)
