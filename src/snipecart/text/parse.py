"""Parse and check a configuration, and report all its faults."""

from __future__ import annotations

import json
import re
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
"""Maximum size of a configuration in bytes."""

MAX_INTEGER_DIGITS = 400
"""Digits up to which integers in JSON are exact; longer ones are read as the largest.

Python does not convert integers of thousands of digits.
"""

SURROGATE_ESCAPE = re.compile(r"\\u[dD][89a-fA-F]")
"""Escape of half a character; JSON may pair two of them or, wrongly, use one alone."""


def format_json_path(parts: Sequence[str | int]) -> str:
    """Return a path into a JSON document in JSONPath notation."""
    steps = (f"[{part}]" if isinstance(part, int) else f".{part}" for part in parts)
    return "$" + "".join(steps)


def list_faults(exc: ValidationError) -> tuple[Fault, ...]:
    """Return the faults that the validation of a model has found.

    Omit lists that are too short but have faulty items: pydantic does not count
    such items, so the length it reports is wrong.
    """
    errors = exc.errors()
    parents = {error["loc"][:at] for error in errors for at in range(len(error["loc"]))}
    return tuple(
        Fault(format_json_path(error["loc"]), error["type"], error["msg"])
        for error in errors
        if not (error["type"] == "too_short" and error["loc"] in parents)
    )


def _reject_repeated_fields(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    fields = dict(pairs)
    if len(fields) != len(pairs):
        names = [name for name, _ in pairs]
        duplicate = next(name for name in names if names.count(name) > 1)
        raise ValueError(f"field {duplicate!r} is repeated")
    return fields


def _read_integer(digits: str) -> int:
    """Return an integer, or the largest one with its sign if it has too many digits."""
    if len(digits.lstrip("-")) <= MAX_INTEGER_DIGITS:
        return int(digits)
    largest = 10**MAX_INTEGER_DIGITS - 1
    return -largest if digits.startswith("-") else largest


def _reject_constant(name: str) -> float:
    raise ValueError(f"{name} is not JSON")


def _load(data: bytes) -> Any:
    """Return a parsed document, or raise ValueError or RecursionError."""
    text = data.decode(json.detect_encoding(data))
    document = json.loads(
        text,
        object_pairs_hook=_reject_repeated_fields,
        parse_int=_read_integer,
        parse_constant=_reject_constant,
    )
    if SURROGATE_ESCAPE.search(text):
        json.dumps(document, ensure_ascii=False).encode()
    return document


def load_json(data: bytes) -> Result[Any, Fault]:
    """Parse JSON; a syntax fault has line and column.

    Reject repeated fields, numbers that JSON does not have, and text that no process
    could encode.
    """
    try:
        return Ok(_load(data))
    except json.JSONDecodeError as exc:
        where = f"line {exc.lineno}, column {exc.colno}"
        return Error(Fault("$", "json_invalid", f"{exc.msg} at {where}"))
    except (UnicodeDecodeError, ValueError, RecursionError) as exc:
        return Error(Fault("$", "json_invalid", str(exc)))


def _check_size(data: bytes) -> Result[bytes, Failure]:
    if len(data) > MAX_TEXT_BYTES:
        fault = Fault(
            "$", "too_large", f"{len(data)} bytes, more than {MAX_TEXT_BYTES}"
        )
        return Error(TextInvalid("configuration is too large", (fault,)))
    return Ok(data)


def _parse_json(data: bytes) -> Result[Any, Failure]:
    return load_json(data).map_error(
        lambda fault: TextInvalid("invalid JSON", (fault,))
    )


def _validate_model(document: Any) -> Result[Text, Failure]:
    try:
        return Ok(Text.model_validate(document))
    except ValidationError as exc:
        return Error(TextInvalid("configuration is invalid", list_faults(exc)))


def _run_checks(text: Text) -> Result[Text, Failure]:
    faults = tuple(fault for name in CHECKS for fault in CHECKS.get(name)(text))
    if faults:
        return Error(TextInvalid("configuration is invalid", faults))
    return Ok(text)


TEXT_PIPE = Pipe((_check_size, _parse_json, _validate_model, _run_checks))


def parse_text(data: bytes) -> Result[Text, Failure]:
    """Return the configuration, or TextInvalid with the JSON path of each fault."""
    return TEXT_PIPE.run(data)


def build_json_schema(model: type[BaseModel]) -> dict[str, Any]:
    """Return the JSON Schema of a model."""
    return model.model_json_schema()
