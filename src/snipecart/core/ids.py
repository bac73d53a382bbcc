"""Define types for the ids, versions and units that messages carry."""

from __future__ import annotations

from typing import NewType

RegionName = NewType("RegionName", str)
ZoneName = NewType("ZoneName", str)
"""Name of an availability zone, unique across all regions."""

VmName = NewType("VmName", str)
"""Name of a VM of the system, from its settings."""

NodeId = NewType("NodeId", str)
"""Id of a control process, stored on its disk; a blank disk gets a new id.

It starts with the VM on which it was stored first, and a slash.
"""

MemberId = NewType("MemberId", str)
"""Id of one run of an entry process; each start gets a new id."""

ServiceName = NewType("ServiceName", str)
KindName = NewType("KindName", str)
"""Name of a kind of call, unique within its service."""

EndpointId = NewType("EndpointId", str)
"""Address and port of a backend server, such as ``127.0.0.1:8080``."""

InstanceId = NewType("InstanceId", str)
"""Id of one run of a backend server, chosen by the server."""

RouteName = NewType("RouteName", str)
HostName = NewType("HostName", str)

OrganisationName = NewType("OrganisationName", str)
KeyDigest = NewType("KeyDigest", str)
"""SHA-256 of an API key in hexadecimal; the key itself is not kept."""

RequestId = NewType("RequestId", str)
"""Id of one request as its client sent it; a resend has another id."""

ObjectKey = NewType("ObjectKey", str)
"""Key of the object that a request concerns, used for affinity.

A backend server that has the object warm answers faster.
"""

RoutingVersion = NewType("RoutingVersion", int)
"""Version number of a routing table, set by operators; 0 before the first one."""

CallerName = NewType("CallerName", str)
RequestKey = NewType("RequestKey", str)
"""Idempotency key from the caller: ``<time of issue, Unix ms>-<opaque>``."""

CallId = NewType("CallId", str)
AttemptId = NewType("AttemptId", str)
"""Id of one attempt of one entry process to claim a request key."""

SubmissionId = NewType("SubmissionId", str)
Digest = NewType("Digest", str)
"""SHA-256 in hexadecimal."""

TextVersion = NewType("TextVersion", int)
"""Log index at which a configuration was accepted; 0 before the first one."""

Term = NewType("Term", int)
LogIndex = NewType("LogIndex", int)

Millis = NewType("Millis", int)
"""Duration in milliseconds."""

Instant = NewType("Instant", float)
"""Monotonic clock time in seconds, valid only within its process."""

UnixMillis = NewType("UnixMillis", int)
"""Wall-clock time in milliseconds since the Unix epoch, 1970."""

UnixSeconds = NewType("UnixSeconds", float)
"""Wall-clock time in seconds since the Unix epoch, 1970."""


def vm_of(node: NodeId) -> VmName:
    """Return the VM on whose disk a node id was stored first."""
    return VmName(node.partition("/")[0])
