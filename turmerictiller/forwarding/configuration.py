"""Activation of new configurations."""

from __future__ import annotations

from typing import TYPE_CHECKING

from turmerictiller.forwarding.effects import ApplyCallerLimits, WriteLog
from turmerictiller.forwarding.state import service_state

if TYPE_CHECKING:
    from turmerictiller.forwarding.events import ConfigurationReceived
    from turmerictiller.forwarding.state import State


def on_configuration_received(state: State, event: ConfigurationReceived) -> None:
    """Activate a configuration for new requests if it is newer than the current one."""
    new, old = event.configuration, state.configuration
    if old is not None and new.version <= old.version:
        return
    state.configuration = new
    for name in new.services_by_name:
        service_state(state, name)
    routes = {
        route.name
        for routes_by_prefix in new.routes_by_host.values()
        for route in routes_by_prefix.values()
    }
    for name in [name for name in state.times_by_route if name not in routes]:
        if not any(attempt.route == name for attempt in state.attempts_by_id.values()):
            del state.times_by_route[name]
    fields = {
        "version": new.version,
        "before": old.version if old else None,
        "routes": len(routes),
        "services": len(new.services_by_name),
    }
    state.out.append(WriteLog("configuration", fields, urgent=True))
    state.out.append(ApplyCallerLimits(new.limits))
