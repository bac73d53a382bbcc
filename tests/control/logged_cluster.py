"""Simulate a cluster of control processes that log what they report."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

import logbook

from snipecart.control.effects import EFFECTS
from snipecart.control.raft.effects import ElectionFailed
from snipecart.control.raft.effects import MembershipChange
from snipecart.control.raft.effects import QuorumChange
from snipecart.control.raft.effects import RoleChange

from .open_cluster import OpenCluster

if TYPE_CHECKING:
    from snipecart.core.events import Event

    from .cluster import Process


@dataclass(frozen=True)
class LogLine:
    """Store an event that a process logged, and when."""

    at: float
    vm: str
    event: int
    fields: dict[str, Any]


class ReportingNode:
    """Stand for the node task of a process, as far as reports need it."""

    def __init__(self) -> None:
        self.outputs = self
        self.quorum_at_risk = False
        self.leader_state: Any = None

    def update_links(self) -> None:
        """Ignore the links; the simulated network has its own."""

    def publish(self) -> None:
        """Ignore the committed state."""

    def refuse_pending(self, failure: Any) -> None:
        """Ignore the proposals; the simulation stores them."""


class LoggedCluster(OpenCluster):
    """Simulate control processes that log their reports as real ones do."""

    def __init__(self, seed: int) -> None:
        self.lines: list[LogLine] = []
        self.nodes: dict[str, ReportingNode] = {}
        super().__init__(seed)

    def start(self, vm: str) -> None:
        """Start a process from the contents of its disk."""
        self.nodes[vm] = ReportingNode()
        super().start(vm)

    def run_effect(self, process: Process, effect: Any) -> None:
        """Run one effect, and log what it reports."""
        super().run_effect(process, effect)
        if not isinstance(
            effect, ElectionFailed | MembershipChange | QuorumChange | RoleChange
        ):
            return
        run, node = EFFECTS.get(type(effect)), self.nodes[process.vm]
        with logbook.TestHandler().applicationbound() as log:
            run(node, effect, self.clock(process))
        for item in log.records:
            line = LogLine(
                self.now, process.vm, item.extra["event"], item.extra["fields"]
            )
            self.lines.append(line)

    def logged(self, event: Event, since: float = 0.0) -> list[LogLine]:
        """Return the lines of an event from a time on."""
        return [
            line
            for line in self.lines
            if line.event == event.number and line.at >= since
        ]
