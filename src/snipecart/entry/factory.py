"""Assemble the tasks and the HTTP servers of an entry process."""

from __future__ import annotations

import threading
import uuid
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..core.ids import MemberId
from ..core.states import MemberState
from ..core.task import running
from ..messages.members import Member
from ..messages.members import RankPort
from ..program.listener import HttpListener
from ..program.web import serving_pages
from .backend import BackendClient
from .canceller import CancellerTask
from .canceller import ClaimCloserTask
from .control_client import ControlClient
from .filters.registry import CallContext
from .heartbeat import HeartbeatTask
from .heartbeat import SetLeaving
from .lookup import LookupApplication
from .pages import EntryPages
from .pipeline import CallPipeline
from .source import CallSource
from .steering.messages import SetDraining
from .steering.messages import SetStopping
from .steering.state import Locality
from .steering.state import PolicyKeys
from .steering.state import SteeringState
from .steering.task import SteeringTask

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..program.settings import EntrySettings

COMMON_LISTENER_THREADS = 16

RESERVED_THREADS = 8
"""Threads of a rank's listener that stay free to refuse calls at once."""

MAX_CLAIMED_DISPATCHES = 128
"""Maximum number of non-idempotent dispatches in progress."""


@dataclass(frozen=True)
class EntryTasks:
    """Store the tasks of an entry process."""

    steering: SteeringTask
    heartbeat: HeartbeatTask
    control: ControlClient
    canceller: CancellerTask
    claim_closer: ClaimCloserTask


def make_member(cfg: EntrySettings) -> Member:
    """Return this entry process as a member, with a new id at each start."""
    return Member(
        MemberId(f"{cfg.vm}/{uuid.uuid4().hex[:12]}"),
        cfg.vm,
        cfg.region,
        cfg.zone,
        cfg.host,
        tuple(RankPort(item.rank, item.port) for item in cfg.listeners),
        MemberState.SERVING,
    )


def make_steering(cfg: EntrySettings) -> SteeringTask:
    """Return the steering task in its initial state."""
    limits = {
        item.rank: max(1, item.threads - RESERVED_THREADS) for item in cfg.listeners
    }
    policies = cfg.policies
    policy_keys = PolicyKeys(policies.admission, policies.routing, policies.retry)
    return SteeringTask(
        SteeringState(Locality(cfg.region, cfg.zone), policy_keys, limits)
    )


def make_listeners(cfg: EntrySettings) -> list[HttpListener]:
    """Return the common listener and the listener of each rank."""
    common_listener = HttpListener(cfg.host, cfg.http_port, COMMON_LISTENER_THREADS)
    rank_listeners = [
        HttpListener(cfg.host, item.port, item.threads) for item in cfg.listeners
    ]
    return [common_listener, *rank_listeners]


@contextmanager
def entry_program(cfg: EntrySettings) -> Iterator[EntryTasks]:
    """Run an entry process until the block ends, then drain it."""
    member = make_member(cfg)
    backends = BackendClient(cfg.host)
    steering = make_steering(cfg)
    control = ControlClient(cfg.control, cfg.host)
    heartbeat = HeartbeatTask(member, control, steering, backends)
    tasks = EntryTasks(
        steering, heartbeat, control, CancellerTask(backends), ClaimCloserTask(control)
    )
    with (
        running(control, steering, heartbeat, tasks.canceller, tasks.claim_closer),
        ThreadPoolExecutor(MAX_CLAIMED_DISPATCHES, "run") as executor,
    ):
        ctx = CallContext(
            member.member,
            steering,
            control,
            backends,
            tasks.canceller,
            tasks.claim_closer,
            executor,
            cfg.max_body,
        )
        ranks = {item.port: item.rank for item in cfg.listeners}
        apps = {
            "/call": CallSource(CallPipeline(ctx), steering, ranks, cfg.max_body),
            "/lookup": LookupApplication(steering, member, cfg.lookup_cache_s),
        }
        with serving_pages(make_listeners(cfg), apps, EntryPages(steering, heartbeat)):
            yield tasks
            drain(tasks, cfg.drain_s)
    backends.close()


def drain(tasks: EntryTasks, seconds: float) -> None:
    """Announce the departure, accept calls for ``seconds``, then refuse new ones.

    Meanwhile, cached lookup answers that name this process expire.
    """
    tasks.heartbeat.post(SetLeaving())
    tasks.steering.post_blocking(SetDraining())
    threading.Event().wait(seconds)
    tasks.steering.post_blocking(SetStopping())
