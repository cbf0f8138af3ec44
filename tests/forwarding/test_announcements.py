"""Tests of what servers say of themselves: that they leave, and for how long they want no work."""

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
    good,
    refusal_of,
    running,
    searching,
)
from tests.forwarding.gossip_simulation import instance
from tests.forwarding.simulation import WAY_MS, Server, Simulation
from tests.forwarding.test_machine import NEW, PATHS, ForwardingMachine
from turmerictiller.errors import Ran, RefusalType
from turmerictiller.forwarding.announcements import MAX_ANNOUNCEMENTS, MAX_PAUSE_MS
from turmerictiller.forwarding.effects import CloseServerConnections, Refuse, SendAttempt
from turmerictiller.forwarding.events import (
    AttemptAnswered,
    Failure,
    ServerEntryReceived,
    ServerEntryRemoved,
    ServersListed,
)
from turmerictiller.forwarding.servers import DRAINING_GRACE_MS, EVICTION_DELAY_MS, may_send
from turmerictiller.forwarding.state import Announcement

PAUSE_MS = 3_000.0
START_MS = 1_000.0  # of the clock of a driver


def paused(ms: float = PAUSE_MS) -> object:
    """Return the answer of a server that turns a request away and names a time."""
    return replace(NOT_RUN, pause_ms=ms)


def leaving() -> object:
    """Return a whole answer of a server that leaves."""
    return replace(good(), leaving=True)


def serve(driver: Driver, ms: float, path: str = "/one/x") -> set[str]:
    """Send requests for some time, answer them, and return the servers that got them."""
    used = set()
    end = driver.now + ms
    while driver.now < end:
        for sent in driver.sent(driver.request(path)):
            used.add(sent.server_id)
            driver.wait(5)
            driver.answer(sent)
        driver.wait(20)
    return used


def announce(driver: Driver, answer: object, path: str = "/one/x") -> SendAttempt:
    """Let the server that gets the next request give an answer; return the attempt."""
    sent = driver.sent(driver.request(path))[0]
    driver.answer(sent, answer)  # type: ignore[arg-type]
    for again in driver.sent(driver.last_call)[1:]:
        driver.answer(again)
    return sent


def two_at_one_server(driver: Driver) -> tuple[SendAttempt, SendAttempt]:
    """Return two unanswered attempts at one server; the others are answered."""
    sent = [driver.sent(driver.request("/one/x"))[0] for _ in range(6)]
    first, second = [item for item in sent if item.server_id == sent[0].server_id][:2]
    for item in sent:
        if item not in (first, second):
            driver.answer(item)
    return first, second


def entry_of(driver: Driver, server_id: str, **changes: object):  # type: ignore[no-untyped-def]
    """Return a newer entry of a known server."""
    known = driver.state.servers_by_id[server_id].entry
    return replace(known, **{"revision": known.revision + 50, **changes})  # type: ignore[arg-type]


def test_server_that_said_that_it_leaves_gets_no_requests_though_it_is_listed() -> None:
    """Guards against requests to a leaving server that the registry still shows as well."""
    driver = running(idempotent=True)
    sent = announce(driver, leaving())
    assert CloseServerConnections(sent.address) in driver.effects_of(CloseServerConnections)
    driver.wait(DRAINING_GRACE_MS)
    assert sent.server_id not in serve(driver, 3_000)
    driver.dispatch(ServerEntryReceived(driver.now, entry_of(driver, sent.server_id)))
    driver.dispatch(
        ServersListed(driver.now, 900, (entry_of(driver, sent.server_id, revision=890),))
    )
    assert sent.server_id not in serve(driver, 3_000)
    assert [line.fields["server"] for line in driver.logged("server_leaving")] == [sent.server_id]


def test_server_that_leaves_is_not_used_though_all_others_are_gone() -> None:
    """Guards against a last resort that outlasts the time within which new work must end."""
    driver = running(idempotent=True)
    for _ in range(3):
        announce(driver, leaving())
    driver.wait(DRAINING_GRACE_MS)
    call_id = driver.request("/one/x")
    assert refusal_of(driver, call_id) == (RefusalType.NO_SERVER, Ran.NO)


def test_leaving_server_whose_entry_lapses_and_returns_stays_out_of_use() -> None:
    """Guards against an announcement that is forgotten with the entry of its server."""
    driver = running(idempotent=True)
    server_id = announce(driver, leaving()).server_id
    returned = entry_of(driver, server_id, revision=200)
    driver.dispatch(ServerEntryRemoved(driver.now, server_id, 100))
    driver.wait(EVICTION_DELAY_MS + 1_000)
    assert server_id not in driver.state.servers_by_id
    driver.dispatch(ServerEntryReceived(driver.now, returned))
    driver.wait(DRAINING_GRACE_MS)
    assert server_id not in serve(driver, 3_000)


def test_new_lifetime_of_a_server_starts_clean() -> None:
    """Guards against a server that stays out of use after it was started again."""
    driver = running(idempotent=True)
    for answer in (leaving(), paused(60_000)):
        server_id = announce(driver, answer).server_id
        driver.wait(2_000)
        born = driver.state.servers_by_id[server_id].entry.incarnation + 1
        driver.dispatch(
            ServerEntryReceived(driver.now, entry_of(driver, server_id, incarnation=born))
        )
        assert server_id in serve(driver, 3_000)


def test_later_answer_without_the_header_brings_no_leaving_server_back() -> None:
    """Guards against answers that were written before the server began to leave."""
    driver = running(idempotent=True)
    first, second = two_at_one_server(driver)
    driver.answer(first, leaving())  # type: ignore[arg-type]
    driver.answer(second)
    driver.wait(DRAINING_GRACE_MS)
    assert first.server_id not in serve(driver, 2_000)


def test_server_gets_nothing_for_as_long_as_it_asked() -> None:
    """Guards against requests, hedges and tests of recovery that reach a server in its pause."""
    driver = running(idempotent=True)
    server_id = announce(driver, paused()).server_id
    assert server_id not in serve(driver, PAUSE_MS - 100)
    assert server_id in serve(driver, PAUSE_MS)
    line = driver.logged("server_paused")[0]
    assert line.fields["server"] == server_id
    assert line.fields["asked_ms"] == PAUSE_MS


def test_shorter_time_in_a_later_answer_does_not_end_a_pause() -> None:
    """Guards against a pause that ends early because answers come in another order."""
    driver = running(idempotent=True)
    first, second = two_at_one_server(driver)
    driver.answer(first, paused())  # type: ignore[arg-type]
    driver.answer(second, paused(200))  # type: ignore[arg-type]
    assert first.server_id not in serve(driver, PAUSE_MS - 100)


def test_pause_that_can_not_be_meant_is_bounded_and_concerns_one_server() -> None:
    """Guards against one wrong header that takes a server out of use for ever, or others with it."""
    driver = running(idempotent=True)
    server_id = announce(driver, paused(1e12)).server_id
    assert len(serve(driver, 2_000)) == 2
    driver.wait(1.1 * MAX_PAUSE_MS)
    assert server_id in serve(driver, 3_000)


def test_callers_are_refused_at_once_until_the_first_server_wants_work() -> None:
    """Guards against callers that wait for servers which have named a time, or come back too early."""
    driver = running(idempotent=True)
    for ms in (4_000.0, 2_000.0, 3_000.0):
        announce(driver, paused(ms))
    call_id = driver.request("/one/x")
    outcome = driver.outcome(call_id)
    assert isinstance(outcome, Refuse)
    assert outcome.refusal.ran is Ran.NO
    first_at = min(
        server.announcement.paused_until
        for server in driver.state.servers_by_id.values()
        if server.announcement is not None
    )
    assert outcome.refusal.retry_after_ms == pytest.approx(first_at - driver.now, abs=1)
    driver.wait(first_at - driver.now)
    assert driver.sent(driver.request("/one/x"))


def test_search_goes_on_without_a_shard_whose_servers_want_no_work() -> None:
    """Guards against searches that wait for a shard which they may miss."""
    driver = searching(4, min_share=0.75)
    for server in driver.state.services_by_name["s0"].servers_by_id.values():
        call_id = driver.request()
        for sent in driver.sent(call_id):
            if sent.server_id == server.entry.id or sent.server_id.startswith("s0-"):
                driver.answer(sent, paused())  # type: ignore[arg-type]
            else:
                driver.answer(sent)
        for sent in driver.sent(call_id)[4:]:
            driver.answer(sent, paused())  # type: ignore[arg-type]
    call_id = driver.request()
    assert len(driver.sent(call_id)) == 3
    for sent in driver.sent(call_id):
        driver.answer(sent)
    outcome = driver.outcome(call_id)
    assert outcome is not None
    assert outcome.missing == 1  # type: ignore[union-attr]


def test_server_that_returns_gets_one_request_at_a_time_at_first() -> None:
    """Guards against a server that is asked for all that waited for it."""
    driver = running(idempotent=True)
    for server_id in list(driver.state.servers_by_id):
        if server_id != "a-1":
            driver.dispatch(ServerEntryRemoved(driver.now, server_id, 100))
    driver.wait(3_000)
    announce(driver, paused())
    driver.wait(1.2 * PAUSE_MS)
    sent = [item for _ in range(5) for item in driver.sent(driver.request("/one/x"))]
    assert [item.server_id for item in sent] == ["a-1"]


def test_instances_return_spread_over_a_part_of_the_pause() -> None:
    """Guards against a server that meets all instances in the moment at which its pause ends."""
    returns_ms = []
    for number in range(1, 40):
        driver = instance(number)
        announce(driver, paused())
        (server,) = (s for s in driver.state.servers_by_id.values() if s.announcement is not None)
        assert server.announcement is not None
        returns_ms.append(server.announcement.paused_until - driver.now)
    assert PAUSE_MS <= min(returns_ms) < 1.03 * PAUSE_MS
    assert 1.07 * PAUSE_MS < max(returns_ms) <= 1.1 * PAUSE_MS


@pytest.mark.parametrize("is_idempotent", [True, False])
def test_request_whose_server_withdraws_meanwhile_goes_to_another(is_idempotent: bool) -> None:
    """Guards against requests that are lost, or charged, though nothing of them was sent."""
    driver = running(is_idempotent)
    path = "/one/x" if is_idempotent else "/once/x"
    extra = driver.state.services_by_name["a"].extra_attempts
    call_id = driver.request(path)
    sent = driver.sent(call_id)[0]
    assert may_send(driver.state, sent.server_id)
    other = driver.state.servers_by_id[sent.server_id]
    before = extra.value(driver.now)
    driver.fail(sent, Failure.WITHDRAWN, may_have_run=False)
    assert other.consecutive_failures == 0
    assert len(driver.sent(call_id)) == 2
    assert extra.value(driver.now) == before


def test_chosen_server_is_checked_again_when_a_connection_is_open() -> None:
    """Guards against requests that reach a server because their connection took long to open."""
    driver = running(idempotent=True)
    server_id = announce(driver, paused()).server_id
    assert not may_send(driver.state, server_id)
    driver.wait(1.2 * PAUSE_MS)
    assert may_send(driver.state, server_id)
    assert not may_send(driver.state, "unknown")


def test_memory_of_announcements_is_bounded() -> None:
    """Guards against memory that grows with each server that ever left."""
    driver = running(idempotent=True)
    known = driver.state.announcements_by_lifetime
    known.update({(f"gone-{number}", 0): Announcement() for number in range(MAX_ANNOUNCEMENTS)})
    sent = announce(driver, leaving())
    assert len(known) == MAX_ANNOUNCEMENTS
    assert (sent.server_id, driver.state.servers_by_id[sent.server_id].entry.incarnation) in known


def test_header_that_can_not_be_read_is_logged_once() -> None:
    """Guards against a wrong header that is passed over in silence, or floods the log."""
    driver = running(idempotent=True)
    for _ in range(3):
        for server_id in ("a-1", "a-2", "a-3"):
            sent = driver.sent(driver.request("/one/x"))[0]
            driver.answer(sent, replace(good(), malformed_headers=f"Server-Leaving: {server_id}"))
    assert len(driver.logged("announcement_unreadable")) <= 3


class AnnouncementMachine(ForwardingMachine):
    """All that the other machine does, with servers that leave and that ask for time."""

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
    def ask_for_time(self, data: st.DataObject, ms: float) -> None:
        sent = data.draw(st.sampled_from(self.open_attempts()))
        lifetime = self._lifetime(sent)
        self.check_sends()
        if lifetime is not None:
            until = max(self.paused_until.get(lifetime, 0.0), self.driver.now + ms)
            self.paused_until[lifetime] = until
        self.not_run.add(sent.attempt_id)
        self.driver.answer(sent, paused(ms))  # type: ignore[arg-type]

    @precondition(lambda self: self.open_attempts())
    @rule(data=st.data())
    def say_leaving(self, data: st.DataObject) -> None:
        sent = data.draw(st.sampled_from(self.open_attempts()))
        lifetime = self._lifetime(sent)
        self.check_sends()
        if lifetime is not None:
            self.left_at.setdefault(lifetime, self.driver.now)
        answer = replace(good(b"r" * 32, f"sig{sent.attempt_id}".encode()), leaving=True)
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
            self.driver.answer(sent, good(b"r" * 32, f"sig{sent.attempt_id}".encode()))
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


WAVE_MS = 2_000.0, 3_000.0  # of the play
WAVE_PAUSE_MS = 3_000.0


class Wave(Simulation):
    """A play in which servers turn requests away for a time, and name a longer one or none.

    :param names_time: whether the servers say for how long they want no work.
    :param arrivals: time, instance and server of each request that reached a server.
    """

    names_time: bool
    arrivals: list[tuple[float, int, str]]

    def is_turned_away(self, server_id: str, now: float) -> bool:
        """Return whether two of three servers of each third shard turn requests away."""
        shard, _, number = server_id[1:].partition("-")
        return WAVE_MS[0] <= now - START_MS < WAVE_MS[1] and int(shard) % 3 == 0 and number != "1"

    def _queue(self, server: Server, work: tuple[int, SendAttempt], now: float) -> None:
        index, effect = work
        self.arrivals.append((now, index, effect.server_id))
        if not self.is_turned_away(effect.server_id, now):
            super()._queue(server, work, now)
            return
        answer = paused(WAVE_PAUSE_MS) if self.names_time else NOT_RUN
        event = AttemptAnswered(now + WAY_MS / 2, effect.attempt_id, answer)  # type: ignore[arg-type]
        self._at(event.at, lambda at: self._give(index, event))


def sends_in_pauses(play: Wave) -> int:
    """Return how many requests an instance sent at most into one pause that a server asked for."""
    asked_at: dict[tuple[int, str], float] = {}
    late: Counter[tuple[int, str]] = Counter()
    for at, index, server_id in play.arrivals:
        since = asked_at.get((index, server_id))
        if since is not None and since + 500 < at < since + WAVE_PAUSE_MS:
            late[index, server_id] += 1
        if play.is_turned_away(server_id, at):
            asked_at.setdefault((index, server_id), at)
    return max(late.values(), default=0)


@pytest.mark.parametrize(("instances", "per_second"), [(9, 60.0), (90, 90.0), (195, 90.0)])
def test_fleet_leaves_servers_alone_that_name_a_time_and_serves_no_less(
    instances: int, per_second: float
) -> None:
    """Guards against pauses that are not kept, and against shards that starve because of them."""
    served = {}
    for names_time in (False, True):
        play = Wave(instances, 12, 149.0, 0.9, lambda server_id, now: 20.0, seed=3)
        play.names_time = names_time
        play.arrivals = []
        play.run(per_second, 7)
        served[names_time] = play.share_in_time(START_MS + WAVE_MS[0], START_MS + 6_000)
    assert served[True] >= served[False]
    assert sends_in_pauses(play) <= 2
