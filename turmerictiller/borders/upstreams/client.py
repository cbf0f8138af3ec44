"""HTTP client for upstream servers."""

from __future__ import annotations

import asyncio
import math
from contextlib import nullcontext
from typing import TYPE_CHECKING, Any

import aiohttp
import orjson

from turmerictiller.borders.upstreams.connection_pool import ConnectionPools
from turmerictiller.borders.upstreams.sockets import new_socket
from turmerictiller.core.events import (
    AttemptAnswered,
    AttemptFailed,
    Event,
    FailureKind,
    HealthFailed,
    HealthReported,
    Hit,
    RunAnswered,
    ShardMapSeen,
    UpstreamStatus,
)
from turmerictiller.util.http_bodies import read_body

if TYPE_CHECKING:
    from collections.abc import Callable
    from contextlib import AbstractAsyncContextManager

    from turmerictiller.clock import Clock
    from turmerictiller.config import Settings
    from turmerictiller.core.effects import (
        FetchShardMap,
        PollHealth,
        ResetConnections,
        SendRun,
        SendSearch,
    )

POLL_TIMEOUT_S = 1.0

FAILURE_BY_ERROR = {
    "shed": FailureKind.SHED,
    "draining": FailureKind.DRAINING,
    "snapshot_gone": FailureKind.SNAPSHOT_GONE,
}


class UpstreamClient:
    """Send requests to upstream servers and dispatch their outcomes as events."""

    def __init__(self, settings: Settings, clock: Clock, dispatch: Callable[[Event], None]) -> None:
        self._settings = settings
        self._clock = clock
        self._dispatch = dispatch
        self._tasks_by_attempt: dict[int, asyncio.Task[None]] = {}
        self._poll_tasks: set[asyncio.Task[None]] = set()
        self._pools = ConnectionPools()
        # Health polls, non-idempotent requests and searches that follow unanswered calls open a new
        # connection each, because a pooled one may be half-open.
        self._fresh_session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True, socket_factory=new_socket)
        )

    def send_search(self, effect: SendSearch) -> None:
        """Start a search attempt."""
        self._start_attempt(effect.attempt_id, self._post_search(effect))

    def send_run(self, effect: SendRun) -> None:
        """Start a non-idempotent request."""
        self._start_attempt(effect.attempt_id, self._post_run(effect))

    def cancel(self, attempt_id: int) -> None:
        """Cancel an attempt and close its connection."""
        task = self._tasks_by_attempt.pop(attempt_id, None)
        if task is not None:
            task.cancel()

    def poll_health(self, effect: PollHealth) -> None:
        """Poll the health status of a server."""
        self._start_poll(self._get_health(effect))

    def fetch_shard_map(self, effect: FetchShardMap) -> None:
        """Fetch a shard map from a server."""
        self._start_poll(self._get_shard_map(effect))

    def reset_connections(self, effect: ResetConnections) -> None:
        """Close the idle connections to a server."""
        self._pools.reset(effect.address)

    async def close(self) -> None:
        """Cancel all requests and close all connections."""
        tasks = [*self._tasks_by_attempt.values(), *self._poll_tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._pools.close()
        await self._fresh_session.close()

    def _start_attempt(self, attempt_id: int, request_coroutine: Any) -> None:
        task = asyncio.get_running_loop().create_task(request_coroutine)
        self._tasks_by_attempt[attempt_id] = task
        task.add_done_callback(lambda _: self._tasks_by_attempt.pop(attempt_id, None))

    def _start_poll(self, request_coroutine: Any) -> None:
        task = asyncio.get_running_loop().create_task(request_coroutine)
        self._poll_tasks.add(task)
        task.add_done_callback(self._poll_tasks.discard)

    async def _post_search(self, effect: SendSearch) -> None:
        request = {
            "id": effect.wire_id,
            "service": effect.service,
            "snapshot": effect.snapshot,
            "query": effect.query,
            "k": effect.k,
            "after": effect.after,
            "budget_ms": effect.budget_ms,
        }
        url = f"http://{effect.address}/search"
        async with self._session_for(effect) as session:
            event = await self._post_json(
                session, url, request, effect.attempt_id, effect.timeout_ms
            )
        if isinstance(event, AttemptFailed):
            self._dispatch(event)
            return
        self._dispatch(parse_search_answer(self._clock.now_ms(), effect.attempt_id, event))

    def _session_for(
        self, effect: SendSearch
    ) -> AbstractAsyncContextManager[aiohttp.ClientSession]:
        if effect.fresh:
            return nullcontext(self._fresh_session)
        return self._pools.session(effect.address)

    async def _post_run(self, effect: SendRun) -> None:
        request = {
            "id": effect.wire_id,
            "service": effect.service,
            "action": effect.action,
            "body": effect.body,
            "budget_ms": effect.budget_ms,
        }
        url = f"http://{effect.address}/run"
        # At most half of the request timeout, so that a retry on another server still has time.
        connect_timeout_ms = min(self._settings.run_connect_timeout_ms, effect.timeout_ms / 2)
        event = await self._post_json(
            self._fresh_session,
            url,
            request,
            effect.attempt_id,
            effect.timeout_ms,
            connect_timeout_ms,
        )
        if isinstance(event, AttemptFailed):
            self._dispatch(event)
            return
        answer = event.get("answer")
        self._dispatch(
            RunAnswered(
                self._clock.now_ms(),
                effect.attempt_id,
                answer if isinstance(answer, dict) else {},
                parse_status(event.get("status")),
            )
        )

    async def _post_json(
        self,
        session: aiohttp.ClientSession,
        url: str,
        request: dict[str, Any],
        attempt_id: int,
        timeout_ms: float,
        connect_timeout_ms: float | None = None,
    ) -> dict[str, Any] | AttemptFailed:
        timeout = aiohttp.ClientTimeout(
            total=max(timeout_ms, 1) / 1000,
            sock_connect=None if connect_timeout_ms is None else max(connect_timeout_ms, 1) / 1000,
        )
        try:
            # aiohttp never retries a POST itself, unlike a GET on a keep-alive connection.
            async with session.post(
                url,
                data=orjson.dumps(request),
                headers={"Content-Type": "application/json"},
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                body = await read_body(response, self._settings.max_answer_bytes)
                answer = orjson.loads(body)
                status = response.status
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            # Both are raised only while the connection is being opened, before any byte is written.
            return self._failure(attempt_id, FailureKind.UNSENT)
        except TimeoutError:
            return self._failure(attempt_id, FailureKind.TIMED_OUT)
        except (aiohttp.ClientError, ConnectionError):
            return self._failure(attempt_id, FailureKind.LOST)
        except ValueError:
            return self._failure(attempt_id, FailureKind.BAD_ANSWER)
        if not isinstance(answer, dict):
            return self._failure(attempt_id, FailureKind.BAD_ANSWER)
        if status != 200:
            return self._rejection(attempt_id, answer)
        return answer

    def _failure(self, attempt_id: int, kind: FailureKind) -> AttemptFailed:
        return AttemptFailed(self._clock.now_ms(), attempt_id, kind)

    def _rejection(self, attempt_id: int, answer: dict[str, Any]) -> AttemptFailed:
        kind = FAILURE_BY_ERROR.get(str(answer.get("error")), FailureKind.REJECTED)
        if kind in (FailureKind.SHED, FailureKind.DRAINING) and answer.get("ran") is not False:
            kind = FailureKind.REJECTED
        retry_after_ms = answer.get("retry_after_ms")
        return AttemptFailed(
            self._clock.now_ms(),
            attempt_id,
            kind,
            parse_status(answer.get("status")),
            float(retry_after_ms) if isinstance(retry_after_ms, int | float) else None,
        )

    async def _get_health(self, effect: PollHealth) -> None:
        answer = await self._get_json(f"http://{effect.address}/health")
        status = parse_status(answer)
        now = self._clock.now_ms()
        if status is None:
            self._dispatch(HealthFailed(now, effect.server_id))
        else:
            self._dispatch(HealthReported(now, effect.server_id, status))

    async def _get_shard_map(self, effect: FetchShardMap) -> None:
        answer = await self._get_json(f"http://{effect.address}/snapshots/{effect.snapshot}")
        shards = parse_shard_map(answer)
        if shards is not None:
            self._dispatch(
                ShardMapSeen(self._clock.now_ms(), effect.server_id, effect.snapshot, shards)
            )

    async def _get_json(self, url: str) -> Any:
        timeout = aiohttp.ClientTimeout(total=POLL_TIMEOUT_S)
        try:
            async with self._fresh_session.get(
                url, timeout=timeout, allow_redirects=False
            ) as response:
                if response.status != 200:
                    return None
                return orjson.loads(await read_body(response, self._settings.max_answer_bytes))
        except (aiohttp.ClientError, ConnectionError, TimeoutError, ValueError):
            return None


def parse_status(value: Any) -> UpstreamStatus | None:
    """Return the status in an upstream's response, or ``None`` if it is missing or malformed."""
    match value:
        case {
            "incarnation": str(incarnation),
            "draining": bool(draining),
            "snapshots": [*snapshots],
        } if all(isinstance(item, str) for item in snapshots):
            load = value.get("load", 0.0)
            age_ms = value.get("age_ms", 0.0)
            return UpstreamStatus(
                incarnation=incarnation,
                draining=draining,
                snapshots=tuple(snapshots),
                load=float(load) if isinstance(load, int | float) else 0.0,
                age_ms=float(age_ms) if isinstance(age_ms, int | float) else 0.0,
            )
    return None


def parse_shard_map(value: Any) -> dict[str, tuple[str, ...]] | None:
    """Return the shards by service in an upstream's response, or ``None`` if it is malformed."""
    if not isinstance(value, dict) or not isinstance(value.get("shards_by_service"), dict):
        return None
    shards_by_service = {}
    for name, shards in value["shards_by_service"].items():
        if not isinstance(shards, list) or not all(isinstance(item, str) for item in shards):
            return None
        shards_by_service[name] = tuple(shards)
    return shards_by_service


def _parse_score(value: Any) -> float:
    # NaN has no order, so each instance would rank such hits differently.
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        raise ValueError("score is not a finite number")
    return float(value)


def parse_search_answer(
    at: float, attempt_id: int, answer: dict[str, Any]
) -> AttemptAnswered | AttemptFailed:
    """Return the event for an upstream's response to a search."""
    try:
        hits = tuple(
            Hit(
                _parse_score(hit["score"]),
                str(hit["shard"]),
                str(hit["id"]),
                dict(hit.get("fields", {})),
            )
            for hit in answer["hits"]
        )
        return AttemptAnswered(
            at=at,
            attempt_id=attempt_id,
            snapshot=str(answer["snapshot"]),
            shards=tuple(str(shard) for shard in answer["shards"]),
            hits=hits,
            status=parse_status(answer.get("status")),
        )
    except (KeyError, TypeError, ValueError, AttributeError):
        return AttemptFailed(at, attempt_id, FailureKind.BAD_ANSWER)
