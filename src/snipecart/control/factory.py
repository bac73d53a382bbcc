"""Create the tasks of snipecart-control and connect them."""

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

from ..core.ids import LogIndex
from ..core.ids import NodeId
from ..core.ids import VmName
from ..core.ids import vm_of
from ..core.task import monotonic
from ..core.task import running
from ..messages.commands import Node
from ..messages.raft import JoinAnswer
from ..wire.codec import Envelope
from ..wire.codec import is_encodable
from ..wire.links import EncodedMessage
from ..wire.links import IncomingMessage
from ..wire.links import Link
from ..wire.links import Listener
from ..wire.links import encode_or_drop
from .discovery.handlers import HANDLERS as DISCOVERY_HANDLERS
from .discovery.task import DiscoveryTask
from .disk.store import RecoveredState
from .disk.store import Store
from .disk.store import founder_id
from .disk.store import lock_data_folder
from .disk.store import recover
from .disk.task import DiskTask
from .leases.limits import QuotaRule
from .machine.state import MachineState
from .machine.state import apply_entry
from .machine.state import load_state
from .node import ALL_NODES
from .node import NodeOutputs
from .node import NodeTask
from .raft.log import Log
from .raft.replication import extract_memberships
from .raft.silence import record_start
from .raft.state import Membership
from .raft.state import RaftState

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from ..core.failures import Failure
    from ..program.settings import ControlSettings
    from .requests import Reply


def initial_voters(cfg: ControlSettings) -> tuple[Node, ...]:
    """Return the voters of a new log: the control processes in the settings."""
    return tuple(
        Node(founder_id(peer.vm), peer.vm, peer.host, peer.port) for peer in cfg.peers
    )


def restore_raft_state(recovered: RecoveredState, seed: int) -> RaftState:
    """Return the state of the log, restored from the data on disk."""
    now = monotonic()
    state = RaftState(recovered.node, Random(seed), last_leader_contact=now)
    state.term, state.voted_for = recovered.term, recovered.voted_for
    snapshot, entries = recovered.snapshot, recovered.entries
    if snapshot is not None:
        state.snapshot = snapshot
        state.commit = snapshot.index
        state.memberships.append(
            Membership(snapshot.index, snapshot.voters, snapshot.learners)
        )
    state.log = _restore_log(recovered)
    for entry in entries:
        if snapshot is None or entry.index > snapshot.index:
            state.memberships += extract_memberships(entry)
    state.synced_index = state.log.last_index
    known = min(recovered.commit, state.log.last_index)
    state.commit = state.persisted_commit = LogIndex(max(state.commit, known))
    state.reset_election_timer(now)
    record_start(state, now)
    return state


def restore_machine(state: RaftState) -> MachineState:
    """Return the replicated state as of the last entry known to be committed."""
    snapshot = state.snapshot
    machine = load_state(snapshot.state) if snapshot is not None else MachineState()
    for entry in state.log.entries:
        if (snapshot is None or entry.index > snapshot.index) and (
            entry.index <= state.commit
        ):
            apply_entry(machine, entry)
    return machine


def _restore_log(recovered: RecoveredState) -> Log:
    """Return the log on disk, or an empty one that follows the snapshot.

    The entries on disk may end before the snapshot if the process ended while it
    installed it.
    """
    snapshot, entries = recovered.snapshot, recovered.entries
    if snapshot is not None and entries and entries[-1].index < snapshot.index:
        entries = []
    if snapshot is None:
        log = Log()
    elif entries and entries[0].index <= snapshot.index:
        first, entries = entries[0], entries[1:]
        log = Log(first.index, first.term)
    else:
        log = Log(snapshot.index, snapshot.index_term)
        entries = [entry for entry in entries if entry.index > snapshot.index]
    for entry in entries:
        log.append(entry)
    return log


LIVE_CONTROL_SETTINGS = frozenset({"peers"})
"""Settings that take effect while a control process runs."""


class Links:
    """Manage one link to the VM of each other control process.

    ``seeds`` are the control processes in the settings; they may change at any time.
    """

    def __init__(self, cfg: ControlSettings) -> None:
        self._cfg = cfg
        self.seeds = initial_voters(cfg)
        self._links: dict[VmName, Link] = {}
        self._nodes: dict[VmName, Node] = {}
        self._return_paths: dict[VmName, Reply] = {}
        """Answer VMs without a link here, on the connections from which they send."""
        self.answer_handler: Callable[[Envelope], Any] = _discard
        """Handles answers on these links; peers send requests over their own links."""

    def update_links(self, nodes: tuple[Node, ...]) -> None:
        """Open links to the VMs of the seeds and of ``nodes``, and close all others."""
        wanted = {node.vm: node for node in (*self.seeds, *nodes)}
        wanted.pop(self._cfg.vm, None)
        for vm in set(self._links) - set(wanted):
            self._links.pop(vm).stop(0.0)
            del self._nodes[vm]
        self._return_paths.clear()
        for vm, node in wanted.items():
            before = self._nodes.get(vm)
            if before is None or (before.host, before.port) != (node.host, node.port):
                self._open(vm, node)

    def add_return_path(self, vm: VmName, reply: Reply) -> None:
        """Remember how to answer a VM that sends requests, if there is no link to it.

        The log and the settings of this process may be older than that VM.
        """
        if vm not in self._links:
            self._return_paths[vm] = reply

    def send(self, to: NodeId, message: Any) -> None:
        """Send to the VM of one node, or to all known ones for ALL_NODES."""
        if to == ALL_NODES:
            self._send_to_all(message)
            return
        vm = vm_of(to)
        if vm in self._links:
            self._links[vm].post(Envelope(0, message))
        elif vm in self._return_paths:
            self._return_paths[vm](message)

    def _send_to_all(self, message: Any) -> None:
        frame = encode_or_drop(Envelope(0, message))
        if frame is None:
            return
        for link in list(self._links.values()):
            link.post(EncodedMessage(frame))
        for reply in list(self._return_paths.values()):
            reply(message)

    def close(self) -> None:
        """Close all links, while the node task may still change them."""
        for link in list(self._links.values()):
            link.stop(1.0)

    def _open(self, vm: VmName, node: Node) -> None:
        if vm in self._links:
            self._links[vm].stop(0.0)
        link = Link(vm, node.host, node.port, self._cfg.host, self._forward_answer)
        link.start()
        self._links[vm], self._nodes[vm] = link, node

    def _forward_answer(self, envelope: Envelope) -> None:
        self.answer_handler(envelope)


def _discard(envelope: Envelope) -> None:
    """Discard an answer."""


def make_node(
    cfg: ControlSettings,
    recovered: RecoveredState,
    links: Links,
    persist: Callable[[Any], bool],
    discovery: DiscoveryTask,
) -> NodeTask:
    """Return the node task with its recovered state."""
    state = restore_raft_state(recovered, uuid.uuid4().int)
    machine = restore_machine(state)
    state.open_to_vms = cfg.open_to_vms
    own_node = Node(recovered.node, cfg.vm, cfg.host, cfg.peer_port, not cfg.founding)
    outputs = NodeOutputs(
        links.send,
        persist,
        links.update_links,
        discovery.mailbox.post_blocking,
        links.add_return_path,
        is_encodable,
    )
    node = NodeTask(state, machine, own_node, outputs)
    node.quota_rule = QuotaRule(cfg.quota.window_s, cfg.quota.overage, cfg.quota.slack)
    return node


@dataclass(frozen=True)
class ControlTasks:
    """Store the tasks of a control process that receive messages."""

    node: NodeTask
    discovery: DiscoveryTask
    links: Links

    def update_seeds(self, cfg: ControlSettings) -> None:
        """Replace the seeds by the control processes in newer settings."""
        self.links.seeds = initial_voters(cfg)
        self.node.post(IncomingMessage(JoinAnswer(self.links.seeds), _discard))

    def post(self, received: IncomingMessage) -> bool:
        """Pass a peer's message to the task that handles it."""
        if type(received.message) in DISCOVERY_HANDLERS:
            return self.discovery.post(received)
        return self.node.post(received)


@contextmanager
def control_tasks(cfg: ControlSettings) -> Iterator[Result[ControlTasks, Failure]]:
    """Open the data folder and run the tasks of a control process."""
    with lock_data_folder(cfg.data) as folder:
        recovered = recover(folder, cfg.vm)
        if recovered.is_error():
            yield Error(recovered.error)
            return
        links = Links(cfg)
        disk = DiskTask(
            Store(folder),
            send=lambda effect: links.send(effect.to, effect.message),
            report=lambda synced: node.mailbox.post_blocking(synced),
        )
        discovery = DiscoveryTask(
            cfg.vm,
            broadcast=partial(links.send, ALL_NODES),
            record=lambda command: node.post(IncomingMessage(command, _discard)),
            heartbeat_interval=cfg.report_every_s,
            region=cfg.region,
            placement=cfg.placement,
        )
        node = make_node(cfg, recovered.ok, links, disk.post, discovery)
        tasks = ControlTasks(node, discovery, links)
        links.answer_handler = lambda envelope: tasks.post(
            IncomingMessage(envelope.message, _discard)
        )
        links.update_links(tuple(node.state.peers))
        node.publish()
        listener = Listener(cfg.host, cfg.peer_port, tasks.post)
        with running(disk, discovery, node):
            listener.start()
            try:
                yield Ok(tasks)
            finally:
                listener.stop()
                links.close()
