"""Gossip between simulated instances."""

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

STEPS_PER_SECOND = 4  # lets urgent gossip propagate within one gossip interval


def instance(
    number: int, seeds: tuple[int, ...] = (1, 2), domain: str = "north", bound_ms: float = 5_000.0
) -> Driver:
    """Return the driver of an instance with its own address, configuration and servers."""
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
    partitioned_addresses: Collection[str] = (),
    on_reply: Callable[[Driver, GossipMessage, GossipMessage], None] | None = None,
) -> None:
    """Run gossip between instances for some seconds.

    :param partitioned_addresses: addresses of instances without contact to the others.
    :param on_reply: called with the sender, its message and the reply.
    """
    by_address = {driver.state.settings.peer_address: driver for driver in drivers}
    for _ in range(seconds * STEPS_PER_SECOND):
        messages = [
            (driver, effect)
            for driver in drivers
            for effect in driver.wait(1_000 / STEPS_PER_SECOND)
            if isinstance(effect, SendGossip)
        ]
        for driver, effect in messages:
            receiver = by_address.get(effect.address)
            own_address = driver.state.settings.peer_address
            if (
                receiver is None
                or own_address in partitioned_addresses
                or effect.address in partitioned_addresses
            ):
                continue
            reply = build_gossip(receiver.state)
            receiver.dispatch(GossipReceived(receiver.now, effect.message))
            driver.dispatch(GossipReceived(driver.now, reply))
            if on_reply is not None:
                on_reply(driver, effect.message, reply)
