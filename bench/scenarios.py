"""Scenarios: what happens to demand, servers and network during a run."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from bench.world import World

WARM_UP_MS = 1_500.0
SLOWDOWN = 10.0
SLOWED_SHARE = 0.1
SLOWED_MS = (1_500.0, 3_000.0)
RAMP_MS = 1_000.0
CREST_FACTOR = 5.0
CREST_MS = 2_500.0


def _even(now: float) -> float:
    return 1.0


def _nothing(world: World) -> None:
    return None


@dataclass(frozen=True)
class Scenario:
    """One scenario; searches asked before ``WARM_UP_MS`` are not counted.

    :param demand: factor on the ordinary demand at a time.
    :param script: schedules what happens to servers and network.
    :param windows: spans of asking times that are reported apart, by name.
    """

    name: str
    length_ms: float = 8_000.0
    demand: Callable[[float], float] = _even
    script: Callable[[World], None] = _nothing
    windows: dict[str, tuple[float, float]] = field(default_factory=dict)


def _slow_one(world: World, slowed: dict[str, str]) -> None:
    # At most one server of a service: with two of three slowed, capacity is lacking, and the run
    # would measure overload instead of the choice of a server.
    taken = set(slowed.values())
    free = [item for item in world.servers_by_id.values() if item.service not in taken]
    large = [item for item in world.servers_by_id.values() if item.shape.servers > 3]
    server = world.rng.choice([*free, *(item for item in large if item.id not in slowed)])
    slowed[server.id] = server.service
    server.slowdown = SLOWDOWN
    world.clock.after(world.rng.uniform(*SLOWED_MS), _restore_one, world, slowed, server.id)


def _restore_one(world: World, slowed: dict[str, str], server_id: str) -> None:
    world.servers_by_id[server_id].slowdown = 1.0
    del slowed[server_id]
    _slow_one(world, slowed)


def _slow_some(world: World) -> None:
    slowed: dict[str, str] = {}
    for _ in range(math.ceil(SLOWED_SHARE * len(world.servers_by_id))):
        _slow_one(world, slowed)


def _slowed(world: World) -> None:
    world.clock.at(WARM_UP_MS, _slow_some, world)


def _swing(now: float) -> float:
    rise = (now - WARM_UP_MS - RAMP_MS) / RAMP_MS
    fall = (CREST_END_MS + RAMP_MS - now) / RAMP_MS
    return 1.0 + (CREST_FACTOR - 1.0) * max(0.0, min(1.0, rise, fall))


CREST_START_MS = WARM_UP_MS + 2 * RAMP_MS
CREST_END_MS = CREST_START_MS + CREST_MS
RECOVERED_MS = CREST_END_MS + RAMP_MS + 2_000.0


def _at_capacity(now: float) -> float:
    return 2.0


STEADY = Scenario("steady")
SLOWED = Scenario("slowed", script=_slowed)
CAPACITY = Scenario("capacity", length_ms=6_000.0, demand=_at_capacity)
SWING = Scenario(
    "swing",
    length_ms=RECOVERED_MS + 2_000.0,
    demand=_swing,
    windows={
        "crest": (CREST_START_MS + 500.0, CREST_END_MS),
        "after": (RECOVERED_MS, RECOVERED_MS + 2_000.0),
    },
)
SCENARIOS = (STEADY, SLOWED, CAPACITY, SWING)
