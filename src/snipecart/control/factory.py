"""Assemble snipecart-control."""

from __future__ import annotations

import uuid
from contextlib import contextmanager
from dataclasses import dataclass
from functools import partial
from random import Random
from typing import TYPE_CHECKING
from typing import Any

from expression import Error
from expression import Ok
from expression import Result

from ..core.ids import NodeId
from ..core.ids import VmName
from ..core.task import monotonic
from ..core.task import running
from ..messages.commands import Node
from ..messages.raft import JoinAnswer
from ..wire.codec import Framed
from ..wire.links import Link
from ..wire.links import Listener
from ..wire.links import Received
from .discovery.task import HANDLERS as DISCOVERY_HANDLERS
from .discovery.task import DiscoveryTask
from .disk.store import RecoveredState
from .disk.store import Store
from .disk.store import founder_id
from .disk.store import lock_data_folder
from .disk.store import recover
from .disk.task import DiskTask
from .machine.state import MachineState
from .machine.state import load_state
from .node import EVERYONE
from .node import NodeTask
from .node import Outlets
from .raft.log import Log
from .raft.replication import extract_memberships
from .raft.state import Membership
from .raft.state import RaftState

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from ..core.failures import Failure
    from ..program.settings import ControlSettings


def founders(cfg: ControlSettings) -> tuple[Node, ...]:
    """Return the control processes that a new log begins with."""
    return tuple(
        Node(founder_id(peer.vm), peer.vm, peer.host, peer.port) for peer in cfg.peers
    )


def make_state(recovered: RecoveredState, seed: int) -> RaftState:
    """Return the log's state as the disk told it."""
    now = monotonic()
    state = RaftState(recovered.node, Random(seed), last_leader_contact=now)
    state.term, state.voted_for = recovered.term, recovered.voted_for
    snapshot, entries = recovered.snapshot, recovered.entries
    if snapshot is not None:
        state.snapshot = snapshot
        state.commit = snapshot.index
        state.members.append(
            Membership(snapshot.index, snapshot.voters, snapshot.learners)
        )
    state.log = _make_log(recovered)
    for entry in entries:
        if snapshot is None or entry.index > snapshot.index:
            state.members += extract_memberships(entry)
    state.synced_index = state.log.last_index
    state.reset_election_timer(now)
    return state


def _make_log(recovered: RecoveredState) -> Log:
    snapshot, entries = recovered.snapshot, recovered.entries
    if snapshot is None:
        log = Log()
    elif entries and entries[0].index <= snapshot.index:
        first = entries.pop(0)
        log = Log(first.index, first.term)
    else:
        log = Log(snapshot.index, snapshot.index_term)
        entries = [entry for entry in entries if entry.index > snapshot.index]
    for entry in entries:
        log.append(entry)
    return log


class Links:
    """Keep a link to the VM of each other control process.

    ``seeds`` are those that the settings name; they may be replaced at any time.
    """

    def __init__(self, cfg: ControlSettings) -> None:
        self._cfg = cfg
        self.seeds = founders(cfg)
        self._links: dict[VmName, Link] = {}
        self._nodes: dict[VmName, Node] = {}
        self.sink: Callable[[Framed], Any] = _ignore
        """Takes answers; peers otherwise talk over links of their own."""

    def relink(self, nodes: tuple[Node, ...]) -> None:
        """Open links to the VMs of the settings and of the log's members."""
        wanted = {node.vm: node for node in (*self.seeds, *nodes)}
        wanted.pop(self._cfg.vm, None)
        for vm in set(self._links) - set(wanted):
            self._links.pop(vm).stop(0.0)
        for vm, node in wanted.items():
            before = self._nodes.get(vm)
            if before is None or (before.host, before.port) != (node.host, node.port):
                self._open(vm, node)

    def send(self, to: NodeId, message: Any) -> None:
        """Send to the VM of one node, or to all with ``*``."""
        if to == EVERYONE:
            chosen = list(self._links.values())
        else:
            link = self._links.get(VmName(to.partition("/")[0]))
            chosen = [link] if link is not None else []
        for link in chosen:
            link.post(Framed(0, message))

    def close(self) -> None:
        """Close all links."""
        for link in self._links.values():
            link.stop(1.0)

    def _open(self, vm: VmName, node: Node) -> None:
        if vm in self._links:
            self._links[vm].stop(0.0)
        link = Link(vm, node.host, node.port, self._cfg.host, self._take)
        link.start()
        self._links[vm], self._nodes[vm] = link, node

    def _take(self, framed: Framed) -> None:
        self.sink(framed)


def _ignore(framed: Framed) -> None:
    """Drop an answer."""


def make_node(
    cfg: ControlSettings,
    recovered: RecoveredState,
    links: Links,
    persist: Callable[[Any], bool],
    discovery: DiscoveryTask,
) -> NodeTask:
    """Return the node task."""
    state = make_state(recovered, uuid.uuid4().int)
    machine = load_state(state.snapshot.state) if state.snapshot else MachineState()
    state.open_to_vms = cfg.open_to_vms
    me = Node(recovered.node, cfg.vm, cfg.host, cfg.peer_port, not cfg.founding)
    outlets = Outlets(links.send, persist, links.relink, discovery.post)
    return NodeTask(state, machine, me, outlets)


@dataclass(frozen=True)
class ControlTasks:
    """Hold the tasks of a control process that others talk to."""

    node: NodeTask
    discovery: DiscoveryTask
    links: Links

    def reseed(self, cfg: ControlSettings) -> None:
        """Take over the control processes that newer settings name."""
        self.links.seeds = founders(cfg)
        self.node.post(Received(JoinAnswer(self.links.seeds), _ignore))

    def post(self, received: Received) -> bool:
        """Hand a peer's message to the task that handles it."""
        if type(received.message) in DISCOVERY_HANDLERS:
            return self.discovery.post(received)
        return self.node.post(received)


@contextmanager
def control_tasks(cfg: ControlSettings) -> Iterator[Result[ControlTasks, Failure]]:
    """Own the data folder and the tasks of a control process."""
    with lock_data_folder(cfg.data) as folder:
        recovered = recover(folder, cfg.vm)
        if recovered.is_error():
            yield Error(recovered.error)
            return
        links = Links(cfg)
        disk = DiskTask(
            Store(folder),
            send=lambda effect: links.send(effect.to, effect.message),
            report=lambda synced: node.mailbox.post_waiting(synced),
        )
        discovery = DiscoveryTask(
            cfg.vm, partial(links.send, EVERYONE), cfg.report_every_s
        )
        node = make_node(cfg, recovered.ok, links, disk.post, discovery)
        tasks = ControlTasks(node, discovery, links)
        links.sink = lambda framed: tasks.post(Received(framed.message, _ignore))
        links.relink(tuple(node.state.peers))
        node.publish()
        listener = Listener(cfg.host, cfg.peer_port, tasks.post)
        with running(disk, discovery, node):
            listener.start()
            try:
                yield Ok(tasks)
            finally:
                listener.stop()
                links.close()
