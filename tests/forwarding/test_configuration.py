"""Tests of the activation of configurations."""

from __future__ import annotations

from tests.forwarding.driving import Driver, configuration, gather_route, single_route
from turmerictiller.errors import RefusalType
from turmerictiller.forwarding.effects import ReplyRefusal, SendMergedAnswer
from turmerictiller.forwarding.events import ConfigurationReceived
from turmerictiller.phases import ProcessPhase


def test_older_configuration_is_never_activated() -> None:
    """Guards against an older version that replaces a newer one, in any order of arrival."""
    driver = Driver().start(configuration(gather_route(), version=5))
    for version in (4, 5, 7, 6):
        driver.dispatch(
            ConfigurationReceived(driver.now, configuration(single_route(), version=version))
        )
    assert driver.state.configuration is not None
    assert driver.state.configuration.version == 7
    adopted = [line.fields["version"] for line in driver.logged("configuration")]
    assert adopted == [5, 7]


def test_request_keeps_the_shards_of_its_version() -> None:
    """Guards against an answer whose parts come from two versions."""
    driver = Driver().start(configuration(gather_route(4)))
    call_id = driver.request()
    driver.dispatch(ConfigurationReceived(driver.now, configuration(gather_route(2), version=2)))
    for sent in driver.sent(call_id):
        driver.answer(sent)
    outcome = driver.outcome(call_id)
    assert isinstance(outcome, SendMergedAnswer)
    assert (len(outcome.signatures), outcome.missing) == (4, 0)


def test_request_before_the_first_configuration_is_refused() -> None:
    """Guards against a 404 of an instance that has no configuration yet."""
    driver = Driver()
    outcome = driver.outcome(driver.request())
    assert isinstance(outcome, ReplyRefusal)
    assert outcome.refusal.type is RefusalType.NO_NOTE
    assert driver.state.phase is ProcessPhase.STARTING


def test_ready_only_with_configuration_and_servers() -> None:
    """Guards against an instance that accepts requests before it can forward them."""
    driver = Driver()
    driver.dispatch(ConfigurationReceived(driver.now, configuration(gather_route())))
    assert driver.state.phase is ProcessPhase.STARTING
    driver.start(configuration(gather_route()))
    assert driver.state.phase is ProcessPhase.RUNNING
