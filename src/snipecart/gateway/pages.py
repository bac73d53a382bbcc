"""Serve the inspection pages of a gateway."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING
from typing import Any

from expression import Error

from ..core.failures import BadCall
from ..core.ids import ObjectKey
from .inspect import describe_balancer
from .inspect import describe_destination
from .inspect import describe_sync

if TYPE_CHECKING:
    from expression import Result

    from ..core.failures import Failure
    from ..core.ids import Instant
    from ..program.inspect import Page
    from ..program.inspect import Query
    from .balancing.task import BalancerTask
    from .factory import GatewayTasks


def gateway_pages(tasks: GatewayTasks) -> dict[str, Page]:
    """Return the inspection pages of a gateway by path."""
    return {
        "/status": partial(get_status, tasks),
        "/where": partial(get_destination, tasks),
    }


def get_status(tasks: GatewayTasks, query: Query) -> Result[Any, Failure]:
    """Return the status of the balancer and of the synchronization."""
    balancer = tasks.balancer.query(
        lambda task, now: describe_balancer(task.state, now)
    )
    sync = tasks.sync.query(describe_sync)
    return balancer.bind(
        lambda balancer_status: sync.map(
            lambda sync_status: {
                "role": "entry",
                "sync": sync_status,
                "placing": balancer_status,
            }
        )
    )


def get_destination(tasks: GatewayTasks, query: Query) -> Result[Any, Failure]:
    """Return where a request with a given host, path and object would be sent."""
    host, path = query.get("host", ""), query.get("path", "")
    if not host or not path.startswith("/"):
        return Error(BadCall("query needs a host and a path that starts with /"))
    key = ObjectKey(query.get("object", ""))

    def read(task: BalancerTask, now: Instant) -> Any:
        return describe_destination(task.state, host, path, key, now)

    return tasks.balancer.query(read)
