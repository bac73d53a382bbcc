"""Describe the quorum of the log, or the lack of a leader, in lines of text."""

from __future__ import annotations

from typing import Any


def describe_quorum(log: dict[str, Any]) -> list[str]:
    """Return lines about the quorum of a leader, or about a leader that is missing."""
    if "quorum" not in log:  # the process runs an earlier release
        return []
    if log["leaderless"] is not None:
        return _describe_leaderless(log["leaderless"])
    if log["role"] != "leader":
        return []
    learners = ", ".join(node["node"] for node in log["learners"]) or "none"
    return [*_describe_voters(log["quorum"]), f"learners: {learners}"]


def _describe_voters(quorum: dict[str, Any] | None) -> list[str]:
    if quorum is None:
        return ["quorum: not known yet, this process has just become the leader"]
    spare = quorum["spare"]
    lines = [
        f"quorum: {quorum['voters']} voters, {quorum['answering']} answer,"
        f" {quorum['needed']} needed, {max(spare, 0)} more may be lost"
    ]
    lines += [
        f"voter {voter['node']}: silent for {_seconds(voter['silence'])}"
        for voter in quorum["silent"]
    ]
    if spare < 0:
        lines.append("WARNING: too few voters answer, no change can be committed")
    elif spare == 0:
        lines.append("WARNING: no further voter may be lost, start a replacement")
    return lines


def _describe_leaderless(leaderless: dict[str, Any]) -> list[str]:
    lines = [f"WARNING: no leader for {_seconds(leaderless['silence'])}"]
    election = leaderless["election"]
    if election is None:
        return [*lines, "last election: none that failed since"]
    kind = "pre-vote" if election["pre_vote"] else "election"
    silent = ", ".join(election["silent"]) or "none"
    return [
        *lines,
        f"last {kind}, term {election['term']}: of {len(election['voters'])} voters"
        f" {len(election['granted'])} granted, {len(election['refused'])} refused,"
        f" {leaderless['needed']} needed; silent: {silent}",
    ]


def _seconds(milliseconds: int) -> str:
    return f"{milliseconds / 1000:.1f} s"
