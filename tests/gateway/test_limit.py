"""Test how requests of limited organisations pass a gateway's filters and tasks."""

from __future__ import annotations

import sys
import threading
from dataclasses import replace
from random import Random
from types import SimpleNamespace

import pytest
from expression import Error
from expression import Ok

from snipecart.control.leases.limits import QuotaRule
from snipecart.control.leases.quotas import Quotas
from snipecart.core.failures import ServerSaturated
from snipecart.core.ids import Instant
from snipecart.core.states import SendOutcome
from snipecart.core.task import monotonic
from snipecart.gateway.balancing.quota import QUOTA_LEASE
from snipecart.gateway.balancing.quota import QuotaState
from snipecart.gateway.balancing.routes import RouteIndex
from snipecart.gateway.pipeline import PIPELINE
from snipecart.gateway.pipeline import GatewayContext
from snipecart.gateway.pipeline import make_pipeline
from snipecart.gateway.quota import QuotaGate
from snipecart.gateway.request import RoutedRequest
from snipecart.gateway.request import SendResult
from snipecart.gateway.responses import http_status
from snipecart.text.routing import Organisation
from snipecart.text.routing import digest_key
from snipecart.upstream.answers import HttpAnswer
from tests.gateway.world import Gateway
from tests.gateway.world import make_route
from tests.gateway.world import make_routing

KEY = digest_key(b"key")
ORGANISATION = Organisation(name="acme", key_digests=(KEY,), rate_per_s=10.0, burst=5.0)
ROUTING = make_routing(make_route(allow_anonymous=True)).model_copy(
    update={"organisations": (ORGANISATION,)}
)
ANSWERED = SendResult(SendOutcome.ANSWERED, 0.1, HttpAnswer(200, "", (), b""))
REJECTED = SendResult(SendOutcome.REJECTED, 0.1)
BROKEN = SendResult(SendOutcome.BROKEN, 0.1)


class Fleet:
    """Run requests through the filters, with one gate and scripted servers."""

    def __init__(self, tokens, ends=(), selected=True):
        self.gate = QuotaGate()
        ends = list(ends)
        destination = SimpleNamespace(service="racks", instance="i")
        result = Ok(destination) if selected else Error(ServerSaturated())
        balancer = SimpleNamespace(
            select_server=lambda routed: result,
            select_retry_server=lambda *args: result,
            post=lambda message: None,
            view=SimpleNamespace(index=RouteIndex(ROUTING)),
        )
        backends = SimpleNamespace(send=lambda *args: ends.pop(0))
        ctx = GatewayContext(balancer, backends, Random(1), quota=self.gate)
        self.filters = make_pipeline(ctx).filters[PIPELINE.index("limit") :]
        now = monotonic()
        self.gate.state.admit("acme", now)
        self.holding = self.gate.state.holdings["acme"]
        self.holding.until = Instant(now + QUOTA_LEASE)
        self.holding.tokens, self.holding.store = float(tokens), 9.0
        self.gate.state.heard_at = now

    def run(self, organisation=ORGANISATION):
        """Return the status of one request, and the failure if it has one."""
        routed = Gateway(ROUTING).request()
        routed = replace(
            routed,
            req=replace(routed.req, key=KEY if organisation else None),
            organisation=organisation,
            deadline=Instant(monotonic() + 1.5),
        )
        message: RoutedRequest = routed
        for step in self.filters:
            result = step(message)
            if result.is_error():
                return http_status(result.error), result.error
            message = result.ok
        return message.answer.status, None


@pytest.mark.parametrize(
    ("ends", "selected", "left"),
    [
        ((ANSWERED,), True, 1),
        ((REJECTED, ANSWERED), True, 1),
        ((REJECTED, REJECTED), True, 2),
        ((BROKEN, ANSWERED), True, 0),
        ((BROKEN, BROKEN), True, 0),
        ((), False, 2),
    ],
)
def test_only_sends_that_may_have_run_use_tokens(ends, selected, left):
    fleet = Fleet(2, ends, selected)
    fleet.run()
    assert fleet.holding.tokens == pytest.approx(left)


def test_a_request_over_the_limit_is_refused_with_a_time_that_its_client_waits():
    fleet = Fleet(0)
    fleet.holding.refused_until = Instant(monotonic() + 0.2)
    delays = [fleet.run()[1].retry_after for _ in range(50)]
    status, failed = fleet.run()
    assert (status, failed.failure.reason) == (429, "organisation_limited")
    assert 0.19 <= min(delays) < 0.25
    assert 0.35 < max(delays) <= 0.5


def test_without_a_lease_and_a_leader_requests_get_503():
    fleet = Fleet(0)
    fleet.holding.until = fleet.gate.state.heard_at = Instant(monotonic() - 2.0)
    status, failed = fleet.run()
    assert (status, failed.failure.reason) == (503, "quota_unavailable")
    assert failed.retry_after > 0


@pytest.mark.parametrize("field", ["rate_per_s", "burst"])
def test_a_limit_beyond_any_load_needs_no_leader(field):
    organisation = ORGANISATION.model_copy(update={field: sys.float_info.max})
    routed = replace(Gateway(ROUTING).request(), organisation=organisation)
    assert routed.limited_organisation is None


def test_a_request_waits_for_the_leaders_answer_and_one_report_is_sent():
    fleet = Fleet(0, (ANSWERED,) * 3)
    fleet.holding.store = 0.0
    wanted = []
    fleet.gate.notify = wanted.append
    statuses = []
    threads = [
        threading.Thread(target=lambda: statuses.append(fleet.run()[0]))
        for _ in range(3)
    ]
    for thread in threads:
        thread.start()
    while len(fleet.holding.waiters) < 3:
        threads[0].join(0.001)
    leader = Quotas(0, Instant(-10.0), Instant(-5.0), QuotaRule())
    leader.set_limits(1, [("acme", 10.0, 2.0)])
    now = monotonic()
    gateway = SimpleNamespace(gateway="g", vm="v")
    answer = leader.answer(fleet.gate.report(gateway, now, urgent=True), now)
    fleet.gate.apply(answer, now)
    for thread in threads:
        thread.join()
    assert len(wanted) == 1
    assert sorted(statuses) == [200, 200, 429]


@pytest.mark.parametrize("organisation", [None, Organisation(name="free")])
def test_requests_without_a_limit_take_no_token(organisation):
    fleet = Fleet(0, (ANSWERED,))
    assert fleet.run(organisation)[0] == 200
    assert list(fleet.gate.state.holdings) == ["acme"]


def test_a_late_or_repeated_answer_adds_no_tokens():
    leader = Quotas(0, Instant(-10.0), Instant(-5.0), QuotaRule())
    leader.set_limits(1, [("acme", 10.0, 20.0)])
    state = QuotaState()
    state.admit("acme", Instant(1.0))
    answer = leader.answer(state.report("g", "v", Instant(1.0), urgent=False), 1.0)
    assert answer.tokens[0] > 0
    state.apply(answer, Instant(1.6))
    state.apply(answer, Instant(1.6))
    assert state.holdings["acme"].tokens == 0
