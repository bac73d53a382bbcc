"""Chain filters into a pipeline that stops at the first failure."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
from typing import Any

from expression import Ok
from expression import Result

from .failures import Failure

Filter = Callable[[Any], Result[Any, Failure]]


class Pipe:
    """Pass a message through filters in order."""

    def __init__(self, filters: Sequence[Filter]) -> None:
        self.filters = tuple(filters)

    def run(self, message: Any) -> Result[Any, Failure]:
        """Return the result of the last filter, or the first failure."""
        result: Result[Any, Failure] = Ok(message)
        for step in self.filters:
            result = step(message)
            if result.is_error():
                break
            message = result.ok
        return result
