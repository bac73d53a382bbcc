"""Test that an invalid configuration is rejected as a whole, with every fault."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from snipecart.text.diff import diff_texts
from snipecart.text.model import Text
from snipecart.text.parse import parse_text

EXAMPLES = sorted(Path("examples").glob("*.json"))


def load_example() -> dict:
    """Return an example configuration."""
    return json.loads(Path("examples/carrozzina-sicura.json").read_text())


def faults(document) -> dict[str, str]:
    """Return the kinds of the faults of a document by path."""
    parsed = parse_text(json.dumps(document).encode())
    return {fault.path: fault.kind for fault in parsed.error.faults}


@pytest.mark.parametrize("path", EXAMPLES, ids=lambda path: path.stem)
def test_examples_are_valid(path):
    assert parse_text(path.read_bytes()).is_ok()


def test_every_fault_is_reported():
    document = load_example()
    document["services"][0]["places"][1]["zone"] = "nowhere"
    document["services"][0]["depends_on"] = ["deposit-ledger", "none"]
    document["services"][1]["kinds"][0]["floor"] = 0.9
    document["services"][0]["kinds"][1]["when_cut_off"] = "serve"
    document["links"][0]["target"] = document["links"][0]["source"]
    assert faults(document) == {
        "$.services[0].places[1].zone": "unknown_zone",
        "$.services[0].depends_on[0]": "dependency_cycle",
        "$.services[0].depends_on[1]": "unknown_service",
        "$.services[1].depends_on[0]": "dependency_cycle",
        "$.services[1].kinds": "floors_too_high",
        "$.services[0].kinds[1].when_cut_off": "not_idempotent",
        "$.links[0].target": "same_region",
    }


def test_schema_faults_have_paths():
    document = load_example()
    document["services"][1]["kinds"][2]["rank"] = "soon"
    document["services"][1]["extra"] = 1
    del document["regions"][0]["name"]
    assert faults(document) == {
        "$.services[1].kinds[2].rank": "enum",
        "$.services[1].extra": "extra_forbidden",
        "$.regions[0].name": "missing",
    }


@pytest.mark.parametrize(
    "data", [b"", b"{", b"[]", b'{"a":1,"a":2}', b"\xff", b"[" * 100_000, b"null"]
)
def test_malformed_documents_are_refused(data):
    assert parse_text(data).is_error()


def test_diff_lists_changed_paths():
    before = Text.model_validate(load_example())
    document = load_example()
    document["services"][0]["kinds"][0]["deadline_ms"] = 7
    del document["links"][0]
    changes = diff_texts(before, Text.model_validate(document))
    assert {(change.path, change.kind) for change in changes} == {
        (
            "$.services[name=rack-registry].kinds[name=find-rack].deadline_ms",
            "changed",
        ),
        ("$.links[palermo>catania]", "removed"),
    }
