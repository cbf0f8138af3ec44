"""Scenarios: what happens to demand, servers and network during a run."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from turmerictiller.core import events

if TYPE_CHECKING:
    from collections.abc import Callable

    from bench.simulation import Simulation

WARM_UP_MS = 1_500.0
SLOWDOWN = 10.0
SLOWED_SHARE = 0.1
SLOWED_MS = (1_500.0, 3_000.0)
RAMP_MS = 1_000.0
CREST_FACTOR = 5.0
CREST_MS = 2_500.0
EVENT_MS = 3_000.0
LOST_SHARE = 0.5
LOST_MS = 1_500.0
PLATFORM_RETRY_MS = 500.0
DETECTED_MS = 2_500.0
POISON = "query that ends its server"
POISON_INTERVAL_MS = 300.0
INDEX_CHANGE_MS = 2_000.0


def _even(now: float) -> float:
    return 1.0


def _nothing(simulation: Simulation) -> None:
    return None


@dataclass(frozen=True)
class Scenario:
    """One scenario; searches asked before ``WARM_UP_MS`` are not counted.

    :param demand: factor on the ordinary demand at a time.
    :param script: schedules what happens to servers and network.
    :param windows: spans of asking times that are reported apart, by name.
    :param inside: windows that count only callers in the domain that is cut off.
    """

    name: str
    length_ms: float = 8_000.0
    demand: Callable[[float], float] = _even
    script: Callable[[Simulation], None] = _nothing
    windows: dict[str, tuple[float, float]] = field(default_factory=dict)
    inside: frozenset[str] = frozenset()


def _slow_one(simulation: Simulation, slowed: dict[str, str]) -> None:
    # At most one server of a service: with two of three slowed, capacity is lacking, and the run
    # would measure overload instead of the choice of a server.
    taken = set(slowed.values())
    free = [item for item in simulation.servers_by_id.values() if item.service not in taken]
    large = [item for item in simulation.servers_by_id.values() if item.shape.servers > 3]
    server = simulation.rng.choice([*free, *(item for item in large if item.id not in slowed)])
    slowed[server.id] = server.service
    server.slowdown = SLOWDOWN
    simulation.clock.after(simulation.rng.uniform(*SLOWED_MS), _restore_one, simulation, slowed, server.id)


def _restore_one(simulation: Simulation, slowed: dict[str, str], server_id: str) -> None:
    simulation.servers_by_id[server_id].slowdown = 1.0
    del slowed[server_id]
    _slow_one(simulation, slowed)


def _slow_some(simulation: Simulation) -> None:
    slowed: dict[str, str] = {}
    for _ in range(math.ceil(SLOWED_SHARE * len(simulation.servers_by_id))):
        _slow_one(simulation, slowed)


def _slowed(simulation: Simulation) -> None:
    simulation.clock.at(WARM_UP_MS, _slow_some, simulation)


def _swing(now: float) -> float:
    rise = (now - WARM_UP_MS - RAMP_MS) / RAMP_MS
    fall = (CREST_END_MS + RAMP_MS - now) / RAMP_MS
    return 1.0 + (CREST_FACTOR - 1.0) * max(0.0, min(1.0, rise, fall))


CREST_START_MS = WARM_UP_MS + 2 * RAMP_MS
CREST_END_MS = CREST_START_MS + CREST_MS
RECOVERED_MS = CREST_END_MS + RAMP_MS + 2_000.0


def _at_capacity(now: float) -> float:
    return 2.0


def _lose_replicas(simulation: Simulation) -> None:
    for server in simulation.servers_by_id.values():
        if server.id.endswith("-s0") and simulation.rng.random() < LOST_SHARE:
            server.crash(LOST_MS)


def _lost(simulation: Simulation) -> None:
    simulation.clock.at(EVENT_MS, _lose_replicas, simulation)


def _restart(simulation: Simulation) -> None:
    simulation.clock.at(EVENT_MS, simulation.replace_instances)


def _platform_fails(simulation: Simulation) -> None:
    for instance in simulation.instances:
        instance.dispatch(events.PlatformFailed(simulation.clock.now, "timed out"))
    simulation.clock.after(PLATFORM_RETRY_MS, _platform_fails, simulation)


def _platform_out(simulation: Simulation) -> None:
    simulation.clock.at(EVENT_MS, _platform_fails, simulation)


def _set_cut(simulation: Simulation, domain: str) -> None:
    simulation.network.cut_domain = domain


def _cut(simulation: Simulation) -> None:
    simulation.clock.at(EVENT_MS, _set_cut, simulation, simulation.deployment.domains[-1])


def _ask_poison(simulation: Simulation) -> None:
    simulation.send_search(simulation.deployment.fronts[0].name, POISON)
    simulation.clock.after(POISON_INTERVAL_MS, _ask_poison, simulation)


def _crashing(simulation: Simulation) -> None:
    for server in simulation.servers_by_id.values():
        server.crash_query = POISON
    simulation.clock.at(EVENT_MS, _ask_poison, simulation)


def _index_change(simulation: Simulation) -> None:
    for server in simulation.servers_by_id.values():
        arrives_at = EVENT_MS + simulation.rng.uniform(0, INDEX_CHANGE_MS)
        simulation.clock.at(arrives_at, simulation.set_server_version, server, 2, 2)
        goes_at = EVENT_MS + INDEX_CHANGE_MS + simulation.rng.uniform(0, INDEX_CHANGE_MS)
        simulation.clock.at(goes_at, simulation.set_server_version, server, 2, 1)


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
LOST = Scenario("lost", script=_lost)
RESTART = Scenario("restart", script=_restart)
PLATFORM = Scenario("platform", script=_platform_out)
CUT = Scenario(
    "cut",
    script=_cut,
    windows={"inside": (EVENT_MS + DETECTED_MS, 8_000.0)},
    inside=frozenset({"inside"}),
)
CRASHING = Scenario("crashing", script=_crashing)
INDEX = Scenario("index", script=_index_change)
SCENARIOS = (
    STEADY,
    SLOWED,
    CAPACITY,
    SWING,
    LOST,
    RESTART,
    PLATFORM,
    CUT,
    CRASHING,
    INDEX,
)
