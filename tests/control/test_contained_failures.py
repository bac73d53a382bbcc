"""Test that a value that a task can't work with costs its request, not the process."""

from __future__ import annotations

import socket
from contextlib import contextmanager
from random import Random

import logbook
import pytest

from snipecart.control.leader import LeaderState
from snipecart.control.machine.state import MachineState
from snipecart.control.node import NodeOutputs
from snipecart.control.node import NodeTask
from snipecart.control.raft.state import RaftState
from snipecart.control.requests import StatusQuery
from snipecart.core.events import MESSAGE_UNENCODABLE
from snipecart.core.events import REQUEST_FAILED
from snipecart.core.ids import Instant
from snipecart.core.states import Role
from snipecart.core.task import ANY_TASK_FAILED
from snipecart.core.task import Task
from snipecart.core.task import running
from snipecart.messages.commands import Node
from snipecart.messages.commands import Refused
from snipecart.messages.commands import SubmitText
from snipecart.messages.members import FetchText
from snipecart.messages.members import TextAnswer
from snipecart.wire.codec import Envelope
from snipecart.wire.codec import decode
from snipecart.wire.codec import is_encodable
from snipecart.wire.frames import receive_frames
from snipecart.wire.links import FRAME_MEMORY
from snipecart.wire.links import IncomingMessage
from snipecart.wire.links import Writer

from .test_quota_messages import REQUEST

BEYOND_64_BITS = 2**64
NOW = Instant(9.0)


@pytest.fixture
def events():
    """Return the numbers of logged events; no task may have failed at the end."""
    ANY_TASK_FAILED.clear()
    handler = logbook.TestHandler()
    with handler.applicationbound():
        yield lambda: [line.extra["event"] for line in handler.records]
    assert not ANY_TASK_FAILED.is_set()


@pytest.fixture
def leader():
    """Return the node task of a leader that records what it persists."""
    state = RaftState("a/1", Random(1), last_leader_contact=Instant(0.0))
    state.role = Role.LEADER
    persisted = []
    outputs = NodeOutputs(print, persisted.append, print, is_encodable=is_encodable)
    node = NodeTask(state, MachineState(), Node("a/1", "a", "h", 1), outputs)
    node.refusal = lambda now: None
    node.leader_state = LeaderState(1, Instant(1.0))
    node.persisted = persisted
    return node


def ask(node, message):
    """Return the answer of a node task to a message, as its thread would handle it."""
    answers = []
    node._handle([IncomingMessage(message, answers.append)])
    return answers[-1] if answers else None


def fail(*args):
    raise OverflowError("cannot convert float infinity to integer")


def test_a_leader_that_cannot_compute_limits_stays_leader(leader, events, monkeypatch):
    monkeypatch.setattr(leader.leader_state, "answer_quota", fail)
    assert ask(leader, REQUEST).reason == "request_failed"
    assert ask(leader, FetchText()) == TextAnswer(0, b"")
    assert REQUEST_FAILED.number in events()


def test_a_status_that_cannot_be_described_ends_no_process(leader, events, monkeypatch):
    monkeypatch.setattr(leader.leader_state.quotas, "busiest", fail)
    assert ask(leader, StatusQuery()).reason == "request_failed"
    assert REQUEST_FAILED.number in events()


def test_a_command_that_the_log_cannot_hold_is_refused(leader, events):
    before = leader.state.log.last_index
    answer = ask(leader, SubmitText("id", BEYOND_64_BITS, b"{}"))
    assert isinstance(answer, Refused) and answer.reason == "message_unencodable"
    assert leader.state.log.last_index == before and not leader.persisted


class IdleTask(Task):
    """Answer queries only."""

    def handle(self, batch, now):
        """Do nothing."""


def test_a_query_that_fails_ends_no_task(events):
    task = IdleTask("idle")
    with running(task):
        failure = task.query(fail).error
        assert failure.reason == "request_failed"
        assert task.query(lambda task, now: 7).ok == 7


@contextmanager
def connected_writer():
    ours, peers = socket.socketpair()
    writer = Writer(ours, "writer")
    with peers, running(writer):
        yield writer, receive_frames(peers, FRAME_MEMORY)


def test_a_message_that_cannot_be_encoded_costs_no_other_one(events):
    with connected_writer() as (writer, frames):
        writer.post(Envelope(1, TextAnswer(BEYOND_64_BITS, b"")))
        writer.post(Envelope(2, TextAnswer(-1, b"")))
        writer.post(Envelope(3, TextAnswer(5, b"")))
        assert decode(next(frames)).ok == Envelope(3, TextAnswer(5, b""))
    assert events().count(MESSAGE_UNENCODABLE.number) == 2
