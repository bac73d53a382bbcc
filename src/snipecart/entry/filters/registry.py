"""Keep the filters of calls under names."""

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
    """Hold the tasks that filters talk to."""

    member: MemberId
    steering: SteeringTask
    control: ControlClient
    backends: BackendClient
    canceller: Task
    claim_closer: Task
    executor: Executor
    """Runs non-idempotent dispatches, which outlive their callers' waits."""
    max_body: int


CallFilter = Callable[[CallContext, Any], Result[Any, Failure]]

FILTERS: Registry[str, CallFilter] = Registry("filters of calls")
