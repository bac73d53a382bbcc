"""Test the explanation of a request and the summary of a period from logs."""

from __future__ import annotations

import json

import pytest
from click.testing import CliRunner

from snipecart.cli import logs
from snipecart.cli.exits import Exit
from snipecart.core.events import REQUEST_ENDED
from snipecart.core.events import SERVER_EJECTED
from snipecart.logs.lines import parse_line
from snipecart.logs.summary import summarize_lines
from snipecart.logs.trace import trace_request


def make_send(instance="i-1", end="answered", ms=200, **more):
    """Return a send as the log line of a request contains it."""
    return {
        "instance": instance,
        "end": end,
        "ms": ms,
        "expected_wait_ms": 0,
        "load": 1.0,
        "report_ms": 30,
        **more,
    }


def make_line(request, at=10.0, event=REQUEST_ENDED, **fields):
    """Return a log line as a process writes it."""
    common_fields = {
        "at": at,
        "event": event.number,
        "what": event.text,
        "request": request,
    }
    return json.dumps({**common_fields, "level": "INFO", "route": "look", **fields})


def make_answered_line(request, ms=200, at=10.0, instance="i-1"):
    """Return the log line of an answered request."""
    return make_line(request, at, status=200, ms=ms, sends=[make_send(instance, ms=ms)])


def parse_lines(*texts):
    """Return log lines as parsed from one file."""
    return [parse_line(text, "gateway.log") for text in texts]


OTHER_ANSWERS = [
    make_answered_line(f"o{number}", at=10 + number / 10) for number in range(9)
]


def find_cause(*texts):
    """Return the explanation of request r."""
    return trace_request(parse_lines(*texts), "r").cause


def test_late_answer_is_compared_with_other_answers_of_its_server():
    assert "whose other answers took 200 ms" in find_cause(
        make_answered_line("r", 700), *OTHER_ANSWERS
    )


def test_cause_of_a_queued_answer_has_its_wait():
    late = make_line("r", ms=600, sends=[make_send(ms=600, expected_wait_ms=300)])
    assert find_cause(late) == "answered after 600 ms, queued for 300"


def test_cause_of_a_refusal_has_its_detail():
    refused = make_line(
        "r", reason="server_saturated", detail="i-1 is free first", sends=[]
    )
    assert find_cause(refused) == "refused at once, not run: i-1 is free first"


def test_cause_of_a_failure_counts_other_failures_of_its_server():
    fields = {"reason": "backend_broken", "detail": "CutShort", "may_have_run": True}
    failed = make_line("r", sends=[make_send(end="broken", ms=46)], **fields)
    other_failure = make_line(
        "s", at=11.0, sends=[make_send(end="timed_out")], **fields
    )
    distant_failure = make_line(
        "t", at=30.0, sends=[make_send(end="timed_out")], **fields
    )
    result = find_cause(failed, other_failure, distant_failure, *OTHER_ANSWERS)
    assert result.startswith("may have run: i-1 ended broken after 46 ms CutShort")
    assert "1 of 10 other sends" in result


def test_only_events_of_its_own_server_are_listed():
    own_event = make_line("", at=9.0, event=SERVER_EJECTED, instance="i-1")
    other_event = make_line("", at=9.0, event=SERVER_EJECTED, instance="i-2")
    trace = trace_request(
        parse_lines(make_answered_line("r"), own_event, other_event), "r"
    )
    events = [item.fields["instance"] for item in trace.servers["i-1"].events]
    assert events == ["i-1"]


@pytest.mark.parametrize("text", ["", "no event", "{", '{"event":"x"}', "[1]"])
def test_line_without_event_is_ignored(text):
    assert parse_line(text, "f") is None


def test_prefix_of_a_log_collector_is_ignored():
    assert parse_line(f"  1.2 edge-1 {make_answered_line('r')}", "f").request == "r"


def test_summary_counts_ends_by_second_and_latency_by_route():
    refused = make_line("x", at=12.2, reason="server_saturated", sends=[])
    summary = summarize_lines(parse_lines(refused, *OTHER_ANSWERS))
    assert summary.ends_by_second == {0: {"answered": 9}, 2: {"server_saturated": 1}}
    assert summary.stats_by_route["look"].quantile_ms(0.5) == 200


def test_commands_trace_a_request_and_render_a_page(tmp_path):
    file, page = tmp_path / "gateway.log", tmp_path / "day.html"
    file.write_text("\n".join([make_answered_line("r", 700), *OTHER_ANSWERS]) + "\n")
    result = CliRunner().invoke(logs.main, ["trace", "r", str(file), "--json"])
    assert json.loads(result.output)["servers"]["i-1"]["median_ms"] == 200
    report = CliRunner().invoke(logs.main, ["report", str(file), "--out", str(page)])
    assert report.output.startswith("10 requests")
    assert "<svg" in page.read_text()
    missing = CliRunner().invoke(logs.main, ["trace", "nobody", str(file)])
    assert missing.exit_code == Exit.FAILED
