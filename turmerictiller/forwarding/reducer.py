"""One reducer over all events of the forwarding decisions."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from turmerictiller.forwarding import (
    answers,
    configuration,
    endings,
    hedging,
    isolation,
    peers,
    quarantine,
    readers,
    requests,
    servers,
    shutdown,
    waiting,
)
from turmerictiller.forwarding.effects import WakeAt
from turmerictiller.forwarding.events import (
    AttemptAnswered,
    AttemptFailed,
    CallerLeft,
    CallersLeft,
    ConfigurationSeen,
    ConnectionProbed,
    PeerHeard,
    RegistryLost,
    RegistryRead,
    RequestArrived,
    ServerEntryRemoved,
    ServerSeen,
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

_HANDLERS: dict[type, Callable[[State, Any], None]] = {
    Tick: lambda state, event: _on_tick(state),
    RequestArrived: requests.on_request_arrived,
    CallerLeft: endings.on_caller_left,
    AttemptAnswered: answers.on_attempt_answered,
    AttemptFailed: answers.on_attempt_failed,
    ConnectionProbed: lambda state, event: _on_connection_probed(state, event),
    PeerHeard: peers.on_peer_heard,
    ConfigurationSeen: configuration.on_configuration_seen,
    ServerSeen: servers.on_server_seen,
    ServerEntryRemoved: servers.on_server_entry_removed,
    ServersListed: servers.on_servers_listed,
    RegistryLost: servers.on_registry_lost,
    RegistryRead: readers.on_registry_read,
    SettingsChanged: lambda state, event: _use_settings(state, event),
    ShutdownRequested: shutdown.on_shutdown_requested,
    CallersLeft: shutdown.on_callers_left,
}

_TIMER_HANDLERS: dict[TimerKind, Callable[[State, Any], None]] = {
    TimerKind.HEDGE: hedging.on_hedge_due,
    TimerKind.TARGET: endings.on_target_due,
    TimerKind.DEADLINE: endings.on_deadline_due,
    TimerKind.ABANDON: endings.on_abandon_due,
    TimerKind.CALLER_LEFT: endings.on_caller_left_due,
    TimerKind.WAIT: endings.on_wait_over,
    TimerKind.SERVERS: servers.on_forget_due,
    TimerKind.REVIEW: isolation.on_review_due,
    TimerKind.EXCHANGE: peers.on_exchange_due,
    TimerKind.NEWS: peers.on_news_due,
    TimerKind.SHUTDOWN: shutdown.on_shutdown_timer,
}


def reduce(state: State, event: Event) -> list[Effect]:
    """Apply one event and return what the shell has to do."""
    state.now = max(state.now, event.at)
    _HANDLERS[type(event)](state, event)
    while (due := state.timers.pop_due(state.now)) is not None:
        kind, key = due
        _TIMER_HANDLERS[kind](state, key)
    if state.services_with_room:
        waiting.send_waiting(state)
    shutdown.observe_readiness(state)
    isolation.start_reviews(state)
    peers.start_exchanges(state)
    _set_wake(state)
    out, state.out = state.out, []
    return out


def _on_tick(state: State) -> None:
    state.wake_at = None


def _on_connection_probed(state: State, event: ConnectionProbed) -> None:
    quarantine.on_connection_probed(state, event)
    isolation.on_connection_probed(state, event)


def _use_settings(state: State, event: SettingsChanged) -> None:
    state.settings = event.settings


def _set_wake(state: State) -> None:
    """Ask for an earlier tick if one is needed; a tick that turns out to be early does no harm."""
    due_at = state.timers.next_at()
    if due_at is not None and (state.wake_at is None or due_at < state.wake_at):
        state.wake_at = due_at
        state.out.append(WakeAt(due_at))
