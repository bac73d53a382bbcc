"""Serve the HTTP pages of an entry process for backend servers and operators."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING
from typing import Annotated

import cherrypy
from pydantic import Field
from pydantic import ValidationError

from ..core.failures import BadCall
from ..core.failures import Busy
from ..core.failures import Failure
from ..core.failures import TextInvalid
from ..core.ids import EndpointId
from ..core.ids import Instant
from ..core.ids import KindName
from ..core.ids import Millis
from ..core.ids import RegionName
from ..core.ids import ServiceName
from ..core.ids import ZoneName
from ..core.states import EndpointState
from ..core.states import Freshness
from ..messages.members import Announcement
from ..program.pages import CommonPages
from ..program.pages import answer_failure
from ..program.pages import answer_json
from ..program.pages import read_body
from ..program.settings import Section
from ..text.parse import list_faults
from .explain import explain
from .metrics import REFUSALS

if TYPE_CHECKING:
    from ..core.task import Task
    from .explain import Explanation
    from .steering.state import SteeringState
    from .steering.task import SteeringTask

MAX_ANNOUNCEMENT_BYTES = 4096
"""Maximum size of the body of an announcement."""

ADDRESS_PATTERN = r"^[0-9a-zA-Z.\-]{1,253}:[0-9]{1,5}$"


class AnnouncementBody(Section):
    """Represent the JSON body with which a backend server announces itself."""

    endpoint: Annotated[EndpointId, Field(pattern=ADDRESS_PATTERN)]
    service: Annotated[ServiceName, Field(max_length=64)]
    region: Annotated[RegionName, Field(max_length=64)]
    zone: Annotated[ZoneName, Field(max_length=64)]
    slots: Annotated[int, Field(ge=1, le=10_000)]
    state: EndpointState = EndpointState.SERVING
    lease_ms: Annotated[int, Field(ge=100, le=60_000)] = 3000


class EntryPages(CommonPages):
    """Accept announcements, and serve the status and explanation pages."""

    def __init__(self, steering: SteeringTask, heartbeat: Task) -> None:
        self._steering, self._heartbeat = steering, heartbeat

    @cherrypy.expose
    def ready(self) -> bytes:
        """Return whether this process is ready; the status is 503 if it isn't.

        It is ready while its configuration is confirmed and it isn't draining.
        """
        view = self._steering.view
        ready = view.freshness is Freshness.CONFIRMED and not view.draining
        status = 200 if ready else 503
        return answer_json({"ready": ready, "freshness": view.freshness}, status)

    @cherrypy.expose
    @cherrypy.tools.allow(methods=["POST"])
    def announce(self) -> bytes:
        """Accept the announcement of a backend server."""
        try:
            body = AnnouncementBody.model_validate_json(
                read_body(MAX_ANNOUNCEMENT_BYTES)
            )
        except ValidationError as exc:
            return self._refuse(
                TextInvalid("announcement is invalid", list_faults(exc))
            )
        announcement = Announcement(
            body.endpoint,
            body.service,
            body.region,
            body.zone,
            body.slots,
            body.state,
            Millis(body.lease_ms),
        )
        if not self._heartbeat.post(announcement):
            return self._refuse(Busy("heartbeat mailbox full"))
        return answer_json({"lease_ms": body.lease_ms})

    @cherrypy.expose
    def status(self) -> bytes:
        """Return the version in force, members, backend servers and link shares."""
        return answer_json(self._steering.read_state(_describe_status))

    @cherrypy.expose
    def explain(self, service: str = "", kind: str = "") -> bytes:
        """Return how a call of a kind would be handled now."""
        if not (service and kind):
            return self._refuse(BadCall("query needs a service and a kind"))
        read = partial(_explain_call, service=ServiceName(service), kind=KindName(kind))
        return answer_json(self._steering.read_state(read))

    def _refuse(self, failure: Failure) -> bytes:
        REFUSALS.labels(failure.reason).inc()
        return answer_failure(failure)


def _explain_call(
    state: SteeringState, now: Instant, service: ServiceName, kind: KindName
) -> Explanation:
    return explain(state, service, kind, now)


def _describe_status(state: SteeringState, now: Instant) -> dict[str, object]:
    return {
        "text_version": state.version,
        "freshness": state.freshness(now),
        "members": [member.member for member in state.members],
        "stopping": state.stopping,
        "running": len(state.running),
        "shares": sum(item.share for item in state.servers.values()),
        "endpoints": [
            {
                "endpoint": item.info.endpoint,
                "service": item.info.service,
                "state": item.info.state,
                "health": item.tracker.health,
                "share": item.share,
                "in_flight": item.in_flight,
            }
            for item in state.servers.values()
        ],
        "links": {name: budget.share for name, budget in state.links.items()},
    }
