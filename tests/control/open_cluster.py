"""Simulate a cluster whose control VMs are replaced by VMs at other addresses."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Any

from snipecart.control.node import JOIN_INTERVAL
from snipecart.control.raft import timing
from snipecart.control.raft.membership import make_join_request
from snipecart.control.raft.membership import select_contacts
from snipecart.core.ids import NodeId
from snipecart.core.states import Role
from snipecart.messages.commands import Node
from snipecart.messages.raft import JoinAnswer
from snipecart.messages.raft import JoinRequest
from snipecart.messages.raft import sender_of

from .cluster import Cluster
from .cluster import Disk
from .cluster import Process

if TYPE_CHECKING:
    from collections.abc import Iterable

FOUNDERS = ("a1", "b1", "c1", "d1", "e1")


@dataclass
class Membership:
    """Store what a process knows of the others, and whether it was added."""

    seeds: set[str]
    """VMs in its settings."""
    added: bool
    named_members: tuple[Node, ...] = ()
    """Members in the latest answer to a join request, forgotten at the next start."""
    return_paths: dict[str, Any] = field(default_factory=dict)
    """States of the VMs that sent requests since it started, whose connections exist
    until one of them starts again."""
    join_due: float = 0.0


class OpenCluster(Cluster):
    """Simulate a log that is open to VMs, which know each other by seeds and log."""

    def __init__(self, seed: int, founders: tuple[str, ...] = FOUNDERS) -> None:
        self.known: dict[str, Membership] = {
            vm: Membership(set(founders[:3]), False) for vm in founders
        }
        super().__init__(seed, founders=founders)

    def start(self, vm: str) -> None:
        """Start a process from the contents of its disk.

        Only its first start can be one at which the system is founded.
        """
        self.known[vm].added |= self.now > 0.0
        super().start(vm)
        self.processes[vm].state.open_to_vms = True
        self.known[vm].named_members = ()
        self.known[vm].return_paths = {}

    def add_vm(self, vm: str, seeds: Iterable[str]) -> None:
        """Start a control process on a new VM with a blank disk."""
        self.sequence += 1
        disk = Disk(NodeId(f"{vm}/{self.sequence}"))
        self.processes[vm] = Process(vm, disk, self.rng.uniform(0.97, 1.03))
        self.known[vm] = Membership(set(seeds), True)
        self.start(vm)

    def remove_vm(self, vm: str) -> None:
        """End a VM for good, with its disk."""
        self.crash(vm)
        del self.processes[vm]

    def lose_power(self, vms: Iterable[str]) -> None:
        """Crash processes, which keep their synced disks."""
        for vm in vms:
            self.crash(vm)

    def links(self, process: Process) -> set[str]:
        """Return the VMs that a process has links to."""
        known = self.known[process.vm]
        contacts = select_contacts(process.state, known.named_members)
        return ({node.vm for node in contacts} | known.seeds) - {process.vm}

    def send_join_request(self, process: Process) -> None:
        """Send a join request as a control process does that is open to VMs."""
        state, known = process.state, self.known[process.vm]
        now = self.clock(process)
        member_ids = {node.node for node in (*state.voters, *state.learners)}
        lost_contact = now > state.last_leader_contact + timing.REJOIN_TIMEOUT
        is_member = state.node_id in member_ids and not lost_contact
        if is_member or state.role is Role.LEADER or now < known.join_due:
            return
        known.join_due = now + JOIN_INTERVAL
        own_node = Node(state.node_id, process.vm, process.vm, 1, known.added)
        for vm in sorted(self.links(process) | self.paths_back(process)):
            self.send(process.vm, vm, make_join_request(state, own_node))

    def send(self, source: str, target: str, message: Any) -> None:
        """Send over a link, if there is one; answers go back on the same link."""
        process = self.processes.get(source)
        if process is None or process.state is None:
            return
        is_linked = isinstance(message, JoinAnswer) or target in self.links(process)
        if is_linked or target in self.paths_back(process):
            super().send(source, target, message)

    def paths_back(self, process: Process) -> set[str]:
        """Return the VMs that a process can answer on their own connections."""
        paths = self.known[process.vm].return_paths
        return {
            vm
            for vm, state in paths.items()
            if vm in self.processes and self.processes[vm].state is state
        }

    def arrive(self, source: str, target: str, message: Any) -> None:
        """Deliver a message unless its link is cut; requests show a path back."""
        sender = self.processes.get(source)
        is_cut = (source, target) in self.cut_links
        if sender_of(message) and sender is not None and not is_cut:
            self.known[target].return_paths[source] = sender.state
        super().arrive(source, target, message)

    def handle_event(self, process: Process, event: Any) -> None:
        """Pass an event to a process, and answer join requests with the members."""
        if isinstance(event, JoinAnswer):
            self.known[process.vm].named_members = event.nodes
            return
        super().handle_event(process, event)
        if isinstance(event, JoinRequest) and not event.forwarded:
            state = process.state
            answer = JoinAnswer((*state.voters, *state.learners))
            self.send(process.vm, event.joiner.vm, answer)
