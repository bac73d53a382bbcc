"""Test the checks of organisations in a routing table."""

from __future__ import annotations

import json

import pytest

from snipecart.text.routing import check_routing
from snipecart.text.routing import digest_key
from snipecart.text.routing import dump_routing
from snipecart.text.routing import list_limits
from snipecart.text.routing import parse_routing
from tests.gateway.world import make_route
from tests.gateway.world import make_routing

A, B = digest_key(b"alpha-key"), digest_key(b"beta-key")


def check(*organisations):
    services = [
        {
            "name": "racks",
            "health_path": "/",
            "max_connections": 0,
            "cold_ms": 0,
            "cold_per_s": 0,
        }
    ]
    return check_routing(
        {
            "version": 1,
            "routes": [make_route()],
            "services": services,
            "organisations": organisations,
        }
    )


def fault(*organisations):
    """Return the path and kind of the only fault."""
    faults = check(*organisations).error.faults
    assert len(faults) == 1
    return faults[0].path, faults[0].kind


def test_a_repeated_key_within_one_organisation_is_kept_once():
    routing = check({"name": "one", "key_digests": [A, B, A]}).ok
    assert routing.organisations[0].key_digests == (A, B)


def test_two_organisations_with_one_key_are_refused():
    # The second one would silently take over the requests of the first.
    assert fault(
        {"name": "one", "key_digests": [A]}, {"name": "two", "key_digests": [B, A]}
    ) == ("$.organisations[1].key_digests", "shared_key")


def test_two_organisations_with_one_name_are_refused():
    assert fault(
        {"name": "one", "key_digests": [A]}, {"name": "one", "key_digests": [B]}
    ) == ("$.organisations[1].name", "repeated_organisation")


@pytest.mark.parametrize("field", ["rate_per_s", "burst"])
def test_negative_limits_are_refused(field):
    path, _ = fault({"name": "one", field: -1})
    assert path == f"$.organisations[0].{field}"


@pytest.mark.parametrize("name", ["", "a\r\nb", " a", "Ž"])
def test_a_name_that_no_header_can_carry_is_refused(name):
    # A line break in it would add a header to each request.
    assert fault({"name": name})[0] == "$.organisations[0].name"


def dump_without_last_organisation():
    routing = make_routing(make_route())
    return dump_routing(routing.model_copy(update={"organisations": ()}))


def test_a_stored_table_tells_an_empty_list_from_none():
    # Each process would open the routes of a table whose last organisation is removed.
    empty, none = (
        dump_without_last_organisation(),
        dump_routing(make_routing(make_route())),
    )
    assert parse_routing(empty).ok.organisations == ()
    assert parse_routing(none).ok.organisations is None
    assert not any(rate for _, rate, _ in (*list_limits(empty), *list_limits(none)))


def test_earlier_versions_find_an_organisation_in_a_stored_empty_list():
    # They need keys only where the list has an item, and would admit everyone.
    stored = json.loads(dump_without_last_organisation())["organisations"]
    assert len(stored) == 1 and not stored[0]["key_digests"]
