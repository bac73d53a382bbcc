"""Answer the short reports of gateways that follow another control process."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...messages.alive import AliveAnswer
from ...messages.alive import GatewayAlive
from .handlers import HANDLERS

if TYPE_CHECKING:
    from ...core.ids import Instant
    from ...wire.links import IncomingMessage
    from .task import DiscoveryTask


@HANDLERS.register(GatewayAlive)
def handle_alive(task: DiscoveryTask, req: IncomingMessage, now: Instant) -> None:
    """Record that a gateway is alive, and tell it which versions are the newest."""
    report: GatewayAlive = req.message
    known = task.gateways.record_alive(report, req.reply, now)
    task.check_gateways(now)
    committed_state = task.committed_state
    answer = AliveAnswer(
        sent_at=report.sent_at,
        known=known,
        routing_version=committed_state.routing_version,
        evacuation_index=committed_state.evacuation_index,
        control_index=committed_state.members_index,
        gateways=task.live_gateways,
        ready=task.is_ready(now),
        may_be_behind=task.may_be_behind(now),
        witness=committed_state.witness,
        leader=committed_state.leader,
    )
    req.reply(answer)
