"""Tests of servers that turn away new connections because instances hold too many."""

from __future__ import annotations

from dataclasses import replace

from tests.forwarding.driving import Driver, refusal_of, running, searching
from tests.forwarding.gossip_simulation import instance, run_gossip
from turmerictiller.errors import Ran, RefusalType
from turmerictiller.forwarding.answers import MAX_DISCOUNTED_RESETS
from turmerictiller.forwarding.contention import CONTESTED_IDLE_MS, CONTESTED_MS, is_contested
from turmerictiller.forwarding.effects import CloseIdleConnections, SendAttempt, SendMergedAnswer
from turmerictiller.forwarding.events import Failure, GossipReceived
from turmerictiller.forwarding.isolation import PARTITION_CHECK_INTERVAL_MS
from turmerictiller.forwarding.peers import build_gossip
from turmerictiller.transport.peer_messages import read_exchange, write_exchange


def turn_away(driver: Driver, sent: SendAttempt, may_have_run: bool = True) -> None:
    """Reset the new connection of an attempt."""
    driver.fail(sent, Failure.NOT_ACCEPTED, may_have_run)


def test_search_survives_two_resets_of_one_part() -> None:
    """Guards against searches that end as 502 within milliseconds though all servers are well."""
    driver = searching(min_share=1.0)
    call_id = driver.request()
    first = driver.sent(call_id)
    for _ in range(MAX_DISCOUNTED_RESETS):
        part = driver.sent(call_id)[-1]
        turn_away(driver, part)
    assert driver.outcome(call_id) is None
    for sent in [*first[:-1], driver.sent(call_id)[-1]]:
        driver.answer(sent)
    outcome = driver.outcome(call_id)
    assert isinstance(outcome, SendMergedAnswer)
    assert outcome.missing == 0
    assert not driver.logged("server_ejected")


def test_request_that_crashes_servers_at_once_meets_a_bounded_number_of_them() -> None:
    """Guards against a crash that is taken for a full server again and again."""
    driver = running(idempotent=True, servers=6)
    call_id = driver.request("/one/x")
    met = 0
    while driver.outcome(call_id) is None:
        turn_away(driver, driver.sent(call_id)[-1])
        met += 1
    assert met <= 2 + MAX_DISCOUNTED_RESETS


def test_request_that_must_not_run_twice_is_sent_again_only_if_nothing_was_sent() -> None:
    """Guards against a second run after a reset that may have come from a crash."""
    driver = running(idempotent=False)
    call_id = driver.request("/once/x")
    assert driver.sent(call_id)[0].await_acceptance
    turn_away(driver, driver.sent(call_id)[0], may_have_run=False)
    assert len(driver.sent(call_id)) == 2
    turn_away(driver, driver.sent(call_id)[1], may_have_run=True)
    assert len(driver.sent(call_id)) == 2
    assert refusal_of(driver, call_id) == (RefusalType.UPSTREAM_FAILED, Ran.MAYBE)


def test_request_that_no_server_accepted_is_refused_as_not_run() -> None:
    """Guards against a 502 after which a caller can not try again."""
    driver = running(idempotent=False, servers=1)
    call_id = driver.request("/once/x")
    turn_away(driver, driver.sent(call_id)[0], may_have_run=False)
    assert refusal_of(driver, call_id) == (RefusalType.NO_SERVER, Ran.NO)


def test_refusal_after_a_reset_that_did_not_count_does_not_claim_that_nothing_ran() -> None:
    """Guards against "not run" for a request that a server ran and crashed on within milliseconds."""
    driver = running(idempotent=True, servers=1)
    call_id = driver.request("/one/x")
    turn_away(driver, driver.sent(call_id)[0], may_have_run=True)
    assert refusal_of(driver, call_id) == (RefusalType.UPSTREAM_FAILED, Ran.MAYBE)
    assert driver.logged("attempt_lost")[-1].fields["may_have_run"]


def test_idle_connections_to_a_contested_server_are_given_back_by_all() -> None:
    """Guards against an instance that never gets a connection because idle ones are kept."""
    drivers = [instance(number) for number in range(1, 7)]
    run_gossip(drivers, 4)
    driver = drivers[0]
    sent = driver.sent(driver.request("/one/x"))[0]
    turn_away(driver, sent)
    run_gossip(drivers, 3)
    for other in drivers:
        assert is_contested(other.state, other.state.servers_by_id[sent.server_id])
        other.effects.clear()
        other.wait(PARTITION_CHECK_INTERVAL_MS)
        released = other.effects_of(CloseIdleConnections)
        assert released == [CloseIdleConnections(sent.address, CONTESTED_IDLE_MS)]
    run_gossip(drivers, int(CONTESTED_MS / 1000) + 1)
    for other in drivers:
        other.effects.clear()
        other.wait(PARTITION_CHECK_INTERVAL_MS)
        assert other.effects_of(CloseIdleConnections) == []


def test_contested_servers_survive_the_wire() -> None:
    """Guards against news that is lost or made younger between instances."""
    driver = instance(1)
    turn_away(driver, driver.sent(driver.request("/one/x"))[0])
    driver.wait(1_500)
    gossip = build_gossip(driver.state)
    assert [item.age_ms for item in gossip.contested_servers] == [1_500.0]
    assert read_exchange(write_exchange(gossip))[0] == gossip
    old = replace(gossip.contested_servers[0], age_ms=CONTESTED_MS + 1)
    other = instance(2)
    other.dispatch(GossipReceived(other.now, replace(gossip, contested_servers=(old,))))
    assert build_gossip(other.state).contested_servers == ()
