"""Instances that ask each other, for tests of what they learn."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from tests.forwarding.driving import SETTINGS, Driver, configuration, gather_route, single_route
from turmerictiller.forwarding.effects import SendGossip
from turmerictiller.forwarding.events import GossipReceived
from turmerictiller.forwarding.peers import build_gossip
from turmerictiller.forwarding.state import new_state

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from turmerictiller.forwarding.peer_model import GossipMessage

STEPS = 4  # a second, so that news that are passed on at once take less than an exchange


def instance(
    number: int, seeds: tuple[int, ...] = (1, 2), domain: str = "north", bound_ms: float = 5_000.0
) -> Driver:
    """Return a driver of an instance at an address of its own."""
    settings = replace(
        SETTINGS,
        instance_id=f"e{number}",
        failure_domain=domain,
        registry_bound_ms=bound_ms,
        seed=number,
        peer_address=f"10.0.0.{number}:7000",
        seed_addresses=tuple(f"10.0.0.{seed}:7000" for seed in seeds),
    )
    driver = Driver(new_state(settings))
    driver.start(configuration(gather_route(), single_route(True)))
    return driver


def run_gossip(
    drivers: list[Driver],
    seconds: int,
    cut: Collection[str] = (),
    on_answer: Callable[[Driver, GossipMessage, GossipMessage], None] | None = None,
) -> None:
    """Let instances ask each other for some seconds, but for those that are cut off.

    :param on_answer: called with the instance that asked, its question and the answer.
    """
    by_address = {driver.state.settings.peer_address: driver for driver in drivers}
    for _ in range(seconds * STEPS):
        questions = [
            (driver, effect)
            for driver in drivers
            for effect in driver.wait(1_000 / STEPS)
            if isinstance(effect, SendGossip)
        ]
        for driver, effect in questions:
            asked = by_address.get(effect.address)
            own = driver.state.settings.peer_address
            if asked is None or own in cut or effect.address in cut:
                continue
            answer = build_gossip(asked.state)
            asked.dispatch(GossipReceived(asked.now, effect.gossip))
            driver.dispatch(GossipReceived(driver.now, answer))
            if on_answer is not None:
                on_answer(driver, effect.gossip, answer)
