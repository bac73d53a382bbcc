"""Define typed failures, independent of the protocol that reports them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import ClassVar


class Category(StrEnum):
    """Group failures by how the receiver may react to them."""

    INVALID = "invalid"
    UNAUTHENTICATED = "unauthenticated"
    NOT_FOUND = "not_found"
    CONFLICT = "conflict"
    OVERLOAD = "overload"
    UNAVAILABLE = "unavailable"
    TIMEOUT = "timeout"
    TOO_LARGE = "too_large"
    MISDIRECTED = "misdirected"
    UPSTREAM = "upstream"


@dataclass(frozen=True)
class Failure:
    """Describe a failure; each subclass is one reason.

    ``detail`` is free text for people.
    """

    detail: str = ""
    category: ClassVar[Category] = Category.INVALID

    @property
    def reason(self) -> str:
        """Return the reason in snake case, as used in metrics and answers."""
        name = type(self).__name__
        return "".join(
            f"_{char.lower()}" if char.isupper() else char for char in name
        ).lstrip("_")


class BadCall(Failure):
    """Reject a call whose path or headers can't be parsed."""


class BodyTooLarge(Failure):
    """Reject a body over the size limit."""

    category = Category.TOO_LARGE


class BodyMemoryFull(Failure):
    """Reject a request for whose body this process has no memory left."""

    category = Category.UNAVAILABLE


class BodySlotsFull(Failure):
    """Reject a request whose body is on its way while too many others are."""

    category = Category.UNAVAILABLE


class BodyTooSlow(Failure):
    """Reject a request whose body did not arrive by the request's deadline."""

    category = Category.UNAVAILABLE


class ThreadsBusy(Failure):
    """Reject a request that no thread of this process has taken in time."""

    category = Category.UNAVAILABLE


class UnknownService(Failure):
    """Reject a call to a service that the configuration does not list."""

    category = Category.NOT_FOUND


class UnknownKind(Failure):
    """Reject a kind of call that its service does not list."""

    category = Category.NOT_FOUND


class NoRoute(Failure):
    """Reject a request that matches no route of the routing table."""

    category = Category.NOT_FOUND


class NoRouting(Failure):
    """Reject a request before this process has a routing table."""

    category = Category.UNAVAILABLE


class ApiKeyMissing(Failure):
    """Reject a request without an API key on a route that requires one."""

    category = Category.UNAUTHENTICATED


class ApiKeyUnknown(Failure):
    """Reject a request whose API key belongs to no organisation."""

    category = Category.UNAUTHENTICATED


class ApiKeyUnproven(Failure):
    """Reject a request whose API key may have been removed by a newer routing table."""

    category = Category.UNAVAILABLE


@dataclass(frozen=True)
class ServerSaturated(Failure):
    """Reject a request at once that no backend server could answer in time."""

    excess_wait: float = 0.0
    """Seconds by which the shortest wait exceeds what is allowed."""
    category: ClassVar[Category] = Category.UNAVAILABLE


@dataclass(frozen=True)
class ServiceOverloaded(Failure):
    """Reject a request at once as the queues of its service are usually too long."""

    excess_wait: float = 0.0
    """Seconds by which the usual wait exceeds what is allowed."""
    category: ClassVar[Category] = Category.UNAVAILABLE


class RateLimited(Failure):
    """Reject a request at once as each backend server's rate is used up for now."""

    category = Category.UNAVAILABLE


@dataclass(frozen=True)
class ServersPaused(Failure):
    """Reject a request at once as all backend servers asked for a pause."""

    retry_after: float = 0.0
    """Seconds until the first pause ends."""
    category: ClassVar[Category] = Category.UNAVAILABLE


@dataclass(frozen=True)
class OrganisationLimited(Failure):
    """Reject a request at once as its organisation's rate limit is used up for now."""

    retry_after: float = 0.0
    """Seconds until a token is expected."""
    category: ClassVar[Category] = Category.OVERLOAD


class QuotaUnavailable(Failure):
    """Reject a request as no leader grants tokens of its organisation's rate limit."""

    category = Category.UNAVAILABLE


class LinkSaturated(Failure):
    """Reject a request at once whose answer this VM's network link can't carry."""

    category = Category.UNAVAILABLE


class ClientGone(Failure):
    """Cancel a request whose client has disconnected."""

    category = Category.UPSTREAM


class AttemptsSpent(Failure):
    """Reject a request that every backend server tried has rejected."""

    category = Category.UNAVAILABLE


class NotAcknowledged(Failure):
    """Reject a heartbeat whose change some live gateway has not confirmed in time."""

    category = Category.UNAVAILABLE


class VersionReused(Failure):
    """Reject a routing table whose version is stored with other content."""

    category = Category.CONFLICT


class WrongListener(Failure):
    """Reject a call that arrived at the listener of another rank."""

    category = Category.MISDIRECTED


class MissingKey(Failure):
    """Reject a non-idempotent call without a request key."""


class KeyMalformed(Failure):
    """Reject a request key without its time of issue."""


class KeyReused(Failure):
    """Reject a request key that was used with another body."""

    category = Category.CONFLICT


class KeyExpired(Failure):
    """Reject a request key that is older than the retention time of claims."""

    category = Category.CONFLICT


class KeyFromFuture(Failure):
    """Reject a request key whose time of issue lies in the future."""


class DeadlinePassed(Failure):
    """Reject a call whose deadline has passed."""

    category = Category.TIMEOUT


class CannotMeetDeadline(Failure):
    """Reject a call at once that would wait in the queue past its deadline."""

    category = Category.OVERLOAD


class QueueFull(Failure):
    """Reject a call whose kind or caller has filled its share of the queue."""

    category = Category.OVERLOAD


class NoEndpoint(Failure):
    """Reject a call for which no backend server is available."""

    category = Category.UNAVAILABLE


class DependencyDown(Failure):
    """Reject a call whose service depends on a service without capacity."""

    category = Category.UNAVAILABLE


class LinkCapReached(Failure):
    """Reject a call that only a link at its traffic cap could carry."""

    category = Category.OVERLOAD


class CutOff(Failure):
    """Reject a call while no quorum confirms the configuration of this process."""

    category = Category.UNAVAILABLE


class NoText(Failure):
    """Reject a call before this process has a configuration."""

    category = Category.UNAVAILABLE


class Stopping(Failure):
    """Reject a call because this process is stopping."""

    category = Category.UNAVAILABLE


class Busy(Failure):
    """Reject work because a task's mailbox is full or its answer is late."""

    category = Category.OVERLOAD


class ClaimUnconfirmed(Failure):
    """Report that no quorum confirmed the claim in time."""

    category = Category.UNAVAILABLE


class ClaimHeld(Failure):
    """Report that an earlier attempt with the key has no recorded outcome yet."""

    category = Category.CONFLICT


class ClaimSealed(Failure):
    """Report that the key is sealed: its call did not run and never will."""

    category = Category.CONFLICT


class BackendShed(Failure):
    """Report that the backend server rejected the call before running it."""

    category = Category.OVERLOAD


class BackendUnreachable(Failure):
    """Report that no byte of the call reached the backend server."""

    category = Category.UNAVAILABLE


class BackendBroken(Failure):
    """Report that the connection broke after the call was sent."""

    category = Category.UPSTREAM


class BackendTimedOut(Failure):
    """Report that the backend server did not answer by the deadline."""

    category = Category.TIMEOUT


class AnswerTooLarge(Failure):
    """Report an answer of a backend server that exceeds a limit."""

    category = Category.UPSTREAM


class AnswerMemoryFull(Failure):
    """Report an answer for which this process has no memory left."""

    category = Category.UPSTREAM


class AnswerMalformed(Failure):
    """Report an answer whose head is not valid HTTP or contradicts itself."""

    category = Category.UPSTREAM


class AnswerNotOwn(Failure):
    """Report that only answers to other requests came on a connection."""

    category = Category.UPSTREAM


class NotLeader(Failure):
    """Redirect to the control process that leads the replicated log."""

    category = Category.MISDIRECTED


class NoQuorum(Failure):
    """Report that no quorum confirmed the request in time."""

    category = Category.UNAVAILABLE


class VersionConflict(Failure):
    """Reject a configuration whose base version is not the latest accepted one."""

    category = Category.CONFLICT


class SubmissionReused(Failure):
    """Reject a submission id that was used with another configuration."""

    category = Category.CONFLICT


class PeerMessageInvalid(Failure):
    """Reject a message from a peer that can't be decoded."""


class MessageUnencodable(Failure):
    """Reject a message with a value that its field can't hold."""


class RequestFailed(Failure):
    """Report that handling a request raised an error; the log has the error."""

    category = Category.UNAVAILABLE


class LogCorrupt(Failure):
    """Report a stored record that was synced to disk and can't be read back."""


class DataFolderInUse(Failure):
    """Refuse to read or change a data folder that a running process has locked."""

    category = Category.CONFLICT


class DataFolderBlank(Failure):
    """Refuse a folder in which no control process has stored its identity."""

    category = Category.NOT_FOUND


class DataFolderFailed(Failure):
    """Report an operating system error while a data folder was read or written."""

    category = Category.UNAVAILABLE


class NeverMember(Failure):
    """Refuse to recover the log of a process that it never listed as a member."""


class AddressUnknown(Failure):
    """Refuse to recover a log whose last membership has no address of the process."""


@dataclass(frozen=True)
class Fault:
    """Describe one fault in a JSON document by its path, kind and explanation."""

    path: str
    kind: str
    reason: str


@dataclass(frozen=True)
class TextInvalid(Failure):
    """Reject a whole document with all its faults."""

    faults: tuple[Fault, ...] = ()


@dataclass(frozen=True)
class SettingsInvalid(Failure):
    """Reject a settings file with all its faults."""

    faults: tuple[Fault, ...] = ()
