"""Answer operators who look at a gateway."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING
from typing import Any

from expression import Error

from ..core.failures import BadCall
from ..core.ids import ObjectKey
from .inspect import describe_placing
from .inspect import describe_sync
from .inspect import describe_where

if TYPE_CHECKING:
    from expression import Result

    from ..core.failures import Failure
    from ..core.ids import Instant
    from ..program.inspect import Page
    from ..program.inspect import Query
    from .balancing.task import BalancerTask
    from .factory import GatewayTasks


def gateway_pages(tasks: GatewayTasks) -> dict[str, Page]:
    """Return a gateway's pages by their paths."""
    return {"/status": partial(status, tasks), "/where": partial(where, tasks)}


def status(tasks: GatewayTasks, query: Query) -> Result[Any, Failure]:
    """Tell what the gateway knows and whom it follows."""
    balancer = tasks.balancer.query(lambda task, now: describe_placing(task.state, now))
    sync = tasks.sync.query(describe_sync)
    return balancer.bind(
        lambda told: sync.map(
            lambda followed: {"role": "entry", "sync": followed, "placing": told}
        )
    )


def where(tasks: GatewayTasks, query: Query) -> Result[Any, Failure]:
    """Tell where a request of a host, path and object would go."""
    host, path = query.get("host", ""), query.get("path", "")
    if not host or not path.startswith("/"):
        return Error(BadCall("host and path are needed"))
    key = ObjectKey(query.get("object", ""))

    def read(task: BalancerTask, now: Instant) -> Any:
        return describe_where(task.state, host, path, key, now)

    return tasks.balancer.query(read)
