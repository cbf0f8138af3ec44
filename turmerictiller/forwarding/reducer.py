"""Reducer: applies each event to the forwarding state and returns the resulting effects."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from turmerictiller.forwarding import (
    answers,
    completion,
    configuration,
    dispatch,
    hedging,
    lifecycle,
    partition_detection,
    pauses,
    peers,
    quarantine,
    readers,
    requests,
    servers,
)
from turmerictiller.forwarding.effects import WakeAt
from turmerictiller.forwarding.events import (
    AttemptAnswered,
    AttemptFailed,
    CallerDisconnected,
    CallersLeft,
    ConfigurationReceived,
    ConnectionProbed,
    GossipReceived,
    RegistryLost,
    RegistryRead,
    RequestArrived,
    ServerEntryReceived,
    ServerEntryRemoved,
    ServersListed,
    SettingsChanged,
    ShutdownRequested,
    Tick,
)
from turmerictiller.forwarding.state import TimerKind

if TYPE_CHECKING:
    from collections.abc import Callable

    from turmerictiller.forwarding.effects import Effect
    from turmerictiller.forwarding.events import Event
    from turmerictiller.forwarding.state import State

HANDLER_BY_EVENT: dict[type, Callable[[State, Any], None]] = {
    Tick: lambda state, event: _on_tick(state),
    RequestArrived: requests.on_request_arrived,
    CallerDisconnected: completion.on_caller_disconnected,
    AttemptAnswered: answers.on_attempt_answered,
    AttemptFailed: answers.on_attempt_failed,
    ConnectionProbed: lambda state, event: _on_connection_probed(state, event),
    GossipReceived: peers.on_gossip_received,
    ConfigurationReceived: configuration.on_configuration_received,
    ServerEntryReceived: servers.on_server_entry_received,
    ServerEntryRemoved: servers.on_server_entry_removed,
    ServersListed: servers.on_servers_listed,
    RegistryLost: servers.on_registry_lost,
    RegistryRead: readers.on_registry_read,
    SettingsChanged: lambda state, event: _on_settings_changed(state, event),
    ShutdownRequested: lifecycle.on_shutdown_requested,
    CallersLeft: lifecycle.on_callers_left,
}

HANDLER_BY_TIMER: dict[TimerKind, Callable[[State, Any], None]] = {
    TimerKind.HEDGE: hedging.on_hedge_due,
    TimerKind.TARGET: completion.on_target_due,
    TimerKind.DEADLINE: completion.on_request_deadline,
    TimerKind.ABANDON: completion.on_abandon_due,
    TimerKind.CALLER_DISCONNECTED: completion.on_disconnect_grace_over,
    TimerKind.QUEUE_TIMEOUT: completion.on_queue_timeout,
    TimerKind.SERVER_EVICTION: servers.on_eviction_due,
    TimerKind.PARTITION_CHECK: partition_detection.on_partition_check_due,
    TimerKind.GOSSIP: peers.on_gossip_due,
    TimerKind.URGENT_GOSSIP: peers.on_urgent_gossip_due,
    TimerKind.SHUTDOWN: lifecycle.on_shutdown_timer,
}


def reduce(state: State, event: Event) -> list[Effect]:
    """Apply one event to the state and return the effects, in order."""
    pauses.observe_time(state, event.at)
    HANDLER_BY_EVENT[type(event)](state, event)
    while (due := state.timers.pop_due(state.now)) is not None:
        kind, key = due
        HANDLER_BY_TIMER[kind](state, key)
    if state.freed_services:
        dispatch.dispatch_queued_parts(state)
    lifecycle.enter_running_phase(state)
    partition_detection.start_partition_checks(state)
    peers.start_gossip(state)
    _request_wake(state)
    effects, state.out = state.out, []
    return effects


def _on_tick(state: State) -> None:
    state.wake_at = None


def _on_connection_probed(state: State, event: ConnectionProbed) -> None:
    quarantine.on_connection_probed(state, event)
    partition_detection.on_connection_probed(state, event)


def _on_settings_changed(state: State, event: SettingsChanged) -> None:
    state.settings = event.settings


def _request_wake(state: State) -> None:
    """Request an earlier tick if one is needed; a spurious tick does no harm."""
    due_at = state.timers.next_at()
    if due_at is not None and (state.wake_at is None or due_at < state.wake_at):
        state.wake_at = due_at
        state.out.append(WakeAt(due_at))
