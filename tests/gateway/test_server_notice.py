"""Test the decoding of what backend servers ask for in their answers."""

from __future__ import annotations

import pytest

from snipecart.gateway.request import HeaderNames
from snipecart.gateway.server_notice import MAX_PAUSE_SECONDS
from snipecart.gateway.server_notice import MIN_RATE_LIMIT
from snipecart.gateway.server_notice import NO_NOTICE
from snipecart.gateway.server_notice import RETRY_AFTER
from snipecart.gateway.server_notice import ServerNotice
from snipecart.gateway.server_notice import read_notice
from snipecart.upstream.answers import HttpAnswer

NAMES = HeaderNames()
LEAVING, LIMIT, PAUSE = NAMES.leaving, NAMES.rate_limit, RETRY_AFTER


def read(*headers, status=503):
    return read_notice(HttpAnswer(status, "", headers, b""), NAMES)


def test_all_fields_of_a_notice_are_read():
    notice = read((LEAVING, "1"), (LIMIT, " 2.5 "), (PAUSE, "1.5"))
    assert notice == ServerNotice(True, 1.5, 2.5)


@pytest.mark.parametrize("status", [200, 429, 500])
def test_only_an_unavailable_server_asks_for_a_pause(status):
    assert read((PAUSE, "3"), status=status) == NO_NOTICE


@pytest.mark.parametrize(
    "value",
    ["", "-1", "inf", "nan", "1e3", "0x3", "1,5", "٣", "1 2", "9" * 400, "1.", "x"],
)
def test_a_malformed_header_costs_no_other(value):
    assert read((LIMIT, value), (PAUSE, value), (LEAVING, "1")) == ServerNotice(True)
    assert read((LEAVING, value), (LIMIT, "3")) == ServerNotice(False, 0.0, 3.0)


def test_a_repeated_header_is_ignored():
    assert read((LIMIT, "3"), (LIMIT, "4"), (LEAVING, "1")) == ServerNotice(True)


def test_extreme_values_are_bounded():
    notice = read((LIMIT, "0"), (PAUSE, "86400"))
    assert notice == ServerNotice(False, MAX_PAUSE_SECONDS, MIN_RATE_LIMIT)
