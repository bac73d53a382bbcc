"""Declare the messages of gateways and control processes about backend servers."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

from ..core.ids import EndpointId
from ..core.ids import InstanceId
from ..core.ids import Instant
from ..core.ids import LogIndex
from ..core.ids import MemberId
from ..core.ids import Millis
from ..core.ids import NodeId
from ..core.ids import RegionName
from ..core.ids import RoutingVersion
from ..core.ids import ServiceName
from ..core.ids import UnixMillis
from ..core.ids import VmName
from ..core.ids import ZoneName
from ..core.message import message
from ..core.message import record
from ..core.states import EndpointState
from ..core.states import MemberState
from .commands import Node

if TYPE_CHECKING:
    from collections.abc import Iterable


FINAL_SEQUENCE = 2**62
"""Sequence number of a departure; greater than that of any heartbeat."""


DEPARTURE_LIFETIME = 120.0
"""Seconds after a departure for which late heartbeats of the instance may arrive."""


RATE_LEASE_DURATION = 1.5
"""Seconds after a gateway's request for which the leases in its answer are valid."""


@record
class Instance:
    """Describe one run of a backend server, as of its latest heartbeat."""

    instance: InstanceId
    endpoint: EndpointId
    service: ServiceName
    region: RegionName
    zone: ZoneName
    slots: int
    state: EndpointState
    sequence: int
    """Increases with each heartbeat of the run."""
    born: UnixMillis
    """Start of the run by its own clock; distinguishes runs with the same id."""
    cold: Millis
    """Time for which the server is still cold after this message was sent."""


def digest_instances(instances: Iterable[Instance]) -> int:
    """Return a digest of the runs and states of instances, regardless of order."""
    lines = sorted(f"{item.instance} {item.born} {item.state}" for item in instances)
    return zlib.crc32("\n".join(lines).encode())


@record
class RateLimit:
    """Report the rate that a backend server accepts from all gateways together."""

    instance: InstanceId
    born: UnixMillis
    per_s: float
    """Requests per second; 0 once the server no longer names a limit."""
    age: Millis
    """Time since the answer that said so."""


@record
class RateShare:
    """Lease a gateway a part of the rate that a backend server accepts in total."""

    instance: InstanceId
    born: UnixMillis
    share: float
    """Fraction of the server's rate; the shares of all gateways add up to one."""


@record
class LogWitness:
    """State what the log of a control process contains, committed or not.

    A control process publishes this before it confirms an entry to the leader, so an
    answer covers all that it had confirmed when it received the request.
    """

    node: NodeId
    routing_version: RoutingVersion
    """Highest version of a routing table."""
    members_index: LogIndex
    """Index of the latest membership entry."""


NO_WITNESS = LogWitness(NodeId(""), RoutingVersion(0), LogIndex(0))
"""Witness of a process that has not loaded its log; it proves nothing."""


@record
class Gateway:
    """Describe an entry process that accepts routed requests."""

    gateway: MemberId
    vm: VmName
    region: RegionName
    zone: ZoneName
    address: EndpointId
    state: MemberState


@message
class SyncRequest:
    """Report that a gateway is alive, and request all changes since a revision."""

    gateway: Gateway
    source: str
    """Run of the control process that ``revision`` comes from; empty at first."""
    revision: int
    routing_version: RoutingVersion
    evacuation_index: int
    wants_changes: bool
    """Whether to answer with changes; a gateway asks only one control process."""
    digest: int
    """Digest of all instances that the gateway stores, to detect missed changes."""
    wants_routing: bool
    """Whether to send a newer routing table; a gateway asks only one process."""
    control_index: LogIndex
    """Log index of the list of control processes that the gateway uses."""
    sent_at: Instant = Instant(0.0)
    """When the gateway sent this, by its own clock."""
    requests_per_s: int = 1
    """Requests that the gateway gets from clients, rounded."""
    limits_revision: int = 0
    """Revision of the rate limits that ``source`` listed last; 0 before it did."""
    rate_limits: tuple[RateLimit, ...] = ()
    """Rate limits in recent answers that differ from the listed ones."""


@message
class SyncAnswer:
    """Bring a gateway up to date; a field is empty if the gateway has its data."""

    source: str
    revision: int
    complete: bool
    """Whether ``instances`` lists all backend servers; others are to be removed."""
    instances: tuple[Instance, ...]
    gone: tuple[InstanceId, ...]
    routing_version: RoutingVersion
    routing: bytes
    evacuation_index: int
    evacuated: tuple[ZoneName, ...]
    control: tuple[Node, ...]
    control_index: LogIndex
    """Log index of this list of control processes."""
    gateways: int
    ready: bool
    """Whether the process has run long enough to have a heartbeat of every server."""
    absent_are_gone: bool
    """Whether a server that the process does not list has been silent for so long that
    it counts as gone."""
    lease_start: Instant = Instant(0.0)
    """When the gateway sent the request that leases ``rate_shares``; 0 if the answer
    leases none and leaves earlier leases as they are."""
    rate_shares: tuple[RateShare, ...] = ()
    """All shares of the gateway; it sends nothing to other rate-limited servers."""
    limits_revision: int = 0
    """Revision of ``rate_limits``; 0 if the earlier list stands."""
    rate_limits: tuple[RateLimit, ...] = ()
    """All rate limits that backend servers named."""
    may_be_behind: bool = False
    """Whether the process may lack newer routing tables and evacuations: it has not
    caught up with the log since its start, or has no contact to a majority."""
    sent_at: Instant = Instant(0.0)
    """When the gateway sent the request, by its own clock."""
    witness: LogWitness = NO_WITNESS
    """What the log of the process contains."""
    voters: tuple[NodeId, ...] = ()
    """Voters of the log at ``control_index``; sent with ``control``."""
    leader: VmName = VmName("")
    """VM of the leader of the log; empty if it isn't known."""
    region: RegionName = RegionName("")
    """Region of the process; empty if its settings name none."""
    plans: bool = False
    """Whether objects are placed by a plan, so that gateways report their demand."""
    accepts_short: bool = False
    """Whether the process understands short reports (``GatewayAlive``)."""


@message
class InstanceChanged:
    """Push a change of one backend server to a gateway, which confirms it."""

    instance: Instance
    gone: bool


@message
class InstanceSeen:
    """Confirm a pushed change."""

    gateway: MemberId
    instance: InstanceId
    sequence: int
    """Sequence number of the confirmed change; 0 from gateways that don't state it."""


@message
class RoutingChanged:
    """Notify a gateway of a newer routing table or newer evacuations to request."""

    routing_version: RoutingVersion
    evacuation_index: int


@record
class Departure:
    """State that a backend server leaves, or that it has left."""

    instance: Instance
    gone: bool


@message
class RecordDepartures:
    """Record departures in the replicated log.

    They outlast a restart of all control processes at once, so that none of them takes
    a late heartbeat of a server that has left for that of a new one.
    """

    departures: tuple[Departure, ...]
    forwarded: bool = False
    """Whether another process passed them on, as the leader that it knows."""


@record
class Heard:
    """Forward a heartbeat or departure that a control process received directly."""

    instance: Instance
    gone: bool


@record
class RepeatedHeartbeat:
    """Forward a heartbeat that only shows that a backend server is alive."""

    instance: InstanceId
    born: UnixMillis
    sequence: int


@message
class Gossip:
    """Forward all updates since the last gossip to the other control processes.

    Gossip without updates shows that the sender is alive.
    """

    sender: VmName
    heard: tuple[Heard, ...]
    run: str = ""
    """Id of the sender's run; a new one tells that the sender has started again."""
    repeated: tuple[RepeatedHeartbeat, ...] = ()
    rate_limits: tuple[RateLimit, ...] = ()
    """Rate limits that have changed; all of them after contact was lost."""
