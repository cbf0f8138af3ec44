"""Policies that are measured: the product and the baselines that it is compared with.

A baseline replaces functions of the product for the length of a run.
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

    from bench.world import World
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
    """What is replaced in the product.

    :param replacements: returns new functions by import path, given the fakes.
    :param settings: settings that differ from the defaults.
    """

    name: str
    replacements: Callable[[World], dict[str, Any]]
    settings: dict[str, Any] = field(default_factory=dict)
    fixed_hedge_ms: float | None = None

    @contextmanager
    def applied(self, world: World) -> Iterator[None]:
        """Replace the functions while the context is open."""
        with ExitStack() as stack:
            # Gossip is not part of the runs, so the number of live instances is given.
            live = world.deployment.instances
            for path in LIVE_INSTANCES:
                stack.enter_context(patch(path, lambda state: live))
            for path, function in self.replacements(world).items():
                stack.enter_context(patch(path, function))
            if self.fixed_hedge_ms is not None:
                start = _start_with_fixed_hedge(self.fixed_hedge_ms)
                stack.enter_context(
                    patch("turmerictiller.core.searches.parts.start_attempt", start)
                )
                handlers = {TimerKind.HEDGE: _send_hedge}
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


def _oracle(world: World) -> Choose:
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
            if world.servers_by_id[item.id].has_room()
            and not world.network.is_cut(domain, item.domain)
        ]
        return min(
            candidates,
            key=lambda item: (world.servers_by_id[item.id].expected_ms(), state.rng.random()),
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


def _send_hedge(state: State, key: HedgeKey) -> None:
    search = state.searches_by_id.get(key[0])
    part = search.parts_by_service.get(key[1]) if search else None
    if search is not None and part is not None and not part.resolved:
        start_attempt(state, search, part, is_hedge=True)


def _choose_with(choose: Choose) -> dict[str, Any]:
    return {
        "turmerictiller.core.servers.attempts.choose_server": choose,
        "turmerictiller.core.servers.attempts.choose_probe": lambda state, service, snapshot: None,
        "turmerictiller.core.searches.parts.plan_hedge": lambda state, search, part: None,
        "turmerictiller.core.searches.searches.should_stop": lambda state, search: False,
    }


def _without_limits(choose: Choose) -> dict[str, Any]:
    return {
        **_choose_with(choose),
        "turmerictiller.core.searches.searches.refuse_early": lambda state, search: None,
        "turmerictiller.core.searches.searches.may_retry": lambda state, part, kind: True,
    }


PRODUCT = Policy("product", lambda world: {})
RANDOM = Policy(
    "random", lambda world: _without_limits(_random_server), {"max_searches": UNBOUNDED}
)
LEAST = Policy(
    "least+hedge",
    lambda world: _without_limits(_least_outstanding),
    {"max_searches": UNBOUNDED},
    FIXED_HEDGE_MS,
)
ORACLE = Policy("oracle", lambda world: _choose_with(_oracle(world)), {"max_searches": UNBOUNDED})
POLICIES = (PRODUCT, RANDOM, LEAST, ORACLE)
