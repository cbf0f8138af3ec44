"""Tests of load shedding for overloaded shards, and of the limits per server."""

from __future__ import annotations

from tests.forwarding.driving import NOT_RUN, Driver, configuration, gather_route, single_route
from tests.forwarding.simulation import Simulation
from turmerictiller.errors import Ran
from turmerictiller.forwarding.completion import MIN_RETRY_AFTER_MS
from turmerictiller.forwarding.effects import ReplyRefusal, SendMergedAnswer
from turmerictiller.forwarding.overload import min_parts

SHARDS = 10
OVERLOADED = ("s3", "s7")


def with_two_overloaded_shards() -> Driver:
    """Return a driver in which the servers of two shards answer after the target."""
    driver = Driver().start(configuration(gather_route(SHARDS, 0.89)), 1)
    for _ in range(60):
        call_id = driver.request()
        driver.wait(20)
        late = []
        for sent in driver.sent(call_id):
            if sent.server_id.partition("-")[0] in OVERLOADED and driver.last_call > 30:
                late.append(sent)
            else:
                driver.answer(sent)
        driver.wait(180 if late else 0)
        for sent in late:
            driver.answer(sent)
    return driver


def test_searches_alternate_between_two_overloaded_shards() -> None:
    """Guards against searches that are all late though nine of ten shards are enough."""
    driver = with_two_overloaded_shards()
    sent_by_service = dict.fromkeys(OVERLOADED, 0)
    sent_to_both = 0
    for _ in range(20):
        call_id = driver.request()
        services = [sent.server_id.partition("-")[0] for sent in driver.sent(call_id)]
        sent_to_both += len(services) == SHARDS
        for service in OVERLOADED:
            sent_by_service[service] += service in services
        driver.wait(30)
        for sent in driver.sent(call_id):
            if sent.server_id.partition("-")[0] not in OVERLOADED:
                driver.answer(sent)
        driver.wait(120)
        for sent in driver.sent(call_id):
            if sent.server_id.partition("-")[0] in OVERLOADED:
                driver.answer(sent)
        outcome = driver.outcome(call_id)
        assert isinstance(outcome, SendMergedAnswer)
        assert outcome.missing <= 1
    # Some searches are sent to both, because estimates decay and the shards may have recovered.
    assert sent_to_both <= 4
    assert min(sent_by_service.values()) >= 4


def test_single_overloaded_shard_is_not_shed() -> None:
    """Guards against needless loss of coverage when only one shard is overloaded."""
    driver = with_two_overloaded_shards()
    for server in driver.state.services_by_name["s3"].servers_by_id.values():
        server.slowness = 1.0
        server.limit = 0.0
    call_id = driver.request()
    assert len(driver.sent(call_id)) == SHARDS


def test_limit_falls_with_slow_answers_and_rises_again() -> None:
    """Guards against queues that grow at slow servers, and against a limit that stays low."""
    driver = Driver().start(configuration(single_route(), max_connections=133), 1)

    def in_flight() -> int:
        call_ids = [driver.request("/one/x") for _ in range(20)]
        sent = [item for call_id in call_ids for item in driver.sent(call_id)[:1]]
        for item in sent:
            driver.answer(item)
        return len(sent)

    def serve_requests(ms: float, count: int) -> None:
        for _ in range(count):
            call_id = driver.request("/one/x")
            driver.wait(ms)
            for sent in driver.sent(call_id):
                driver.answer(sent)

    serve_requests(20, 40)
    assert in_flight() == 10
    serve_requests(100, 10)
    assert in_flight() <= 3
    serve_requests(20, 60)
    assert in_flight() >= 9


def test_server_that_rejects_requests_gets_fewer() -> None:
    """Guards against attempts that a full server rejects repeatedly."""
    driver = Driver().start(configuration(single_route(), max_connections=133), 1)
    for _ in range(6):
        for sent in driver.sent(driver.request("/one/x")):
            driver.answer(sent, NOT_RUN)
    call_ids = [driver.request("/one/x") for _ in range(20)]
    assert sum(len(driver.sent(call_id)) for call_id in call_ids) <= 2


def test_slow_servers_are_used_within_their_limit_and_no_further() -> None:
    """Guards against refusals while a slow server is idle, and against queues at slow servers."""
    driver = with_two_overloaded_shards()
    call_ids = [driver.request() for _ in range(2)]
    assert all(driver.sent(call_id) for call_id in call_ids)
    refused = driver.request()
    assert driver.sent(refused) == []
    outcome = driver.outcome(refused)
    assert isinstance(outcome, ReplyRefusal)
    assert outcome.refusal.ran is Ran.NO
    assert outcome.refusal.retry_after_ms is not None
    assert outcome.refusal.retry_after_ms >= MIN_RETRY_AFTER_MS


def test_crest_at_a_shard_with_one_server_leaves_most_accepted_searches_in_time() -> None:
    """Guards against queues at the last server of a shard, which make every search late.

    Its four slots serve 133 searches a second; half as many again arrive.
    """
    deployment = Simulation(
        instances=4,
        shards=5,
        target_ms=150.0,
        min_share=1.0,
        service_ms=lambda server_id, now: 30.0,
        removed_servers=("s0-1", "s0-2"),
    )
    deployment.run(per_second=200, seconds=6)
    accepted = len(deployment.arrived_at) - len(deployment.refused_calls)
    late = len(deployment.late_arrivals) - len(deployment.refused_calls)
    assert late <= 0.1 * accepted
    assert accepted - late >= 0.75 * 133 * 6


def test_min_parts_is_the_smallest_number_with_the_share() -> None:
    """Guards against rounding that answers below the minimum share or refuses above it."""
    assert [min_parts(share, 10) for share in (0.89, 0.75, 0.9, 1.0, 0.0)] == [9, 8, 9, 10, 1]
    assert min_parts(0.95, 36) == 35
