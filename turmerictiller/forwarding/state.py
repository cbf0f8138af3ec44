"""State of the forwarding decisions. Only the reducer changes it."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from turmerictiller.phases import ProcessPhase
from turmerictiller.util.histogram import RecentTimes
from turmerictiller.util.timers import Timers
from turmerictiller.util.window_count import BUCKETS, WindowCount

if TYPE_CHECKING:
    from turmerictiller.clock import Millis
    from turmerictiller.forwarding.effects import Effect
    from turmerictiller.forwarding.events import UpstreamAnswer
    from turmerictiller.forwarding.model import Configuration, Route, ServerEntry
    from turmerictiller.forwarding.peer_model import PeerState
    from turmerictiller.forwarding.settings import ForwardingSettings

ANSWERS_PER_UPDATE = 16  # answers after which the quantiles of a route are computed again


class TimerKind(Enum):
    """What is due when a timer runs out."""

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
    """What one lifetime of a server has said of itself in its answers.

    :param leaving_at: when it first said that it leaves; ``None`` if it has not.
    :param paused_until: before this time it wants no requests of this instance.
    :param malformed_headers_logged: the log was told of a header that can not be read.
    """

    leaving_at: Millis | None = None
    paused_until: Millis = float("-inf")
    malformed_headers_logged: bool = False


@dataclass(slots=True)
class ServerState:
    """A server and what this instance has seen of it.

    :param outstanding: times at which unanswered attempts were sent, by attempt, oldest first.
    :param slowness: answer times as multiples of those of the route, averaged.
    :param failure_rate: share of attempts that failed or were not run, averaged.
    :param consecutive_failures: failures since the last answer.
    :param unreachable: the last failure was to open a connection.
    :param ejected_until: before this time, the server is used only if there is no other.
    :param answered_at: when it last answered or accepted a connection.
    :param failed_at: when it last failed.
    :param limit: attempts that may be unanswered at once; 0 until the first attempt.
    :param limit_lowered_at: when the limit was last lowered.
    :param interrupted_attempts: attempts that it broke off lately.
    :param probed_at: when a connection was opened to find out whether it crashed; ``None`` if no
        result is awaited.
    :param removed_at: when its entry was removed; ``None`` while there is one.
    :param is_replaced: another server answered at its address.
    :param draining_at: when it was first seen draining.
    :param unshared_slow_answers: number of slow answers that no other instance was told.
    :param shared_slow_weight: this one's share of the slow answers of all instances, at ``shared_slow_weight_at``.
    :param marked_slow_by_peers: counts as slow because of answers that other instances had.
    :param slow_answer_slowness: times of those answers as a multiple of the usual one.
    :param contested_at: when it last turned away a new connection of any instance.
    :param announcement: what it has said of itself in its answers.
    """

    entry: ServerEntry
    added_at: Millis
    outstanding: dict[int, Millis] = field(default_factory=dict)
    slowness: float = 1.0
    failure_rate: float = 0.0
    observed_at: Millis = 0.0
    consecutive_failures: int = 0
    unreachable: bool = False
    ejected_until: Millis = 0.0
    backoff_ms: float = 0.0
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
    """A service, its servers and its budget.

    :param queued_priority_by_part: priorities of the parts that wait for room, by call and part.
    """

    name: str
    first_attempts: WindowCount
    extra_attempts: WindowCount
    servers_by_id: dict[str, ServerState] = field(default_factory=dict)
    shed_at: Millis = float("-inf")
    queued_priority_by_part: dict[tuple[int, int], int] = field(default_factory=dict)


@dataclass(slots=True)
class RouteTimes:
    """Times of answered attempts of one route, and quantiles of them.

    :param weights: running weights of a split route, for an even rotation.
    """

    times: RecentTimes = field(default_factory=RecentTimes)
    median_ms: float = 0.0
    hedge_delay_ms: float = 0.0
    answers_since_update: int = 0
    weights: dict[str, float] = field(default_factory=dict)

    def add(self, ms: float, hedge_quantile: float) -> None:
        """Count one time."""
        self.times.add(ms)
        self.answers_since_update += 1
        if self.answers_since_update >= ANSWERS_PER_UPDATE or self.median_ms == 0:
            self.answers_since_update = 0
            self.median_ms = self.times.quantile(0.5)
            self.hedge_delay_ms = self.times.quantile(hedge_quantile)


@dataclass(slots=True)
class Part:
    """What one service adds to an answer.

    :param tried_server_ids: servers that got the request, whether they ran it or not.
    :param possible_runs: servers that may have run it.
    :param send_count: attempts so far.
    :param discounted_resets: attempts that did not count as runs because a new connection was reset.
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

    @property
    def may_have_run(self) -> bool:
        """Whether a server may have run it, attempts included that did not count as runs."""
        return bool(self.possible_runs or self.discounted_resets)


@dataclass(slots=True)
class Request:
    """A request of a caller that is being served.

    :param target_at: when to answer, so that the caller has the answer by the target.
    :param open_parts: parts that are neither answered nor failed.
    :param is_unusual: more happened than one answered attempt per part.
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
    is_unusual: bool = False
    target_passed: bool = False
    caller_disconnected: bool = False


@dataclass(slots=True)
class Attempt:
    """One request on its way to one server.

    :param is_crash_ruled_out: another part of its request was answered, so it does not crash servers.
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


@dataclass(frozen=True, slots=True)
class InterruptedAttempt:
    """An attempt that its server broke off.

    :param request_id: identity that the caller gave the request; empty if it had ended before.
    """

    at: Millis
    fingerprint: int
    request_id: str


@dataclass(slots=True)
class CrashCount:
    """Servers that crashed under a request, as one instance saw them.

    :param changed_at: when that instance last changed the number.
    """

    crashes: int
    changed_at: Millis


@dataclass(slots=True)
class Suspect:
    """A request that may crash servers.

    :param first_at: earliest crash that is known here.
    :param answered_at: latest answer to an equal request at any instance; it disproves earlier crashes.
    :param counts_by_origin: what instances have seen, this one included, by their incarnations.
    """

    first_at: Millis
    answered_at: Millis = float("-inf")
    counts_by_origin: dict[int, CrashCount] = field(default_factory=dict)

    @property
    def crashes(self) -> int:
        """Crashes that all instances have seen since the last answer."""
        return sum(
            count.crashes
            for count in self.counts_by_origin.values()
            if count.changed_at > self.answered_at
        )


@dataclass(slots=True)
class State:
    """Everything that the decisions depend on.

    :param own_incarnation: drawn at each start.
    :param urgent_gossip_at: when other instances are asked, or were last, because of news.
    :param peak_instances: largest number of instances that was seen lately, this one included.
    :param announcements_by_lifetime: what servers have said, by their ids and incarnations.
    :param registry_revision: revision of the registry up to which all changes are known.
    :param registry_read_at: when the registry had nothing newer than that.
    :param logged_read_plan: how this instance reads the registry, as the log was last told.
    :param is_partitioned: servers of other failure domains can not be reached from here, and without
        them some route can not be served.
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
    services_with_capacity: list[ServiceState] = field(default_factory=list)
    times_by_route: dict[str, RouteTimes] = field(default_factory=dict)
    requests_by_call: dict[int, Request] = field(default_factory=dict)
    attempts_by_id: dict[int, Attempt] = field(default_factory=dict)
    next_attempt_id: int = 1
    timers: Timers = field(default_factory=Timers)
    wake_at: Millis | None = None
    counters: Counter[str] = field(default_factory=Counter)
    out: list[Effect] = field(default_factory=list)


def new_state(settings: ForwardingSettings) -> State:
    """Return the state of an instance that knows nothing yet."""
    state = State(settings, random.Random(settings.seed))
    state.own_incarnation = state.rng.getrandbits(62)
    return state


def service_state(state: State, name: str) -> ServiceState:
    """Return the state of a service, which is made if it is new."""
    service = state.services_by_name.get(name)
    if service is None:
        bucket_ms = state.settings.extra_window_ms / BUCKETS
        service = ServiceState(name, WindowCount(bucket_ms), WindowCount(bucket_ms))
        state.services_by_name[name] = service
    return service


def route_times(state: State, name: str) -> RouteTimes:
    """Return the times of a route, which are made if it is new."""
    times = state.times_by_route.get(name)
    if times is None:
        times = state.times_by_route[name] = RouteTimes()
    return times
