"""Define the pipeline of calls."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from ..core.pipe import Pipe
from . import filters
from .filters.answer import record_result
from .filters.registry import FILTERS
from .filters.registry import CallContext

if TYPE_CHECKING:
    from expression import Result

    from ..core.failures import Failure
    from .call import AnsweredCall
    from .call import CallRequest

__all__ = ["CALL_FILTERS", "CallPipeline", "filters"]

CALL_FILTERS = ("size", "resolve", "body", "rank", "key", "admit", "claim", "dispatch")
"""Names of the filters in order, from the request to the complete answer."""


class CallPipeline:
    """Run calls through the filters, and release what these acquired."""

    def __init__(self, ctx: CallContext) -> None:
        self._pipe = Pipe([partial(FILTERS.get(name), ctx) for name in CALL_FILTERS])

    def run(self, req: CallRequest) -> Result[AnsweredCall, Failure]:
        """Return the complete answer to a call, or CallFailed."""
        with req.exit_stack:
            result = self._pipe.run(req)
        record_result(req, result)
        return result
