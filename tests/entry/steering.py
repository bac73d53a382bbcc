"""Provide a simulation of the steering decisions for tests."""

from __future__ import annotations

from snipecart.core.ids import Instant
from snipecart.core.states import DispatchOutcome
from snipecart.core.states import EndpointState
from snipecart.core.states import Rank
from snipecart.entry.steering import handlers
from snipecart.entry.steering.messages import ApplyConfiguration
from snipecart.entry.steering.messages import ApplyHeartbeatAnswer
from snipecart.entry.steering.messages import EndCall
from snipecart.entry.steering.messages import RecordDispatch
from snipecart.entry.steering.messages import Refusal
from snipecart.entry.steering.messages import SlotGrant
from snipecart.entry.steering.messages import SlotRequest
from snipecart.entry.steering.state import Locality
from snipecart.entry.steering.state import PolicyKeys
from snipecart.entry.steering.state import SteeringState
from snipecart.entry.steering.state import handle_message
from snipecart.messages.members import Announcement
from snipecart.messages.members import HeartbeatAnswer
from snipecart.messages.members import Share
from snipecart.text.model import Text

__all__ = ["SteeringSimulation", "handlers"]

WARM_UP_SECONDS = 100.0


def kind(name, rank, idempotent=True, floor=0.0, **fields):
    """Return a kind of call as in a configuration."""
    defaults = {
        "name": name,
        "rank": rank,
        "idempotent": idempotent,
        "deadline_ms": 2000,
        "floor": floor,
    }
    return {**defaults, **fields}


KINDS = [
    kind("fast", "urgent", floor=0.5, when_cut_off="serve"),
    kind("once", "normal", idempotent=False, floor=0.2),
    kind("slow", "deferrable", floor=0.1),
]


def make_text(**fields) -> Text:
    """Return a configuration with a service in two regions and one in one region."""
    near = {"zone": "r-a", "endpoints": 2, "slots": 3}
    far = {"zone": "q-a", "endpoints": 2, "slots": 3}
    service = {"name": "s", "places": [near, far], "kinds": KINDS, **fields}
    base = {"name": "base", "places": [near], "kinds": KINDS}
    return Text.model_validate(
        {
            "regions": [
                {"name": "r", "zones": ["r-a"]},
                {"name": "q", "zones": ["q-a"]},
            ],
            "services": [service, base],
            "links": [{"source": "r", "target": "q", "mbit_per_s": 1}],
        }
    )


class SteeringSimulation:
    """Run the steering decisions with a simulated clock."""

    def __init__(self, text=None, limits=None, **policies) -> None:
        names = {"admission": "floors", "routing": "shares", "retry": "budget"}
        limits = limits or dict.fromkeys(Rank, 50)
        self.state = SteeringState(
            Locality("r", "r-a"), PolicyKeys(**{**names, **policies}), limits
        )
        self.now = Instant(1000.0)
        self.results: dict[str, object] = {}
        self.sequence = 0
        self.handle(ApplyConfiguration(5, text or make_text()))

    def handle(self, message) -> list:
        """Handle a message, store the results of calls and return them."""
        effects = handle_message(self.state, message, self.now)
        for effect in effects:
            self.results[effect.call] = effect
        return effects

    def apply_heartbeat(
        self, shares, endpoints=None, version=5, lease=2800, state="serving"
    ) -> None:
        """Apply the answer to a heartbeat, with shares by endpoint or link."""
        endpoints = endpoints or [name for name in shares if name.startswith("e")]
        announcements = tuple(
            Announcement(
                name,
                "base" if name.startswith("ebase") else "s",
                "q" if "q" in name else "r",
                "q-a" if "q" in name else "r-a",
                3,
                EndpointState(state),
                0,
            )
            for name in endpoints
        )
        granted_shares = tuple(
            Share(name if name.startswith("link") else f"slots/{name}", amount)
            for name, amount in shares.items()
        )
        self.sequence += 1
        answer = HeartbeatAnswer(
            version,
            self.sequence,
            True,
            self.sequence,
            lease,
            granted_shares,
            (),
            announcements,
        )
        self.handle(ApplyHeartbeatAnswer(answer, self.now))

    def warm_up(self) -> None:
        """Mark every backend server as warm."""
        for item in self.state.servers.values():
            item.warming_since = Instant(self.now - WARM_UP_SECONDS)
            item.last_used = self.now

    def request(self, kind="fast", seconds=2.0, service="s", caller="c") -> str:
        """Request a slot, and return the id of the call."""
        self.sequence += 1
        call = f"{kind}-{self.sequence}"
        self.handle(
            SlotRequest(call, service, kind, caller, Instant(self.now + seconds))
        )
        return call

    def finish(self, call, outcome=DispatchOutcome.ANSWERED, seconds=0.02) -> None:
        """Record the end of a call's dispatch, and end the call."""
        self.handle(RecordDispatch(call, outcome, seconds, -1.0))
        self.handle(EndCall(call))

    def endpoint_of(self, call) -> str:
        """Return the endpoint whose slot a call got, or an empty string."""
        effect = self.results.get(call)
        return effect.slot.endpoint if isinstance(effect, SlotGrant) else ""

    def refusal_reason(self, call) -> str:
        """Return the reason of a call's refusal, or an empty string."""
        effect = self.results.get(call)
        return effect.failure.reason if isinstance(effect, Refusal) else ""
