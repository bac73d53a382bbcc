"""Assemble snipecart-entry."""

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
from .canceller import CancelTask
from .canceller import CloseTask
from .control_client import ControlClient
from .filters.registry import CallContext
from .heartbeat import HeartbeatTask
from .heartbeat import SetLeaving
from .lookup import LookupSource
from .pages import EntryPages
from .pipeline import CallPipeline
from .source import CallSource
from .steering.messages import SetDraining
from .steering.messages import SetStopping
from .steering.state import Chosen
from .steering.state import Here
from .steering.state import SteerState
from .steering.task import SteeringTask

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..program.settings import EntrySettings

HTTP_THREADS = 16

SPARE_THREADS = 8
"""Threads of a rank's listener that stay free to refuse at once."""

MAX_RUNS = 128
"""Non-idempotent dispatches that may be open at a time."""


@dataclass(frozen=True)
class EntryTasks:
    """Hold the tasks of an entry process."""

    steering: SteeringTask
    heartbeat: HeartbeatTask
    control: ControlClient
    canceller: CancelTask
    closer: CloseTask


def make_member(cfg: EntrySettings) -> Member:
    """Return this run of the process as a member."""
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
    """Return the steering task."""
    limits = {item.rank: max(1, item.threads - SPARE_THREADS) for item in cfg.listeners}
    policies = cfg.policies
    chosen = Chosen(policies.admission, policies.routing, policies.retry)
    return SteeringTask(SteerState(Here(cfg.region, cfg.zone), chosen, limits))


def make_listeners(cfg: EntrySettings) -> list[HttpListener]:
    """Return the listeners, one for each rank besides the common one."""
    common = HttpListener(cfg.host, cfg.http_port, HTTP_THREADS)
    ranked = [HttpListener(cfg.host, item.port, item.threads) for item in cfg.listeners]
    return [common, *ranked]


@contextmanager
def entry_program(cfg: EntrySettings) -> Iterator[EntryTasks]:
    """Run an entry process until the block ends, then drain it."""
    member = make_member(cfg)
    backends = BackendClient(cfg.host)
    steering = make_steering(cfg)
    control = ControlClient(cfg.control, cfg.host)
    heartbeat = HeartbeatTask(member, control, steering, backends)
    tasks = EntryTasks(
        steering, heartbeat, control, CancelTask(backends), CloseTask(control)
    )
    with (
        running(control, steering, heartbeat, tasks.canceller, tasks.closer),
        ThreadPoolExecutor(MAX_RUNS, "run") as runs,
    ):
        ctx = CallContext(
            member.member,
            steering,
            control,
            backends,
            tasks.canceller,
            tasks.closer,
            runs,
            cfg.max_body,
        )
        ranks = {item.port: item.rank for item in cfg.listeners}
        apps = {
            "/call": CallSource(CallPipeline(ctx), steering, ranks, cfg.max_body),
            "/lookup": LookupSource(steering, member, cfg.lookup_cache_s),
        }
        with serving_pages(make_listeners(cfg), apps, EntryPages(steering, heartbeat)):
            yield tasks
            drain(tasks, cfg.drain_s)
    backends.close()


def drain(tasks: EntryTasks, seconds: float) -> None:
    """Leave look-up answers, serve on until they have aged out, then stop."""
    tasks.heartbeat.post(SetLeaving())
    tasks.steering.tell(SetDraining())
    threading.Event().wait(seconds)
    tasks.steering.tell(SetStopping())
