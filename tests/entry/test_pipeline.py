"""Test that a keyed call is never dispatched before its key is claimed."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack
from contextlib import contextmanager
from dataclasses import replace

import pytest
from expression import Error
from expression import Ok

from snipecart.core.failures import NoQuorum
from snipecart.core.states import ClaimVerdict
from snipecart.core.states import DispatchOutcome
from snipecart.core.states import Freshness
from snipecart.core.states import Outcome
from snipecart.core.states import Rank
from snipecart.core.task import monotonic
from snipecart.entry import pipeline
from snipecart.entry.backend import DispatchResult
from snipecart.entry.call import CallRequest
from snipecart.entry.filters.registry import CallContext
from snipecart.entry.pipeline import CallPipeline
from snipecart.entry.steering.messages import Slot
from snipecart.entry.steering.task import View
from snipecart.messages.commands import ClaimAnswer
from snipecart.messages.commands import ClaimClosed
from snipecart.messages.commands import ClaimKey
from snipecart.messages.commands import RecordedAnswer

from .steering import make_text

ANSWER = RecordedAnswer(200, "t", b"whole")
KEY = "1000-k"


class FakeTasks:
    """Replace the tasks and clients of a call, and record the order of events."""

    def __init__(
        self, verdict=ClaimVerdict.GRANTED, outcomes=(DispatchOutcome.ANSWERED,)
    ):
        self.events: list[str] = []
        self.verdict, self.outcomes = verdict, list(outcomes)
        self.seal_succeeds = True
        self.view = View(
            5, make_text(), Freshness.CONFIRMED, monotonic() + 9, (), False
        )

    @contextmanager
    def call_scope(self, call):
        try:
            yield
        finally:
            self.events.append("released")

    def ask(self, message, timeout):
        """Answer a claim, a command that closes one, or a request for a slot."""
        if isinstance(message, ClaimKey):
            self.events.append("claim")
            if self.verdict is None:
                return Error(NoQuorum())
            return Ok(ClaimAnswer(message.key, self.verdict, ANSWER))
        if hasattr(message, "attempt"):
            self.events.append(type(message).__name__)
            return Ok(ClaimClosed(message.key, self.seal_succeeds))
        return Ok(Slot(message.call, "e1:1", 1.0))

    request_slot = ask

    def post_blocking(self, message):
        self.events.append("dispatch recorded")

    def post(self, message):
        self.events.append(f"queued {type(message).__name__}")

    def dispatch(self, call, endpoint, timeout):
        self.events.append("dispatch")
        return DispatchResult(self.outcomes.pop(0), ANSWER, 0.01, -1.0)

    dispatch_on_new_connection = dispatch


def run(tasks: FakeTasks, kind: str = "once", key: str = KEY):
    """Run one call through the pipeline."""
    with ThreadPoolExecutor(2) as executor:
        ctx = CallContext("m", tasks, tasks, tasks, tasks, tasks, executor, 1000)
        rank = {"once": Rank.NORMAL, "fast": Rank.URGENT}[kind]
        req = CallRequest(
            "c", "s", kind, "me", key, 0, b"", "t", rank, monotonic(), ExitStack()
        )
        return CallPipeline(ctx).run(req)


def test_claim_precedes_dispatch_and_answer_is_recorded():
    tasks = FakeTasks()
    assert run(tasks).ok.answer == ANSWER
    assert tasks.events == [
        "claim",
        "dispatch",
        "dispatch recorded",
        "RecordOutcome",
        "released",
    ]


def test_recorded_answer_is_returned_without_dispatch():
    tasks = FakeTasks(ClaimVerdict.ANSWERED)
    assert run(tasks).ok.answer == ANSWER
    assert "dispatch" not in tasks.events


@pytest.mark.parametrize(
    ("verdict", "reason", "outcome"),
    [
        (None, "claim_unconfirmed", Outcome.UNKNOWN),
        (ClaimVerdict.HELD_ELSEWHERE, "claim_held", Outcome.UNKNOWN),
        (ClaimVerdict.OTHER_BODY, "key_reused", Outcome.UNKNOWN),
        (ClaimVerdict.KEY_EXPIRED, "key_expired", Outcome.UNKNOWN),
        (ClaimVerdict.NOT_RUN, "claim_sealed", Outcome.NOT_RUN),
    ],
)
def test_call_without_granted_claim_is_not_dispatched(verdict, reason, outcome):
    tasks = FakeTasks(verdict)
    error = run(tasks).error
    assert (error.failure.reason, error.outcome) == (reason, outcome)
    assert "dispatch" not in tasks.events


@pytest.mark.parametrize("end", [DispatchOutcome.TIMED_OUT, DispatchOutcome.BROKEN])
def test_call_with_lost_answer_is_unknown_and_not_retried(end):
    tasks = FakeTasks(outcomes=[end, DispatchOutcome.ANSWERED])
    assert run(tasks).error.outcome is Outcome.UNKNOWN
    assert tasks.events.count("dispatch") == 1


def test_not_run_is_reported_only_after_the_seal():
    assert (
        run(FakeTasks(outcomes=[DispatchOutcome.SHED])).error.outcome is Outcome.NOT_RUN
    )
    tasks = FakeTasks(outcomes=[DispatchOutcome.SHED])
    tasks.seal_succeeds = False
    assert run(tasks).error.outcome is Outcome.UNKNOWN
    assert "queued SealNotRun" in tasks.events


def test_unsent_call_is_retried_under_the_same_claim():
    tasks = FakeTasks(outcomes=[DispatchOutcome.NOT_SENT, DispatchOutcome.ANSWERED])
    assert run(tasks).ok.tries == 2
    assert tasks.events.count("claim") == 1


def test_dispatch_before_the_claim_is_found(monkeypatch):
    names = tuple(name for name in pipeline.CALL_FILTERS if name != "claim")
    monkeypatch.setattr(pipeline, "CALL_FILTERS", names)
    tasks = FakeTasks()
    assert run(tasks).error.failure.reason == "claim_unconfirmed"
    assert "dispatch" not in tasks.events


def test_idempotent_call_needs_no_claim():
    tasks = FakeTasks(outcomes=[DispatchOutcome.SHED, DispatchOutcome.ANSWERED])
    assert run(tasks, "fast", "").ok.tries == 2
    assert "claim" not in tasks.events


@pytest.mark.parametrize("kind", ["once", "fast"])
def test_unconfirmed_configuration_stops_dispatch_unless_kind_serves(kind):
    tasks = FakeTasks()
    tasks.view = replace(tasks.view, confirmed_until=monotonic() - 0.1)
    result = run(tasks, kind, KEY if kind == "once" else "")
    if kind == "once":
        assert result.error.failure.reason == "cut_off"
        assert result.error.outcome is Outcome.NOT_RUN
        assert "dispatch" not in tasks.events
    else:
        assert result.is_ok()
