"""Define the context and the registry of the filters of calls."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from expression import Result

from ...core.failures import Failure
from ...core.registry import Registry

if TYPE_CHECKING:
    from concurrent.futures import Executor

    from ...core.ids import MemberId
    from ...core.task import Task
    from ..backend import BackendClient
    from ..control_client import ControlClient
    from ..steering.task import SteeringTask


@dataclass(frozen=True)
class CallContext:
    """Store the tasks, connections and limits that filters use."""

    member: MemberId
    steering: SteeringTask
    control: ControlClient
    backends: BackendClient
    canceller: Task
    claim_closer: Task
    executor: Executor
    """Runs non-idempotent dispatches, which may last longer than their callers wait."""
    max_body: int
    """Maximum size of a body in bytes."""


CallFilter = Callable[[CallContext, Any], Result[Any, Failure]]

FILTERS: Registry[str, CallFilter] = Registry("filters of calls")
