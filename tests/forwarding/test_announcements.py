"""Tests of shutdowns and pauses that servers announce in their answers."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import invariant, precondition, rule

from tests.forwarding.driving import (
    NOT_RUN,
    Driver,
    good_answer,
    refusal_of,
    sharded_driver,
    single_service_driver,
)
from tests.forwarding.gossip_simulation import instance
from tests.forwarding.simulation import ROUND_TRIP_MS, Server, Simulation
from tests.forwarding.test_machine import NEW, PATHS, ForwardingMachine
from turmerictiller.errors import Ran, RefusalType
from turmerictiller.forwarding.announcements import MAX_ANNOUNCEMENTS, MAX_PAUSE_MS
from turmerictiller.forwarding.effects import CloseServerConnections, ReplyRefusal, SendAttempt
from turmerictiller.forwarding.events import (
    AttemptAnswered,
    FailureKind,
    ServerEntryReceived,
    ServerEntryRemoved,
    ServersListed,
)
from turmerictiller.forwarding.servers import DRAINING_GRACE_MS, EVICTION_DELAY_MS, may_send
from turmerictiller.forwarding.state import Announcement

PAUSE_MS = 3_000.0
START_MS = 1_000.0  # initial time of a driver


def rejected_with_pause(ms: float = PAUSE_MS) -> object:
    """Return the answer of a server that rejects a request and requests a pause."""
    return replace(NOT_RUN, pause_ms=ms)


def announcing_shutdown() -> object:
    """Return a complete answer that announces the shutdown of its server."""
    return replace(good_answer(), leaving=True)


def serve_requests(driver: Driver, ms: float, path: str = "/one/x") -> set[str]:
    """Send requests for some time, answer them, and return the ids of the servers used."""
    used = set()
    end = driver.now + ms
    while driver.now < end:
        for sent in driver.sent(driver.request(path)):
            used.add(sent.server_id)
            driver.wait(5)
            driver.answer(sent)
        driver.wait(20)
    return used


def answer_next_request(driver: Driver, answer: object, path: str = "/one/x") -> SendAttempt:
    """Answer the first attempt of a new request in a given way; return the attempt."""
    sent = driver.sent(driver.request(path))[0]
    driver.answer(sent, answer)  # type: ignore[arg-type]
    for again in driver.sent(driver.last_call)[1:]:
        driver.answer(again)
    return sent


def two_attempts_at_one_server(driver: Driver) -> tuple[SendAttempt, SendAttempt]:
    """Return two unanswered attempts at one server; the others are answered."""
    sent = [driver.sent(driver.request("/one/x"))[0] for _ in range(6)]
    first, second = [item for item in sent if item.server_id == sent[0].server_id][:2]
    for item in sent:
        if item not in (first, second):
            driver.answer(item)
    return first, second


def newer_entry(driver: Driver, server_id: str, **changes: object):  # type: ignore[no-untyped-def]
    """Return a newer entry of a server, with changes."""
    previous = driver.state.servers_by_id[server_id].entry
    return replace(previous, **{"revision": previous.revision + 50, **changes})  # type: ignore[arg-type]


def test_server_that_announced_its_shutdown_gets_no_requests_though_it_is_listed() -> None:
    """Guards against requests to a leaving server whose registry entry is not yet draining."""
    driver = single_service_driver(idempotent=True)
    sent = answer_next_request(driver, announcing_shutdown())
    assert CloseServerConnections(sent.address) in driver.effects_of(CloseServerConnections)
    driver.wait(DRAINING_GRACE_MS)
    assert sent.server_id not in serve_requests(driver, 3_000)
    driver.dispatch(ServerEntryReceived(driver.now, newer_entry(driver, sent.server_id)))
    driver.dispatch(
        ServersListed(driver.now, 900, (newer_entry(driver, sent.server_id, revision=890),))
    )
    assert sent.server_id not in serve_requests(driver, 3_000)
    assert [line.fields["server"] for line in driver.logged("server_leaving")] == [sent.server_id]


def test_leaving_server_is_not_used_though_all_others_are_gone() -> None:
    """Guards against use as a last resort after the drain deadline."""
    driver = single_service_driver(idempotent=True)
    for _ in range(3):
        answer_next_request(driver, announcing_shutdown())
    driver.wait(DRAINING_GRACE_MS)
    call_id = driver.request("/one/x")
    assert refusal_of(driver, call_id) == (RefusalType.NO_SERVER, Ran.NO)


def test_leaving_server_whose_entry_expires_and_returns_stays_out_of_use() -> None:
    """Guards against an announcement that is dropped with the entry of its server."""
    driver = single_service_driver(idempotent=True)
    server_id = answer_next_request(driver, announcing_shutdown()).server_id
    returned = newer_entry(driver, server_id, revision=200)
    driver.dispatch(ServerEntryRemoved(driver.now, server_id, 100))
    driver.wait(EVICTION_DELAY_MS + 1_000)
    assert server_id not in driver.state.servers_by_id
    driver.dispatch(ServerEntryReceived(driver.now, returned))
    driver.wait(DRAINING_GRACE_MS)
    assert server_id not in serve_requests(driver, 3_000)


def test_new_incarnation_of_a_server_has_no_announcement() -> None:
    """Guards against a server that stays out of use after a restart."""
    driver = single_service_driver(idempotent=True)
    for answer in (announcing_shutdown(), rejected_with_pause(60_000)):
        server_id = answer_next_request(driver, answer).server_id
        driver.wait(2_000)
        born = driver.state.servers_by_id[server_id].entry.incarnation + 1
        driver.dispatch(
            ServerEntryReceived(driver.now, newer_entry(driver, server_id, incarnation=born))
        )
        assert server_id in serve_requests(driver, 3_000)


def test_later_answer_without_the_header_does_not_revoke_a_shutdown() -> None:
    """Guards against answers that were written before the shutdown but arrive after it."""
    driver = single_service_driver(idempotent=True)
    first, second = two_attempts_at_one_server(driver)
    driver.answer(first, announcing_shutdown())  # type: ignore[arg-type]
    driver.answer(second)
    driver.wait(DRAINING_GRACE_MS)
    assert first.server_id not in serve_requests(driver, 2_000)


def test_server_gets_no_requests_during_its_pause() -> None:
    """Guards against requests, hedges and probes that reach a paused server."""
    driver = single_service_driver(idempotent=True)
    server_id = answer_next_request(driver, rejected_with_pause()).server_id
    assert server_id not in serve_requests(driver, PAUSE_MS - 100)
    assert server_id in serve_requests(driver, PAUSE_MS)
    line = driver.logged("server_paused")[0]
    assert line.fields["server"] == server_id
    assert line.fields["asked_ms"] == PAUSE_MS


def test_shorter_time_in_a_later_answer_does_not_end_a_pause() -> None:
    """Guards against a pause that ends early because answers arrive out of order."""
    driver = single_service_driver(idempotent=True)
    first, second = two_attempts_at_one_server(driver)
    driver.answer(first, rejected_with_pause())  # type: ignore[arg-type]
    driver.answer(second, rejected_with_pause(200))  # type: ignore[arg-type]
    assert first.server_id not in serve_requests(driver, PAUSE_MS - 100)


def test_pause_is_bounded_and_affects_one_server() -> None:
    """Guards against a wrong header that disables a server for ever, or others with it."""
    driver = single_service_driver(idempotent=True)
    server_id = answer_next_request(driver, rejected_with_pause(1e12)).server_id
    assert len(serve_requests(driver, 2_000)) == 2
    driver.wait(1.1 * MAX_PAUSE_MS)
    assert server_id in serve_requests(driver, 3_000)


def test_callers_are_refused_until_the_first_pause_ends() -> None:
    """Guards against callers that wait for paused servers, and against too early a retry time."""
    driver = single_service_driver(idempotent=True)
    for ms in (4_000.0, 2_000.0, 3_000.0):
        answer_next_request(driver, rejected_with_pause(ms))
    call_id = driver.request("/one/x")
    outcome = driver.outcome(call_id)
    assert isinstance(outcome, ReplyRefusal)
    assert outcome.refusal.ran is Ran.NO
    first_at = min(
        server.announcement.paused_until
        for server in driver.state.servers_by_id.values()
        if server.announcement is not None
    )
    assert outcome.refusal.retry_after_ms == pytest.approx(first_at - driver.now, abs=1)
    driver.wait(first_at - driver.now)
    assert driver.sent(driver.request("/one/x"))


def test_search_is_served_without_a_shard_whose_servers_are_paused() -> None:
    """Guards against searches that wait for a shard that may be missing."""
    driver = sharded_driver(4, min_share=0.75)
    for server in driver.state.services_by_name["s0"].servers_by_id.values():
        call_id = driver.request()
        for sent in driver.sent(call_id):
            if sent.server_id == server.entry.id or sent.server_id.startswith("s0-"):
                driver.answer(sent, rejected_with_pause())  # type: ignore[arg-type]
            else:
                driver.answer(sent)
        for sent in driver.sent(call_id)[4:]:
            driver.answer(sent, rejected_with_pause())  # type: ignore[arg-type]
    call_id = driver.request()
    assert len(driver.sent(call_id)) == 3
    for sent in driver.sent(call_id):
        driver.answer(sent)
    outcome = driver.outcome(call_id)
    assert outcome is not None
    assert outcome.missing == 1  # type: ignore[union-attr]


def test_server_gets_one_request_at_a_time_after_its_pause() -> None:
    """Guards against a burst of requests at a server whose pause has just ended."""
    driver = single_service_driver(idempotent=True)
    for server_id in list(driver.state.servers_by_id):
        if server_id != "a-1":
            driver.dispatch(ServerEntryRemoved(driver.now, server_id, 100))
    driver.wait(3_000)
    answer_next_request(driver, rejected_with_pause())
    driver.wait(1.2 * PAUSE_MS)
    sent = [item for _ in range(5) for item in driver.sent(driver.request("/one/x"))]
    assert [item.server_id for item in sent] == ["a-1"]


def test_instances_resume_with_jitter_after_a_pause() -> None:
    """Guards against requests of all instances at the moment at which a pause ends."""
    returns_ms = []
    for number in range(1, 40):
        driver = instance(number)
        answer_next_request(driver, rejected_with_pause())
        (server,) = (s for s in driver.state.servers_by_id.values() if s.announcement is not None)
        assert server.announcement is not None
        returns_ms.append(server.announcement.paused_until - driver.now)
    assert PAUSE_MS <= min(returns_ms) < 1.03 * PAUSE_MS
    assert 1.07 * PAUSE_MS < max(returns_ms) <= 1.1 * PAUSE_MS


@pytest.mark.parametrize("is_idempotent", [True, False])
def test_request_whose_server_becomes_unusable_before_the_send_goes_to_another(
    is_idempotent: bool,
) -> None:
    """Guards against unsent requests that are lost or charged to the retry budget."""
    driver = single_service_driver(is_idempotent)
    path = "/one/x" if is_idempotent else "/once/x"
    extra = driver.state.services_by_name["a"].extra_attempts
    call_id = driver.request(path)
    sent = driver.sent(call_id)[0]
    assert may_send(driver.state, sent.server_id)
    other = driver.state.servers_by_id[sent.server_id]
    before = extra.value(driver.now)
    driver.fail(sent, FailureKind.WITHDRAWN, may_have_run=False)
    assert other.consecutive_failures == 0
    assert len(driver.sent(call_id)) == 2
    assert extra.value(driver.now) == before


def test_chosen_server_is_checked_again_when_a_connection_is_open() -> None:
    """Guards against requests to a server that became unusable while the connection was opened."""
    driver = single_service_driver(idempotent=True)
    server_id = answer_next_request(driver, rejected_with_pause()).server_id
    assert not may_send(driver.state, server_id)
    driver.wait(1.2 * PAUSE_MS)
    assert may_send(driver.state, server_id)
    assert not may_send(driver.state, "unknown")


def test_number_of_stored_announcements_is_bounded() -> None:
    """Guards against memory use that grows with each server that shuts down."""
    driver = single_service_driver(idempotent=True)
    announcements = driver.state.announcements_by_lifetime
    announcements.update(
        {(f"gone-{number}", 0): Announcement() for number in range(MAX_ANNOUNCEMENTS)}
    )
    sent = answer_next_request(driver, announcing_shutdown())
    assert len(announcements) == MAX_ANNOUNCEMENTS
    assert (
        sent.server_id,
        driver.state.servers_by_id[sent.server_id].entry.incarnation,
    ) in announcements


def test_malformed_header_is_logged_once() -> None:
    """Guards against a malformed header that is not logged, or that floods the log."""
    driver = single_service_driver(idempotent=True)
    for _ in range(3):
        for server_id in ("a-1", "a-2", "a-3"):
            sent = driver.sent(driver.request("/one/x"))[0]
            driver.answer(
                sent, replace(good_answer(), malformed_headers=f"Server-Leaving: {server_id}")
            )
    assert len(driver.logged("announcement_unreadable")) <= 3


class AnnouncementMachine(ForwardingMachine):
    """Extends ``ForwardingMachine`` by servers that announce shutdowns and pauses."""

    def __init__(self) -> None:
        super().__init__()
        self.paused_until: dict[tuple[str, int], float] = {}
        self.left_at: dict[tuple[str, int], float] = {}
        self.checked = 0

    def _lifetime(self, sent: SendAttempt) -> tuple[str, int] | None:
        server = self.driver.state.servers_by_id.get(sent.server_id)
        return (sent.server_id, server.entry.incarnation) if server is not None else None

    @precondition(lambda self: self.open_attempts())
    @rule(data=st.data(), ms=st.sampled_from([50.0, 800.0, 2_000.0, 10_000.0]))
    def reject_with_pause(self, data: st.DataObject, ms: float) -> None:
        sent = data.draw(st.sampled_from(self.open_attempts()))
        lifetime = self._lifetime(sent)
        self.check_sends()
        if lifetime is not None:
            until = max(self.paused_until.get(lifetime, 0.0), self.driver.now + ms)
            self.paused_until[lifetime] = until
        self.not_run.add(sent.attempt_id)
        self.driver.answer(sent, rejected_with_pause(ms))  # type: ignore[arg-type]

    @precondition(lambda self: self.open_attempts())
    @rule(data=st.data())
    def announce_shutdown(self, data: st.DataObject) -> None:
        sent = data.draw(st.sampled_from(self.open_attempts()))
        lifetime = self._lifetime(sent)
        self.check_sends()
        if lifetime is not None:
            self.left_at.setdefault(lifetime, self.driver.now)
        answer = replace(good_answer(b"r" * 32, f"sig{sent.attempt_id}".encode()), leaving=True)
        self.driver.answer(sent, answer)

    @rule(
        path=st.sampled_from(PATHS),
        number=st.integers(1, 6),
        ms=st.sampled_from([10.0, 300.0, 1_500.0]),
        is_served=st.booleans(),
    )
    def load(self, path: str, number: int, ms: float, is_served: bool) -> None:
        for _ in range(number):
            self.request(path, 5_000.0, NEW)
            self.driver.wait(5)
        for sent in self.open_attempts() if is_served else ():
            self.driver.answer(sent, good_answer(b"r" * 32, f"sig{sent.attempt_id}".encode()))
        self.driver.wait(ms)

    @invariant()
    def check_sends(self) -> None:
        for at, server_id, incarnation, _ in self.driver.sends[self.checked :]:
            lifetime = server_id, incarnation
            assert at >= self.paused_until.get(lifetime, 0.0)
            assert at <= self.left_at.get(lifetime, at) + DRAINING_GRACE_MS
        self.checked = len(self.driver.sends)


TestAnnouncementMachine = AnnouncementMachine.TestCase
TestAnnouncementMachine.settings = settings(max_examples=60, stateful_step_count=40)


REJECTION_MS = 2_000.0, 3_000.0  # start and end, in simulated time
REJECTION_PAUSE_MS = 3_000.0


class RejectingSimulation(Simulation):
    """A simulation in which servers reject requests for some time, with or without a longer pause.

    :param announces_pause: whether rejections request a pause.
    :param arrivals: time, instance and server of each request that reached a server.
    """

    announces_pause: bool
    arrivals: list[tuple[float, int, str]]

    def is_rejecting(self, server_id: str, now: float) -> bool:
        """Return whether a server rejects requests: two of three servers of each third shard do."""
        shard, _, number = server_id[1:].partition("-")
        return (
            REJECTION_MS[0] <= now - START_MS < REJECTION_MS[1]
            and int(shard) % 3 == 0
            and number != "1"
        )

    def _enqueue(self, server: Server, work: tuple[int, SendAttempt], now: float) -> None:
        index, effect = work
        self.arrivals.append((now, index, effect.server_id))
        if not self.is_rejecting(effect.server_id, now):
            super()._enqueue(server, work, now)
            return
        answer = rejected_with_pause(REJECTION_PAUSE_MS) if self.announces_pause else NOT_RUN
        event = AttemptAnswered(now + ROUND_TRIP_MS / 2, effect.attempt_id, answer)  # type: ignore[arg-type]
        self._at(event.at, lambda at: self._dispatch(index, event))


def max_sends_in_pause(simulation: RejectingSimulation) -> int:
    """Return the maximum number of requests that an instance sent into one pause of a server."""
    rejected_at: dict[tuple[int, str], float] = {}
    premature: Counter[tuple[int, str]] = Counter()
    for at, index, server_id in simulation.arrivals:
        since = rejected_at.get((index, server_id))
        if since is not None and since + 500 < at < since + REJECTION_PAUSE_MS:
            premature[index, server_id] += 1
        if simulation.is_rejecting(server_id, at):
            rejected_at.setdefault((index, server_id), at)
    return max(premature.values(), default=0)


@pytest.mark.parametrize(("instances", "per_second"), [(9, 60.0), (90, 90.0), (195, 90.0)])
def test_fleet_honours_pauses_and_serves_no_less(instances: int, per_second: float) -> None:
    """Guards against pauses that are ignored, and against lower coverage because of them."""
    served = {}
    for announces_pause in (False, True):
        simulation = RejectingSimulation(
            instances, 12, 149.0, 0.9, lambda server_id, now: 20.0, seed=3
        )
        simulation.announces_pause = announces_pause
        simulation.arrivals = []
        simulation.run(per_second, 7)
        served[announces_pause] = simulation.share_in_time(
            START_MS + REJECTION_MS[0], START_MS + 6_000
        )
    assert served[True] >= served[False]
    assert max_sends_in_pause(simulation) <= 2
