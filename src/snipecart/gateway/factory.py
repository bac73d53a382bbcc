"""Assemble the tasks and the HTTP server of a gateway."""

from __future__ import annotations

import threading
import uuid
from contextlib import contextmanager
from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING

from ..core.ids import EndpointId
from ..core.ids import MemberId
from ..core.memory import MemoryBudget
from ..core.states import DrainState
from ..core.states import MemberState
from ..core.task import monotonic
from ..core.task import running
from ..messages.discovery import Gateway
from ..program.body import BodySlots
from ..program.listener import HttpListener
from ..upstream.reader import AnswerLimits
from .backends import BackendClient
from .balancing.budget import BudgetRule
from .balancing.link import LinkBudget
from .balancing.messages import SetBudgetRule
from .balancing.state import BalancerState
from .balancing.state import Locality
from .balancing.task import BalancerTask
from .key_lease import KeyLease
from .metrics import ANSWER_BYTES
from .metrics import BODY_BYTES
from .pipeline import GatewayContext
from .pipeline import make_pipeline
from .server import RequestContext
from .server import serving_requests
from .sync import SyncTask
from .sync_handlers import SetLeaving
from .sync_handlers import SetSeeds
from .watch import WatchTask

if TYPE_CHECKING:
    from collections.abc import Iterator

    from cheroot.server import HTTPServer

    from ..program.settings import GatewaySettings
    from .request import HeaderNames

LIVE_GATEWAY_SETTINGS = frozenset({"control", "retries"})
"""Settings that take effect while a gateway runs."""

BYTES_PER_MB = 1_000_000

BODY_THREAD_FRACTION = 0.5
"""Fraction of the threads that may wait for the rest of a body."""

REJECTING_SECONDS = 1.0
"""Time for which new requests are at least rejected before no more are accepted.

Clients with an old lookup learn from it that this gateway leaves.
"""

LAST_REQUESTS_SECONDS = 0.3
"""Time to reject the requests that arrived just before no more are accepted."""

DRAIN_POLL_SECONDS = 0.1
"""Time between two checks whether all requests have ended."""


@dataclass(frozen=True)
class GatewayTasks:
    """Store the tasks of a gateway and its connection pool."""

    balancer: BalancerTask
    sync: SyncTask
    watch: WatchTask
    backends: BackendClient

    def apply_settings(self, cfg: GatewaySettings) -> None:
        """Pass LIVE_GATEWAY_SETTINGS of newer settings to the tasks."""
        self.sync.post(SetSeeds(cfg.control))
        self.balancer.post(SetBudgetRule(make_budget_rule(cfg)))


def make_budget_rule(cfg: GatewaySettings) -> BudgetRule:
    """Return the rule of the retry budgets."""
    return BudgetRule(cfg.retries.ratio, cfg.retries.window_s, cfg.retries.slack)


def make_gateway(cfg: GatewaySettings) -> Gateway:
    """Return the description of this gateway run that control processes receive."""
    return Gateway(
        MemberId(f"{cfg.vm}/{uuid.uuid4().hex[:12]}"),
        cfg.vm,
        cfg.region,
        cfg.zone,
        EndpointId(f"{cfg.host}:{cfg.port}"),
        MemberState.STARTING,
    )


def make_balancer_state(cfg: GatewaySettings) -> BalancerState:
    """Return the initial state of the balancer."""
    locality = Locality(cfg.region, cfg.zone, cfg.regions)
    return BalancerState(
        locality,
        choice=cfg.choice,
        wait_rule=cfg.admission,
        shedding=cfg.shedding,
        budget_rule=make_budget_rule(cfg),
        link=LinkBudget.from_mbps(cfg.link_mbps),
    )


@contextmanager
def gateway_tasks(cfg: GatewaySettings, names: HeaderNames) -> Iterator[GatewayTasks]:
    """Run the tasks of a gateway and its connection pool until the block ends."""
    limits = AnswerLimits(body_bytes=int(cfg.max_answer_mb * BYTES_PER_MB))
    backends = BackendClient(cfg.host, names, limits)
    balancer = BalancerTask(make_balancer_state(cfg), backends.close_idle_except)
    lease = KeyLease(cfg.key_lease_s)
    sync = SyncTask(make_gateway(cfg), cfg.control, cfg.host, balancer, lease)
    watch = WatchTask()
    with running(balancer, watch, sync):
        yield GatewayTasks(balancer, sync, watch, backends)
    backends.close()


@contextmanager
def accepting_requests(
    cfg: GatewaySettings, names: HeaderNames, tasks: GatewayTasks
) -> Iterator[None]:
    """Accept requests until the block ends, then drain.

    Draining announces the departure, keeps accepting requests for ``cfg.linger_s``,
    then rejects new ones and waits until ``cfg.stop_s`` for those in progress. What was
    accepted by then is still rejected with an answer.
    """
    ctx = GatewayContext(
        tasks.balancer,
        tasks.backends,
        Random(),
        names,
        tasks.sync.lease,
        tasks.sync.quota.gate,
        cfg.retry_after,
    )
    request_ctx = RequestContext(
        make_pipeline(ctx),
        names,
        tasks.watch,
        tasks.balancer,
        MemoryBudget(int(cfg.body_memory_mb * BYTES_PER_MB), BODY_BYTES),
        MemoryBudget(int(cfg.answer_memory_mb * BYTES_PER_MB), ANSWER_BYTES),
        BodySlots(int(cfg.threads * BODY_THREAD_FRACTION)),
        ctx.rng,
        lease=tasks.sync.lease,
    )
    listener = HttpListener(cfg.host, cfg.port, cfg.threads)
    with serving_requests(listener, request_ctx) as server:
        yield
        request_ctx.drain_state = DrainState.LINGERING
        tasks.sync.post(SetLeaving())
        threading.Event().wait(cfg.linger_s)
        request_ctx.drain_state = DrainState.CLOSED
        threading.Event().wait(REJECTING_SECONDS)
        wait_until_idle(server, cfg.stop_s - cfg.linger_s - REJECTING_SECONDS)
        server.stop_accepting()
        wait_until_idle(server, LAST_REQUESTS_SECONDS)


def wait_until_idle(server: HTTPServer, timeout: float) -> None:
    """Wait until all accepted requests have ended, at most ``timeout`` seconds."""
    started_at = monotonic()
    pause = threading.Event()
    while monotonic() < started_at + timeout:
        if not server.requests.in_progress:
            return
        pause.wait(DRAIN_POLL_SECONDS)
