"""End-to-end tests: callers, one instance, a store and servers on real sockets."""

from __future__ import annotations

import asyncio
import signal
import time
from typing import TYPE_CHECKING

import pytest

from standins.shard_server import RECORD_BYTES
from standins.store import encode_value
from tests.platform.serving import HOST, SHARDS, configuration, deployment, second_instance
from turmerictiller.forwarding.events import ShutdownRequested

if TYPE_CHECKING:
    from pathlib import Path

    from standins.shard_server import ShardServer
    from tests.platform.serving import Answer, Caller, Deployment

ONE_PATHS = ("/one/x", "/once/x")  # idempotent and not


def check_merged(answer: Answer, deployed: Deployment, path: str, request_id: str) -> int:
    """Check that a merged answer matches its parts; return the number of missing parts."""
    assert answer.status == 200
    signatures = [item.strip() for item in answer.headers["part-stamps"].split(",")]
    missing = int(answer.headers["missing-parts"])
    assert len(signatures) + missing == SHARDS
    by_signature = {
        server.signature(request_id): server for server in deployed.servers_by_id.values()
    }
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
    """Guards against an instance that serves no requests at all."""

    async def scenario() -> None:
        async with deployment(tmp_path) as deployed:
            caller = await deployed.caller()
            answer = await caller.ask("/search/q", request_id="r1")
            assert check_merged(answer, deployed, "/search/q", "r1") == 0
            answer = await caller.ask("/one/x?y=1", request_id="r2")
            assert answer.headers["request-id"] == "r2"
            assert answer.body == deployed.servers_of("a")[0].records("/one/x?y=1")
            answer = await caller.ask("/once/x", method="POST", request_id="r3", body=b"b" * 300)
            assert answer.status == 200
            ran = [server.paths_by_request.get("r3") for server in deployed.servers_of("a")]
            assert sorted(map(str, ran)) == ["None", "POST /once/x"]

    asyncio.run(scenario())


def test_answers_that_arrive_while_the_instance_is_paused_are_used(tmp_path: Path) -> None:
    """Guards against parts left out because the target passed while the process was paused."""
    answered: list[str] = []

    def pause_after_last_answer(server: ShardServer) -> None:
        original_answer = server._answer

        async def answer(
            writer: asyncio.StreamWriter, request_id: str, path: str, behaviour: str
        ) -> bool:
            keeps_connection = await original_answer(writer, request_id, path, behaviour)
            answered.append(request_id)
            if answered.count("paused") == SHARDS:
                # All answers have been sent, and the instance has read none of them.
                time.sleep(0.3)
            return keeps_connection

        server._answer = answer  # type: ignore[method-assign]

    async def scenario() -> None:
        async with deployment(tmp_path) as deployed:
            for server in deployed.servers_by_id.values():
                pause_after_last_answer(server)
            caller = await deployed.caller()
            await caller.ask("/search/q", request_id="first")
            answer = await caller.ask("/search/q", request_id="paused")
            assert check_merged(answer, deployed, "/search/q", "paused") == 0

    asyncio.run(scenario())


def test_unrouted_requests_get_404_and_oversized_ones_413(tmp_path: Path) -> None:
    """Guards against requests that reach a server without a route."""

    async def scenario() -> None:
        async with deployment(tmp_path) as deployed:
            caller = await deployed.caller()
            assert (await caller.ask("/other/x")).status == 404
            assert (await caller.ask("/search/x", host="other.example")).status == 404
            answer = await caller.ask("/once/x", method="POST", body=b"b" * 20_000)
            assert answer.status == 413
            assert sum(sum(server.ran.values()) for server in deployed.servers_by_id.values()) == 0

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "behaviour",
    ["truncate", "extra", "late_extra", "foreign_first", "unframed", "unframed_reset", "lost"]
    + ["garbage", "encoded", "unsigned", "close", "shed", "error", "slow"]
    + ["error_408", "error_429", "error_503"],
)
def test_invalid_answers_never_reach_a_caller(tmp_path: Path, behaviour: str) -> None:
    """Guards against answers that are not what they seem: foreign, cut, unsigned, or run after all."""

    async def scenario() -> None:
        async with deployment(tmp_path) as deployed:
            for server in deployed.servers_by_id.values():
                server.behaviour, server.share = behaviour, 0.3
            callers = [await deployed.caller() for _ in range(4)]

            async def search(index: int, number: int) -> int:
                path, request_id = f"/search/{index}.{number}", f"r{index}.{number}"
                answer = await callers[index].ask(path, request_id=request_id)
                if answer.status == 503:
                    # Callers honour Retry-After and retry once.
                    await asyncio.sleep(float(answer.headers["retry-after"]))
                    request_id += "again"
                    answer = await callers[index].ask(path, request_id=request_id)
                if answer.status != 200:
                    assert answer.status in (502, 503, 504)
                    return 0
                check_merged(answer, deployed, path, request_id)
                return 1

            async def post(index: int, number: int) -> int:
                path, request_id = f"/once/{index}.{number}", f"p{index}.{number}"
                answer = await callers[index].ask(path, method="POST", request_id=request_id)
                runs = sum(server.ran[request_id] for server in deployed.servers_by_id.values())
                assert runs <= 1
                if answer.status == 200:
                    signatures = [
                        server.signature(request_id) for server in deployed.servers_of("a")
                    ]
                    assert answer.headers["server-stamp"] in signatures
                    assert answer.body == deployed.servers_of("a")[0].records(path)
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

    asyncio.run(scenario())


def test_requests_of_a_planned_stop_are_answered(tmp_path: Path) -> None:
    """Guards against requests that are read late or pipelined and get no answer in a stop."""

    async def scenario() -> None:
        document = configuration()
        document["limits"]["headerTimeoutMs"] = 4_000
        async with deployment(tmp_path, grace_s=4, document=document) as deployed:
            late_at_s = (0.5, 1.5, 2.5, 2.9, 3.3, 3.6)
            late = [(await deployed.caller(), at, path) for at in late_at_s for path in ONE_PATHS]
            pipelined = await deployed.caller()
            for server in deployed.servers_of("a"):
                server.work_ms = 100
            for number in range(3):
                pipelined.write("/one/x", request_id=f"p{number}")
            loop = asyncio.get_running_loop()
            stopped_at = loop.time()
            deployed.instance.shell.dispatch(ShutdownRequested(deployed.instance.clock.now_ms()))
            assert [(await pipelined.read()).status for _ in range(3)] == [200] * 3

            async def send_slowly(caller: Caller, at_s: float, path: str) -> int:
                """Send half of the head at once, so that the connection is in use."""
                request_id = f"{path}{at_s}"
                head = f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {request_id}\r\n"
                caller.writer.write(head.encode())
                await asyncio.sleep(stopped_at + at_s - loop.time())
                caller.writer.write(b"Deadline-Ms: 9000\r\nContent-Length: 3\r\n\r\njob")
                answer = await asyncio.wait_for(caller.read(), 5)
                runs = sum(server.ran[request_id] for server in deployed.servers_of("a"))
                assert runs == 0 if answer.status == 503 else runs <= 1
                return answer.status

            statuses = await asyncio.gather(*(send_slowly(*item) for item in late))
            assert set(statuses) == {200, 503}
            assert statuses[: 2 * len(ONE_PATHS)] == [200] * 2 * len(ONE_PATHS)

    asyncio.run(scenario())


def test_configuration_changes_and_leaving_servers_are_applied(tmp_path: Path) -> None:
    """Guards against a configuration or a server that is used after it was replaced or removed."""

    async def scenario() -> None:
        async with deployment(tmp_path) as deployed:
            caller = await deployed.caller()
            first, second = deployed.servers_of("a")
            first.draining = True
            deployed.publish(first)
            new = configuration(2)
            new["routes"] = [route for route in new["routes"] if route["name"] != "search"]
            deployed.store.write("op/config", encode_value(new))
            await asyncio.sleep(1.2)
            assert (await caller.ask("/search/x")).status == 404
            for number in range(10):
                answer = await caller.ask("/one/x", request_id=f"d{number}")
                assert answer.headers["server-stamp"].startswith(f"{second.id}.")
            deployed.store.write(f"servers/{second.id}", None)
            deployed.store.write(f"servers/{first.id}", None)
            await asyncio.sleep(3.4)
            answer = await caller.ask("/one/x")
            assert answer.status == 503
            assert float(answer.headers["retry-after"]) > 0

    asyncio.run(scenario())


def test_unreadable_entries_and_configurations_change_nothing(tmp_path: Path) -> None:
    """Guards against writers that put invalid values into the store."""

    async def scenario() -> None:
        async with deployment(tmp_path) as deployed:
            caller = await deployed.caller()
            values: list[object] = [None, 5, [], {"service": 3}, {"service": "a", "address": "x"}]
            good = deployed.servers_of("a")[0].entry()
            values += [{**good, "state": "unknown"}, {**good, "slots": "3"}, {**good, "born": 1.5}]
            for index, value in enumerate(values):
                deployed.store.write(f"servers/forged-{index}", encode_value(value))
            deployed.store.write("servers/forged-x", b"\xff\xfe not text")
            deployed.store.write("op/config", b"{")
            await asyncio.sleep(1.2)
            for _ in range(8):
                assert (await caller.ask("/one/x")).status == 200
            assert len(deployed.instance.shell.state.servers_by_id) == len(deployed.servers_by_id)

    asyncio.run(scenario())


@pytest.mark.parametrize("mode", ["busy", "silent", "reset"])
def test_service_continues_while_the_store_is_unavailable(tmp_path: Path, mode: str) -> None:
    """Guards against a store outage that stops or delays callers, and against slow recovery."""

    async def scenario() -> None:
        async with deployment(tmp_path) as deployed:
            caller = await deployed.caller()
            deployed.store.mode = mode
            deployed.store.compact_history()
            await asyncio.sleep(1.5)
            assert (await caller.ask("/search/x")).status == 200
            deployed.store.write("op/config", encode_value(configuration(2, routes=[])))
            deployed.store.mode = "ok"
            async with asyncio.timeout(3):
                while (await caller.ask("/search/x")).status != 404:
                    await asyncio.sleep(0.05)

    asyncio.run(scenario())


def test_request_that_crashes_servers_is_refused_after_the_third_crash(tmp_path: Path) -> None:
    """Guards against crashes that go undetected because nothing else is sent to the server."""

    async def scenario() -> None:
        async with deployment(tmp_path) as deployed:
            for server in deployed.servers_of("a"):
                server.crashes_on = "/one/deadly"
            caller = await deployed.caller()
            statuses = []
            for _ in range(5):
                statuses.append((await caller.ask("/one/deadly")).status)
                await asyncio.sleep(0.8)
            assert statuses[-1] == 429
            assert sum(server.crashes for server in deployed.servers_of("a")) <= 4
            assert (await caller.ask("/one/x")).status == 200

    asyncio.run(scenario())


def test_leaving_or_paused_servers_get_no_requests(tmp_path: Path) -> None:
    """Guards against announcements in headers that do not reach the forwarding decisions."""

    async def scenario() -> None:
        async with deployment(tmp_path) as deployed:
            caller, other = await deployed.caller(), await deployed.caller()
            first, second = deployed.servers_of("a")
            first.behaviour, first.pause_s = "shed", 60.0
            for _ in range(4):
                # Two concurrent requests use both servers; sequential ones might use the same.
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

    asyncio.run(scenario())


def test_disconnect_of_a_caller_cancels_its_attempts(tmp_path: Path) -> None:
    """Guards against servers that work for disconnected callers."""

    async def scenario() -> None:
        async with deployment(tmp_path) as deployed:
            for server in deployed.servers_by_id.values():
                server.behaviour = "silent"
            caller = await deployed.caller()
            caller.write("/search/x")
            await asyncio.sleep(0.1)
            assert deployed.instance.shell.state.attempts_by_id
            caller.writer.close()
            await asyncio.sleep(0.4)
            assert deployed.instance.shell.state.attempts_by_id == {}
            assert deployed.instance.shell.state.requests_by_call == {}

    asyncio.run(scenario())


def test_pipelined_requests_are_answered_in_order(tmp_path: Path) -> None:
    """Guards against an answer to the wrong request of the same connection."""

    async def scenario() -> None:
        async with deployment(tmp_path) as deployed:
            caller = await deployed.caller()
            for number in range(12):
                caller.write(f"/one/{number}", request_id=f"n{number}")
            for number in range(12):
                answer = await asyncio.wait_for(caller.read(), 5)
                assert answer.headers["request-id"] == f"n{number}"

    asyncio.run(scenario())


def test_shutdown_answers_received_requests_and_closes_in_time(tmp_path: Path) -> None:
    """Guards against requests that a planned shutdown leaves without an answer."""

    async def scenario() -> None:
        async with deployment(tmp_path) as deployed:
            for server in deployed.servers_of("a"):
                server.work_ms = 400.0
            callers = [await deployed.caller() for _ in range(3)]
            idle = await deployed.caller()
            for index, caller in enumerate(callers):
                caller.write("/once/x", method="POST", request_id=f"t{index}")
            await asyncio.sleep(0.05)
            signal.raise_signal(signal.SIGTERM)
            await asyncio.sleep(0.05)
            assert await deployed.readiness() == 503
            answers = await asyncio.gather(*(caller.read() for caller in callers))
            assert [answer.status for answer in answers] == [200, 200, 200]
            assert all(answer.headers["connection"] == "close" for answer in answers)
            assert await asyncio.wait_for(idle.reader.read(), 4) == b""
            await asyncio.wait_for(deployed.running, 2)

    asyncio.run(scenario())


def test_settings_are_reloaded_on_sighup(tmp_path: Path) -> None:
    """Guards against an invalid change that stops an instance or takes effect."""

    async def scenario() -> None:
        async with deployment(tmp_path) as deployed:
            path = deployed.instance.path
            text = path.read_text()
            path.write_text(text.replace("budgetSlack = 1000", "budgetSlack = 500"))
            signal.raise_signal(signal.SIGHUP)
            await asyncio.sleep(0.05)
            assert deployed.instance.shell.state.settings.extra_slack == 500
            path.write_text(text.replace("budgetSlack = 1000", "budgetSlack = -1"))
            signal.raise_signal(signal.SIGHUP)
            await asyncio.sleep(0.05)
            assert deployed.instance.shell.state.settings.extra_slack == 500
            caller = await deployed.caller()
            assert (await caller.ask("/search/x")).status == 200

    asyncio.run(scenario())


def test_instance_that_starts_without_the_store_gets_all_documents_from_a_peer(
    tmp_path: Path,
) -> None:
    """Guards against instances that serve nothing when they start during a store outage."""

    async def scenario() -> None:
        async with deployment(tmp_path) as deployed:
            deployed.store.mode = "busy"
            async with second_instance(tmp_path, deployed) as caller:
                async with asyncio.timeout(5):
                    while (await caller.ask("/search/x", request_id="r1")).status != 200:
                        await asyncio.sleep(0.1)
                    answer = await caller.ask("/once/x", method="POST", request_id="r2")
                assert answer.status == 200
                first = deployed.instance.shell.state
                assert [peer.address for peer in first.peers_by_id.values()]

    asyncio.run(scenario())
