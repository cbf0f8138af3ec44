"""Tests of the whole path: callers, one instance, a store and servers on real sockets."""

from __future__ import annotations

import asyncio
import signal
import time
from typing import TYPE_CHECKING

import pytest

from standins.shard_server import RECORD_BYTES
from standins.store import encode_value
from tests.platform.serving import SHARDS, configuration, deployment, second_instance

if TYPE_CHECKING:
    from pathlib import Path

    from standins.shard_server import ShardServer
    from tests.platform.serving import Answer, Deployment


def check_merged(answer: Answer, made: Deployment, path: str, request_id: str) -> int:
    """Check that a success is what its parts say; return the number of missing parts."""
    assert answer.status == 200
    signatures = [item.strip() for item in answer.headers["part-stamps"].split(",")]
    missing = int(answer.headers["missing-parts"])
    assert len(signatures) + missing == SHARDS
    by_signature = {server.signature(request_id): server for server in made.servers_by_id.values()}
    parts = [by_signature[signature] for signature in signatures]
    assert len({server.service for server in parts}) == len(parts)
    records = []
    for server in parts:
        body = server.records(path)
        records += [
            body[at : at + RECORD_BYTES]
            for at in range(0, len(body) - RECORD_BYTES + 1, RECORD_BYTES)
        ]
    assert answer.body == b"".join(sorted(records, reverse=True)[:5])
    return missing


def test_search_and_single_requests_are_served(tmp_path: Path) -> None:
    """Guards against a path that does not serve at all."""

    async def play() -> None:
        async with deployment(tmp_path) as made:
            caller = await made.caller()
            answer = await caller.ask("/search/q", request_id="r1")
            assert check_merged(answer, made, "/search/q", "r1") == 0
            answer = await caller.ask("/one/x?y=1", request_id="r2")
            assert answer.headers["request-id"] == "r2"
            assert answer.body == made.of("a")[0].records("/one/x?y=1")
            answer = await caller.ask("/once/x", method="POST", request_id="r3", body=b"b" * 300)
            assert answer.status == 200
            ran = [server.paths_by_request.get("r3") for server in made.of("a")]
            assert sorted(map(str, ran)) == ["None", "POST /once/x"]

    asyncio.run(play())


def test_answers_that_arrive_while_the_instance_is_paused_are_used(tmp_path: Path) -> None:
    """Guards against parts left out because the target passed while the process did not run."""
    answered: list[str] = []

    def pause_at_the_last(server: ShardServer) -> None:
        give = server._answer

        async def answer(
            writer: asyncio.StreamWriter, request_id: str, path: str, behaviour: str
        ) -> bool:
            goes_on = await give(writer, request_id, path, behaviour)
            answered.append(request_id)
            if answered.count("paused") == SHARDS:
                # All answers are on their way, and the instance has read none of them.
                time.sleep(0.3)
            return goes_on

        server._answer = answer  # type: ignore[method-assign]

    async def play() -> None:
        async with deployment(tmp_path) as made:
            for server in made.servers_by_id.values():
                pause_at_the_last(server)
            caller = await made.caller()
            await caller.ask("/search/q", request_id="first")
            answer = await caller.ask("/search/q", request_id="paused")
            assert check_merged(answer, made, "/search/q", "paused") == 0

    asyncio.run(play())


def test_what_no_route_allows_is_404_and_what_is_too_large_is_413(tmp_path: Path) -> None:
    """Guards against requests that reach a server which no route names."""

    async def play() -> None:
        async with deployment(tmp_path) as made:
            caller = await made.caller()
            assert (await caller.ask("/other/x")).status == 404
            assert (await caller.ask("/search/x", host="other.example")).status == 404
            answer = await caller.ask("/once/x", method="POST", body=b"b" * 20_000)
            assert answer.status == 413
            assert sum(sum(server.ran.values()) for server in made.servers_by_id.values()) == 0

    asyncio.run(play())


@pytest.mark.parametrize(
    "behaviour",
    ["truncate", "extra", "late_extra", "foreign_first", "unframed", "unframed_reset", "lost"]
    + ["garbage", "encoded", "unsigned", "close", "shed", "error", "slow"],
)
def test_odd_answers_never_reach_a_caller(tmp_path: Path, behaviour: str) -> None:
    """Guards against foreign, doubled, cut and unsigned answers that look like good ones."""

    async def play() -> None:
        async with deployment(tmp_path) as made:
            for server in made.servers_by_id.values():
                server.behaviour, server.share = behaviour, 0.3
            callers = [await made.caller() for _ in range(4)]

            async def search(index: int, number: int) -> int:
                path, request_id = f"/search/{index}.{number}", f"r{index}.{number}"
                answer = await callers[index].ask(path, request_id=request_id)
                if answer.status == 503:
                    # Callers honour the time to come back, and try once more.
                    await asyncio.sleep(float(answer.headers["retry-after"]))
                    request_id += "again"
                    answer = await callers[index].ask(path, request_id=request_id)
                if answer.status != 200:
                    assert answer.status in (502, 503, 504)
                    return 0
                check_merged(answer, made, path, request_id)
                return 1

            async def post(index: int, number: int) -> int:
                path, request_id = f"/once/{index}.{number}", f"p{index}.{number}"
                answer = await callers[index].ask(path, method="POST", request_id=request_id)
                runs = sum(server.ran[request_id] for server in made.servers_by_id.values())
                assert runs <= 1
                if answer.status == 200:
                    signatures = [server.signature(request_id) for server in made.of("a")]
                    assert answer.headers["server-stamp"] in signatures
                    assert answer.body == made.of("a")[0].records(path)
                    assert runs == 1
                elif answer.status in (408, 421, 429, 503):
                    assert runs == 0
                return int(answer.status == 200)

            async def use(index: int) -> tuple[int, int]:
                served = [0, 0]
                for number in range(12):
                    served[0] += await search(index, number)
                    served[1] += await post(index, number)
                return served[0], served[1]

            served = await asyncio.gather(*(use(index) for index in range(4)))
            assert sum(searches for searches, _ in served) >= 40
            assert sum(posts for _, posts in served) >= 24

    asyncio.run(play())


def test_new_configuration_and_leaving_servers_are_followed(tmp_path: Path) -> None:
    """Guards against a version or a server that is used after its time."""

    async def play() -> None:
        async with deployment(tmp_path) as made:
            caller = await made.caller()
            first, second = made.of("a")
            first.draining = True
            made.publish(first)
            new = configuration(2)
            new["routes"] = [route for route in new["routes"] if route["name"] != "search"]
            made.store.write("op/config", encode_value(new))
            await asyncio.sleep(1.2)
            assert (await caller.ask("/search/x")).status == 404
            for number in range(10):
                answer = await caller.ask("/one/x", request_id=f"d{number}")
                assert answer.headers["server-stamp"].startswith(f"{second.id}.")
            made.store.write(f"servers/{second.id}", None)
            made.store.write(f"servers/{first.id}", None)
            await asyncio.sleep(3.4)
            answer = await caller.ask("/one/x")
            assert answer.status == 503
            assert float(answer.headers["retry-after"]) > 0

    asyncio.run(play())


def test_unreadable_entries_and_configurations_change_nothing(tmp_path: Path) -> None:
    """Guards against writers that leave anything in the store."""

    async def play() -> None:
        async with deployment(tmp_path) as made:
            caller = await made.caller()
            values: list[object] = [None, 5, [], {"service": 3}, {"service": "a", "address": "x"}]
            good = made.of("a")[0].entry()
            values += [{**good, "state": "unknown"}, {**good, "slots": "3"}, {**good, "born": 1.5}]
            for index, value in enumerate(values):
                made.store.write(f"servers/forged-{index}", encode_value(value))
            made.store.write("servers/forged-x", b"\xff\xfe not text")
            made.store.write("op/config", b"{")
            await asyncio.sleep(1.2)
            for _ in range(8):
                assert (await caller.ask("/one/x")).status == 200
            assert len(made.instance.shell.state.servers_by_id) == len(made.servers_by_id)

    asyncio.run(play())


@pytest.mark.parametrize("mode", ["busy", "silent", "reset"])
def test_service_goes_on_while_the_store_is_away(tmp_path: Path, mode: str) -> None:
    """Guards against a store whose absence stops or delays callers, and against slow recovery."""

    async def play() -> None:
        async with deployment(tmp_path) as made:
            caller = await made.caller()
            made.store.mode = mode
            made.store.compact_history()
            await asyncio.sleep(1.5)
            assert (await caller.ask("/search/x")).status == 200
            made.store.write("op/config", encode_value(configuration(2, routes=[])))
            made.store.mode = "ok"
            async with asyncio.timeout(3):
                while (await caller.ask("/search/x")).status != 404:
                    await asyncio.sleep(0.05)

    asyncio.run(play())


def test_request_that_crashes_servers_is_refused_after_the_third(tmp_path: Path) -> None:
    """Guards against crashes that go unnoticed because nothing else is sent to the server."""

    async def play() -> None:
        async with deployment(tmp_path) as made:
            for server in made.of("a"):
                server.crashes_on = "/one/deadly"
            caller = await made.caller()
            statuses = []
            for _ in range(5):
                statuses.append((await caller.ask("/one/deadly")).status)
                await asyncio.sleep(0.8)
            assert statuses[-1] == 429
            assert sum(server.crashes for server in made.of("a")) <= 4
            assert (await caller.ask("/one/x")).status == 200

    asyncio.run(play())


def test_servers_that_leave_or_ask_for_time_get_no_requests(tmp_path: Path) -> None:
    """Guards against headers of servers that are not read on the way to the decisions."""

    async def play() -> None:
        async with deployment(tmp_path) as made:
            caller, other = await made.caller(), await made.caller()
            first, second = made.of("a")
            first.behaviour, first.pause_s = "shed", 60.0
            for _ in range(4):
                # Two requests at a time use both servers; one after the other may find the same.
                answers = await asyncio.gather(caller.ask("/one/x"), other.ask("/one/x"))
                assert [answer.status for answer in answers] == [200, 200]
            first.behaviour = "ok"
            second.leaving = True
            assert (await caller.ask("/one/x")).status == 200
            await asyncio.sleep(1.2)
            ran = [sum(server.ran.values()) for server in (first, second)]
            answer = await caller.ask("/one/x")
            assert answer.status == 503
            assert 50 < float(answer.headers["retry-after"]) < 62
            assert [sum(server.ran.values()) for server in (first, second)] == ran

    asyncio.run(play())


def test_caller_that_leaves_frees_the_servers(tmp_path: Path) -> None:
    """Guards against servers that work for callers who have gone."""

    async def play() -> None:
        async with deployment(tmp_path) as made:
            for server in made.servers_by_id.values():
                server.behaviour = "silent"
            caller = await made.caller()
            caller.write("/search/x")
            await asyncio.sleep(0.1)
            assert made.instance.shell.state.attempts_by_id
            caller.writer.close()
            await asyncio.sleep(0.4)
            assert made.instance.shell.state.attempts_by_id == {}
            assert made.instance.shell.state.requests_by_call == {}

    asyncio.run(play())


def test_requests_sent_ahead_are_answered_in_order(tmp_path: Path) -> None:
    """Guards against an answer that goes to another request of the same connection."""

    async def play() -> None:
        async with deployment(tmp_path) as made:
            caller = await made.caller()
            for number in range(12):
                caller.write(f"/one/{number}", request_id=f"n{number}")
            for number in range(12):
                answer = await asyncio.wait_for(caller.read(), 5)
                assert answer.headers["request-id"] == f"n{number}"

    asyncio.run(play())


def test_shutdown_answers_what_was_read_and_closes_in_time(tmp_path: Path) -> None:
    """Guards against requests that a planned stop cuts off."""

    async def play() -> None:
        async with deployment(tmp_path) as made:
            for server in made.of("a"):
                server.work_ms = 400.0
            callers = [await made.caller() for _ in range(3)]
            idle = await made.caller()
            for index, caller in enumerate(callers):
                caller.write("/once/x", method="POST", request_id=f"t{index}")
            await asyncio.sleep(0.05)
            signal.raise_signal(signal.SIGTERM)
            await asyncio.sleep(0.05)
            assert await made.readiness() == 503
            answers = await asyncio.gather(*(caller.read() for caller in callers))
            assert [answer.status for answer in answers] == [200, 200, 200]
            assert all(answer.headers["connection"] == "close" for answer in answers)
            assert await asyncio.wait_for(idle.reader.read(), 4) == b""
            await asyncio.wait_for(made.running, 2)

    asyncio.run(play())


def test_settings_are_read_again_on_a_signal(tmp_path: Path) -> None:
    """Guards against a bad change that stops an instance or is taken over."""

    async def play() -> None:
        async with deployment(tmp_path) as made:
            path = made.instance.path
            text = path.read_text()
            path.write_text(text.replace("budgetSlack = 1000", "budgetSlack = 500"))
            signal.raise_signal(signal.SIGHUP)
            await asyncio.sleep(0.05)
            assert made.instance.shell.state.settings.extra_slack == 500
            path.write_text(text.replace("budgetSlack = 1000", "budgetSlack = -1"))
            signal.raise_signal(signal.SIGHUP)
            await asyncio.sleep(0.05)
            assert made.instance.shell.state.settings.extra_slack == 500
            caller = await made.caller()
            assert (await caller.ask("/search/x")).status == 200

    asyncio.run(play())


def test_instance_that_starts_without_the_store_learns_everything_from_another(
    tmp_path: Path,
) -> None:
    """Guards against instances that serve nothing when they start while the store is away."""

    async def play() -> None:
        async with deployment(tmp_path) as made:
            made.store.mode = "busy"
            async with second_instance(tmp_path, made) as caller:
                async with asyncio.timeout(5):
                    while (await caller.ask("/search/x", request_id="r1")).status != 200:
                        await asyncio.sleep(0.1)
                    answer = await caller.ask("/once/x", method="POST", request_id="r2")
                assert answer.status == 200
                first = made.instance.shell.state
                assert [peer.address for peer in first.peers_by_id.values()]

    asyncio.run(play())
