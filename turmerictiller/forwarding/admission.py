"""Admission control: immediate refusal of requests that cannot be served."""

from __future__ import annotations

from typing import TYPE_CHECKING

from turmerictiller.errors import Ran, Refusal, RefusalType
from turmerictiller.forwarding.quarantine import remaining_quarantine_ms
from turmerictiller.forwarding.routes import find_route
from turmerictiller.phases import ProcessPhase

if TYPE_CHECKING:
    from turmerictiller.clock import Millis
    from turmerictiller.forwarding.events import RequestArrived
    from turmerictiller.forwarding.model import Route
    from turmerictiller.forwarding.state import State

NO_CONFIGURATION_RETRY_MS = 500
SHUTDOWN_RETRY_MS = 50  # the balancer sends the next attempt to another instance
# Minimum time before the end of the process in which a non-idempotent request is still started.
MIN_RUN_MS = 1_500.0
OVERLOADED_RETRY_MS = 250


def admit(state: State, event: RequestArrived) -> Route | Refusal:
    """Return the route of a request, or its refusal."""
    configuration = state.configuration
    if configuration is None:
        message = "this instance knows no configuration yet"
        return Refusal(RefusalType.NO_NOTE, message, retry_after_ms=NO_CONFIGURATION_RETRY_MS)
    route = find_route(configuration, event.host, event.path)
    if route is None:
        return Refusal(RefusalType.NOT_FOUND, "no route begins this path")
    if event.budget_ms is not None and event.budget_ms <= 0:
        return Refusal(RefusalType.OVERLOADED, "no time is left", retry_after_ms=0)
    remaining_ms = remaining_quarantine_ms(state, event.fingerprint)
    if remaining_ms:
        message = "this request has crashed servers"
        return Refusal(RefusalType.QUARANTINED, message, Ran.NO, round(remaining_ms))
    if len(state.requests_by_call) >= state.settings.max_requests:
        message = "too many requests are in flight"
        return Refusal(RefusalType.OVERLOADED, message, retry_after_ms=OVERLOADED_RETRY_MS)
    if state.phase is ProcessPhase.STOPPED or state.ends_at - state.now < _min_run_ms(route):
        return shutdown_refusal()
    return route


def _min_run_ms(route: Route) -> Millis:
    """Return the time that must be left before the end of the process to start a request."""
    return route.target_ms if route.idempotent else max(MIN_RUN_MS, route.target_ms)


def shutdown_refusal() -> Refusal:
    """Return the refusal of a request during shutdown."""
    message = "this instance is shutting down"
    return Refusal(RefusalType.SHUTTING_DOWN, message, Ran.NO, SHUTDOWN_RETRY_MS)


def no_server_refusal(retry_after_ms: float) -> Refusal:
    """Return the refusal of a request that no server can run."""
    message = "no server can take the request"
    return Refusal(RefusalType.NO_SERVER, message, Ran.NO, max(1, round(retry_after_ms)))
