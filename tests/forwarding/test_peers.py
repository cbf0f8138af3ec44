"""Tests of peer membership, of gossip messages and of the crash counts that they carry."""

from __future__ import annotations

import math
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.forwarding.driving import Driver
from tests.forwarding.gossip_simulation import instance, run_gossip
from turmerictiller.errors import FrameError, Ran, RefusalType
from turmerictiller.forwarding.effects import ReplyRefusal
from turmerictiller.forwarding.events import FailureKind, GossipReceived
from turmerictiller.forwarding.fleet_size import DEFAULT_INSTANCES, instance_count
from turmerictiller.forwarding.peer_model import (
    ContestedServer,
    CrashReport,
    GossipMessage,
    PeerEntry,
    SlowServer,
)
from turmerictiller.forwarding.peers import MAX_PEERS, MIN_PEER_TTL_MS, build_gossip
from turmerictiller.forwarding.quarantine import MIN_QUARANTINE_MS
from turmerictiller.transport.peer_messages import (
    Document,
    Documents,
    decode_exchange,
    encode_exchange,
)

# A node may use 9 kB a second for control traffic, and takes part in two exchanges a second, each
# with two messages.
MAX_MESSAGE_BYTES = 9_000 / 4


def test_all_instances_discover_each_other_through_seeds() -> None:
    """Guards against shares that are too large because instances do not discover each other."""
    drivers = [instance(number) for number in range(1, 10)]
    assert {instance_count(driver.state) for driver in drivers} == {DEFAULT_INSTANCES}
    run_gossip(drivers, 8)
    assert {instance_count(driver.state) for driver in drivers} == {9}


def test_size_of_a_message_does_not_grow_with_the_number_of_instances() -> None:
    """Guards against control traffic that grows with the square of the fleet."""
    drivers = [instance(number) for number in range(1, 61)]
    run_gossip(drivers, 12)
    sizes = [len(encode_exchange(build_gossip(driver.state))) for driver in drivers]
    assert max(sizes) <= MAX_MESSAGE_BYTES


def test_leaving_or_silent_instance_is_evicted() -> None:
    """Guards against gossip to instances that have stopped."""
    drivers = [instance(number) for number in range(1, 4)]
    run_gossip(drivers, 6)
    leaving = build_gossip(drivers[2].state)
    drivers[0].dispatch(GossipReceived(drivers[0].now, replace(leaving, leaving=True)))
    assert set(drivers[0].state.peers_by_id) == {"e2"}
    drivers[0].wait(MIN_PEER_TTL_MS + 2_000)
    assert drivers[0].state.peers_by_id == {}


def crash_a_server(driver: Driver, fingerprint: int) -> None:
    """Send a request that crashes the server which runs it."""
    call_id = driver.request("/one/x", fingerprint=fingerprint)
    sent = driver.sent(call_id)
    if not sent:
        return
    driver.fail(sent[0], FailureKind.RESET)
    for server in driver.state.servers_by_id.values():
        if server.entry.id == sent[0].server_id:
            server.failure_rate = server.slowness = 0.0
    for _ in range(12):
        other = driver.request("/one/x")
        for item in driver.sent(other):
            if item.server_id == sent[0].server_id:
                driver.fail(item, FailureKind.REFUSED, may_have_run=False)
                driver.wait(3_000)
                return
            driver.wait(20)
            driver.answer(item)
    raise AssertionError("the server was not asked again")


def test_instances_add_up_crashes_and_quarantine_the_request() -> None:
    """Guards against a request that crashes a server through each instance."""
    drivers = [instance(number) for number in range(1, 4)]
    run_gossip(drivers, 5)
    for driver in drivers:
        crash_a_server(driver, fingerprint=99)
    run_gossip(drivers, 6)
    for driver in drivers:
        outcome = driver.outcome(driver.request("/one/x", fingerprint=99))
        assert isinstance(outcome, ReplyRefusal)
        assert outcome.refusal.type is RefusalType.QUARANTINED
        assert outcome.refusal.ran is Ran.NO
        assert driver.sent(driver.request("/one/x", fingerprint=98))
    run_gossip(drivers, int(MIN_QUARANTINE_MS / 1000) + 2)
    assert drivers[0].sent(drivers[0].request("/one/x", fingerprint=99))


def report_crashes(driver: Driver, number: int, origin: int, age_ms: float = 0.0) -> None:
    """Send an instance the crash count of another one."""
    report = CrashReport(99, origin, number, age_ms)
    message = replace(build_gossip(instance(50).state), crash_reports=(report,))
    driver.dispatch(GossipReceived(driver.now, message))


def is_refused(driver: Driver) -> bool:
    """Return whether an instance refuses the quarantined request."""
    return isinstance(driver.outcome(driver.request("/one/x", fingerprint=99)), ReplyRefusal)


@pytest.mark.parametrize("number", [195, 654])
def test_all_instances_refuse_a_request_soon_after_its_third_crash(number: int) -> None:
    """Guards against crashes that go on until each instance of a large fleet has observed them."""
    drivers = [instance(index) for index in range(1, number + 1)]
    run_gossip(drivers, 12)
    for origin, driver in enumerate((drivers[7], drivers[100], drivers[150])):
        report_crashes(driver, 1, origin)
    run_gossip(drivers, 6)  # the time that the platform allows
    assert all(is_refused(driver) for driver in drivers)


def test_crash_that_is_propagated_on_several_paths_counts_once() -> None:
    """Guards against requests that are refused because one crash is counted repeatedly."""
    drivers = [instance(index) for index in range(1, 13)]
    run_gossip(drivers, 4)
    report_crashes(drivers[0], 2, origin=5)
    run_gossip(drivers, 10)
    assert not any(is_refused(driver) for driver in drivers)
    report_crashes(drivers[3], 1, origin=6)
    run_gossip(drivers, 4)
    assert all(is_refused(driver) for driver in drivers)


def test_reset_of_crash_counts_is_propagated() -> None:
    """Guards against a request that other instances refuse after it was answered."""
    drivers = [instance(index) for index in range(1, 6)]
    run_gossip(drivers, 4)
    report_crashes(drivers[0], 3, origin=5)
    run_gossip(drivers, 3)
    assert all(is_refused(driver) for driver in drivers)
    report_crashes(drivers[1], 0, origin=5)
    run_gossip(drivers, 4)
    assert not any(is_refused(driver) for driver in drivers)


def test_answer_resets_crash_counts() -> None:
    """Guards against frequent requests that are refused because of unrelated crashes."""
    driver = instance(1)
    for _ in range(2):
        crash_a_server(driver, fingerprint=99)
    call_id = driver.request("/one/x", fingerprint=99)
    driver.answer(driver.sent(call_id)[0])
    crash_a_server(driver, fingerprint=99)
    assert driver.sent(driver.request("/one/x", fingerprint=99))


AGES = st.integers(0, 2**31 - 2).map(float)
COUNTS = st.integers(0, 2**31 - 1)
ENTRIES = st.builds(
    PeerEntry,
    st.text(max_size=20),
    st.just("10.0.0.1:7000"),
    st.integers(0, 2**62),
    AGES,
    st.text(max_size=20),
)
GOSSIP_MESSAGES = st.builds(
    GossipMessage,
    ENTRIES,
    st.booleans(),
    st.lists(ENTRIES, max_size=5).map(tuple),
    st.integers(0, 2**62),
    st.booleans(),
    st.lists(
        st.builds(SlowServer, st.text(max_size=20), st.floats(0, 32), st.floats(0, 100)), max_size=5
    ).map(tuple),
    st.integers(0, MAX_PEERS),
    st.lists(st.builds(ContestedServer, st.text(max_size=20), AGES), max_size=5).map(tuple),
    st.lists(
        st.builds(CrashReport, st.integers(0, 2**56 - 1), st.integers(0, 2**62), COUNTS, AGES),
        max_size=5,
    ).map(tuple),
    st.integers(0, 2**62),
    AGES | st.just(math.inf),
    st.booleans(),
)
DOCUMENTS = st.builds(
    Documents,
    st.lists(
        st.builds(
            Document,
            st.text(max_size=20),
            st.integers(0, 2**62),
            st.none() | st.binary(max_size=50),
        ),
        max_size=5,
    ),
    st.none() | st.integers(0, 2**62),
)


@given(GOSSIP_MESSAGES, DOCUMENTS)
def test_message_is_encoded_and_decoded_unchanged(
    message: GossipMessage, documents: Documents
) -> None:
    """Guards against fields that are lost or mixed up between instances."""
    assert decode_exchange(encode_exchange(message, documents)) == (message, documents)


@given(GOSSIP_MESSAGES, st.data())
def test_damaged_message_is_rejected_or_decoded(
    message: GossipMessage, data: st.DataObject
) -> None:
    """Guards against malformed bytes that stop an instance."""
    whole = encode_exchange(message)
    length = data.draw(st.integers(0, len(whole) - 1))
    noise = data.draw(st.binary(max_size=8))
    try:
        decode_exchange(whole[:length] + noise)
    except FrameError:
        return


def test_negative_ages_are_rejected() -> None:
    """Guards against data that never expires because an instance reports a negative age."""
    message = build_gossip(instance(1).state)
    sender = message.sender
    for wrong in (
        replace(message, read_age_ms=-1.0),
        replace(message, sender=replace(sender, age_ms=-1.0)),
        replace(message, contested_servers=(ContestedServer("a-1", -1.0),)),
        replace(message, crash_reports=(CrashReport(1, 2, 3, -1.0),)),
    ):
        with pytest.raises(FrameError):
            decode_exchange(encode_exchange(wrong))


def test_other_protocol_version_is_rejected() -> None:
    """Guards against instances of different versions that misread each other."""
    whole = bytearray(encode_exchange(build_gossip(instance(1).state)))
    at = whole.index(b"\x06\x00\x01") + 3
    whole[at : at + 2] = b"\x00\x09"
    with pytest.raises(FrameError):
        decode_exchange(bytes(whole))
