"""Table of used tickets and of the calls that wait for their outcome."""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING, Any

import orjson

from turmerictiller.util.canonical import digest

if TYPE_CHECKING:
    from turmerictiller.clock import Millis


class RecordState(Enum):
    """Execution state of the request that a ticket is bound to."""

    UNUSED = "unused"  # refused before anything was sent; not bound to a request yet
    RUNNING = "running"
    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


ANSWER_NOT_KEPT = "answer_not_kept"
RUNNABLE_STATES = frozenset({RecordState.UNUSED, RecordState.NOT_RUN})


@dataclass(frozen=True, slots=True)
class RunRequest:
    """A request for an action of a front.

    :param service: service of the front; ``None`` for the first in name order.
    """

    front: str
    service: str | None
    action: str
    body: dict[str, Any]

    def digest(self) -> str:
        """Return the fingerprint of the request, which is equal for every retry."""
        return digest([self.front, self.service, self.action, self.body])


@dataclass(frozen=True, slots=True)
class Waiter:
    """A call that waits for an outcome.

    :param id: ``forward_id`` of a call that a peer forwarded, else ``call_id``.
    :param wire_id: identifier of a forwarded call, equal in every copy of its frame.
    """

    id: int
    is_forward: bool
    deadline_at: Millis
    wire_id: str = ""

    @property
    def key(self) -> tuple[bool, int]:
        return self.is_forward, self.id


@dataclass(frozen=True, slots=True)
class Outcome:
    """The outcome of a request as reported to a call.

    :param outcome: ``done``, ``not_run`` or ``unknown``.
    :param retry_after_ms: delay before a retry; ``None`` if a retry cannot succeed.
    """

    outcome: str
    answer: dict[str, Any] = field(default_factory=dict)
    reason: str = ""
    retry_after_ms: int | None = None


@dataclass(slots=True)
class Run:
    """An execution of a request that is in flight."""

    request: RunRequest
    service: str
    deadline_at: Millis
    attempt_id: int = 0
    tried_server_ids: set[str] = field(default_factory=set)


@dataclass(slots=True)
class TicketRecord:
    """The owner's record of a used ticket.

    :param digest: digest of the request that the ticket is bound to; empty while unbound.
    :param answer: JSON of the upstream's answer; ``None`` if it is not stored.
    :param wire_ids: identifiers of the forwarded calls that were processed.
    """

    sequence: int
    expires_at: Millis
    state: RecordState = RecordState.UNUSED
    digest: str = ""
    answer: bytes | None = None
    reason: str = ""
    retry_after_ms: int | None = None
    run: Run | None = None
    waiters: list[Waiter] = field(default_factory=list)
    wire_ids: set[str] = field(default_factory=set)

    def outcome(self) -> Outcome:
        """Return the outcome to report to a retry."""
        if self.state is RecordState.DONE and self.answer is None:
            return Outcome("done", reason=ANSWER_NOT_KEPT)
        answer = orjson.loads(self.answer) if self.answer is not None else {}
        state = RecordState.NOT_RUN if self.state is RecordState.UNUSED else self.state
        return Outcome(state.value, answer, self.reason, self.retry_after_ms)


@dataclass(slots=True)
class TicketTable:
    """Records of used tickets by sequence number.

    :param forwards_by_call: deadlines of the calls that were forwarded to other owners.
    :param answer_bytes: total size of the stored answers.
    """

    next_sequence: int = 1
    records_by_sequence: dict[int, TicketRecord] = field(default_factory=dict)
    sequences_by_waiter: dict[tuple[bool, int], int] = field(default_factory=dict)
    forwards_by_call: dict[int, Millis] = field(default_factory=dict)
    running: int = 0
    answer_bytes: int = 0
    _expiries: list[tuple[Millis, int]] = field(default_factory=list)

    def add(self, sequence: int, expires_at: Millis) -> TicketRecord:
        record = TicketRecord(sequence, expires_at)
        self.records_by_sequence[sequence] = record
        heapq.heappush(self._expiries, (expires_at, sequence))
        return record

    def evict_expired(self, now: Millis) -> None:
        """Remove expired records up to the first one whose request is still running."""
        while self._expiries and self._expiries[0][0] <= now:
            record = self.records_by_sequence[self._expiries[0][1]]
            if record.state is RecordState.RUNNING:
                return
            heapq.heappop(self._expiries)
            del self.records_by_sequence[record.sequence]
            self.answer_bytes -= len(record.answer or b"")

    def next_expires_at(self) -> Millis | None:
        return self._expiries[0][0] if self._expiries else None

    def store_answer(self, record: TicketRecord, answer: dict[str, Any], max_bytes: int) -> None:
        """Store an answer for retries unless the stored answers would exceed ``max_bytes``.

        :raises TypeError: if the answer cannot be serialized as JSON.
        """
        # Replies nest the answer one level deeper; reject one that cannot be serialized there.
        orjson.dumps([answer])
        raw = orjson.dumps(answer)
        if self.answer_bytes + len(raw) <= max_bytes:
            record.answer = raw
            self.answer_bytes += len(raw)

    def add_waiter(self, record: TicketRecord, waiter: Waiter) -> None:
        record.waiters.append(waiter)
        self.sequences_by_waiter[waiter.key] = record.sequence

    def remove_waiter(self, key: tuple[bool, int]) -> Waiter | None:
        """Remove and return a waiter, or return ``None`` if it is no longer waiting."""
        sequence = self.sequences_by_waiter.pop(key, None)
        if sequence is None:
            return None
        record = self.records_by_sequence[sequence]
        waiter = next(waiter for waiter in record.waiters if waiter.key == key)
        record.waiters.remove(waiter)
        return waiter

    def pop_waiters(self, record: TicketRecord) -> list[Waiter]:
        """Remove and return all waiters of a record."""
        waiters, record.waiters = record.waiters, []
        for waiter in waiters:
            del self.sequences_by_waiter[waiter.key]
        return waiters
