"""Stateful property test of the forwarding reducer with events in any order."""

from __future__ import annotations

from collections import defaultdict

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from tests.forwarding.driving import (
    NOT_RUN,
    Driver,
    configuration,
    entry,
    gather_route,
    good_answer,
    single_route,
)
from turmerictiller.errors import Ran
from turmerictiller.forwarding.answers import MAX_DISCOUNTED_RESETS
from turmerictiller.forwarding.effects import ReplyRefusal, SendAttempt, SendMergedAnswer
from turmerictiller.forwarding.events import (
    CallerDisconnected,
    ConfigurationReceived,
    FailureKind,
    RegistryLost,
    ServerEntryReceived,
    ServerEntryRemoved,
    ServersListed,
    ShutdownRequested,
)

ROUTES = (gather_route(3, 0.6), single_route(True), single_route(False))
# Equal requests are quarantined for long once they seem to crash servers, so new ones are sent too.
SUSPECT = 7
NEW = 0
PATHS = ("/all/x", "/one/x", "/once/x")
SERVERS = tuple(f"{service}-{index}" for service in ("s0", "s1", "s2", "a") for index in (1, 2, 3))


class ForwardingMachine(RuleBasedStateMachine):
    """Sends requests, answers, failures, and server and configuration changes in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.driver = Driver().start(configuration(*ROUTES))
        self.revision = 10
        self.version = 1
        self.path_by_call: dict[int, str] = {}
        self.disconnected: set[int] = set()
        self.ended: set[int] = set()
        self.not_run: set[int] = set()
        self.resets: set[int] = set()

    def open_attempts(self) -> list[SendAttempt]:
        """Return the attempts that have not ended."""
        open_ids = self.driver.state.attempts_by_id
        return [sent for sent in self.driver.effects_of(SendAttempt) if sent.attempt_id in open_ids]

    @rule(
        path=st.sampled_from(PATHS),
        budget_ms=st.sampled_from([None, 0.0, 30.0, 800.0, 5_000.0]),
        fingerprint=st.sampled_from([SUSPECT, NEW]),
    )
    def request(self, path: str, budget_ms: float | None, fingerprint: int) -> None:
        call_id = self.driver.request(path, budget_ms, fingerprint)
        self.path_by_call[call_id] = path

    @precondition(lambda self: self.open_attempts())
    @rule(data=st.data(), status=st.sampled_from([200, 200, 200, 404, 500, 503]))
    def answer(self, data: st.DataObject, status: int) -> None:
        sent = data.draw(st.sampled_from(self.open_attempts()))
        self.driver.answer(sent, good_answer(b"r" * 32, f"sig{sent.attempt_id}".encode(), status))

    @precondition(lambda self: self.open_attempts())
    @rule(data=st.data())
    def reject(self, data: st.DataObject) -> None:
        sent = data.draw(st.sampled_from(self.open_attempts()))
        self.not_run.add(sent.attempt_id)
        self.driver.answer(sent, NOT_RUN)

    @precondition(lambda self: self.open_attempts())
    @rule(data=st.data(), failure=st.sampled_from(FailureKind))
    def fail(self, data: st.DataObject, failure: FailureKind) -> None:
        sent = data.draw(st.sampled_from(self.open_attempts()))
        unsent = failure in (
            FailureKind.REFUSED,
            FailureKind.CONNECT_TIMEOUT,
            FailureKind.OTHER_SERVER,
            FailureKind.WITHDRAWN,
        )
        if unsent:
            self.not_run.add(sent.attempt_id)
        if failure is FailureKind.NOT_ACCEPTED:
            self.resets.add(sent.attempt_id)
        self.driver.fail(sent, failure, may_have_run=not unsent)

    @rule(data=st.data())
    def disconnect(self, data: st.DataObject) -> None:
        if self.path_by_call:
            call_id = data.draw(st.sampled_from(sorted(self.path_by_call)))
            if self.driver.outcome(call_id) is None:
                self.disconnected.add(call_id)
            self.driver.dispatch(CallerDisconnected(self.driver.now, call_id))

    @rule(ms=st.sampled_from([0.0, 1.0, 20.0, 100.0, 400.0, 3_000.0]))
    def wait(self, ms: float) -> None:
        self.driver.wait(ms)

    @rule(
        server=st.sampled_from(SERVERS),
        draining=st.booleans(),
        server_incarnation=st.integers(0, 2),
    )
    def publish(self, server: str, draining: bool, server_incarnation: int) -> None:
        self.revision += 1
        new = entry(
            server,
            server.partition("-")[0],
            self.revision,
            draining=draining,
            incarnation=server_incarnation,
        )
        self.driver.dispatch(ServerEntryReceived(self.driver.now, new))

    @rule(server=st.sampled_from(SERVERS), revisions_back=st.integers(0, 3))
    def remove(self, server: str, revisions_back: int) -> None:
        self.revision += 1
        event = ServerEntryRemoved(self.driver.now, server, self.revision - revisions_back)
        self.driver.dispatch(event)

    @rule(servers=st.sets(st.sampled_from(SERVERS)))
    def publish_list(self, servers: set[str]) -> None:
        self.revision += 1
        entries = tuple(
            entry(name, name.partition("-")[0], self.revision) for name in sorted(servers)
        )
        self.driver.dispatch(ServersListed(self.driver.now, self.revision, entries))

    @rule(step=st.integers(-2, 2), routes=st.sets(st.sampled_from([0, 1, 2]), min_size=1))
    def configure(self, step: int, routes: set[int]) -> None:
        self.version += step
        chosen = [ROUTES[index] for index in sorted(routes)]
        self.driver.dispatch(
            ConfigurationReceived(self.driver.now, configuration(*chosen, version=self.version))
        )

    @rule()
    def lose_registry(self) -> None:
        self.driver.dispatch(RegistryLost(self.driver.now, "down"))

    @precondition(lambda self: len(self.path_by_call) > 8)
    @rule()
    def shut_down(self) -> None:
        self.driver.dispatch(ShutdownRequested(self.driver.now))

    @invariant()
    def each_caller_gets_one_answer(self) -> None:
        for call_id in self.path_by_call:
            outcome = self.driver.outcome(call_id)
            is_open = call_id in self.driver.state.requests_by_call
            assert not (outcome is not None and is_open)
            assert outcome is not None or is_open or call_id in self.disconnected

    @invariant()
    def request_runs_on_the_allowed_number_of_servers(self) -> None:
        runs: dict[tuple[int, str], set[str]] = defaultdict(set)
        resets: dict[tuple[int, str], set[str]] = defaultdict(set)
        for sent in self.driver.effects_of(SendAttempt):
            is_once = self.path_by_call[sent.call_id] == "/once/x"
            part = sent.call_id, sent.server_id.partition("-")[0]
            if sent.attempt_id in self.resets and not is_once:
                resets[part].add(sent.server_id)
            elif sent.attempt_id not in self.not_run:
                runs[part].add(sent.server_id)
        for (call_id, _), servers in runs.items():
            allowed = 1 if self.path_by_call[call_id] == "/once/x" else 2
            assert len(servers) <= allowed
        for part, servers in resets.items():
            assert len(servers | runs[part]) <= 2 + MAX_DISCOUNTED_RESETS

    @invariant()
    def refusal_as_not_run_is_true(self) -> None:
        for call_id in self.path_by_call:
            outcome = self.driver.outcome(call_id)
            if isinstance(outcome, ReplyRefusal) and outcome.refusal.ran is Ran.NO:
                sent = {item.attempt_id for item in self.driver.sent(call_id)}
                assert sent <= self.not_run

    @invariant()
    def merged_answers_are_of_distinct_parts(self) -> None:
        for effect in self.driver.effects_of(SendMergedAnswer):
            assert len(set(effect.signatures)) == len(effect.signatures)
            assert len(effect.signatures) + effect.missing == 3
            assert len(effect.signatures) >= 2

    @invariant()
    def outstanding_attempts_are_in_flight(self) -> None:
        open_ids = set(self.driver.state.attempts_by_id)
        for server in self.driver.state.servers_by_id.values():
            assert set(server.sent_at_by_attempt) <= open_ids

    def teardown(self) -> None:
        """Check that no request and no attempt is left after their deadlines."""
        self.driver.wait(20_000)
        assert self.driver.state.requests_by_call == {}
        assert self.driver.state.attempts_by_id == {}


TestForwardingMachine = ForwardingMachine.TestCase
TestForwardingMachine.settings = settings(max_examples=60, stateful_step_count=60, deadline=None)
