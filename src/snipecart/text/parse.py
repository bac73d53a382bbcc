"""Turn a text's bytes into its model, or into all its faults."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from typing import Any

from expression import Error
from expression import Ok
from expression import Result
from pydantic import BaseModel
from pydantic import ValidationError

from ..core.failures import Failure
from ..core.failures import Fault
from ..core.failures import TextInvalid
from ..core.pipe import Pipe
from .checks import CHECKS
from .model import Text

if TYPE_CHECKING:
    from collections.abc import Sequence

MAX_TEXT_BYTES = 8 * 1024 * 1024
"""Bytes of a text."""


def format_json_path(parts: Sequence[str | int]) -> str:
    """Spell a path into a JSON document."""
    steps = (f"[{part}]" if isinstance(part, int) else f".{part}" for part in parts)
    return "$" + "".join(steps)


def list_faults(exc: ValidationError) -> tuple[Fault, ...]:
    """List what a model's validation found.

    A list whose items are faulty is counted without them, so its length tells nothing.
    """
    errors = exc.errors()
    parents = {error["loc"][:at] for error in errors for at in range(len(error["loc"]))}
    return tuple(
        Fault(format_json_path(error["loc"]), error["type"], error["msg"])
        for error in errors
        if not (error["type"] == "too_short" and error["loc"] in parents)
    )


def _unique_pairs(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    fields = dict(pairs)
    if len(fields) != len(pairs):
        names = [name for name, _ in pairs]
        duplicate = next(name for name in names if names.count(name) > 1)
        raise ValueError(f"field {duplicate!r} stands twice")
    return fields


def load_json(data: bytes) -> Result[Any, Fault]:
    """Parse JSON, refusing repeated fields; a fault names the line."""
    try:
        return Ok(json.loads(data, object_pairs_hook=_unique_pairs))
    except json.JSONDecodeError as exc:
        where = f"line {exc.lineno}, column {exc.colno}"
        return Error(Fault("$", "json_invalid", f"{exc.msg} at {where}"))
    except (UnicodeDecodeError, ValueError, RecursionError) as exc:
        return Error(Fault("$", "json_invalid", str(exc)))


def _check_size(data: bytes) -> Result[bytes, Failure]:
    if len(data) > MAX_TEXT_BYTES:
        fault = Fault("$", "too_large", f"{len(data)} bytes, over {MAX_TEXT_BYTES}")
        return Error(TextInvalid("text too large", (fault,)))
    return Ok(data)


def _parse_json(data: bytes) -> Result[Any, Failure]:
    return load_json(data).map_error(lambda fault: TextInvalid("not JSON", (fault,)))


def _validate_model(document: Any) -> Result[Text, Failure]:
    try:
        return Ok(Text.model_validate(document))
    except ValidationError as exc:
        return Error(TextInvalid("text has faults", list_faults(exc)))


def _run_checks(text: Text) -> Result[Text, Failure]:
    faults = tuple(fault for name in CHECKS for fault in CHECKS.get(name)(text))
    if faults:
        return Error(TextInvalid("text has faults", faults))
    return Ok(text)


TEXT_PIPE = Pipe((_check_size, _parse_json, _validate_model, _run_checks))


def parse_text(data: bytes) -> Result[Text, Failure]:
    """Return the text, or TextInvalid with every fault's JSON path."""
    return TEXT_PIPE.run(data)


def build_json_schema(model: type[BaseModel]) -> dict[str, Any]:
    """Return a model's JSON Schema."""
    return model.model_json_schema()
