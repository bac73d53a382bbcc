"""Test how tenants in the platform's routing document become organisations."""

from __future__ import annotations

import json
import sys
from types import SimpleNamespace

import logbook
import pytest

from snipecart.platform.calls import CallInput
from snipecart.platform.calls import put_routing
from snipecart.platform.manifest import decode_manifest
from snipecart.program.answers import describe_failure
from snipecart.program.answers import to_json
from snipecart.text.routing import MAX_LIMIT
from snipecart.text.routing import digest_key
from snipecart.text.routing import dump_routing

from .test_decoders import MANIFEST
from .test_decoders import ROUTE

SECRET = "sk-very-secret"
OTHER = "sk-other-secret"

TENANT = {
    "name": "acme",
    "api_keys": [SECRET, SECRET, OTHER],
    "priority": 0,
    "rate_per_s": 12.5,
    "burst": 4,
    "allowed_regions": ["north"],
}


def decode(*tenants):
    return decode_manifest(json.dumps({**MANIFEST, "tenants": tenants}).encode())


def test_a_tenant_is_translated_and_its_keys_are_digests():
    routing = decode(TENANT, {"name": "bare", "api_keys": []}).ok
    acme, bare = routing.organisations
    keys = (digest_key(SECRET.encode()), digest_key(OTHER.encode()))
    assert (acme.name, acme.key_digests, acme.rank) == ("acme", keys, 0)
    assert (acme.rate_per_s, acme.burst, acme.regions) == (12.5, 4.0, ("north",))
    assert (bare.rank, bare.rate_per_s, bare.burst, bare.regions) == (None, 0, 0, ())
    assert SECRET.encode() not in dump_routing(routing)


def test_without_tenants_no_key_is_needed():
    routing = decode_manifest(json.dumps(MANIFEST).encode()).ok
    assert routing.organisations is None
    assert b"organisations" not in dump_routing(routing)


def test_an_empty_list_of_tenants_is_not_read_as_none():
    # Taking away the last tenant would open all routes to everyone.
    assert decode().ok.organisations == ()


def test_a_list_of_tenants_that_is_null_is_refused():
    failure = decode_manifest(json.dumps({**MANIFEST, "tenants": None}).encode()).error
    assert [fault.path for fault in failure.faults] == ["$.tenants"]


def test_a_route_may_allow_anonymous_requests():
    routes = [ROUTE, {**ROUTE, "path_prefix": "/open/", "allow_anonymous": True}]
    routing = decode_manifest(json.dumps({**MANIFEST, "routes": routes}).encode()).ok
    assert [route.allow_anonymous for route in routing.routes] == [False, True]


@pytest.mark.parametrize(
    "tenant, path",
    [
        ({**TENANT, "api_keys": SECRET}, "$.tenants[0].api_keys"),
        ({**TENANT, "api_keys": {SECRET: 1}}, "$.tenants[0].api_keys"),
        ({**TENANT, "api_keys": [[SECRET]]}, "$.tenants[0].api_keys[0]"),
        ({**TENANT, "api_keys": ["", SECRET]}, "$.tenants[0].api_keys[0]"),
        ({**TENANT, "api_keys": [f"{SECRET} x"]}, "$.tenants[0].api_keys[0]"),
        ({**TENANT, "name": [SECRET]}, "$.tenants[0].name"),
        (SECRET, "$.tenants[0]"),
        ({**TENANT, "priority": SECRET}, "$.tenants[0].priority"),
        ({**TENANT, "rate_per_s": -1}, "$.tenants[0].rate_per_s"),
        ({**TENANT, "burst": -0.5}, "$.tenants[0].burst"),
        ({**TENANT, "burst": True}, "$.tenants[0].burst"),
        ({**TENANT, "allowed_regions": SECRET}, "$.tenants[0].allowed_regions"),
    ],
)
def test_a_malformed_tenant_is_refused_by_its_path_without_its_keys(tenant, path):
    failure = decode(tenant).error
    assert [fault.path for fault in failure.faults] == [path]
    assert SECRET.encode() not in to_json(describe_failure(failure))


def test_tenants_that_share_a_key_or_a_name_are_refused_by_their_path():
    failure = decode(TENANT, {"name": "acme", "api_keys": [OTHER]}).error
    paths = [fault.path for fault in failure.faults]
    assert paths == ["$.tenants[1].name", "$.tenants[1].api_keys"]
    assert OTHER.encode() not in to_json(describe_failure(failure))


@pytest.mark.parametrize("field", ["rate_per_s", "burst"])
def test_a_stored_limit_is_one_that_leaders_of_earlier_versions_can_hold(field):
    organisation = decode({**TENANT, field: sys.float_info.max}).ok.organisations[0]
    assert getattr(organisation, field) == MAX_LIMIT and not organisation.is_limited


def test_a_key_as_a_repeated_field_is_not_quoted():
    document = json.dumps({**MANIFEST, "tenants": [{"api_keys": 0}]})
    keys = f'{{"{SECRET}": 1, "{SECRET}": 2}}'
    failure = decode_manifest(document.replace(": 0}]", f": {keys}}}]").encode()).error
    assert SECRET not in str(failure)


def test_a_tenant_with_an_unknown_region_is_refused_by_its_path():
    calls = SimpleNamespace(platform=SimpleNamespace(regions={"north-a": "north"}))
    tenant = {**TENANT, "allowed_regions": ["north", "moon"]}
    body = json.dumps({**MANIFEST, "tenants": [tenant]}).encode()
    with logbook.TestHandler() as lines:
        failure = put_routing(calls, CallInput("", "", body)).error
    paths = [fault.path for fault in failure.faults]
    assert paths == ["$.tenants[0].allowed_regions[1]"]
    assert not any(SECRET in str(record.extra) for record in lines.records)
