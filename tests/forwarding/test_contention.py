"""Tests of contested servers, which reset new connections beyond their limit."""

from __future__ import annotations

from dataclasses import replace

from tests.forwarding.driving import Driver, refusal_of, sharded_driver, single_service_driver
from tests.forwarding.gossip_simulation import instance, run_gossip
from turmerictiller.errors import Ran, RefusalType
from turmerictiller.forwarding.answers import MAX_DISCOUNTED_RESETS
from turmerictiller.forwarding.contention import CONTESTED_IDLE_MS, CONTESTED_MS, is_contested
from turmerictiller.forwarding.effects import CloseIdleConnections, SendAttempt, SendMergedAnswer
from turmerictiller.forwarding.events import FailureKind, GossipReceived
from turmerictiller.forwarding.partition_detection import PARTITION_CHECK_INTERVAL_MS
from turmerictiller.forwarding.peers import build_gossip
from turmerictiller.transport.peer_messages import decode_exchange, encode_exchange


def reset_new_connection(driver: Driver, sent: SendAttempt, may_have_run: bool = True) -> None:
    """Report that a server reset the new connection of an attempt."""
    driver.fail(sent, FailureKind.NOT_ACCEPTED, may_have_run)


def test_search_is_answered_after_two_resets_of_one_part() -> None:
    """Guards against searches that fail with 502 at once though all servers are healthy."""
    driver = sharded_driver(min_share=1.0)
    call_id = driver.request()
    first = driver.sent(call_id)
    for _ in range(MAX_DISCOUNTED_RESETS):
        part = driver.sent(call_id)[-1]
        reset_new_connection(driver, part)
    assert driver.outcome(call_id) is None
    for sent in [*first[:-1], driver.sent(call_id)[-1]]:
        driver.answer(sent)
    outcome = driver.outcome(call_id)
    assert isinstance(outcome, SendMergedAnswer)
    assert outcome.missing == 0
    assert not driver.logged("server_ejected")


def test_request_that_crashes_servers_at_once_reaches_a_bounded_number_of_them() -> None:
    """Guards against repeated crashes that are mistaken for connection limits."""
    driver = single_service_driver(idempotent=True, servers=6)
    call_id = driver.request("/one/x")
    attempts = 0
    while driver.outcome(call_id) is None:
        reset_new_connection(driver, driver.sent(call_id)[-1])
        attempts += 1
    assert attempts <= 2 + MAX_DISCOUNTED_RESETS


def test_non_idempotent_request_is_retried_only_if_nothing_was_sent() -> None:
    """Guards against a second run after a reset that may have been caused by a crash."""
    driver = single_service_driver(idempotent=False)
    call_id = driver.request("/once/x")
    assert driver.sent(call_id)[0].await_acceptance
    reset_new_connection(driver, driver.sent(call_id)[0], may_have_run=False)
    assert len(driver.sent(call_id)) == 2
    reset_new_connection(driver, driver.sent(call_id)[1], may_have_run=True)
    assert len(driver.sent(call_id)) == 2
    assert refusal_of(driver, call_id) == (RefusalType.UPSTREAM_FAILED, Ran.MAYBE)


def test_request_that_no_server_accepted_is_refused_as_not_run() -> None:
    """Guards against a 502 after which a caller cannot retry."""
    driver = single_service_driver(idempotent=False, servers=1)
    call_id = driver.request("/once/x")
    reset_new_connection(driver, driver.sent(call_id)[0], may_have_run=False)
    assert refusal_of(driver, call_id) == (RefusalType.NO_SERVER, Ran.NO)


def test_refusal_after_a_discounted_reset_does_not_report_not_run() -> None:
    """Guards against "not run" for a request that crashed a server within milliseconds."""
    driver = single_service_driver(idempotent=True, servers=1)
    call_id = driver.request("/one/x")
    reset_new_connection(driver, driver.sent(call_id)[0], may_have_run=True)
    assert refusal_of(driver, call_id) == (RefusalType.UPSTREAM_FAILED, Ran.MAYBE)
    assert driver.logged("attempt_lost")[-1].fields["may_have_run"]


def test_all_instances_close_idle_connections_to_a_contested_server() -> None:
    """Guards against an instance that gets no connection because others keep idle ones."""
    drivers = [instance(number) for number in range(1, 7)]
    run_gossip(drivers, 4)
    driver = drivers[0]
    sent = driver.sent(driver.request("/one/x"))[0]
    reset_new_connection(driver, sent)
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


def test_contested_servers_are_encoded_and_decoded_unchanged() -> None:
    """Guards against entries that are lost, or whose age is reset, between instances."""
    driver = instance(1)
    reset_new_connection(driver, driver.sent(driver.request("/one/x"))[0])
    driver.wait(1_500)
    message = build_gossip(driver.state)
    assert [item.age_ms for item in message.contested_servers] == [1_500.0]
    assert decode_exchange(encode_exchange(message))[0] == message
    old = replace(message.contested_servers[0], age_ms=CONTESTED_MS + 1)
    other = instance(2)
    other.dispatch(GossipReceived(other.now, replace(message, contested_servers=(old,))))
    assert build_gossip(other.state).contested_servers == ()
