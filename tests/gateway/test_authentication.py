"""Test which requests API keys admit, and what is forwarded of their headers."""

from __future__ import annotations

from collections import deque
from random import Random
from types import SimpleNamespace

import pytest
from expression import Ok

from snipecart.core.ids import Instant
from snipecart.core.states import SendOutcome
from snipecart.core.task import monotonic
from snipecart.gateway import pipeline as pipeline_module
from snipecart.gateway.authentication import MALFORMED_KEY
from snipecart.gateway.authentication import authenticate
from snipecart.gateway.authentication import read_key
from snipecart.gateway.balancing.admission import wait_by_target
from snipecart.gateway.balancing.messages import RecordSend
from snipecart.gateway.balancing.routes import RouteIndex
from snipecart.gateway.balancing.view import View
from snipecart.gateway.key_lease import NO_PROOF
from snipecart.gateway.key_lease import KeyLease
from snipecart.gateway.key_lease import TableProof
from snipecart.gateway.pipeline import GatewayContext
from snipecart.gateway.pipeline import make_pipeline
from snipecart.gateway.request import Destination
from snipecart.gateway.request import HeaderNames
from snipecart.gateway.request import HttpRequest
from snipecart.gateway.request import SendResult
from snipecart.gateway.responses import failure_body
from snipecart.gateway.responses import http_status
from snipecart.text.routing import Organisation
from snipecart.text.routing import digest_key

from .world import Gateway
from .world import make_instance
from .world import make_route
from .world import make_routing

KEY = "sk-very-secret"
DIGEST = digest_key(KEY.encode())
BEARER = f"Bearer {KEY}"
ACME = Organisation(name="acme", key_digests=(DIGEST,), rank=0, regions=("south",))
OPEN = {"prefix": "/open/", "allow_anonymous": True}


def make_index(*organisations, version=1, lists=True):
    """Index a table that lists these organisations, or has no list at all."""
    routing = make_routing(
        make_route(rank=2), make_route("open", rank=1, **OPEN), version=version
    )
    update = {"organisations": organisations} if lists else {}
    return RouteIndex(routing.model_copy(update=update))


INDEX, NO_KEYS, REMOVED, LAST_REMOVED = (
    make_index(ACME),
    make_index(lists=False),
    make_index(Organisation(name="other"), version=2),
    make_index(version=2),
)


def decide(index, path, key, lease=None, proof=NO_PROOF, now=10.0):
    route = index.find("shop.example", path)
    lease = lease or KeyLease()
    decision = authenticate(index, route, key, lease, proof, Instant(now))
    return decision.error.reason if decision.is_error() else decision.ok


@pytest.mark.parametrize(
    "value, key",
    [
        (None, None),
        (BEARER, DIGEST),
        (f"bEARER   {KEY}", DIGEST),
        (KEY, MALFORMED_KEY),
        ("", MALFORMED_KEY),
        ("Bearer", MALFORMED_KEY),
        ("Bearer ", MALFORMED_KEY),
        (f"Basic {KEY}", MALFORMED_KEY),
        (f"{BEARER} x", MALFORMED_KEY),
        (f"{BEARER}, {BEARER}", MALFORMED_KEY),
    ],
)
def test_a_key_is_read_from_one_well_formed_header_only(value, key):
    assert read_key(value) == key


def test_a_repeated_header_has_no_key():
    # Two receivers could take two different ones.
    assert read_key(BEARER, repeated=True) == MALFORMED_KEY


@pytest.mark.parametrize(
    "path, key, expected",
    [
        ("/look/x", DIGEST, ACME),
        ("/look/x", None, "api_key_missing"),
        ("/look/x", MALFORMED_KEY, "api_key_unknown"),
        ("/open/x", None, None),
        ("/open/x", DIGEST, ACME),
        ("/open/x", digest_key(b"other"), "api_key_unknown"),
    ],
)
def test_the_key_and_the_route_decide(path, key, expected):
    assert decide(INDEX, path, key) == expected
    assert decide(NO_KEYS, path, key) is None


@pytest.mark.parametrize(
    "path, key, expected",
    [
        ("/look/x", DIGEST, "api_key_unknown"),
        ("/look/x", None, "api_key_missing"),
        ("/open/x", DIGEST, "api_key_unknown"),
        ("/open/x", None, None),
    ],
)
def test_a_table_whose_last_organisation_is_removed_admits_no_key(path, key, expected):
    assert decide(LAST_REMOVED, path, key) == expected


def test_a_known_key_needs_a_recent_proof():
    lease, proof = KeyLease(4.5), TableProof(1, Instant(6.0))
    assert decide(INDEX, "/look/x", DIGEST, lease, proof) == ACME
    assert decide(INDEX, "/look/x", DIGEST, lease, proof, 10.6) == "api_key_unproven"
    assert decide(INDEX, "/look/x", DIGEST, lease) == "api_key_unproven"
    newer = TableProof(2, Instant(10.0))
    assert decide(INDEX, "/look/x", DIGEST, lease, newer) == "api_key_unproven"
    assert decide(INDEX, "/open/x", None, lease) is None


class FakeGateway:
    """Run the pipeline with servers whose sends end as listed."""

    def __init__(self, *ends, index=INDEX, lease_s=0.0):
        self.ends, self.sent, self.posted = deque(ends), [], []
        self.after_send = lambda: None
        self.after_selection = lambda: None
        self.view = View(index=index)
        self.lease = KeyLease(lease_s)
        names = HeaderNames()
        ctx = GatewayContext(self, self, Random(1), names, self.lease)
        self.pipeline = make_pipeline(ctx)

    def select_server(self, routed):
        self.after_selection()
        return Ok(Destination("racks", f"i-{len(self.sent)}", "h", 1, 0))

    def select_retry_server(self, routed, service, tried, needs_budget, has_run):
        return self.select_server(routed)

    def post(self, message):
        self.posted.append(message)

    def send(self, routed, destination):
        self.sent.append(routed)
        end = self.ends.popleft()
        self.after_send()
        answer = SimpleNamespace() if end is SendOutcome.ANSWERED else None
        return SendResult(end, 0.1, answer)

    def prove(self, age=0.0):
        self.lease.proof = TableProof(1, Instant(monotonic() - age))

    def replace_table(self, index=REMOVED):
        self.view = View(index=index)

    def run(self, path="/look/x", authorization=BEARER, headers=()):
        pairs = [("Accept", "x"), *headers]
        if authorization is not None:
            pairs.append(("AUTHORIZATION", authorization))
        req = HttpRequest(
            "GET",
            path,
            "shop.example",
            tuple(pairs),
            b"",
            "r1",
            "",
            0,
            monotonic(),
            key=read_key(authorization),
        )
        return self.pipeline.run(req)

    def fail(self, **fields):
        """Return the status, the reason and whether the request may have run."""
        failed = self.run(**fields).error
        assert KEY.encode() not in failure_body(failed)
        return http_status(failed), failed.failure.reason, failed.may_have_run


OK, BROKEN, REJECTED = (
    SendOutcome.ANSWERED,
    SendOutcome.BROKEN,
    SendOutcome.REJECTED,
)


def test_the_key_is_not_forwarded_and_the_organisation_is():
    gateway = FakeGateway(OK)
    forged = ("snipecart-ORGANISATION", "forged")
    assert gateway.run(headers=[forged]).is_ok()
    headers = gateway.sent[0].forwarded_headers
    assert headers == (("Accept", "x"), ("Snipecart-Organisation", "acme"))
    assert KEY not in repr(gateway.sent[0])


def test_an_anonymous_request_names_no_organisation():
    gateway = FakeGateway(OK)
    forged = ("Snipecart-Organisation", "acme")
    gateway.run("/open/x", None, [forged])
    assert gateway.sent[0].forwarded_headers == (("Accept", "x"),)


def test_a_client_names_no_organisation_where_the_last_one_is_removed():
    gateway = FakeGateway(OK, index=LAST_REMOVED)
    forged = ("Snipecart-Organisation", "acme")
    gateway.run("/open/x", None, [forged])
    assert gateway.sent[0].forwarded_headers == (("Accept", "x"),)


def test_headers_stay_as_they_are_without_organisations():
    gateway = FakeGateway(OK, index=NO_KEYS)
    own = ("Snipecart-Organisation", "mine")
    gateway.run(headers=[own])
    expected = (("Accept", "x"), own, ("AUTHORIZATION", BEARER))
    assert gateway.sent[0].forwarded_headers == expected
    assert gateway.sent[0].more_urgent_ranks == 1


def test_refused_requests_reach_no_server():
    gateway = FakeGateway()
    assert gateway.fail(authorization=None) == (401, "api_key_missing", False)
    assert gateway.fail(authorization="Bearer x") == (401, "api_key_unknown", False)
    assert not gateway.sent and not gateway.posted


def test_a_request_without_proof_is_refused_with_a_time_to_retry():
    gateway = FakeGateway(lease_s=4.5)
    assert gateway.fail() == (503, "api_key_unproven", False)
    assert gateway.run().error.retry_after > 0
    gateway.prove(age=5.0)
    assert gateway.fail() == (503, "api_key_unproven", False)


@pytest.mark.parametrize("index", [REMOVED, LAST_REMOVED])
def test_a_key_removed_while_the_request_waited_is_not_sent(index):
    gateway = FakeGateway()
    gateway.after_selection = lambda: gateway.replace_table(index)
    assert gateway.fail() == (401, "api_key_unknown", False)
    released = [item for item in gateway.posted if isinstance(item, RecordSend)]
    assert len(released) == 1, "the slot of the selected server was not freed"


@pytest.mark.parametrize(
    "first, expected",
    [
        (REJECTED, (401, "api_key_unknown", False)),
        (BROKEN, (502, "backend_shed", True)),
    ],
)
def test_a_retry_with_a_removed_key_says_truly_whether_the_request_ran(first, expected):
    gateway = FakeGateway(first, OK)
    gateway.after_send = gateway.replace_table
    assert gateway.fail() == expected
    assert len(gateway.sent) == 1


@pytest.mark.parametrize(
    "first, expected",
    [
        (REJECTED, (503, "api_key_unproven", False)),
        (BROKEN, (502, "backend_shed", True)),
    ],
)
def test_a_retry_without_proof_says_truly_whether_the_request_ran(first, expected):
    gateway = FakeGateway(first, OK, lease_s=4.5)
    gateway.prove()
    gateway.after_send = lambda: gateway.prove(age=5.0)
    assert gateway.fail() == expected
    assert len(gateway.sent) == 1


def test_a_table_that_first_lists_organisations_holds_for_requests_that_wait():
    # Otherwise the key would be forwarded to the backend server.
    gateway = FakeGateway(OK, index=NO_KEYS)
    gateway.after_selection = lambda: gateway.replace_table(make_index(ACME, version=2))
    gateway.run()
    names = [name for name, _ in gateway.sent[0].forwarded_headers]
    assert names == ["Accept", "Snipecart-Organisation"]


def test_the_rank_of_the_organisation_takes_the_place_of_the_routes():
    gateway = FakeGateway(OK, OK)
    gateway.run()
    assert (gateway.sent[0].rank, gateway.sent[0].more_urgent_ranks) == (0, 0)
    gateway.run("/open/x", None)
    assert (gateway.sent[1].rank, gateway.sent[1].more_urgent_ranks) == (1, 1)


def test_an_urgent_organisation_may_wait_as_long_as_its_target_allows():
    gateway = FakeGateway(OK, OK, index=INDEX)
    gateway.run()
    routed = gateway.sent[0]
    urgent = wait_by_target(INDEX, routed, 100.0)
    plain = SimpleNamespace(route=routed.route, rank=routed.route.rank)
    assert urgent > wait_by_target(INDEX, plain, 100.0)


def test_regions_of_route_and_organisation_both_bind():
    world = Gateway(INDEX.routing).add_instances(
        make_instance(1, "north"), make_instance(2, "south")
    )
    gateway = FakeGateway(OK)
    gateway.run()
    routed = gateway.sent[0]
    assert world.select(routed).instance == "i-racks-2"
    north = routed.route.model_copy(update={"regions": ("north",)})
    bound = pipeline_module.RoutedRequest(
        routed.req, north, 1, routed.deadline, 0, ACME
    )
    assert world.select(bound) == "no_endpoint"
