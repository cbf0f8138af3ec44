"""Property tests: one snapshot per answer, and true coverage."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.harness import Harness, shard_map, snapshot
from turmerictiller.core import effects, events

SERVICES = 3


def version_map(version: int) -> dict[str, tuple[str, ...]]:
    """Return a shard map that is repartitioned with every version."""
    return shard_map(SERVICES, shards=1 + version % 3)


def serve(harness: Harness, server_id: str, versions: list[int]) -> None:
    """Let a server report the versions that it serves."""
    names = tuple(snapshot(version, version_map(version)) for version in versions)
    status = events.UpstreamStatus(f"i-{server_id}", False, names)
    harness.send(events.HealthReported(harness.at, server_id, status))
    for fetch in harness.pop_effects(effects.FetchShardMap):
        version = int(fetch.snapshot.partition("-")[0])
        shards = version_map(version)
        harness.send(events.ShardMapSeen(harness.at, server_id, fetch.snapshot, shards))


def start(versions: list[int]) -> Harness:
    """Return an instance whose servers all serve the given versions."""
    harness = Harness()
    harness.start(services=SERVICES)
    for server_id in list(harness.state.servers_by_id):
        serve(harness, server_id, versions)
    return harness


ACTIONS = st.lists(
    st.one_of(
        st.tuples(st.just("search"), st.integers(0, 3)),
        st.tuples(st.just("answer"), st.integers(0, 20)),
        st.tuples(st.just("answer_wrong_snapshot"), st.integers(0, 20)),
        st.tuples(st.just("answer_fewer_shards"), st.integers(0, 20)),
        st.tuples(st.just("answer_foreign_shard"), st.integers(0, 20)),
        st.tuples(st.just("answer_twice"), st.integers(0, 20)),
        st.tuples(st.just("gone"), st.integers(0, 20)),
        st.tuples(st.just("lost"), st.integers(0, 20)),
        st.tuples(st.just("move"), st.integers(0, 8)),
        st.tuples(st.just("wait"), st.integers(1, 300)),
    ),
    min_size=5,
    max_size=60,
)


class Index:
    """Upstreams whose index moves on while searches run."""

    def __init__(self) -> None:
        self.harness = start([1, 2])
        self.newest = 2
        self.open: list[effects.SendSearch] = []
        self.calls = 0
        self.merged_by_call: dict[int, dict[str, str]] = {}

    def step(self, action: str, number: int) -> None:
        """Run one action and check what callers are told."""
        harness = self.harness
        if action == "search":
            self.calls += 1
            harness.send(events.SearchArrived(harness.at, self.calls, "booking", f"query {number}"))
        elif action == "wait":
            harness.advance(number)
        elif action == "move":
            self._move(number)
        elif self.open:
            self._end(action, self.open.pop(number % len(self.open)))
        self.open += harness.pop_effects(effects.SendSearch)
        for reply in harness.pop_effects(effects.ReplySearch):
            check_reply(reply)

    def _move(self, number: int) -> None:
        self.newest += 1
        server_ids = sorted(self.harness.state.servers_by_id)
        for server_id in server_ids[number:]:
            serve(self.harness, server_id, [self.newest - 1, self.newest])

    def _end(self, action: str, attempt: effects.SendSearch) -> None:
        harness = self.harness
        version = int(attempt.snapshot.partition("-")[0])
        shards = version_map(version)[attempt.service]
        marked = {"shards": shards, "hits": hits_of(shards, version)}
        if action == "gone":
            kind = events.FailureKind.SNAPSHOT_GONE
            harness.send(events.AttemptFailed(harness.at, attempt.attempt_id, kind))
        elif action == "lost":
            kind = events.FailureKind.LOST
            harness.send(events.AttemptFailed(harness.at, attempt.attempt_id, kind))
        elif action == "answer_wrong_snapshot":
            other = snapshot(version + 1, version_map(version + 1))
            hits = hits_of(shards, version + 1)
            harness.answer(attempt, snapshot=other, shards=shards, hits=hits)
        elif action == "answer_fewer_shards":
            harness.answer(attempt, shards=shards[:-1], hits=hits_of(shards[:-1], version))
        elif action == "answer_foreign_shard":
            harness.answer(attempt, shards=shards, hits=hits_of(("other/0",), version))
        else:
            harness.answer(attempt, **marked)
        if action == "answer_twice":
            harness.answer(attempt, **marked)


def hits_of(shards: tuple[str, ...], version: int) -> tuple[events.Hit, ...]:
    """Return one hit per shard that tells the version it comes from."""
    return tuple(events.Hit(0.5, shard, f"{shard}#0", {"version": version}) for shard in shards)


def check_reply(reply: effects.ReplySearch) -> None:
    """Check an answer against the shard map of the snapshot that it names."""
    version = int(reply.snapshot.partition("-")[0])
    shards = {shard for group in version_map(version).values() for shard in group}
    assert {hit.fields["version"] for hit in reply.hits} <= {version}
    missing = {shard.shard for shard in reply.coverage.missing}
    assert reply.coverage.total == len(shards)
    assert missing <= shards
    assert reply.coverage.merged == len(shards - missing)
    # Every shard has one hit and k is large enough, so hits tell which shards were merged.
    assert sorted(hit.shard for hit in reply.hits) == sorted(shards - missing)


@settings(max_examples=300)
@given(ACTIONS)
def test_answers_have_one_snapshot_and_true_coverage(actions: list[tuple[str, int]]) -> None:
    """Guards against mixed index versions, shards counted twice and coverage that is not true."""
    index = Index()
    for action, number in actions:
        index.step(action, number)
    index.harness.advance(2_000)
    for reply in index.harness.pop_effects(effects.ReplySearch):
        check_reply(reply)
    assert index.harness.state.searches_by_id == {}
    assert index.harness.state.attempts_by_id == {}


def fail_as_gone(harness: Harness, attempt: effects.SendSearch) -> list[effects.SendSearch]:
    """Let a server say that it no longer serves the snapshot of an attempt."""
    kind = events.FailureKind.SNAPSHOT_GONE
    harness.send(events.AttemptFailed(harness.at, attempt.attempt_id, kind))
    return harness.pop_effects(effects.SendSearch)


def move_index(harness: Harness, versions: list[int]) -> None:
    """Let all servers serve other versions."""
    for server_id in list(harness.state.servers_by_id):
        serve(harness, server_id, versions)


def answer_marked(harness: Harness, attempt: effects.SendSearch) -> None:
    """Answer an attempt with hits that tell their version."""
    version = int(attempt.snapshot.partition("-")[0])
    shards = version_map(version)[attempt.service]
    harness.answer(attempt, shards=shards, hits=hits_of(shards, version))


def test_search_restarts_on_a_newer_snapshot() -> None:
    """Guards against coverage lost to an index change, and hits kept from before it."""
    harness = start([1])
    first, second, _ = harness.search(1)
    answer_marked(harness, first)
    move_index(harness, [2])
    again = fail_as_gone(harness, second)
    assert {attempt.snapshot for attempt in again} == {snapshot(2, version_map(2))}
    for attempt in again:
        answer_marked(harness, attempt)
    (reply,) = harness.pop_effects(effects.ReplySearch)
    assert reply.coverage.share == 1.0
    check_reply(reply)


def test_search_restarts_once_only() -> None:
    """Guards against a search that never ends while the index changes quickly."""
    harness = start([1])
    first, *_ = harness.search(1)
    move_index(harness, [2])
    again = fail_as_gone(harness, first)
    move_index(harness, [3])
    assert {attempt.snapshot for attempt in fail_as_gone(harness, again[0])} <= {again[0].snapshot}
    assert harness.state.counters["searches.restarted"] == 1


def test_later_page_stays_on_its_snapshot() -> None:
    """Guards against a page that shows another index version than the page before."""
    harness = start([1])
    for attempt in harness.search(1, k=1):
        harness.answer(attempt)
    (page,) = harness.pop_effects(effects.ReplySearch)
    for server_id in list(harness.state.servers_by_id):
        serve(harness, server_id, [1, 2])
    attempts = harness.search(2, k=1, cursor=page.cursor)
    assert {attempt.snapshot for attempt in attempts} == {page.snapshot}
    for attempt in attempts:
        harness.answer(attempt)
    (second,) = harness.pop_effects(effects.ReplySearch)
    assert second.hits[0] != page.hits[0]


def test_later_page_is_not_restarted() -> None:
    """Guards against a page of a newer snapshot after its own is gone."""
    harness = start([1])
    for attempt in harness.search(1, k=1):
        harness.answer(attempt)
    (page,) = harness.pop_effects(effects.ReplySearch)
    first, *_ = harness.search(2, k=1, cursor=page.cursor)
    move_index(harness, [2])
    again = fail_as_gone(harness, first)
    assert {attempt.snapshot for attempt in again} <= {page.snapshot}


def test_map_that_one_service_reports_alone_is_not_chosen() -> None:
    """Guards against a coverage of 1 for a snapshot whose map leaves out the other services."""
    harness = Harness()
    true_name = harness.start()
    server_id = next(iter(harness.state.servers_by_id))
    forged = {"jobs-0": tuple(f"jobs-0/{number}" for number in range(99))}
    name = snapshot(9, forged)
    status = events.UpstreamStatus("i9", False, (name, true_name))
    harness.send(events.HealthReported(harness.at, server_id, status))
    harness.send(events.ShardMapSeen(harness.at, server_id, name, forged))
    assert {attempt.snapshot for attempt in harness.search(1)} == {true_name}


def test_many_reported_versions_do_not_displace_the_map_in_use() -> None:
    """Guards against one server whose reports make every instance refuse all searches."""
    harness = Harness(max_snapshots=4)
    true_name = harness.start()
    server_id = next(iter(harness.state.servers_by_id))
    maps = {"jobs-0": ("jobs-0/0",)}
    names = tuple(snapshot(version, maps) for version in range(5, 25))
    for start in range(0, 20, 3):
        reported = (true_name, *names[start : start + 3])
        status = events.UpstreamStatus("i9", False, reported)
        harness.send(events.HealthReported(harness.at, server_id, status))
        for name in reported[1:]:
            harness.send(events.ShardMapSeen(harness.at, server_id, name, maps))
    assert {attempt.snapshot for attempt in harness.search(1)} == {true_name}
    assert len(harness.state.shard_maps_by_snapshot) == 4


def test_barely_served_snapshot_does_not_draw_all_searches() -> None:
    """Guards against an index change in which the first servers to move on get all searches."""
    harness = start([1])
    first_of_each = [f"jobs-{number}-s0" for number in range(SERVICES)]
    for server_id in first_of_each:
        serve(harness, server_id, [1, 2])
    assert {attempt.snapshot for attempt in harness.search(1)} == {snapshot(1, version_map(1))}
    for number in range(SERVICES):
        serve(harness, f"jobs-{number}-s1", [1, 2])
    assert {attempt.snapshot for attempt in harness.search(2)} == {snapshot(2, version_map(2))}


def test_barely_served_snapshot_is_used_if_no_other_is_complete() -> None:
    """Guards against coverage lost because a complete snapshot is served by few."""
    harness = start([1])
    for server_id in list(harness.state.servers_by_id):
        serve(harness, server_id, [2] if server_id.endswith("-s0") else [3])
    for number in range(SERVICES):
        if number:
            serve(harness, f"jobs-{number}-s1", [1])
            serve(harness, f"jobs-{number}-s2", [1])
    assert {attempt.snapshot for attempt in harness.search(1)} == {snapshot(2, version_map(2))}
