"""Test that a claim comes before a dispatch, whatever the pipeline."""

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


class Tasks:
    """Stand in for the tasks a call talks to, and note the order."""

    def __init__(self, verdict=ClaimVerdict.GRANTED, ends=(DispatchOutcome.ANSWERED,)):
        self.events: list[str] = []
        self.verdict, self.ends = verdict, list(ends)
        self.seals = True
        self.view = View(
            5, make_text(), Freshness.CONFIRMED, monotonic() + 9, (), False
        )

    @contextmanager
    def call_scope(self, call):
        try:
            yield
        finally:
            self.events.append("freed")

    def ask(self, message, limit):
        if isinstance(message, ClaimKey):
            self.events.append("claim")
            if self.verdict is None:
                return Error(NoQuorum())
            return Ok(ClaimAnswer(message.key, self.verdict, ANSWER))
        if hasattr(message, "attempt"):
            self.events.append(type(message).__name__)
            return Ok(ClaimClosed(message.key, self.seals))
        return Ok(Slot(message.call, "e1:1", 1.0))

    request_slot = ask

    def post_blocking(self, message):
        self.events.append("told")

    def post(self, message):
        self.events.append(f"later {type(message).__name__}")

    def dispatch(self, call, endpoint, limit):
        self.events.append("dispatch")
        return DispatchResult(self.ends.pop(0), ANSWER, 0.01, -1.0)

    dispatch_once = dispatch


def run(tasks: Tasks, kind: str = "once", key: str = KEY):
    """Run one call through the pipeline."""
    with ThreadPoolExecutor(2) as runs:
        ctx = CallContext("m", tasks, tasks, tasks, tasks, tasks, runs, 1000)
        rank = {"once": Rank.NORMAL, "fast": Rank.URGENT}[kind]
        req = CallRequest(
            "c", "s", kind, "me", key, 0, b"", "t", rank, monotonic(), ExitStack()
        )
        return CallPipeline(ctx).run(req)


def test_the_claim_comes_first_and_the_answer_is_recorded():
    tasks = Tasks()
    assert run(tasks).ok.answer == ANSWER
    assert tasks.events == ["claim", "dispatch", "told", "RecordOutcome", "freed"]


def test_a_recorded_answer_is_given_without_a_dispatch():
    tasks = Tasks(ClaimVerdict.ANSWERED)
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
def test_no_claim_means_no_dispatch(verdict, reason, outcome):
    tasks = Tasks(verdict)
    failed = run(tasks).error
    assert (failed.failure.reason, failed.outcome) == (reason, outcome)
    assert "dispatch" not in tasks.events


@pytest.mark.parametrize("end", [DispatchOutcome.TIMED_OUT, DispatchOutcome.BROKEN])
def test_a_lost_answer_is_unknown_and_never_sent_again(end):
    tasks = Tasks(ends=[end, DispatchOutcome.ANSWERED])
    assert run(tasks).error.outcome is Outcome.UNKNOWN
    assert tasks.events.count("dispatch") == 1


def test_not_run_is_said_only_once_sealed():
    assert run(Tasks(ends=[DispatchOutcome.SHED])).error.outcome is Outcome.NOT_RUN
    tasks = Tasks(ends=[DispatchOutcome.SHED])
    tasks.seals = False
    assert run(tasks).error.outcome is Outcome.UNKNOWN
    assert "later SealNotRun" in tasks.events


def test_what_never_left_may_go_elsewhere_under_the_same_claim():
    tasks = Tasks(ends=[DispatchOutcome.NOT_SENT, DispatchOutcome.ANSWERED])
    assert run(tasks).ok.tries == 2
    assert tasks.events.count("claim") == 1


def test_dispatch_before_the_claim_is_found(monkeypatch):
    names = tuple(name for name in pipeline.CALL_FILTERS if name != "claim")
    monkeypatch.setattr(pipeline, "CALL_FILTERS", names)
    tasks = Tasks()
    assert run(tasks).error.failure.reason == "claim_unconfirmed"
    assert "dispatch" not in tasks.events


def test_an_idempotent_call_needs_no_claim():
    tasks = Tasks(ends=[DispatchOutcome.SHED, DispatchOutcome.ANSWERED])
    assert run(tasks, "fast", "").ok.tries == 2
    assert "claim" not in tasks.events


@pytest.mark.parametrize("kind", ["once", "fast"])
def test_nothing_is_sent_on_a_text_that_lapsed_meanwhile(kind):
    tasks = Tasks()
    tasks.view = replace(tasks.view, confirmed_until=monotonic() - 0.1)
    ended = run(tasks, kind, KEY if kind == "once" else "")
    if kind == "once":
        assert ended.error.failure.reason == "cut_off"
        assert ended.error.outcome is Outcome.NOT_RUN
        assert "dispatch" not in tasks.events
    else:
        assert ended.is_ok()
