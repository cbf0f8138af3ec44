"""Tests of the discovery of servers and of which may get requests."""

from __future__ import annotations

from dataclasses import replace

from tests.forwarding.driving import SETTINGS, Driver, configuration, entry, single_route
from turmerictiller.forwarding.effects import CloseServerConnections, ReplyRefusal
from turmerictiller.forwarding.events import (
    ConfigurationReceived,
    FailureKind,
    RegistryLost,
    ServerEntryReceived,
    ServerEntryRemoved,
    ServersListed,
)
from turmerictiller.forwarding.state import new_state


def driver_with_servers(servers: int = 2) -> Driver:
    """Return a driver with servers ``a-1`` and so on."""
    return Driver().start(configuration(single_route()), servers)


def servers_used(driver: Driver, requests: int = 12) -> set[str]:
    """Return the ids of the servers that get some requests, which are answered at once."""
    used = set()
    for _ in range(requests):
        for sent in driver.sent(driver.request("/one/x")):
            used.add(sent.server_id)
            driver.answer(sent)
        driver.wait(5)
    return used


def test_draining_server_gets_no_requests() -> None:
    """Guards against requests to a server that is shutting down."""
    driver = driver_with_servers()
    driver.dispatch(ServerEntryReceived(driver.now, entry("a-1", "a", 2, draining=True)))
    assert servers_used(driver) == {"a-2"}


def test_last_draining_server_is_used_for_its_grace_period_only() -> None:
    """Guards against refusals while a replacement starts, and against use after the deadline."""
    driver = driver_with_servers(1)
    driver.dispatch(ServerEntryReceived(driver.now, entry("a-1", "a", 2, draining=True)))
    assert servers_used(driver, 2) == {"a-1"}
    driver.wait(1_000)
    assert isinstance(driver.outcome(driver.request("/one/x")), ReplyRefusal)


def test_grace_periods_are_bounded_by_a_short_drain_deadline() -> None:
    """Guards against requests after the drain deadline where it is shorter than usual."""
    for changed, most_ms in ((entry("a-1", "a", 2, draining=True), 300), (None, 600)):
        driver = Driver(new_state(replace(SETTINGS, drain_ms=900.0)))
        driver.start(configuration(single_route()), 1)
        driver.dispatch(
            ServerEntryReceived(driver.now, changed)
            if changed
            else ServerEntryRemoved(driver.now, "a-1", 2)
        )
        assert servers_used(driver, 1) == {"a-1"}
        driver.wait(most_ms)
        assert isinstance(driver.outcome(driver.request("/one/x")), ReplyRefusal)


def test_server_with_unknown_drain_start_is_not_used() -> None:
    """Guards against requests to a server that began to drain before this instance observed it."""
    draining = entry("a-1", "a", 2, draining=True)
    listed = Driver()
    listed.dispatch(ConfigurationReceived(listed.now, configuration(single_route())))
    listed.dispatch(ServersListed(listed.now, 2, (draining,)))
    after_outage = driver_with_servers(1)
    after_outage.dispatch(RegistryLost(after_outage.now, "timed_out"))
    after_outage.dispatch(ServersListed(after_outage.now, 2, (draining,)))
    received_by_gossip = driver_with_servers(1)
    received_by_gossip.dispatch(
        ServerEntryReceived(received_by_gossip.now, draining, from_peer=True)
    )
    for driver in (listed, after_outage, received_by_gossip):
        assert isinstance(driver.outcome(driver.request("/one/x")), ReplyRefusal)


def test_expired_entries_are_used_for_two_seconds_and_again_after_their_return() -> None:
    """Guards against a service without servers after a registry outage."""
    driver = driver_with_servers()
    driver.dispatch(ServersListed(driver.now, 5, ()))
    assert servers_used(driver) == {"a-1", "a-2"}
    driver.wait(2_000)
    assert isinstance(driver.outcome(driver.request("/one/x")), ReplyRefusal)
    driver.dispatch(ServerEntryReceived(driver.now, entry("a-1", "a", 7)))
    assert servers_used(driver) == {"a-1"}


def test_server_with_expired_entry_is_used_only_without_another() -> None:
    """Guards against requests to a server that has stopped without draining."""
    driver = driver_with_servers()
    driver.dispatch(ServerEntryRemoved(driver.now, "a-1", 5))
    assert servers_used(driver) == {"a-2"}


def test_outdated_entries_and_removals_are_ignored() -> None:
    """Guards against lists, removals and entries that arrive out of order."""
    driver = driver_with_servers()
    driver.dispatch(ServerEntryReceived(driver.now, entry("a-1", "a", 9)))
    driver.dispatch(ServerEntryRemoved(driver.now, "a-1", 8))
    driver.dispatch(ServersListed(driver.now, 8, (entry("a-2", "a"),)))
    assert servers_used(driver) == {"a-1", "a-2"}
    driver.dispatch(ServerEntryRemoved(driver.now, "a-1", 10))
    driver.dispatch(ServerEntryReceived(driver.now, entry("a-1", "a", 9)))
    assert servers_used(driver) == {"a-2"}


def test_malformed_entry_in_a_list_is_not_a_removal() -> None:
    """Guards against the loss of a server because of a malformed entry under its id."""
    driver = driver_with_servers()
    driver.dispatch(ServersListed(driver.now, 5, (entry("a-2", "a"),), frozenset({"a-1"})))
    assert servers_used(driver) == {"a-1", "a-2"}


def test_new_incarnation_has_no_observations() -> None:
    """Guards against outdated estimates of a server that has restarted under its id."""
    driver = driver_with_servers(1)
    for _ in range(3):
        for sent in driver.sent(driver.request("/one/x")):
            driver.fail(sent, FailureKind.REFUSED, may_have_run=False)
    assert driver.state.servers_by_id["a-1"].consecutive_failures > 0
    driver.dispatch(ServerEntryReceived(driver.now, entry("a-1", "a", 2, incarnation=77)))
    assert driver.state.servers_by_id["a-1"].consecutive_failures == 0
    assert servers_used(driver, 2) == {"a-1"}


def test_address_of_another_server_is_not_used_again() -> None:
    """Guards against further requests to an address that now belongs to another server."""
    driver = driver_with_servers()
    first = driver.sent(driver.request("/one/x"))[0]
    driver.fail(first, FailureKind.OTHER_SERVER, may_have_run=False)
    assert servers_used(driver) == {"a-1", "a-2"} - {first.server_id}


def test_servers_stay_in_use_during_a_registry_outage() -> None:
    """Guards against refusals during a registry outage, and against repeated log lines."""
    driver = driver_with_servers()
    for _ in range(3):
        driver.dispatch(RegistryLost(driver.now, "timed_out"))
    assert servers_used(driver) == {"a-1", "a-2"}
    assert len(driver.logged("registry_lost")) == 1
    driver.dispatch(ServersListed(driver.now, 3, (entry("a-1", "a"), entry("a-2", "a"))))
    assert len(driver.logged("registry_regained")) == 1


def test_removed_servers_are_evicted() -> None:
    """Guards against memory use that grows with every server that was ever registered."""
    driver = driver_with_servers()
    driver.dispatch(ServerEntryRemoved(driver.now, "a-1", 5))
    driver.wait(61_000)
    assert list(driver.state.servers_by_id) == ["a-2"]
    assert len(driver.effects_of(CloseServerConnections)) == 1
