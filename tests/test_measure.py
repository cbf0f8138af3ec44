"""Tests of the simulation benchmark and its simulated servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bench.deployments import DAKAR
from bench.measure import run_once
from bench.policies import LEAST_OUTSTANDING, ORACLE, PRODUCT, RANDOM, Policy
from bench.report import figures, quantile
from bench.scenarios import SLOWED, WARM_UP_MS, Scenario
from bench.simulation import Simulation
from turmerictiller.core.servers import server_selection
from turmerictiller.core.state import Timers

if TYPE_CHECKING:
    import pytest

SHORT = Scenario("short", length_ms=WARM_UP_MS + 300.0, script=SLOWED.script)


def _run_figures(policy: Policy, seed: int = 1) -> dict[str, float]:
    return figures(run_once(DAKAR, SHORT, policy, seed)[""])


def test_same_seed_gives_the_same_figures() -> None:
    """Guards against nondeterminism, with which figures of two commits cannot be compared."""
    first, second = _run_figures(PRODUCT), _run_figures(PRODUCT)
    assert first == second
    assert first != _run_figures(PRODUCT, seed=2)


def test_policy_is_reverted_after_its_run() -> None:
    """Guards against a baseline whose replacements stay in runs of the product."""
    original = server_selection.choose_server
    before = _run_figures(PRODUCT)
    assert _run_figures(ORACLE) != before
    assert server_selection.choose_server is original
    assert _run_figures(PRODUCT) == before


def test_every_caller_gets_one_answer() -> None:
    """Guards against callers without an answer, which would improve the figures unnoticed."""
    sample = run_once(DAKAR, SHORT, PRODUCT, 1)[""]
    assert sample.records
    assert all(record.took_ms > 0 for record in sample.records)


def test_server_sheds_and_refuses_connections_at_its_limits() -> None:
    """Guards against simulated servers without limits, with which every policy performs well."""
    simulation = Simulation(DAKAR, 1, lambda now: 1.0)
    servers = simulation.servers_by_id.values()
    with RANDOM.applied(simulation):
        simulation.start()
        simulation.clock.run_until(WARM_UP_MS)
        for server in servers:
            server.slowdown = 1_000.0
        simulation.clock.run_until(2 * WARM_UP_MS)
    assert simulation.counters["shed"] > 0
    assert simulation.sum_counter("failed.unsent") > 0
    assert all(item.open_connections <= item.shape.connections for item in servers)
    assert all(len(item.queue) <= 5 * item.shape.slots for item in servers)


def test_quantile_is_a_value_that_occurred() -> None:
    """Guards against a p99 that is off by one rank."""
    ordered = [float(value) for value in range(1, 101)]
    assert quantile(ordered, 0.99) == 99.0
    assert quantile(ordered, 1.0) == 100.0
    assert quantile([7.0], 0.5) == 7.0


def test_ended_timers_of_the_fixed_hedge_baseline_are_recognized(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against hedge timers of a baseline that the reducer cannot remove."""
    monkeypatch.setattr(Timers, "clean_at", property(lambda timers: 1, lambda timers, value: None))
    assert _run_figures(LEAST_OUTSTANDING)["p99_ms"] > 0
