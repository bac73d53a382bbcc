"""Decide what a control process tells the others about backend servers."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from ...core.ids import Instant
from ...messages.discovery import Gossip
from ...messages.discovery import Heard
from ...messages.discovery import RepeatedHeartbeat
from .gateways import CONTACT_TIMEOUT

if TYPE_CHECKING:
    from ...core.ids import VmName
    from ...messages.discovery import Instance
    from .table import InstanceTable

FULL_GOSSIP_INTERVAL = 6.0
"""Seconds between two whole copies of an unchanged instance in gossip.

Shorter than SILENCE_TIMEOUT, so that a process that missed one learns of the instance
before it would count as gone.
"""

NEVER = Instant(-1e9)


@dataclass
class GossipState:
    """Store when other control processes were heard, and what to tell them next."""

    vm: VmName
    run: str
    """Id of this process's run."""
    settle_seconds: float
    """Time after its start until a process has all live instances."""
    contacts: dict[VmName, Instant] = field(default_factory=dict)
    """Time of the latest gossip of each other process."""
    runs: dict[VmName, str] = field(default_factory=dict)
    """Latest run id of each other process."""
    heard: list[Heard] = field(default_factory=list)
    repeated: list[RepeatedHeartbeat] = field(default_factory=list)
    whole_until: Instant = NEVER
    """Until when heartbeats are forwarded whole, as some process lacks instances."""

    def peers_in_contact(self, now: Instant) -> set[VmName]:
        """Return the VMs whose gossip arrived within CONTACT_TIMEOUT."""
        return {vm for vm, at in self.contacts.items() if now < at + CONTACT_TIMEOUT}

    def forward(self, table: InstanceTable, instance: Instance, now: Instant) -> None:
        """Add a heartbeat that changes an instance to the next gossip."""
        live = table.live.get(instance.instance)
        if live is not None:
            live.forwarded_at = now
        self.heard.append(Heard(instance, gone=False))

    def forward_repeated(
        self, table: InstanceTable, instance: Instance, now: Instant
    ) -> None:
        """Add a heartbeat that changes nothing, in short form or, if due, whole."""
        live = table.live[instance.instance]
        whole_due = now >= live.forwarded_at + FULL_GOSSIP_INTERVAL
        if whole_due or now < self.whole_until:
            self.forward(table, instance, now)
            return
        self.repeated.append(
            RepeatedHeartbeat(instance.instance, instance.born, instance.sequence)
        )

    def forward_departure(self, instance: Instance) -> None:
        """Add a departure to the next gossip."""
        self.heard.append(Heard(instance, gone=True))

    def take(self) -> Gossip:
        """Return the next gossip, and start to collect the one after it."""
        gossip = Gossip(self.vm, tuple(self.heard), self.run, tuple(self.repeated))
        self.heard.clear()
        self.repeated.clear()
        return gossip

    def record_contact(
        self, gossip: Gossip, table: InstanceTable, now: Instant
    ) -> None:
        """Record contact with another process, and help one that lacks instances.

        A process that has started again, or that comes back into contact, is told which
        instances leave or have left. It would otherwise take a late heartbeat of such
        an instance for that of a new one. Others are forwarded whole until it has
        settled.
        """
        lost = now > self.contacts.get(gossip.sender, NEVER) + CONTACT_TIMEOUT
        self.contacts[gossip.sender] = now
        if gossip.run == self.runs.get(gossip.sender, "") and not lost:
            return
        self.runs[gossip.sender] = gossip.run
        self.whole_until = Instant(now + self.settle_seconds + CONTACT_TIMEOUT)
        self.heard += [
            Heard(change.instance, change.gone) for change in table.departures(now)
        ]
