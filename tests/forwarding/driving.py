"""Driver of the forwarding reducer in virtual time, and helpers for configurations and entries."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, TypeVar

from turmerictiller.errors import Ran, RefusalType
from turmerictiller.forwarding.effects import (
    RelayAnswer,
    ReplyRefusal,
    SendAttempt,
    SendMergedAnswer,
    WriteLog,
)
from turmerictiller.forwarding.events import (
    AttemptAnswered,
    AttemptFailed,
    ConfigurationReceived,
    FailureKind,
    RequestArrived,
    ServersListed,
    Tick,
    UpstreamAnswer,
)
from turmerictiller.forwarding.model import Configuration, Route, ServerEntry, Service
from turmerictiller.forwarding.reducer import reduce
from turmerictiller.forwarding.settings import ForwardingSettings
from turmerictiller.forwarding.state import State, new_state

if TYPE_CHECKING:
    from turmerictiller.forwarding.effects import Effect
    from turmerictiller.forwarding.events import Event

T = TypeVar("T")

HOST = "search.example"
SETTINGS = ForwardingSettings("e1", "north", extra_slack=120.0)


def gather_route(shards: int = 4, min_share: float = 0.75, target_ms: float = 100.0) -> Route:
    """Return a route over shards ``s0``, ``s1`` and so on."""
    names = tuple(f"s{index}" for index in range(shards))
    return Route("all", HOST, "/all/", names, {}, True, 1_000.0, target_ms, 1, 2, 3, min_share)


def single_route(idempotent: bool = True, **weights: float) -> Route:
    """Return a route to one service, or to several by weight."""
    name = "one" if idempotent else "once"
    prefix = f"/{name}/"
    return Route(name, HOST, prefix, (), weights or {"a": 1.0}, idempotent, 2_000.0, 500.0, 2, 2)


def configuration(*routes: Route, version: int = 1, max_connections: int = 40) -> Configuration:
    """Return a configuration with these routes and all services that they name."""
    by_prefix = {route.prefix: route for route in routes}
    services = {name: Service(name, max_connections) for route in routes for name in route.services}
    return Configuration(version, {HOST: by_prefix}, services)


def entry(server_id: str, service: str, revision: int = 1, **changes: object) -> ServerEntry:
    """Return the entry of a server in the failure domain of the instance."""
    values: dict[str, object] = {
        "id": server_id,
        "revision": revision,
        "service": service,
        "address": f"10.0.0.1:{9000 + abs(hash(server_id)) % 900}",
        "domain": "north",
        "slots": 3,
    }
    return ServerEntry(**{**values, **changes})  # type: ignore[arg-type]


def good_answer(body: bytes = b"", signature: bytes = b"sig", status: int = 200) -> UpstreamAnswer:
    """Return a complete answer with a signature."""
    return UpstreamAnswer(status, signature, body)


NOT_RUN = UpstreamAnswer(503, b"", b"", not_run=True)


@dataclass
class Driver:
    """A reducer state with its virtual time and all effects so far.

    :param sends: time, server id, incarnation of the server and attempt id of each send.
    """

    state: State = field(default_factory=lambda: new_state(SETTINGS))
    now: float = 1_000.0
    effects: list[Effect] = field(default_factory=list)
    last_call: int = 0
    sends: list[tuple[float, str, int, int]] = field(default_factory=list)

    def dispatch(self, event: Event) -> list[Effect]:
        """Apply an event and return its effects."""
        new = reduce(self.state, event)
        self.effects += new
        for effect in new:
            if isinstance(effect, SendAttempt):
                incarnation = self.state.servers_by_id[effect.server_id].entry.incarnation
                self.sends.append((self.now, effect.server_id, incarnation, effect.attempt_id))
        return new

    def start(self, config: Configuration, servers_per_service: int = 3) -> Driver:
        """Publish a configuration and servers ``<service>-1`` and so on of each service."""
        self.dispatch(ConfigurationReceived(self.now, config))
        entries = tuple(
            entry(f"{name}-{index}", name)
            for name in config.services_by_name
            for index in range(1, servers_per_service + 1)
        )
        self.dispatch(ServersListed(self.now, 1, entries))
        return self

    def request(
        self, path: str = "/all/x", budget_ms: float | None = 900.0, fingerprint: int = 0
    ) -> int:
        """Send a request and return its call id."""
        self.last_call += 1
        call_id = self.last_call
        event = RequestArrived(
            self.now, call_id, f"r{call_id}", HOST, path, budget_ms, fingerprint or call_id
        )
        self.dispatch(event)
        return call_id

    def wait(self, ms: float) -> list[Effect]:
        """Advance the time, with a tick whenever a timer is due."""
        new: list[Effect] = []
        end = self.now + ms
        while True:
            due_at = self.state.timers.next_at()
            if due_at is None or due_at > end:
                break
            self.now = max(self.now, due_at)
            new += self.dispatch(Tick(self.now))
        self.now = end
        return new

    def answer(self, sent: SendAttempt, answer: UpstreamAnswer | None = None) -> list[Effect]:
        """Answer an attempt, by default with a signature that names its server."""
        given = answer or good_answer(signature=f"{sent.server_id}/{sent.attempt_id}".encode())
        return self.dispatch(AttemptAnswered(self.now, sent.attempt_id, given))

    def fail(
        self, sent: SendAttempt, failure: FailureKind = FailureKind.RESET, may_have_run: bool = True
    ) -> list[Effect]:
        """Report the failure of an attempt."""
        return self.dispatch(AttemptFailed(self.now, sent.attempt_id, failure, may_have_run))

    def sent(self, call_id: int) -> list[SendAttempt]:
        """Return all attempts of a call so far."""
        return [item for item in self.effects_of(SendAttempt) if item.call_id == call_id]

    def effects_of(self, kind: type[T]) -> list[T]:
        """Return all effects of a kind so far."""
        return [effect for effect in self.effects if isinstance(effect, kind)]

    def outcome(self, call_id: int) -> RelayAnswer | SendMergedAnswer | ReplyRefusal | None:
        """Return the answer or refusal that the caller got; fail if there are several."""
        found = [
            effect
            for effect in self.effects
            if isinstance(effect, RelayAnswer | SendMergedAnswer | ReplyRefusal)
            and effect.call_id == call_id
        ]
        assert len(found) <= 1
        return found[0] if found else None

    def logged(self, event: str) -> list[WriteLog]:
        """Return the log lines of an event so far."""
        return [item for item in self.effects_of(WriteLog) if item.event == event]


def sharded_driver(shards: int = 4, servers: int = 3, **changes: float) -> Driver:
    """Return a driver with a route over shards, after enough requests for a retry budget."""
    driver = Driver().start(configuration(gather_route(shards, **changes)), servers)
    for _ in range(40):
        call_id = driver.request()
        driver.wait(10)
        for sent in driver.sent(call_id):
            driver.answer(sent)
    return driver


def single_service_driver(idempotent: bool, servers: int = 3) -> Driver:
    """Return a driver with a route to one service, after enough requests for a retry budget."""
    driver = Driver().start(configuration(single_route(idempotent)), servers)
    path = "/one/x" if idempotent else "/once/x"
    for _ in range(40):
        call_id = driver.request(path)
        driver.wait(10)
        for sent in driver.sent(call_id):
            driver.answer(sent)
    return driver


def refusal_of(driver: Driver, call_id: int) -> tuple[RefusalType, Ran]:
    """Return type and ``ran`` of the refusal of a call."""
    outcome = driver.outcome(call_id)
    assert isinstance(outcome, ReplyRefusal)
    return outcome.refusal.type, outcome.refusal.ran
