"""Define the messages that other tasks and the workers send to the balancer."""

from __future__ import annotations

from concurrent.futures import Future
from dataclasses import dataclass
from typing import TYPE_CHECKING

from expression import Result

from ...core.failures import Failure

if TYPE_CHECKING:
    from ...core.ids import InstanceId
    from ...core.ids import ServiceName
    from ..request import Destination
    from ..request import RoutedRequest
    from ..request import SendResult
    from .budget import BudgetRule

DestinationFuture = Future[Result["Destination", Failure]]


@dataclass(frozen=True)
class SelectServer:
    """Ask for a backend server for a request's first send."""

    routed: RoutedRequest
    fut: DestinationFuture


@dataclass(frozen=True)
class SelectRetryServer:
    """Ask for another backend server after a send without an answer."""

    routed: RoutedRequest
    service: ServiceName
    tried: frozenset[InstanceId]
    """Instances that the request was sent to before."""
    needs_budget: bool
    """Whether the last send reached a backend server, so the retry uses the budget."""
    fut: DestinationFuture
    may_have_run: bool = False
    """Whether a backend server may have run the request."""


@dataclass(frozen=True)
class RecordSend:
    """Report how a send ended, so that its slot counts as free."""

    routed: RoutedRequest
    destination: Destination
    sent: SendResult


@dataclass(frozen=True)
class SetBudgetRule:
    """Replace the rule of the retry budgets."""

    rule: BudgetRule
