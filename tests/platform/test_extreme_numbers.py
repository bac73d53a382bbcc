"""Test that numbers of any size in a routing document are served by their meaning."""

from __future__ import annotations

import json

import pytest

from snipecart.control.leases.limits import QuotaRule
from snipecart.control.leases.quotas import Quotas
from snipecart.control.machine.routing import is_same_document
from snipecart.core.ids import Instant
from snipecart.gateway.balancing.admission import wait_by_target
from snipecart.messages.commands import PutRouting
from snipecart.messages.quota import QuotaRequest
from snipecart.messages.quota import organisation_id
from snipecart.platform.heartbeats import decode_heartbeat
from snipecart.platform.manifest import decode_manifest
from snipecart.text.parse import load_json
from snipecart.text.routing import dump_routing
from snipecart.text.routing import list_limits
from snipecart.text.routing import parse_routing
from snipecart.wire.codec import decode as decode_message
from snipecart.wire.codec import encode as encode_message
from tests.gateway.world import Gateway

from .test_decoders import HEARTBEAT
from .test_decoders import MANIFEST
from .test_decoders import REGIONS
from .test_decoders import ROUTE
from .test_decoders import encode

TENANT = {"name": "acme", "api_keys": ["sk"], "rate_per_s": 1, "burst": 1}
DOCUMENT = {**MANIFEST, "tenants": [{**TENANT, "priority": 0}]}

INTEGERS = ("1", "9223372036854775808", "18446744073709551616", "9" * 400, "9" * 5000)
FLOATS = (*INTEGERS, "5e-324", "1e306", "1.7976931348623157e308", "1e400")
DURATIONS = ("0.4ms", "5000000000s", "9" * 400 + "s")

COUNTS = ("priority", "max_attempts", "max_connections")
SIZES = ("max_header_bytes", "max_body_bytes")
RATES = ("weight", "cold_per_s", "rate_per_s", "burst")
TIMES = ("cold_start", "header_timeout", "idle_timeout")


def replace_field(document, name, literal):
    """Return a document in which a JSON literal is the value of all such fields."""

    def mark(value):
        if isinstance(value, dict):
            items = value.items()
            return {key: "\0" if key == name else mark(item) for key, item in items}
        return [mark(item) for item in value] if isinstance(value, list) else value

    return json.dumps(mark(document)).replace('"\\u0000"', literal).encode()


def use(routing):
    """Do with a routing table what each process does."""
    table = dump_routing(routing)
    command = PutRouting(routing.version, table, b"")
    assert decode_message(encode_message(command)).ok.message == command
    gateway = Gateway(parse_routing(table).ok)
    routed = gateway.request()
    wait_by_target(gateway.state.index, routed, 100.0)
    gateway.state.traffic_splits.next(routed.route)
    leader = Quotas(0, Instant(0.0), Instant(0.0), QuotaRule(5.0, 0.1, 20.0))
    leader.set_limits(1, list_limits(table))
    number = organisation_id("acme")
    rows = ((number,), (5000,), (0,), (0,), (0,), (0,), (3,))
    for at in range(1, 4):
        answer = leader.answer(QuotaRequest("g/1", "g", 1.0, 0, *rows), Instant(at))
        assert decode_message(encode_message(answer)).ok.message == answer


@pytest.mark.parametrize(
    ("field", "literal"),
    [
        *((field, literal) for field in (*COUNTS, *SIZES) for literal in INTEGERS),
        *((field, literal) for field in RATES for literal in FLOATS),
        *((field, f'"{value}"') for field in TIMES for value in DURATIONS),
        ("timeout", '"0.4ms"'),
        ("unknown", "9" * 5000),
    ],
    ids=lambda item: item[:24],
)
def test_a_number_of_any_size_is_accepted_and_used(field, literal):
    """Guards against refused tables, and against accepted ones that end processes."""
    document = {**DOCUMENT, "unknown": 0}
    use(decode_manifest(replace_field(document, field, literal)).ok)


@pytest.mark.parametrize("field", [*RATES, "unknown"])
@pytest.mark.parametrize("literal", ["NaN", "Infinity", "-Infinity"])
def test_a_literal_that_json_does_not_have_is_refused(field, literal):
    """Guards against documents that other programs can't read back."""
    document = {**DOCUMENT, "unknown": 0}
    assert decode_manifest(replace_field(document, field, literal)).is_error()


@pytest.mark.parametrize("field", ["name", "hostname", "path_prefix", "backend", "x"])
@pytest.mark.parametrize("text", ['"\\ud800"', '"a\\uDFFF/"', '"\xed\xa0\x80"'])
def test_text_that_is_no_unicode_is_refused(field, text):
    """Guards against an answer 500, after which the operator sends the text again."""
    data = replace_field({**DOCUMENT, "x": 0}, field, "@")
    assert decode_manifest(data.replace(b"@", text.encode("latin-1"))).is_error()
    assert load_json(b'"\\ud83d\\ude00"').ok == "\U0001f600"


def test_a_cold_period_of_any_length_is_believed():
    """Guards against a server that is never used, as its heartbeats are refused."""
    status = {**HEARTBEAT["status"], "cold_remaining": "9" * 400 + "s"}
    decoded = decode_heartbeat("i-1", encode({**HEARTBEAT, "status": status}), REGIONS)
    assert 0 < decoded.ok.cold < 2**32


def test_a_timeout_over_the_maximum_is_still_refused():
    document = {**MANIFEST, "routes": [{**ROUTE, "timeout": "9" * 400 + "s"}]}
    assert decode_manifest(encode(document)).is_error()


def test_documents_that_are_nested_too_deeply_here_are_compared_as_bytes():
    """Guards against replicas that end, as the log brings both documents back."""
    nested = b"[" * 100_000 + b"]" * 100_000
    assert is_same_document(nested, nested)
    assert not is_same_document(nested, nested + b" ")
    long = b'{"a": ' + b"9" * 5000 + b"}"
    assert is_same_document(long, long.replace(b" ", b""))
