"""Tests of snapshot selection, restarts and coverage, with a property test of answers."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.harness import Harness, shard_map, snapshot
from turmerictiller.core import effects, events

SERVICES = 3


def version_map(version: int) -> dict[str, tuple[str, ...]]:
    """Return a shard map with another partitioning in every version."""
    return shard_map(SERVICES, shards=1 + version % 3)


def report_versions(harness: Harness, server_id: str, versions: list[int]) -> None:
    """Report the versions that a server serves, and answer the shard map requests."""
    names = tuple(snapshot(version, version_map(version)) for version in versions)
    status = events.UpstreamStatus(f"i-{server_id}", False, names)
    harness.send(events.HealthReported(harness.at, server_id, status))
    for fetch in harness.pop_effects(effects.FetchShardMap):
        version = int(fetch.snapshot.partition("-")[0])
        shards = version_map(version)
        harness.send(events.ShardMapSeen(harness.at, server_id, fetch.snapshot, shards))


def start_harness(versions: list[int]) -> Harness:
    """Return an instance with servers that all serve the given versions."""
    harness = Harness()
    harness.start(services=SERVICES)
    for server_id in list(harness.state.servers_by_id):
        report_versions(harness, server_id, versions)
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


class VersionedUpstreams:
    """Upstreams that switch to newer index versions while searches run."""

    def __init__(self) -> None:
        self.harness = start_harness([1, 2])
        self.newest_version = 2
        self.outstanding: list[effects.SendSearch] = []
        self.call_count = 0
        self.merged_by_call: dict[int, dict[str, str]] = {}

    def step(self, action: str, number: int) -> None:
        """Run one action and check the replies to callers."""
        harness = self.harness
        if action == "search":
            self.call_count += 1
            harness.send(
                events.SearchArrived(harness.at, self.call_count, "booking", f"query {number}")
            )
        elif action == "wait":
            harness.advance(number)
        elif action == "move":
            self._switch_servers(number)
        elif self.outstanding:
            self._end_attempt(action, self.outstanding.pop(number % len(self.outstanding)))
        self.outstanding += harness.pop_effects(effects.SendSearch)
        for reply in harness.pop_effects(effects.ReplySearch):
            check_reply(reply)

    def _switch_servers(self, number: int) -> None:
        self.newest_version += 1
        server_ids = sorted(self.harness.state.servers_by_id)
        for server_id in server_ids[number:]:
            report_versions(self.harness, server_id, [self.newest_version - 1, self.newest_version])

    def _end_attempt(self, action: str, attempt: effects.SendSearch) -> None:
        harness = self.harness
        version = int(attempt.snapshot.partition("-")[0])
        shards = version_map(version)[attempt.service]
        versioned_answer = {"shards": shards, "hits": versioned_hits(shards, version)}
        if action == "gone":
            kind = events.FailureKind.SNAPSHOT_GONE
            harness.send(events.AttemptFailed(harness.at, attempt.attempt_id, kind))
        elif action == "lost":
            kind = events.FailureKind.LOST
            harness.send(events.AttemptFailed(harness.at, attempt.attempt_id, kind))
        elif action == "answer_wrong_snapshot":
            other = snapshot(version + 1, version_map(version + 1))
            hits = versioned_hits(shards, version + 1)
            harness.answer(attempt, snapshot=other, shards=shards, hits=hits)
        elif action == "answer_fewer_shards":
            harness.answer(attempt, shards=shards[:-1], hits=versioned_hits(shards[:-1], version))
        elif action == "answer_foreign_shard":
            harness.answer(attempt, shards=shards, hits=versioned_hits(("other/0",), version))
        else:
            harness.answer(attempt, **versioned_answer)
        if action == "answer_twice":
            harness.answer(attempt, **versioned_answer)


def versioned_hits(shards: tuple[str, ...], version: int) -> tuple[events.Hit, ...]:
    """Return one hit per shard, with the index version as a field."""
    return tuple(events.Hit(0.5, shard, f"{shard}#0", {"version": version}) for shard in shards)


def check_reply(reply: effects.ReplySearch) -> None:
    """Check a reply against the shard map of its snapshot."""
    version = int(reply.snapshot.partition("-")[0])
    shards = {shard for service_shards in version_map(version).values() for shard in service_shards}
    assert {hit.fields["version"] for hit in reply.hits} <= {version}
    missing = {shard.shard for shard in reply.coverage.missing}
    assert reply.coverage.total == len(shards)
    assert missing <= shards
    assert reply.coverage.merged == len(shards - missing)
    # Every shard has one hit and k exceeds their number, so the hits show which shards were merged.
    assert sorted(hit.shard for hit in reply.hits) == sorted(shards - missing)


@settings(max_examples=300)
@given(ACTIONS)
def test_answers_have_one_snapshot_and_correct_coverage(actions: list[tuple[str, int]]) -> None:
    """Guards against mixed index versions, shards counted twice and wrong coverage."""
    upstreams = VersionedUpstreams()
    for action, number in actions:
        upstreams.step(action, number)
    upstreams.harness.advance(2_000)
    for reply in upstreams.harness.pop_effects(effects.ReplySearch):
        check_reply(reply)
    assert upstreams.harness.state.searches_by_id == {}
    assert upstreams.harness.state.attempts_by_id == {}


def fail_with_snapshot_gone(
    harness: Harness, attempt: effects.SendSearch
) -> list[effects.SendSearch]:
    """Fail an attempt because its snapshot is no longer served, and return the new attempts."""
    kind = events.FailureKind.SNAPSHOT_GONE
    harness.send(events.AttemptFailed(harness.at, attempt.attempt_id, kind))
    return harness.pop_effects(effects.SendSearch)


def switch_versions(harness: Harness, versions: list[int]) -> None:
    """Switch all servers to other versions."""
    for server_id in list(harness.state.servers_by_id):
        report_versions(harness, server_id, versions)


def answer_with_version(harness: Harness, attempt: effects.SendSearch) -> None:
    """Answer an attempt with hits that contain the index version."""
    version = int(attempt.snapshot.partition("-")[0])
    shards = version_map(version)[attempt.service]
    harness.answer(attempt, shards=shards, hits=versioned_hits(shards, version))


def test_search_restarts_on_a_newer_snapshot() -> None:
    """Guards against coverage lost to an index change, and hits of the previous version."""
    harness = start_harness([1])
    first, second, _ = harness.search(1)
    answer_with_version(harness, first)
    switch_versions(harness, [2])
    restarted = fail_with_snapshot_gone(harness, second)
    assert {attempt.snapshot for attempt in restarted} == {snapshot(2, version_map(2))}
    for attempt in restarted:
        answer_with_version(harness, attempt)
    (reply,) = harness.pop_effects(effects.ReplySearch)
    assert reply.coverage.share == 1.0
    check_reply(reply)


def test_search_restarts_once_only() -> None:
    """Guards against a search that restarts endlessly while the index changes frequently."""
    harness = start_harness([1])
    first, *_ = harness.search(1)
    switch_versions(harness, [2])
    restarted = fail_with_snapshot_gone(harness, first)
    switch_versions(harness, [3])
    assert {attempt.snapshot for attempt in fail_with_snapshot_gone(harness, restarted[0])} <= {
        restarted[0].snapshot
    }
    assert harness.state.counters["searches.restarted"] == 1


def test_later_page_uses_the_snapshot_of_the_first() -> None:
    """Guards against pages of one search from different index versions."""
    harness = start_harness([1])
    for attempt in harness.search(1, k=1):
        harness.answer(attempt)
    (page,) = harness.pop_effects(effects.ReplySearch)
    for server_id in list(harness.state.servers_by_id):
        report_versions(harness, server_id, [1, 2])
    attempts = harness.search(2, k=1, cursor=page.cursor)
    assert {attempt.snapshot for attempt in attempts} == {page.snapshot}
    for attempt in attempts:
        harness.answer(attempt)
    (second,) = harness.pop_effects(effects.ReplySearch)
    assert second.hits[0] != page.hits[0]


def test_later_page_is_not_restarted() -> None:
    """Guards against a page from a newer snapshot after the snapshot of its search has expired."""
    harness = start_harness([1])
    for attempt in harness.search(1, k=1):
        harness.answer(attempt)
    (page,) = harness.pop_effects(effects.ReplySearch)
    first, *_ = harness.search(2, k=1, cursor=page.cursor)
    switch_versions(harness, [2])
    retries = fail_with_snapshot_gone(harness, first)
    assert {attempt.snapshot for attempt in retries} <= {page.snapshot}


def test_snapshot_reported_by_a_single_service_is_not_chosen() -> None:
    """Guards against a coverage of 1 for a snapshot whose map omits the other services."""
    harness = Harness()
    served_name = harness.start()
    server_id = next(iter(harness.state.servers_by_id))
    forged = {"jobs-0": tuple(f"jobs-0/{number}" for number in range(99))}
    name = snapshot(9, forged)
    status = events.UpstreamStatus("i9", False, (name, served_name))
    harness.send(events.HealthReported(harness.at, server_id, status))
    harness.send(events.ShardMapSeen(harness.at, server_id, name, forged))
    assert {attempt.snapshot for attempt in harness.search(1)} == {served_name}


def test_many_reported_versions_do_not_evict_the_map_in_use() -> None:
    """Guards against one server whose reports cause all instances to refuse all searches."""
    harness = Harness(max_snapshots=4)
    served_name = harness.start()
    server_id = next(iter(harness.state.servers_by_id))
    maps = {"jobs-0": ("jobs-0/0",)}
    names = tuple(snapshot(version, maps) for version in range(5, 25))
    for offset in range(0, 20, 3):
        reported = (served_name, *names[offset : offset + 3])
        status = events.UpstreamStatus("i9", False, reported)
        harness.send(events.HealthReported(harness.at, server_id, status))
        for name in reported[1:]:
            harness.send(events.ShardMapSeen(harness.at, server_id, name, maps))
    assert {attempt.snapshot for attempt in harness.search(1)} == {served_name}
    assert len(harness.state.shard_maps_by_snapshot) == 4


def test_snapshot_served_by_few_servers_is_not_preferred() -> None:
    """Guards against an index change that sends all searches to the first servers that switch."""
    harness = start_harness([1])
    first_server_ids = [f"jobs-{number}-s0" for number in range(SERVICES)]
    for server_id in first_server_ids:
        report_versions(harness, server_id, [1, 2])
    assert {attempt.snapshot for attempt in harness.search(1)} == {snapshot(1, version_map(1))}
    for number in range(SERVICES):
        report_versions(harness, f"jobs-{number}-s1", [1, 2])
    assert {attempt.snapshot for attempt in harness.search(2)} == {snapshot(2, version_map(2))}


def test_snapshot_served_by_few_servers_is_used_if_no_other_is_complete() -> None:
    """Guards against lost coverage because few servers serve the only complete snapshot."""
    harness = start_harness([1])
    for server_id in list(harness.state.servers_by_id):
        report_versions(harness, server_id, [2] if server_id.endswith("-s0") else [3])
    for number in range(SERVICES):
        if number:
            report_versions(harness, f"jobs-{number}-s1", [1])
            report_versions(harness, f"jobs-{number}-s2", [1])
    assert {attempt.snapshot for attempt in harness.search(1)} == {snapshot(2, version_map(2))}
