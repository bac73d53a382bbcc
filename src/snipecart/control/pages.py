"""Serve the HTTP pages for operators."""

from __future__ import annotations

from concurrent.futures import Future
from typing import TYPE_CHECKING
from typing import Any

import cherrypy
from expression import Error
from expression import Ok
from expression import Result

from ..core.failures import Busy
from ..core.failures import Failure
from ..core.failures import NoQuorum
from ..core.failures import NotLeader
from ..core.failures import SubmissionReused
from ..core.failures import VersionConflict
from ..core.ids import SubmissionId
from ..core.ids import TextVersion
from ..core.ids import vm_of
from ..core.numbers import parse_count
from ..core.states import SubmitVerdict
from ..messages.commands import Refused
from ..messages.commands import SubmitAnswer
from ..messages.commands import SubmitText
from ..program.pages import CommonPages
from ..program.pages import answer_failure
from ..program.pages import answer_json
from ..program.pages import read_body
from ..text.parse import MAX_TEXT_BYTES
from ..text.parse import parse_text
from ..wire.links import IncomingMessage
from .metrics import REFUSALS
from .requests import NodeStatus
from .requests import StatusQuery

if TYPE_CHECKING:
    from .node import NodeTask

ANSWER_TIMEOUT = 5.0
"""Seconds that an operator's request waits for a quorum."""

FAILURES_BY_REASON: dict[str, type[Failure]] = {
    failure().reason: failure for failure in (NotLeader, NoQuorum, Busy)
}


class ControlPages(CommonPages):
    """Accept submitted configurations and serve the state of the system."""

    def __init__(self, node: NodeTask, http_addresses: dict[str, str]) -> None:
        self._node = node
        self._http_addresses = http_addresses

    @cherrypy.expose
    def ready(self) -> bytes:
        """Return whether this process is a confirmed leader or follows a leader."""
        status = self._ask(StatusQuery())
        if status.is_error():
            return answer_failure(status.error)
        is_ready = status.ok.confirmed or bool(status.ok.leader)
        return answer_json({"ready": is_ready}, 200 if is_ready else 503)

    @cherrypy.expose
    def status(self) -> bytes:
        """Return the state of this process, of the log and of the members."""
        status = self._ask(StatusQuery())
        if status.is_error():
            return answer_failure(status.error)
        return answer_json(_describe_status(status.ok, self._http_addresses))

    @cherrypy.expose
    def text(self) -> bytes:
        """Return the accepted configuration and its version, confirmed by a quorum."""
        status = self._ask(StatusQuery())
        if status.is_error():
            return answer_failure(status.error)
        if not status.ok.confirmed:
            return self._refuse(NotLeader(self._leader_address(status.ok)))
        cherrypy.response.headers["Snipecart-Version"] = str(status.ok.version)
        cherrypy.response.headers["Content-Type"] = "application/json"
        return status.ok.text

    @cherrypy.expose
    @cherrypy.tools.allow(methods=["POST"])
    def submit(self, base: str = "", submission: str = "") -> bytes:
        """Submit a configuration that replaces the version ``base``."""
        text = read_body(MAX_TEXT_BYTES)
        parsed = parse_text(text)
        if parsed.is_error():
            return self._refuse(parsed.error)
        base_version = parse_count(base)
        if base_version is None or not submission:
            return self._refuse(
                Failure("base must be a version number and submission an id")
            )
        command = SubmitText(SubmissionId(submission), TextVersion(base_version), text)
        answer = self._ask(command)
        if answer.is_error():
            return self._refuse(answer.error)
        return self._answer_submit(answer.ok)

    def _answer_submit(self, answer: SubmitAnswer) -> bytes:
        if answer.verdict is SubmitVerdict.ACCEPTED:
            return answer_json(answer)
        detail = f"accepted version is {answer.version}"
        if answer.verdict is SubmitVerdict.VERSION_CONFLICT:
            return self._refuse(VersionConflict(detail))
        return self._refuse(SubmissionReused(detail))

    def _refuse(self, failure: Failure) -> bytes:
        REFUSALS.labels(failure.reason).inc()
        return answer_failure(failure)

    def _ask(self, message: Any) -> Result[Any, Failure]:
        fut: Future[Any] = Future()
        if not self._node.post(IncomingMessage(message, fut.set_result)):
            return Error(Busy("node mailbox full"))
        try:
            answer = fut.result(ANSWER_TIMEOUT)
        except TimeoutError:
            return Error(NoQuorum("no answer in time; submit again with the same id"))
        if isinstance(answer, Refused):
            return Error(FAILURES_BY_REASON.get(answer.reason, Failure)(answer.detail))
        return Ok(answer)

    def _leader_address(self, status: NodeStatus) -> str:
        return self._http_addresses.get(vm_of(status.leader), "")


def _describe_status(
    status: NodeStatus, http_addresses: dict[str, str]
) -> dict[str, Any]:
    return {
        "node": status.node,
        "role": status.role,
        "leader": status.leader,
        "leader_web": http_addresses.get(vm_of(status.leader), ""),
        "confirmed": status.confirmed,
        "term": status.term,
        "commit": status.commit,
        "voters": list(status.voters),
        "learners": list(status.learners),
        "accepted_version": status.version,
        "in_force": status.in_force,
        "lagging": list(status.lagging),
        "members": [
            {"member": item.member, "text_version": item.text_version}
            for item in status.members
        ],
        "endpoints": list(status.endpoints),
        "claims": status.claims,
        "disk": status.disk,
    }
