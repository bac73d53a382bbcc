"""Test that numbers in the headers of an answer can't end a task or cost the answer."""

from __future__ import annotations

import pytest

from snipecart.core.states import SendOutcome
from snipecart.gateway.backends import BackendClient
from snipecart.gateway.balancing.outcome import record_send
from tests.upstream.scripted import scripted_server

from .test_backends import NAMES
from .test_backends import OWN
from .test_backends import send
from .world import Gateway
from .world import make_instance
from .world import make_route
from .world import make_routing

DIGITS = (13, 400, 5000)

HEADERS = (
    "Snipecart-Load: 3,%s,8",
    "Snipecart-Load: 3,0,8,%s",
    "Keep-Alive: timeout=%s",
    "Snipecart-Limit: %s",
    "Retry-After: %s",
)


@pytest.mark.parametrize("digits", DIGITS)
@pytest.mark.parametrize("header", HEADERS)
def test_a_number_of_many_digits_costs_neither_the_answer_nor_a_task(header, digits):
    # A number too large for a float raised in the thread or task that used it.
    head = OWN + (header % ("1" * digits)).encode() + b"\r\n"
    with scripted_server([head + b"Content-Length: 5\r\n\r\nwhole"]) as server:
        result = send(server, backends=BackendClient("127.0.0.1", NAMES))
    assert (result.end, result.answer.body) == (SendOutcome.ANSWERED, b"whole")
    gateway = Gateway(make_routing(make_route()))
    gateway.add_instances(make_instance(1), make_instance(2))
    routed = gateway.request()
    record_send(gateway.state, routed, gateway.select(routed), result, gateway.now)
    for _ in range(8):
        assert gateway.select().instance


@pytest.mark.parametrize("digits", DIGITS)
def test_an_answer_whose_length_has_many_digits_is_not_believed(digits):
    length = b"Content-Length: " + b"5" * digits + b"\r\n\r\n"
    with scripted_server([OWN + length + b"whole"]) as server:
        result = send(server, backends=BackendClient("127.0.0.1", NAMES))
    assert result.end is SendOutcome.BROKEN
