"""State of an entry instance, modified by the reducer only."""

from __future__ import annotations

import random
from collections import Counter, deque
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from turmerictiller.core.configuration.note_state import NotesState
from turmerictiller.core.peers.peer_state import PeersState
from turmerictiller.core.tickets.table import TicketTable
from turmerictiller.phases import ProcessPhase
from turmerictiller.util.histogram import RecentTimes
from turmerictiller.util.timers import Timers

if TYPE_CHECKING:

    from turmerictiller.clock import Millis
    from turmerictiller.config import Settings
    from turmerictiller.core.effects import Effect
    from turmerictiller.core.events import Hit
    from turmerictiller.core.fronts import Front, NoteInForce, Priority
    from turmerictiller.core.servers.suspects import Suspect


class TimerKind(Enum):
    """Purpose of a timer; selects the handler that is called when it fires."""

    HOUSEKEEPING = "housekeeping"
    SEARCH_DEADLINE = "search_deadline"
    HEDGE = "hedge"
    EARLY_ANSWER = "early_answer"
    ATTEMPT_TIMEOUT = "attempt_timeout"
    RUN_DEADLINE = "run_deadline"
    HEALTH_POLL = "health_poll"
    GOSSIP = "gossip"
    SHUTDOWN = "shutdown"


@dataclass(slots=True)
class Lifecycle:
    """Lifecycle phase of the process and progress of its shutdown.

    :param ends_at: time limit of the shutdown; infinite before it has begun.
    :param last_call_at: arrival of the latest call since the shutdown began.
    :param callers_left: whether listeners are closed and no caller is connected.
    """

    phase: ProcessPhase = ProcessPhase.STARTING
    ends_at: Millis = float("inf")
    last_call_at: Millis = float("-inf")
    listeners_closed: bool = False
    callers_left: bool = False


@dataclass(slots=True)
class Attempt:
    """One call to one server, for a search or a run.

    :param call_id: id of its search; for a run, the sequence number of its ticket.
    :param fingerprint: digest that identifies repeats of the request, see ``Suspect``.
    :param spans_pause: whether the process was paused while the attempt was outstanding.
    :param is_fresh: whether it was sent on a newly opened connection.
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
    is_fresh: bool = False


@dataclass(slots=True)
class ServicePart:
    """Progress of a search at one of its services.

    :param is_probe: whether the part was first sent to an ejected server as a probe.
    :param resolved: whether the part is merged or given up.
    :param is_held: whether its server was lost and it waits for another lost part to be resolved.
    """

    service: str
    shards: tuple[str, ...]
    attempt_ids: list[int] = field(default_factory=list)
    tried_server_ids: set[str] = field(default_factory=set)
    is_probe: bool = False
    merged_shards: frozenset[str] = frozenset()
    resolved: bool = False
    missing_reason: str = "timed_out"
    is_held: bool = False


@dataclass(slots=True)
class Search:
    """A search in flight.

    :param deadline_at: time at which it is answered with the hits merged until then.
    :param after: rank of the last hit of the previous page.
    :param restarted: whether it was restarted on a newer snapshot.
    :param is_watched: whether an early-answer check is scheduled.
    :param is_test: whether it tests a request after a quarantine and has sent a single part.
    :param probing_service: service whose lost part was resent; other lost parts are held meanwhile.
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
    is_watched: bool = False
    is_test: bool = False
    parts_by_service: dict[str, ServicePart] = field(default_factory=dict)
    hits: list[Hit] = field(default_factory=list)
    probing_service: str | None = None


@dataclass(slots=True)
class ServerState:
    """Status of one server and this instance's observations of it.

    :param fast_ms: moving average of latency that follows changes within a few calls.
    :param slow_ms: moving average of latency over many calls.
    :param answered_slow_ms: value of ``slow_ms`` at the last answer.
    :param attempt_ids: time of sending by outstanding attempt, oldest first.
    :param ejected: whether it receives only probes, the next one at ``ejected_until``.
    :param probe_ms: current interval between probes.
    :param started_at: time at which a new incarnation of the server was first observed.
    :param draining_incarnations: the latest incarnations marked as draining, newest last.
    :param limit: limit on outstanding calls since the server first shed a call; 0 before.
    :param last_answered_sent_at: sending time of the latest sent call that was answered.
    :param given_up_in_row: consecutive calls that were given up without an answer.
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
    answered_slow_ms: float = 0.0
    samples: int = 0
    failures_in_row: int = 0
    ejected: bool = False
    ejected_until: Millis = float("-inf")
    probe_ms: float = 0.0
    started_at: Millis = float("-inf")
    limit: float = 0.0
    limit_lowered_at: Millis = float("-inf")
    last_answered_sent_at: Millis = float("-inf")
    lost_at: Millis = float("-inf")
    reset_at: Millis = float("-inf")
    given_up_in_row: int = 0
    next_poll_at: Millis = float("-inf")


QueueEntry = tuple[int, float, int]
"""Queue entry of a search: rank of its priority, deadline, call id."""

MAX_COMPLETIONS = 128
INITIAL_TOKENS = 3.0


@dataclass(slots=True)
class ServiceState:
    """Queue and budgets of one service, and this instance's observations of it.

    :param waiting: heap of the parts that are queued for a server of this service.
    :param waiting_since: time at which the queue last became non-empty.
    :param completed_at: times of the latest answers.
    :param times: latency distribution of answered calls.
    :param unqueued_times: latency distribution of calls answered while no part was queued. Hedge
        delays are based on it, so that hedging resumes as soon as an overload ends.
    """

    name: str
    server_ids: tuple[str, ...]
    waiting: list[QueueEntry] = field(default_factory=list)
    waiting_since: Millis = 0.0
    completed_at: deque[Millis] = field(default_factory=lambda: deque(maxlen=MAX_COMPLETIONS))
    times: RecentTimes = field(default_factory=RecentTimes)
    unqueued_times: RecentTimes = field(default_factory=RecentTimes)
    hedge_tokens: float = INITIAL_TOKENS
    retry_tokens: float = INITIAL_TOKENS
    retry_tokens_at: Millis = 0.0


@dataclass(slots=True)
class State:
    """Complete state of one entry instance.

    :param freed_services: services at which the current event may have freed capacity, as an
        ordered set.
    :param out: effects of the current event.
    """

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
    freed_services: dict[str, None] = field(default_factory=dict)
    out: list[Effect] = field(default_factory=list)


def new_state(settings: Settings) -> State:
    """Return the initial state of an instance."""
    state = State(settings=settings, rng=random.Random(settings.seed))
    state.peers.live_count = 1 + len(set(settings.peers) - {settings.peer_address})
    state.timers.add(state.now, TimerKind.GOSSIP)
    return state
