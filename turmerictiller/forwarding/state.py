"""State of the forwarding decisions, modified only by the reducer."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from turmerictiller.phases import ProcessPhase
from turmerictiller.util.histogram import RecentTimes
from turmerictiller.util.sliding_window_counter import BUCKETS, SlidingWindowCounter
from turmerictiller.util.timers import Timers

if TYPE_CHECKING:
    from turmerictiller.clock import Millis
    from turmerictiller.forwarding.effects import Effect
    from turmerictiller.forwarding.events import UpstreamAnswer
    from turmerictiller.forwarding.model import Configuration, Route, ServerEntry
    from turmerictiller.forwarding.peer_model import PeerState
    from turmerictiller.forwarding.settings import ForwardingSettings

ANSWERS_PER_UPDATE = 16  # answers between two computations of the quantiles of a route


class TimerKind(Enum):
    """Purpose of a timer; selects the handler that is called when it fires."""

    HEDGE = "hedge"
    TARGET = "target"
    DEADLINE = "deadline"
    ABANDON = "abandon"
    CALLER_DISCONNECTED = "caller_left"
    QUEUE_TIMEOUT = "wait"
    SERVER_EVICTION = "servers"
    PARTITION_CHECK = "review"
    GOSSIP = "exchange"
    URGENT_GOSSIP = "news"
    SHUTDOWN = "shutdown"


@dataclass(slots=True)
class Announcement:
    """Shutdown and pause that one incarnation of a server announced in its answers.

    :param leaving_at: time of the first shutdown announcement; ``None`` without one.
    :param paused_until: end of the pause that the server requested from this instance.
    :param malformed_headers_logged: whether a malformed header of the server has been logged.
    """

    leaving_at: Millis | None = None
    paused_until: Millis = float("-inf")
    malformed_headers_logged: bool = False


@dataclass(slots=True)
class ServerState:
    """Status of one server and this instance's observations of it.

    :param sent_at_by_attempt: time of sending by outstanding attempt, oldest first.
    :param slowness: moving average of the ratio of answer times to the median of their route.
    :param failure_rate: moving average of the share of attempts that failed or were not run.
    :param consecutive_failures: failures since the last answer.
    :param unreachable: whether the last failure was to open a connection.
    :param ejected_until: until this time, the server is used only if there is no other.
    :param answered_at: when it last answered or accepted a connection.
    :param failed_at: when it last failed.
    :param limit: maximum number of attempts in flight; 0 until the limit is first lowered.
    :param limit_lowered_at: when the limit was last lowered.
    :param interrupted_attempts: recent attempts whose connections the server closed or reset.
    :param probed_at: when the pending crash probe was sent; ``None`` without a pending probe.
    :param removed_at: when its entry was removed; ``None`` while it has an entry.
    :param is_replaced: whether another server answered at its address.
    :param draining_at: when it was first observed to drain.
    :param unshared_slow_answers: number of slow answers not yet shared with other instances.
    :param shared_slow_weight: this instance's share of the slow answers of all instances, as of
        ``shared_slow_weight_at``.
    :param marked_slow_by_peers: whether answers at other instances mark it as slow.
    :param slow_answer_slowness: mean ratio of the slow answer times to the median.
    :param contested_at: when it last reset a new connection of any instance.
    :param announcement: shutdown and pause that it announced in its answers.
    """

    entry: ServerEntry
    added_at: Millis
    sent_at_by_attempt: dict[int, Millis] = field(default_factory=dict)
    slowness: float = 1.0
    failure_rate: float = 0.0
    observed_at: Millis = 0.0
    consecutive_failures: int = 0
    unreachable: bool = False
    ejected_until: Millis = 0.0
    ejection_ms: float = 0.0
    answered_at: Millis = float("-inf")
    failed_at: Millis = float("-inf")
    limit: float = 0.0
    limit_lowered_at: Millis = float("-inf")
    interrupted_attempts: list[InterruptedAttempt] = field(default_factory=list)
    probed_at: Millis | None = None
    removed_at: Millis | None = None
    is_replaced: bool = False
    draining_at: Millis | None = None
    unshared_slow_answers: float = 0.0
    shared_slow_weight: float = 0.0
    slow_answer_slowness: float = 1.0
    shared_slow_weight_at: Millis = 0.0
    marked_slow_by_peers: bool = False
    contested_at: Millis = float("-inf")
    announcement: Announcement | None = None


@dataclass(slots=True)
class ServiceState:
    """Servers, queue and retry and hedge budget of one service.

    :param first_attempts: first attempts within the budget window.
    :param extra_attempts: retries and hedges within the budget window.
    :param shed_at: when a server of the service last rejected an attempt.
    :param queued_priority_by_part: priority of each queued part, by call and part index.
    """

    name: str
    first_attempts: SlidingWindowCounter
    extra_attempts: SlidingWindowCounter
    servers_by_id: dict[str, ServerState] = field(default_factory=dict)
    shed_at: Millis = float("-inf")
    queued_priority_by_part: dict[tuple[int, int], int] = field(default_factory=dict)


@dataclass(slots=True)
class RouteTimes:
    """Answer times of one route and their quantiles.

    :param answers_since_update: answers since the quantiles were last computed.
    :param credit_by_service: credits of the weighted round robin over the services of the route.
    """

    times: RecentTimes = field(default_factory=RecentTimes)
    median_ms: float = 0.0
    hedge_delay_ms: float = 0.0
    answers_since_update: int = 0
    credit_by_service: dict[str, float] = field(default_factory=dict)

    def add(self, ms: float, hedge_quantile: float) -> None:
        """Record one answer time and update the quantiles when due."""
        self.times.add(ms)
        self.answers_since_update += 1
        if self.answers_since_update >= ANSWERS_PER_UPDATE or self.median_ms == 0:
            self.answers_since_update = 0
            self.median_ms = self.times.quantile(0.5)
            self.hedge_delay_ms = self.times.quantile(hedge_quantile)


@dataclass(slots=True)
class Part:
    """The sub-request to one service.

    :param tried_server_ids: servers that were sent the request, whether they ran it or not.
    :param possible_runs: attempts that a server may have run, without ``discounted_resets``.
    :param send_count: attempts so far.
    :param discounted_resets: resets of new connections that do not count as possible runs.
    :param failure_reason: why the part was given up; empty if it was not.
    :param is_held: whether it is sent only together with queued parts of its request.
    :param answered_by: the attempt whose answer was accepted.
    :param answered_at: when its answer was accepted.
    """

    service: str
    tried_server_ids: list[str] = field(default_factory=list)
    attempt_ids: list[int] = field(default_factory=list)
    possible_runs: int = 0
    send_count: int = 0
    discounted_resets: int = 0
    answer: UpstreamAnswer | None = None
    failure_reason: str = ""
    is_queued: bool = False
    is_held: bool = False
    answered_by: Attempt | None = None
    answered_at: Millis = float("inf")

    @property
    def may_have_run(self) -> bool:
        """Return whether a server may have run it, discounted resets included."""
        return bool(self.possible_runs or self.discounted_resets)


@dataclass(slots=True)
class Request:
    """A request of a caller that is in flight.

    :param target_at: when to answer so that the answer reaches the caller by the target time.
    :param open_parts: number of parts that are neither answered nor failed.
    :param answered_parts: number of answered parts.
    :param last_answered: the part that was answered last.
    :param is_unusual: whether anything happened besides one answered attempt per part.
    """

    call_id: int
    request_id: str
    route: Route
    version: int
    arrived_at: Millis
    target_at: Millis
    deadline_at: Millis
    fingerprint: int
    parts: list[Part]
    open_parts: int
    answered_parts: int = 0
    last_answered: Part | None = None
    is_unusual: bool = False
    target_passed: bool = False
    caller_disconnected: bool = False


@dataclass(slots=True)
class Attempt:
    """One call to one server, for a part of a request.

    :param is_extra: whether it is a retry or a hedge.
    :param is_crash_ruled_out: whether another part of its request was answered, which shows that
        the request does not crash servers.
    :param in_flight: attempts of this instance that the server had in flight when it was sent.
    :param oldest_ms: age of the oldest of these attempts at that time.
    """

    id: int
    call_id: int
    part: int
    route: str
    service: str
    server_id: str
    sent_at: Millis
    idempotent: bool
    fingerprint: int
    is_extra: bool = False
    is_crash_ruled_out: bool = False
    in_flight: int = 0
    oldest_ms: Millis = 0.0


@dataclass(frozen=True, slots=True)
class InterruptedAttempt:
    """An attempt whose connection the server closed or reset.

    :param request_id: identifier that the caller gave the request; empty if it had ended before.
    """

    at: Millis
    fingerprint: int
    request_id: str


@dataclass(slots=True)
class CrashCount:
    """Number of servers that crashed while they ran a request, as observed by one instance.

    :param changed_at: when that instance last changed the number.
    """

    crashes: int
    changed_at: Millis


@dataclass(slots=True)
class Suspect:
    """A request that may crash servers.

    :param first_at: time of the earliest recorded crash.
    :param answered_at: latest answer to an equal request at any instance; crashes before it do
        not count.
    :param counts_by_origin: crash counts of all instances, this one included, by incarnation of
        the instance.
    """

    first_at: Millis
    answered_at: Millis = float("-inf")
    counts_by_origin: dict[int, CrashCount] = field(default_factory=dict)

    @property
    def crashes(self) -> int:
        """Return the crashes that all instances observed since the last answer."""
        return sum(
            count.crashes
            for count in self.counts_by_origin.values()
            if count.changed_at > self.answered_at
        )


@dataclass(slots=True)
class State:
    """Complete state of one instance.

    :param ends_at: when all requests must have ended because of a shutdown.
    :param own_incarnation: random identifier of this start of the instance.
    :param slow_share: moving average of the share of slow answers.
    :param urgent_gossip_at: when the next urgent gossip is due, or the last one was sent.
    :param peak_instances: largest recent number of instances, this one included.
    :param announcements_by_lifetime: announcements of servers, by server id and incarnation.
    :param freed_services: services at which capacity was freed since queued parts were dispatched.
    :param registry_revision: revision of the registry up to which all changes were applied.
    :param registry_read_at: latest time at which the registry had no newer revision.
    :param logged_read_plan: the plan for reading the registry that was last logged.
    :param is_partitioned: whether servers of other failure domains cannot be reached and some
        route cannot be served without them.
    """

    settings: ForwardingSettings
    rng: random.Random
    now: Millis = 0.0
    phase: ProcessPhase = ProcessPhase.STARTING
    ends_at: Millis = float("inf")
    configuration: Configuration | None = None
    servers_listed: bool = False
    registry_lost: bool = False
    is_partitioned: bool = False
    partition_checks_started: bool = False
    gossip_started: bool = False
    own_incarnation: int = 0
    peers_by_id: dict[str, PeerState] = field(default_factory=dict)
    slow_server_ids: dict[str, None] = field(default_factory=dict)
    slow_share: float = 0.0
    contested_server_ids: dict[str, None] = field(default_factory=dict)
    peak_instances: int = 1
    peak_instances_at: Millis = 0.0
    suspects_by_fingerprint: dict[int, Suspect] = field(default_factory=dict)
    registry_revision: int = 0
    registry_read_at: Millis = float("-inf")
    logged_read_plan: str = ""
    urgent_gossip_at: Millis = float("-inf")
    services_by_name: dict[str, ServiceState] = field(default_factory=dict)
    servers_by_id: dict[str, ServerState] = field(default_factory=dict)
    removed_revision_by_id: dict[str, int] = field(default_factory=dict)
    announcements_by_lifetime: dict[tuple[str, int], Announcement] = field(default_factory=dict)
    freed_services: list[ServiceState] = field(default_factory=list)
    times_by_route: dict[str, RouteTimes] = field(default_factory=dict)
    requests_by_call: dict[int, Request] = field(default_factory=dict)
    attempts_by_id: dict[int, Attempt] = field(default_factory=dict)
    next_attempt_id: int = 1
    timers: Timers = field(default_factory=Timers)
    wake_at: Millis | None = None
    counters: Counter[str] = field(default_factory=Counter)
    out: list[Effect] = field(default_factory=list)


def new_state(settings: ForwardingSettings) -> State:
    """Return the initial state of an instance."""
    state = State(settings, random.Random(settings.seed))
    state.own_incarnation = state.rng.getrandbits(62)
    return state


def service_state(state: State, name: str) -> ServiceState:
    """Return the state of a service; create it if it is new."""
    service = state.services_by_name.get(name)
    if service is None:
        bucket_ms = state.settings.extra_window_ms / BUCKETS
        service = ServiceState(
            name, SlidingWindowCounter(bucket_ms), SlidingWindowCounter(bucket_ms)
        )
        state.services_by_name[name] = service
    return service


def route_times(state: State, name: str) -> RouteTimes:
    """Return the answer times of a route; create them if the route is new."""
    times = state.times_by_route.get(name)
    if times is None:
        times = state.times_by_route[name] = RouteTimes()
    return times
