"""Test over sockets that requests without a valid API key are refused early."""

from __future__ import annotations

import socket
from contextlib import contextmanager
from random import Random
from types import SimpleNamespace

import logbook
import pytest
from expression import Error

from snipecart.core.failures import NoEndpoint
from snipecart.core.memory import MemoryBudget
from snipecart.core.task import running
from snipecart.gateway.balancing.view import View
from snipecart.gateway.key_lease import KeyLease
from snipecart.gateway.metrics import ANSWER_BYTES
from snipecart.gateway.metrics import BODY_BYTES
from snipecart.gateway.pipeline import GatewayContext
from snipecart.gateway.pipeline import make_pipeline
from snipecart.gateway.request import HeaderNames
from snipecart.gateway.server import RequestContext
from snipecart.gateway.server import serving_requests
from snipecart.gateway.watch import WatchTask
from snipecart.program.body import BodySlots
from snipecart.program.listener import HttpListener

from .test_authentication import INDEX
from .test_authentication import KEY
from .test_authentication import NO_KEYS

HOST, PORT = "127.71.0.1", 8310
THREADS = 8
CLOSE = b"Connection: close\r\n"
AUTHORIZED = b"Authorization: Bearer " + KEY.encode() + b"\r\n"


class FullBalancer:
    """Have a routing table and no backend server."""

    def __init__(self, index):
        self.view, self.asked = View(index=index), []

    def select_server(self, routed):
        """Record the request, and find no server."""
        self.asked.append(routed)
        return Error(NoEndpoint())


@contextmanager
def gateway(index=INDEX, lease_s=0.0):
    """Run a gateway's HTTP server with its own pipeline; yield its balancer."""
    balancer, lease, watch = FullBalancer(index), KeyLease(lease_s), WatchTask()
    rng, names = Random(7), HeaderNames()
    pipeline_ctx = GatewayContext(balancer, SimpleNamespace(), rng, names, lease)
    ctx = RequestContext(
        make_pipeline(pipeline_ctx),
        names,
        watch,
        balancer,
        MemoryBudget(1_000_000, BODY_BYTES),
        MemoryBudget(1_000_000, ANSWER_BYTES),
        BodySlots(THREADS // 2),
        rng,
        lease=lease,
    )
    listener = HttpListener(HOST, PORT, THREADS)
    with running(watch), serving_requests(listener, ctx):
        yield balancer


@contextmanager
def logged_lines():
    """Yield the handler with the log lines of all threads."""
    handler = logbook.TestHandler()
    with handler.applicationbound():
        yield handler


def exchange(headers=b"", length=0, path=b"/look/x"):
    """Send a request without its body; return the answer."""
    head = b"POST %s HTTP/1.1\r\nHost: shop.example\r\nContent-Length: %d\r\n"
    with socket.create_connection((HOST, PORT), timeout=5.0) as sock:
        sock.sendall(head % (path, length) + headers + CLOSE + b"\r\n")
        data = b""
        while not data.endswith(b"}") and (chunk := sock.recv(65536)):
            data += chunk
    return data


@pytest.mark.parametrize("length", [0, 5000])
@pytest.mark.parametrize(
    "headers, reason",
    [
        (b"", b"api_key_missing"),
        (b"Authorization: Bearer sk-wrong\r\n", b"api_key_unknown"),
        (b"Authorization: Basic b\r\n" + AUTHORIZED, b"api_key_unknown"),
        (AUTHORIZED + AUTHORIZED, b"api_key_unknown"),
    ],
)
def test_a_request_without_one_valid_key_is_refused_before_its_body(
    headers, reason, length
):
    # A flood of bodies without a key would take the memory and threads of the others.
    with gateway() as balancer, logged_lines() as lines:
        answer = exchange(headers, length)
    assert answer.startswith(b"HTTP/1.1 401 ") and reason in answer
    assert b"WWW-Authenticate: Bearer\r\n" in answer
    assert not balancer.asked
    assert KEY.encode() not in answer
    assert not any(KEY in str((item.msg, item.extra)) for item in lines.records)


@pytest.mark.parametrize("length", [0, 5000])
def test_a_key_in_a_folded_header_is_refused_before_the_body(length):
    # Receivers differ in whether a folded line belongs to the value before it.
    with gateway() as balancer, logged_lines() as lines:
        answer = exchange(
            b"Authorization: x\r\n Bearer " + KEY.encode() + b"\r\n", length
        )
    assert answer.startswith(b"HTTP/1.1 400 ")
    assert not balancer.asked
    assert KEY.encode() not in answer
    assert not any(KEY in str((item.msg, item.extra)) for item in lines.records)


@pytest.mark.parametrize("length", [0, 5000])
def test_a_request_without_proof_gets_a_time_to_retry(length):
    with gateway(lease_s=4.5) as balancer:
        answer = exchange(AUTHORIZED, length)
    assert answer.startswith(b"HTTP/1.1 503 ") and b"Retry-After: " in answer
    assert b"api_key_unproven" in answer and not balancer.asked


def test_a_request_with_a_key_gets_as_far_as_the_selection():
    with gateway() as balancer, logged_lines() as lines:
        answer = exchange(AUTHORIZED)
    assert b"no_endpoint" in answer and KEY.encode() not in answer
    assert [item.organisation.name for item in balancer.asked] == ["acme"]
    fields = [item.extra["fields"] for item in lines.records if item.extra["event"]]
    assert any(item.get("organisation") == "acme" for item in fields)
    assert KEY not in str(fields)


def test_a_header_that_is_named_hop_by_hop_is_still_read():
    # Connection: Authorization would else make an unknown key an anonymous request.
    wrong = b"Connection: Authorization\r\nAuthorization: Bearer x\r\n"
    with gateway():
        answer = exchange(wrong, path=b"/open/x")
    assert b"api_key_unknown" in answer


def test_requests_need_no_key_without_organisations():
    with gateway(NO_KEYS) as balancer, logged_lines() as lines:
        assert b"no_endpoint" in exchange(b"Authorization: Basic b\r\n")
    headers = dict(balancer.asked[0].forwarded_headers)
    assert headers["Authorization"] == "Basic b"
    assert not any("organisation" in item.extra["fields"] for item in lines.records)


@pytest.mark.parametrize("digits", [b"9" * 13, b"9" * 5000, b"0" * 20 + b"900"])
def test_a_client_may_state_a_timeout_of_any_length(digits):
    # It was refused as malformed, or moved the client's next try years away.
    with gateway(NO_KEYS) as balancer:
        answer = exchange(b"Snipecart-Deadline-Ms: " + digits + b"\r\n")
    assert answer.startswith(b"HTTP/1.1 503 ") and balancer.asked[0].remaining() <= 1.5
    retry_after = answer.partition(b"Retry-After: ")[2].partition(b"\r")[0]
    assert 0 < float(retry_after) < 600


@pytest.mark.parametrize("value", [b"", b"-1", b"+5", b"1.5", b"1e3", b"\xb2", b"5 5"])
def test_a_timeout_that_is_no_number_is_refused(value):
    with gateway(NO_KEYS) as balancer:
        answer = exchange(b"Snipecart-Deadline-Ms: " + value + b"\r\n")
    assert answer.startswith(b"HTTP/1.1 400 ") and not balancer.asked
