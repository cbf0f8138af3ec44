"""Tests of which servers may get work."""

from __future__ import annotations

from dataclasses import replace

from tests.forwarding.driving import SETTINGS, Driver, configuration, entry, single_route
from turmerictiller.forwarding.effects import CloseServerConnections, Refuse
from turmerictiller.forwarding.events import (
    ConfigurationReceived,
    Failure,
    RegistryLost,
    ServerEntryReceived,
    ServerEntryRemoved,
    ServersListed,
)
from turmerictiller.forwarding.state import new_state


def started(servers: int = 2) -> Driver:
    """Return a driver with servers ``a-1`` and so on."""
    return Driver().start(configuration(single_route()), servers)


def servers_asked(driver: Driver, requests: int = 12) -> set[str]:
    """Return the servers that get some requests, which are answered at once."""
    asked = set()
    for _ in range(requests):
        for sent in driver.sent(driver.request("/one/x")):
            asked.add(sent.server_id)
            driver.answer(sent)
        driver.wait(5)
    return asked


def test_draining_server_gets_nothing_new() -> None:
    """Guards against work for a server that leaves."""
    driver = started()
    driver.dispatch(ServerEntryReceived(driver.now, entry("a-1", "a", 2, draining=True)))
    assert servers_asked(driver) == {"a-2"}


def test_last_server_that_drains_is_used_for_a_moment_only() -> None:
    """Guards against refusals while the replacement starts, and against work after the bound."""
    driver = started(1)
    driver.dispatch(ServerEntryReceived(driver.now, entry("a-1", "a", 2, draining=True)))
    assert servers_asked(driver, 2) == {"a-1"}
    driver.wait(1_000)
    assert isinstance(driver.outcome(driver.request("/one/x")), Refuse)


def test_last_resort_ends_well_within_a_short_bound() -> None:
    """Guards against work after the platform's bound where that is shorter than usual."""
    for changed, most_ms in ((entry("a-1", "a", 2, draining=True), 300), (None, 600)):
        driver = Driver(new_state(replace(SETTINGS, drain_ms=900.0)))
        driver.start(configuration(single_route()), 1)
        driver.dispatch(
            ServerEntryReceived(driver.now, changed)
            if changed
            else ServerEntryRemoved(driver.now, "a-1", 2)
        )
        assert servers_asked(driver, 1) == {"a-1"}
        driver.wait(most_ms)
        assert isinstance(driver.outcome(driver.request("/one/x")), Refuse)


def test_server_that_drains_for_an_unknown_time_is_not_used() -> None:
    """Guards against work for a server that began to leave before this instance could know it."""
    draining = entry("a-1", "a", 2, draining=True)
    listed = Driver()
    listed.dispatch(ConfigurationReceived(listed.now, configuration(single_route())))
    listed.dispatch(ServersListed(listed.now, 2, (draining,)))
    after_outage = started(1)
    after_outage.dispatch(RegistryLost(after_outage.now, "timed_out"))
    after_outage.dispatch(ServersListed(after_outage.now, 2, (draining,)))
    told = started(1)
    told.dispatch(ServerEntryReceived(told.now, draining, from_peer=True))
    for driver in (listed, after_outage, told):
        assert isinstance(driver.outcome(driver.request("/one/x")), Refuse)


def test_lapsed_entries_are_used_for_two_seconds_and_count_again_when_back() -> None:
    """Guards against a service without servers after the registry was away."""
    driver = started()
    driver.dispatch(ServersListed(driver.now, 5, ()))
    assert servers_asked(driver) == {"a-1", "a-2"}
    driver.wait(2_000)
    assert isinstance(driver.outcome(driver.request("/one/x")), Refuse)
    driver.dispatch(ServerEntryReceived(driver.now, entry("a-1", "a", 7)))
    assert servers_asked(driver) == {"a-1"}


def test_server_whose_entry_lapsed_is_used_only_without_another() -> None:
    """Guards against work for a server that has left without notice."""
    driver = started()
    driver.dispatch(ServerEntryRemoved(driver.now, "a-1", 5))
    assert servers_asked(driver) == {"a-2"}


def test_older_news_of_a_server_change_nothing() -> None:
    """Guards against a list or a removal that is older than the entry."""
    driver = started()
    driver.dispatch(ServerEntryReceived(driver.now, entry("a-1", "a", 9)))
    driver.dispatch(ServerEntryRemoved(driver.now, "a-1", 8))
    driver.dispatch(ServersListed(driver.now, 8, (entry("a-2", "a"),)))
    assert servers_asked(driver) == {"a-1", "a-2"}
    driver.dispatch(ServerEntryRemoved(driver.now, "a-1", 10))
    driver.dispatch(ServerEntryReceived(driver.now, entry("a-1", "a", 9)))
    assert servers_asked(driver) == {"a-2"}


def test_unreadable_entry_in_a_list_is_no_removal() -> None:
    """Guards against the loss of a server over an entry that somebody else wrote."""
    driver = started()
    driver.dispatch(ServersListed(driver.now, 5, (entry("a-2", "a"),), frozenset({"a-1"})))
    assert servers_asked(driver) == {"a-1", "a-2"}


def test_new_incarnation_starts_without_observations() -> None:
    """Guards against the estimates of a server that has started again under its id."""
    driver = started(1)
    for _ in range(3):
        for sent in driver.sent(driver.request("/one/x")):
            driver.fail(sent, Failure.REFUSED, may_have_run=False)
    assert driver.state.servers_by_id["a-1"].consecutive_failures > 0
    driver.dispatch(ServerEntryReceived(driver.now, entry("a-1", "a", 2, incarnation=77)))
    assert driver.state.servers_by_id["a-1"].consecutive_failures == 0
    assert servers_asked(driver, 2) == {"a-1"}


def test_address_of_another_server_is_not_used_again() -> None:
    """Guards against further requests to an address that belongs to another server now."""
    driver = started()
    first = driver.sent(driver.request("/one/x"))[0]
    driver.fail(first, Failure.OTHER_SERVER, may_have_run=False)
    assert servers_asked(driver) == {"a-1", "a-2"} - {first.server_id}


def test_everything_goes_on_while_the_registry_is_away() -> None:
    """Guards against a stop of service when the registry is down, and tells it once."""
    driver = started()
    for _ in range(3):
        driver.dispatch(RegistryLost(driver.now, "timed_out"))
    assert servers_asked(driver) == {"a-1", "a-2"}
    assert len(driver.logged("registry_lost")) == 1
    driver.dispatch(ServersListed(driver.now, 3, (entry("a-1", "a"), entry("a-2", "a"))))
    assert len(driver.logged("registry_regained")) == 1


def test_removed_servers_are_forgotten() -> None:
    """Guards against a table that grows with every server that was ever there."""
    driver = started()
    driver.dispatch(ServerEntryRemoved(driver.now, "a-1", 5))
    driver.wait(61_000)
    assert list(driver.state.servers_by_id) == ["a-2"]
    assert len(driver.effects_of(CloseServerConnections)) == 1
