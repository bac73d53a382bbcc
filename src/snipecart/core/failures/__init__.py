"""Define typed failures, independent of the protocol that reports them."""

from __future__ import annotations

from .backends import AnswerMalformed
from .backends import AnswerMemoryFull
from .backends import AnswerNotOwn
from .backends import AnswerTooLarge
from .backends import BackendBroken
from .backends import BackendShed
from .backends import BackendTimedOut
from .backends import BackendUnreachable
from .backends import NoEndpoint
from .base import BadCall
from .base import Busy
from .base import Category
from .base import Failure
from .base import RequestFailed
from .base import Stopping
from .bodies import BodyMemoryFull
from .bodies import BodySlotsFull
from .bodies import BodyTooLarge
from .bodies import BodyTooSlow
from .bodies import ThreadsBusy
from .calls import CannotMeetDeadline
from .calls import ClaimHeld
from .calls import ClaimSealed
from .calls import ClaimUnconfirmed
from .calls import CutOff
from .calls import DeadlinePassed
from .calls import DependencyDown
from .calls import KeyExpired
from .calls import KeyFromFuture
from .calls import KeyMalformed
from .calls import KeyReused
from .calls import LinkCapReached
from .calls import MissingKey
from .calls import NoText
from .calls import QueueFull
from .calls import UnknownKind
from .calls import UnknownService
from .calls import WrongListener
from .control import MessageUnencodable
from .control import NoQuorum
from .control import NotAcknowledged
from .control import NotLeader
from .control import PeerMessageInvalid
from .control import SubmissionReused
from .control import VersionConflict
from .control import VersionReused
from .documents import Fault
from .documents import SettingsInvalid
from .documents import TextInvalid
from .requests import ApiKeyMissing
from .requests import ApiKeyUnknown
from .requests import ApiKeyUnproven
from .requests import AttemptsSpent
from .requests import ClientGone
from .requests import LinkSaturated
from .requests import NoRoute
from .requests import NoRouting
from .requests import OrganisationLimited
from .requests import QuotaUnavailable
from .requests import RateLimited
from .requests import ServerSaturated
from .requests import ServersPaused
from .requests import ServiceOverloaded
from .storage import AddressUnknown
from .storage import DataFolderBlank
from .storage import DataFolderFailed
from .storage import DataFolderInUse
from .storage import LogCorrupt
from .storage import NeverMember

__all__ = [
    "AddressUnknown",
    "AnswerMalformed",
    "AnswerMemoryFull",
    "AnswerNotOwn",
    "AnswerTooLarge",
    "ApiKeyMissing",
    "ApiKeyUnknown",
    "ApiKeyUnproven",
    "AttemptsSpent",
    "BackendBroken",
    "BackendShed",
    "BackendTimedOut",
    "BackendUnreachable",
    "BadCall",
    "BodyMemoryFull",
    "BodySlotsFull",
    "BodyTooLarge",
    "BodyTooSlow",
    "Busy",
    "CannotMeetDeadline",
    "Category",
    "ClaimHeld",
    "ClaimSealed",
    "ClaimUnconfirmed",
    "ClientGone",
    "CutOff",
    "DataFolderBlank",
    "DataFolderFailed",
    "DataFolderInUse",
    "DeadlinePassed",
    "DependencyDown",
    "Failure",
    "Fault",
    "KeyExpired",
    "KeyFromFuture",
    "KeyMalformed",
    "KeyReused",
    "LinkCapReached",
    "LinkSaturated",
    "LogCorrupt",
    "MessageUnencodable",
    "MissingKey",
    "NeverMember",
    "NoEndpoint",
    "NoQuorum",
    "NoRoute",
    "NoRouting",
    "NoText",
    "NotAcknowledged",
    "NotLeader",
    "OrganisationLimited",
    "PeerMessageInvalid",
    "QueueFull",
    "QuotaUnavailable",
    "RateLimited",
    "RequestFailed",
    "ServerSaturated",
    "ServersPaused",
    "ServiceOverloaded",
    "SettingsInvalid",
    "Stopping",
    "SubmissionReused",
    "TextInvalid",
    "ThreadsBusy",
    "UnknownKind",
    "UnknownService",
    "VersionConflict",
    "VersionReused",
    "WrongListener",
]
