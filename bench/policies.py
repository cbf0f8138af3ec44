"""Policies that the simulation compares: the product and baselines.

A baseline replaces functions of the product for the duration of a run.
"""

from __future__ import annotations

from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any
from unittest.mock import patch

from turmerictiller.core.reducer import HANDLER_BY_TIMER
from turmerictiller.core.servers.attempts import start_attempt
from turmerictiller.core.servers.server_selection import eligible_servers
from turmerictiller.core.state import TimerKind

if TYPE_CHECKING:
    from collections.abc import Callable, Container, Iterator

    from bench.simulation import Simulation
    from turmerictiller.core.searches.hedging import HedgeKey
    from turmerictiller.core.state import Search, ServerState, ServicePart, State

    Choose = Callable[[State, str, str | None, Container[str], str], ServerState | None]

FIXED_HEDGE_MS = 40.0
LIVE_INSTANCES = (
    "turmerictiller.core.servers.limits.live_instances",
    "turmerictiller.core.searches.admission.live_instances",
)
UNBOUNDED = 1_000_000


@dataclass(frozen=True)
class Policy:
    """Functions and settings that are replaced in the product.

    :param replacements: returns the new functions by import path.
    :param settings: settings that differ from the defaults.
    :param fixed_hedge_ms: delay of hedges; ``None`` for the product's own rule.
    """

    name: str
    replacements: Callable[[Simulation], dict[str, Any]]
    settings: dict[str, Any] = field(default_factory=dict)
    fixed_hedge_ms: float | None = None

    @contextmanager
    def applied(self, simulation: Simulation) -> Iterator[None]:
        """Replace the functions while the context is open."""
        with ExitStack() as stack:
            # Fix the number of live instances, so that it does not depend on gossip during the run.
            instance_count = simulation.deployment.instances
            for path in LIVE_INSTANCES:
                stack.enter_context(patch(path, lambda state: instance_count))
            for path, function in self.replacements(simulation).items():
                stack.enter_context(patch(path, function))
            if self.fixed_hedge_ms is not None:
                start = _start_with_fixed_hedge(self.fixed_hedge_ms)
                stack.enter_context(
                    patch("turmerictiller.core.searches.parts.start_attempt", start)
                )
                handlers = {TimerKind.HEDGE: _on_hedge_timer}
                stack.enter_context(patch.dict(HANDLER_BY_TIMER, handlers))
            yield


def _candidates(
    state: State, service: str, snapshot: str | None, exclude: Container[str]
) -> list[ServerState]:
    return [item for item in eligible_servers(state, service, snapshot) if item.id not in exclude]


def _random_server(
    state: State, service: str, snapshot: str | None, exclude: Container[str] = (), avoid: str = ""
) -> ServerState | None:
    candidates = _candidates(state, service, snapshot, exclude)
    return state.rng.choice(candidates) if candidates else None


def _least_outstanding(
    state: State, service: str, snapshot: str | None, exclude: Container[str] = (), avoid: str = ""
) -> ServerState | None:
    candidates = _candidates(state, service, snapshot, exclude)
    return min(
        candidates, key=lambda item: (len(item.attempt_ids), state.rng.random()), default=None
    )


def _oracle(simulation: Simulation) -> Choose:
    def choose(
        state: State,
        service: str,
        snapshot: str | None,
        exclude: Container[str] = (),
        avoid: str = "",
    ) -> ServerState | None:
        domain = state.settings.failure_domain
        candidates = [
            item
            for item in _candidates(state, service, snapshot, exclude)
            if simulation.servers_by_id[item.id].can_accept()
            and not simulation.network.is_cut(domain, item.domain)
        ]
        return min(
            candidates,
            key=lambda item: (
                simulation.servers_by_id[item.id].expected_delay_ms(),
                state.rng.random(),
            ),
            default=None,
        )

    return choose


def _start_with_fixed_hedge(hedge_ms: float) -> Callable[..., bool]:
    def start(state: State, search: Search, part: ServicePart, is_hedge: bool = False) -> bool:
        started = start_attempt(state, search, part, is_hedge)
        if started:
            key = (search.call_id, part.service, part.attempt_ids[-1])
            state.timers.add(state.now + hedge_ms, TimerKind.HEDGE, key)
        return started

    return start


def _on_hedge_timer(state: State, key: HedgeKey) -> None:
    search = state.searches_by_id.get(key[0])
    part = search.parts_by_service.get(key[1]) if search else None
    if search is not None and part is not None and not part.resolved:
        start_attempt(state, search, part, is_hedge=True)


def _replace_choice(choose: Choose) -> dict[str, Any]:
    return {
        "turmerictiller.core.servers.attempts.choose_server": choose,
        "turmerictiller.core.servers.attempts.choose_probe": lambda state, service, snapshot: None,
        "turmerictiller.core.searches.parts.plan_hedge": lambda state, search, part: None,
        "turmerictiller.core.searches.searches.should_stop": lambda state, search: False,
    }


def _replace_choice_and_limits(choose: Choose) -> dict[str, Any]:
    return {
        **_replace_choice(choose),
        "turmerictiller.core.searches.searches.refuse_early": lambda state, search: None,
        "turmerictiller.core.searches.searches.may_retry": lambda state, part, kind: True,
    }


PRODUCT = Policy("product", lambda simulation: {})
RANDOM = Policy(
    "random",
    lambda simulation: _replace_choice_and_limits(_random_server),
    {"max_searches": UNBOUNDED},
)
LEAST_OUTSTANDING = Policy(
    "least+hedge",
    lambda simulation: _replace_choice_and_limits(_least_outstanding),
    {"max_searches": UNBOUNDED},
    FIXED_HEDGE_MS,
)
ORACLE = Policy(
    "oracle", lambda simulation: _replace_choice(_oracle(simulation)), {"max_searches": UNBOUNDED}
)
POLICIES = (PRODUCT, RANDOM, LEAST_OUTSTANDING, ORACLE)
