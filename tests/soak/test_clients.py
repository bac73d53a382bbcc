"""Test that clients of the soak tell whole answers from those that break off."""

from __future__ import annotations

from random import Random

import pytest

from tests.upstream.scripted import CLOSE
from tests.upstream.scripted import RESET
from tests.upstream.scripted import scripted_server

from .clients import Client
from .clients import Front
from .history import Ending

HEAD = b"HTTP/1.1 200 Fine\r\nContent-Length: 10\r\n\r\n"


@pytest.mark.parametrize("end", [RESET, CLOSE])
@pytest.mark.parametrize("part", [b"", b"some"])
def test_an_answer_that_breaks_off_is_no_success(part, end):
    with scripted_server([HEAD + part, end]) as server:
        client = Client([Front("entry-1", "127.0.0.1", server.port)], Random(1), None)
        attempt = client.send()
    assert attempt.ending is Ending.CLOSED
    assert attempt.status == 0


def test_a_whole_answer_is_a_success():
    with scripted_server([HEAD + b"0123456789"]) as server:
        client = Client([Front("entry-1", "127.0.0.1", server.port)], Random(1), None)
        attempt = client.send()
    assert (attempt.ending, attempt.status) == (Ending.ANSWERED, 200)
    assert attempt.answer == b"0123456789"
