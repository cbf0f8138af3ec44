"""State of an entry instance. Only the reducer changes it."""

from __future__ import annotations

import heapq
import random
from collections import Counter, deque
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING, Any

from turmerictiller.note_state import NotesState
from turmerictiller.peer_state import PeersState
from turmerictiller.ticket_table import TicketTable

if TYPE_CHECKING:
    from collections.abc import Callable

    from turmerictiller.clock import Millis
    from turmerictiller.config import Settings
    from turmerictiller.effects import Effect
    from turmerictiller.events import Hit
    from turmerictiller.fronts import Front, NoteInForce, Priority
    from turmerictiller.quarantine import Suspect


class TimerKind(Enum):
    """What is due when a timer runs out."""

    HOUSEKEEPING = "housekeeping"
    SEARCH_DEADLINE = "search_deadline"
    HEDGE = "hedge"
    ATTEMPT_TIMEOUT = "attempt_timeout"
    RUN_DEADLINE = "run_deadline"
    HEALTH_POLL = "health_poll"
    GOSSIP = "gossip"
    SHUTDOWN = "shutdown"


class ProcessPhase(Enum):
    """Phases in the life of the process, in order."""

    STARTING = "starting"
    RUNNING = "running"
    DRAINING = "draining"
    CLOSING = "closing"
    STOPPED = "stopped"


@dataclass(slots=True)
class Lifecycle:
    """Where the process is in its life.

    :param ends_at: when a shutdown that has begun is over at the latest.
    :param last_call_at: arrival of the latest call since the shutdown began.
    :param callers_left: whether listeners are closed and no caller is connected.
    """

    phase: ProcessPhase = ProcessPhase.STARTING
    ends_at: Millis = float("inf")
    last_call_at: Millis = float("-inf")
    listeners_closed: bool = False
    callers_left: bool = False


@dataclass(slots=True)
class Timers:
    """A queue of due times; a timer whose subject is gone is ignored when it runs out.

    :param clean_at: number of timers at which those of ended calls are dropped.
    """

    _heap: list[tuple[float, int, TimerKind, Any]] = field(default_factory=list)
    _sequence: int = 0
    clean_at: int = 256

    def add(self, at: Millis, kind: TimerKind, key: Any = None) -> None:
        self._sequence += 1
        heapq.heappush(self._heap, (at, self._sequence, kind, key))

    def pop_due(self, now: Millis) -> tuple[TimerKind, Any] | None:
        if not self._heap or self._heap[0][0] > now:
            return None
        _, _, kind, key = heapq.heappop(self._heap)
        return kind, key

    def next_at(self) -> Millis | None:
        return self._heap[0][0] if self._heap else None

    def keep(self, is_wanted: Callable[[TimerKind, Any], bool]) -> None:
        self._heap = [item for item in self._heap if is_wanted(item[2], item[3])]
        heapq.heapify(self._heap)

    def __len__(self) -> int:
        return len(self._heap)


@dataclass(slots=True)
class Attempt:
    """One call to one server, search or run.

    :param call_id: the search that it belongs to; for a run, the sequence number of its ticket.
    """

    id: int
    call_id: int
    service: str
    server_id: str
    sent_at: Millis
    is_hedge: bool = False
    is_run: bool = False
    fingerprint: str = ""
    spans_pause: bool = False


@dataclass(slots=True)
class ServicePart:
    """What one search knows of one of its services."""

    service: str
    shards: tuple[str, ...]
    attempt_ids: list[int] = field(default_factory=list)
    tried_server_ids: set[str] = field(default_factory=set)
    merged_shards: frozenset[str] = frozenset()
    resolved: bool = False
    missing_reason: str = "timed_out"


@dataclass(slots=True)
class Search:
    """A search in flight.

    :param deadline_at: when the answer must be on its way.
    """

    call_id: int
    front: Front
    query: str
    k: int
    arrived_at: Millis
    deadline_at: Millis
    priority: Priority
    caller: str
    snapshot: str
    fingerprint: str
    after: tuple[float, str, str] | None = None
    restarted: bool = False
    is_test: bool = False
    parts_by_service: dict[str, ServicePart] = field(default_factory=dict)
    hits: list[Hit] = field(default_factory=list)
    lost_server_ids: set[str] = field(default_factory=set)


@dataclass(slots=True)
class ServerState:
    """Own observations of one server.

    :param fast_ms: moving average of latency that follows changes within a few calls.
    :param slow_ms: moving average of latency over many calls.
    :param draining_incarnations: the last incarnations known to drain, the newest last.
    """

    id: str
    address: str
    domain: str
    service: str
    incarnation: str = ""
    draining: bool = False
    draining_incarnations: tuple[str, ...] = ()
    snapshots: tuple[str, ...] = ()
    status_at: Millis = float("-inf")
    reported_load: float = 0.0
    reported_load_at: Millis = float("-inf")
    reachable: bool = True
    attempt_ids: dict[int, float] = field(default_factory=dict)
    fast_ms: float = 0.0
    slow_ms: float = 0.0
    samples: int = 0
    failures_in_row: int = 0
    ejected_until: Millis = float("-inf")
    limit: float = 0.0
    last_answered_sent_at: Millis = float("-inf")
    lost_at: Millis = float("-inf")
    reset_at: Millis = float("-inf")
    next_poll_at: Millis = float("-inf")


@dataclass(slots=True)
class ServiceState:
    """Own observations of one service and its calls that wait for a server.

    :param waiting: searches with a part that waits for a server of this service.
    """

    name: str
    server_ids: tuple[str, ...]
    waiting: deque[int] = field(default_factory=deque)
    hedge_tokens: float = 0.0
    retry_tokens: float = 0.0


@dataclass(slots=True)
class State:
    """Everything that one entry instance knows."""

    settings: Settings
    now: Millis = 0.0
    rng: random.Random = field(default_factory=random.Random)
    lifecycle: Lifecycle = field(default_factory=Lifecycle)
    note: NoteInForce | None = None
    notes: NotesState = field(default_factory=NotesState)
    peers: PeersState = field(default_factory=PeersState)
    searches_by_id: dict[int, Search] = field(default_factory=dict)
    attempts_by_id: dict[int, Attempt] = field(default_factory=dict)
    servers_by_id: dict[str, ServerState] = field(default_factory=dict)
    services_by_name: dict[str, ServiceState] = field(default_factory=dict)
    shard_maps_by_snapshot: dict[str, dict[str, tuple[str, ...]]] = field(default_factory=dict)
    maps_requested_at: dict[str, Millis] = field(default_factory=dict)
    tickets: TicketTable = field(default_factory=TicketTable)
    timers: Timers = field(default_factory=Timers)
    suspects_by_fingerprint: dict[str, Suspect] = field(default_factory=dict)
    quarantine_changed: bool = False
    housekeeping_started: bool = False
    resumed_at: Millis = float("-inf")
    counters: Counter[str] = field(default_factory=Counter)
    next_attempt_id: int = 1
    wake_at: Millis | None = None
    out: list[Effect] = field(default_factory=list)


def new_state(settings: Settings) -> State:
    """Return the state of an instance that has just started."""
    state = State(settings=settings, rng=random.Random(settings.seed))
    state.peers.live_count = 1 + len(set(settings.peers) - {settings.peer_address})
    state.timers.add(state.now, TimerKind.GOSSIP)
    return state
