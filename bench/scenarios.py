"""Scenarios: changes of demand, servers and network during a simulated run."""

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
SLOWED_RANGE_MS = (1_500.0, 3_000.0)
RAMP_MS = 1_000.0
CREST_FACTOR = 5.0
CREST_MS = 2_500.0
EVENT_AT_MS = 3_000.0
CRASHED_SHARE = 0.5
CRASH_DOWN_MS = 1_500.0
PLATFORM_RETRY_MS = 500.0
DETECTION_MS = 2_500.0
POISON_QUERY = "query that ends its server"
POISON_INTERVAL_MS = 300.0
INDEX_CHANGE_MS = 2_000.0


def _constant_demand(now: float) -> float:
    return 1.0


def _no_events(simulation: Simulation) -> None:
    return None


@dataclass(frozen=True)
class Scenario:
    """One scenario; searches sent before ``WARM_UP_MS`` are not counted.

    :param demand: returns the factor on the ordinary demand at a time in milliseconds.
    :param script: schedules events of servers and network.
    :param windows: intervals of sending times that are reported separately, by name.
    :param inside: names of windows that count only callers in the domain that is cut off.
    """

    name: str
    length_ms: float = 8_000.0
    demand: Callable[[float], float] = _constant_demand
    script: Callable[[Simulation], None] = _no_events
    windows: dict[str, tuple[float, float]] = field(default_factory=dict)
    inside: frozenset[str] = frozenset()


def _slow_random_server(simulation: Simulation, slowed: dict[str, str]) -> None:
    # Slow at most one server of a service that has three: with two of three slowed, capacity is
    # insufficient, and the run would measure overload instead of the choice of a server.
    slowed_services = set(slowed.values())
    eligible = [
        item for item in simulation.servers_by_id.values() if item.service not in slowed_services
    ]
    in_large_services = [
        item for item in simulation.servers_by_id.values() if item.shape.servers > 3
    ]
    server = simulation.rng.choice(
        [*eligible, *(item for item in in_large_services if item.id not in slowed)]
    )
    slowed[server.id] = server.service
    server.slowdown = SLOWDOWN
    simulation.clock.after(
        simulation.rng.uniform(*SLOWED_RANGE_MS), _restore_server, simulation, slowed, server.id
    )


def _restore_server(simulation: Simulation, slowed: dict[str, str], server_id: str) -> None:
    simulation.servers_by_id[server_id].slowdown = 1.0
    del slowed[server_id]
    _slow_random_server(simulation, slowed)


def _slow_servers(simulation: Simulation) -> None:
    slowed: dict[str, str] = {}
    for _ in range(math.ceil(SLOWED_SHARE * len(simulation.servers_by_id))):
        _slow_random_server(simulation, slowed)


def _schedule_slowdown(simulation: Simulation) -> None:
    simulation.clock.at(WARM_UP_MS, _slow_servers, simulation)


def _swing_demand(now: float) -> float:
    rise = (now - WARM_UP_MS - RAMP_MS) / RAMP_MS
    fall = (CREST_END_AT_MS + RAMP_MS - now) / RAMP_MS
    return 1.0 + (CREST_FACTOR - 1.0) * max(0.0, min(1.0, rise, fall))


CREST_START_AT_MS = WARM_UP_MS + 2 * RAMP_MS
CREST_END_AT_MS = CREST_START_AT_MS + CREST_MS
RECOVERED_AT_MS = CREST_END_AT_MS + RAMP_MS + 2_000.0


def _capacity_demand(now: float) -> float:
    return 2.0


def _crash_replicas(simulation: Simulation) -> None:
    for server in simulation.servers_by_id.values():
        if server.id.endswith("-s0") and simulation.rng.random() < CRASHED_SHARE:
            server.crash(CRASH_DOWN_MS)


def _schedule_crashes(simulation: Simulation) -> None:
    simulation.clock.at(EVENT_AT_MS, _crash_replicas, simulation)


def _schedule_restart(simulation: Simulation) -> None:
    simulation.clock.at(EVENT_AT_MS, simulation.replace_instances)


def _fail_platform_reads(simulation: Simulation) -> None:
    for instance in simulation.instances:
        instance.dispatch(events.PlatformFailed(simulation.clock.now, "timed out"))
    simulation.clock.after(PLATFORM_RETRY_MS, _fail_platform_reads, simulation)


def _schedule_platform_outage(simulation: Simulation) -> None:
    simulation.clock.at(EVENT_AT_MS, _fail_platform_reads, simulation)


def _partition(simulation: Simulation, domain: str) -> None:
    simulation.network.cut_domain = domain


def _schedule_partition(simulation: Simulation) -> None:
    simulation.clock.at(EVENT_AT_MS, _partition, simulation, simulation.deployment.domains[-1])


def _send_poison_query(simulation: Simulation) -> None:
    simulation.send_search(simulation.deployment.fronts[0].name, POISON_QUERY)
    simulation.clock.after(POISON_INTERVAL_MS, _send_poison_query, simulation)


def _schedule_poison_queries(simulation: Simulation) -> None:
    for server in simulation.servers_by_id.values():
        server.crash_query = POISON_QUERY
    simulation.clock.at(EVENT_AT_MS, _send_poison_query, simulation)


def _schedule_index_change(simulation: Simulation) -> None:
    for server in simulation.servers_by_id.values():
        added_at = EVENT_AT_MS + simulation.rng.uniform(0, INDEX_CHANGE_MS)
        simulation.clock.at(added_at, simulation.set_server_version, server, 2, 2)
        removed_at = EVENT_AT_MS + INDEX_CHANGE_MS + simulation.rng.uniform(0, INDEX_CHANGE_MS)
        simulation.clock.at(removed_at, simulation.set_server_version, server, 2, 1)


STEADY = Scenario("steady")
SLOWED = Scenario("slowed", script=_schedule_slowdown)
CAPACITY = Scenario("capacity", length_ms=6_000.0, demand=_capacity_demand)
SWING = Scenario(
    "swing",
    length_ms=RECOVERED_AT_MS + 2_000.0,
    demand=_swing_demand,
    windows={
        "crest": (CREST_START_AT_MS + 500.0, CREST_END_AT_MS),
        "after": (RECOVERED_AT_MS, RECOVERED_AT_MS + 2_000.0),
    },
)
LOST = Scenario("lost", script=_schedule_crashes)
RESTART = Scenario("restart", script=_schedule_restart)
PLATFORM = Scenario("platform", script=_schedule_platform_outage)
CUT = Scenario(
    "cut",
    script=_schedule_partition,
    windows={"inside": (EVENT_AT_MS + DETECTION_MS, 8_000.0)},
    inside=frozenset({"inside"}),
)
CRASHING = Scenario("crashing", script=_schedule_poison_queries)
INDEX = Scenario("index", script=_schedule_index_change)
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
