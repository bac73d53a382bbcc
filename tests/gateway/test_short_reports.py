"""Test which control processes a gateway follows, and which get short reports."""

from __future__ import annotations

from dataclasses import replace

import pytest

from snipecart.core.ids import Instant
from snipecart.gateway.balancing.view import View
from snipecart.gateway.following import HOME_READY_SECONDS
from snipecart.gateway.following import HOME_SPREAD_SECONDS
from snipecart.gateway.following import Candidate
from snipecart.gateway.following import select_followed
from snipecart.gateway.peers import PeerMessage
from snipecart.gateway.sync_handlers import SetLeaving
from snipecart.messages.alive import AliveAnswer
from snipecart.messages.alive import GatewayAlive
from snipecart.messages.discovery import LogWitness
from snipecart.messages.discovery import SyncRequest
from tests.gateway.test_sync import ANSWER
from tests.gateway.test_sync import TABLE
from tests.gateway.test_sync import sync

__all__ = ["sync"]

WITNESS = LogWitness("c2/1", 7, 3)
SHORT = AliveAnswer(0.0, True, 5, 0, 0, 3, True, False, WITNESS, "c1")


def turn(task, now):
    """Let a sync task send its reports, and return the last one to each process."""
    task.handle([], Instant(now))
    return {vm: peer.link.sent[-1] for vm, peer in task._peers.items()}


def answer(task, vm, now, message=ANSWER, **overrides):
    """Answer the last report to a process, and return what is sent to it at once."""
    link = task._peers[vm].link
    sent, last = len(link.sent), link.sent[-1]
    full = {"accepts_short": True} if message is ANSWER else {}
    fields = {"sent_at": last.sent_at, **full, **overrides}
    task.handle([PeerMessage(vm, replace(message, **fields))], Instant(now))
    return link.sent[sent:]


@pytest.fixture
def other(sync):
    """Return the process that a gateway does not follow once both have answered."""
    sync._balancer.view = View(index=TABLE)
    turn(sync, 1.0)
    for vm in ("c1", "c2"):
        answer(sync, vm, 1.01)
    turn(sync, 1.5)
    return ({"c1", "c2"} - {sync.followed}).pop()


def test_only_the_followed_process_gets_full_requests(sync, other):
    sent = {vm: peer.link.sent[-1] for vm, peer in sync._peers.items()}
    assert sent[other] == GatewayAlive("g1", 1.5, 1)
    assert isinstance(sent[sync.followed], SyncRequest)


def test_a_process_that_did_not_answer_gets_a_full_request(sync, other):
    """Guards against a restarted process that learns of a gateway one message late."""
    assert isinstance(turn(sync, 2.0)[other], SyncRequest)


def test_a_process_of_an_earlier_version_gets_full_requests(sync, other):
    turn(sync, 2.0)
    answer(sync, other, 2.01, accepts_short=False)
    assert isinstance(turn(sync, 2.5)[other], SyncRequest)


def test_a_changed_state_is_sent_in_full_to_all_at_once(sync, other):
    answer(sync, other, 1.51, SHORT)
    sync.handle([SetLeaving()], Instant(1.6))
    sent = [peer.link.sent[-1] for peer in sync._peers.values()]
    assert {item.gateway.state for item in sent} == {"leaving"}


def test_a_process_that_does_not_know_the_gateway_gets_a_full_request_at_once(
    sync, other
):
    (sent,) = answer(sync, other, 1.51, SHORT, known=False)
    assert isinstance(sent, SyncRequest)
    assert isinstance(turn(sync, 2.0)[other], SyncRequest)


def test_newer_data_in_a_short_answer_is_requested_at_once(sync, other):
    for newer in ("routing_version", "evacuation_index", "control_index"):
        sync._next_fetch_at = Instant(0.0)
        (sent,) = answer(sync, other, 1.51, SHORT, **{newer: 9})
        assert isinstance(sent, SyncRequest)
    assert sync._control_index == 0
    assert set(sync._peers) == {"c1", "c2"}


def test_a_gateway_without_a_table_fetches_none_from_a_process_that_may_be_behind(
    sync, other
):
    sync._balancer.view = View()
    newer = {"routing_version": 9, "evacuation_index": 9, "may_be_behind": True}
    assert not answer(sync, other, 1.51, SHORT, **newer)


def test_a_short_answer_is_passed_on_with_what_proves_the_table_current(sync, other):
    answer(sync, other, 1.51, SHORT)
    passed = sync._balancer.received[-1]
    assert (passed.witness, passed.sent_at, passed.leader) == (WITNESS, 1.5, "c1")
    assert (passed.gateways, passed.evacuation_index, passed.control) == (3, 0, ())


SETTLED = HOME_READY_SECONDS + HOME_SPREAD_SECONDS
HOME = Candidate("home", True, True, True, SETTLED)
AWAY = Candidate("away", True, True, False, SETTLED)


@pytest.mark.parametrize(
    ("current", "home", "away", "starting", "chosen"),
    [
        ("", HOME, AWAY, True, "home"),
        ("", replace(HOME, ready=False), AWAY, True, "away"),
        ("", replace(HOME, fresh=False), AWAY, False, "away"),
        ("home", replace(HOME, ready=False), AWAY, False, "away"),
        ("away", replace(HOME, ready_seconds=9.0), AWAY, False, "away"),
        ("away", HOME, AWAY, True, "away"),
        ("away", HOME, AWAY, False, "home"),
        ("away", HOME, replace(AWAY, ready=False), True, "home"),
        ("home", replace(HOME, ready=False), replace(AWAY, ready=False), 0, "home"),
    ],
)
def test_the_own_region_is_followed_without_flapping(
    current, home, away, starting, chosen
):
    candidates = [home, away]
    assert select_followed("g", current, candidates, starting=starting) == chosen


def test_a_list_that_a_busy_process_denies_is_requested_elsewhere(sync):
    """Guards against a region whose only process has too many lists to send."""
    turn(sync, 1.0)
    answer(sync, "c1", 1.01, region="north")
    answer(sync, "c2", 1.01, region="south")
    assert isinstance(turn(sync, 1.15)["c1"], SyncRequest)
    assert sync.followed == "c1"
    answer(sync, "c1", 1.2, region="north", source="")
    sync._peers["c2"].answered_at = Instant(1.2)
    chosen = max(("c1", "c2"), key=lambda vm: sync_score(sync, vm))
    turn(sync, 1.3)
    assert sync.followed == chosen


def sync_score(task, vm):
    """Return the score of a process without regard to regions."""
    one = Candidate(vm, True, True, False, 0.0)
    both = [one, replace(one, vm="c2" if vm == "c1" else "c1")]
    gateway = task.gateway.gateway
    return select_followed(gateway, "", both, starting=True) == vm
