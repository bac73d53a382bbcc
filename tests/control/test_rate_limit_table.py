"""Test what a control process keeps of the rate limits that servers name."""

from __future__ import annotations

import pytest

from snipecart.control.discovery.rate_limits import LIFTED_LIMIT_LIFETIME
from snipecart.control.discovery.rate_limits import RateLimitTable
from snipecart.control.discovery.table import InstanceTable
from snipecart.messages.discovery import Gossip
from snipecart.messages.discovery import RateLimit
from snipecart.wire.codec import decode
from snipecart.wire.codec import encode
from tests.gateway.world import make_instance

SERVER = make_instance(1)


def limit(per_s, age=0, born=SERVER.born):
    return RateLimit(SERVER.instance, born, per_s, age)


@pytest.fixture
def table():
    return RateLimitTable()


@pytest.fixture
def servers():
    instances = InstanceTable()
    instances.apply_update(SERVER, gone=False, now=10.0)
    return instances


def rates(table, now):
    return [item.per_s for item in table.in_force(now)]


def test_an_older_answer_does_not_replace_a_later_one(table):
    table.record([limit(2.0)], 10.0)
    table.record([limit(3.0, age=500)], 10.1)
    assert rates(table, 10.1) == [2.0]
    table.record([limit(0.0)], 11.0)
    table.record([limit(2.0, age=800)], 11.2)
    assert rates(table, 11.2) == []


def test_a_limit_ends_with_the_run_of_its_server(table, servers):
    table.record([limit(2.0)], 10.0)
    table.remove_stale(servers, 10.1)
    assert rates(table, 10.1) == [2.0]
    reborn = make_instance(1, born=SERVER.born + 5)
    servers.apply_update(reborn, gone=False, now=11.0)
    table.remove_stale(servers, 11.0)
    assert rates(table, 11.0) == []
    table.record([limit(4.0, born=reborn.born)], 12.0)
    table.record([limit(2.0)], 12.1)
    assert rates(table, 12.1) == [4.0]


def test_the_age_of_a_limit_grows_while_it_is_passed_on(table):
    other = RateLimitTable()
    table.record([limit(2.0, age=300)], 10.0)
    other.record(table.take_changes(10.2, everything=False), 10.2)
    assert [item.age for item in other.in_force(10.3)] == [600]
    assert table.take_changes(10.5, everything=False) == ()
    assert len(table.take_changes(10.5, everything=True)) == 1


def test_a_lifted_limit_is_forgotten_after_a_time(table, servers):
    table.record([limit(2.0)], 10.0)
    table.record([limit(0.0)], 11.0)
    revision = table.revision
    table.remove_stale(servers, 11.1)
    assert table.limits
    table.remove_stale(servers, 11.1 + LIFTED_LIMIT_LIFETIME)
    assert not table.limits
    assert table.revision > revision


def test_a_repeated_limit_is_no_change(table):
    table.record([limit(2.0)], 10.0)
    revision = table.revision
    table.record([limit(2.0)], 10.5)
    assert table.revision == revision


def test_a_limit_that_stands_for_months_can_still_be_listed(table):
    """Guards against a process that ends as the age exceeds its field."""
    table.record([limit(2.0)], 10.0)
    listed = table.in_force(10.0 + 60 * 86_400)
    gossip = Gossip("c1", (), "run", (), listed)
    assert decode(encode(gossip)).ok.message == gossip
    assert listed[0].age > 49 * 86_400_000
