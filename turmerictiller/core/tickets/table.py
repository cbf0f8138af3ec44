"""Records of used tickets, and of calls that wait for their outcome."""

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
    """What is known of the request under a ticket."""

    UNUSED = "unused"  # refused before anything was sent; not bound to a body
    RUNNING = "running"
    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


ANSWER_NOT_KEPT = "answer_not_kept"
MAY_RUN = frozenset({RecordState.UNUSED, RecordState.NOT_RUN})


@dataclass(frozen=True, slots=True)
class RunRequest:
    """What a caller wants to run.

    :param service: service of the front; ``None`` for its first by name.
    """

    front: str
    service: str | None
    action: str
    body: dict[str, Any]

    def digest(self) -> str:
        """Return what is the same for every repeat of the request."""
        return digest([self.front, self.service, self.action, self.body])


@dataclass(frozen=True, slots=True)
class Waiter:
    """One call that waits for an outcome.

    :param id: ``forward_id`` of a call that a peer handed on, else ``call_id``.
    :param wire_id: names a forwarded call in every copy of its frame.
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
    """What a call is told of its request.

    :param outcome: ``done``, ``not_run`` or ``unknown``.
    :param retry_after_ms: when to come back; ``None`` when repeating can not help.
    """

    outcome: str
    answer: dict[str, Any] = field(default_factory=dict)
    reason: str = ""
    retry_after_ms: int | None = None


@dataclass(slots=True)
class Run:
    """A request that is being run."""

    request: RunRequest
    service: str
    deadline_at: Millis
    attempt_id: int = 0
    tried_server_ids: set[str] = field(default_factory=set)


@dataclass(slots=True)
class TicketRecord:
    """What the owner remembers of a used ticket.

    :param digest: of the request that the ticket is bound to; empty while unbound.
    :param answer: JSON of the upstream's answer; ``None`` when it is not kept.
    :param wire_ids: forwarded calls that were examined.
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
        """Return what a repeat is told."""
        if self.state is RecordState.DONE and self.answer is None:
            return Outcome("done", reason=ANSWER_NOT_KEPT)
        answer = orjson.loads(self.answer) if self.answer is not None else {}
        state = RecordState.NOT_RUN if self.state is RecordState.UNUSED else self.state
        return Outcome(state.value, answer, self.reason, self.retry_after_ms)


@dataclass(slots=True)
class TicketTable:
    """Records of used tickets by sequence number.

    :param forwards_by_call: deadlines of the calls that were handed on to other owners.
    :param answer_bytes: size of all answers kept.
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
        """Remove expired records; one that still runs stays, with all that expire after it."""
        while self._expiries and self._expiries[0][0] <= now:
            record = self.records_by_sequence[self._expiries[0][1]]
            if record.state is RecordState.RUNNING:
                return
            heapq.heappop(self._expiries)
            del self.records_by_sequence[record.sequence]
            self.answer_bytes -= len(record.answer or b"")

    def next_expiry(self) -> Millis | None:
        return self._expiries[0][0] if self._expiries else None

    def keep_answer(self, record: TicketRecord, answer: dict[str, Any], max_bytes: int) -> None:
        """Keep an answer for repeats unless the bound on all answers is reached.

        :raises TypeError: if the answer can not be written as JSON.
        """
        # Replies hold the answer one level deeper; what can not be written there is not kept.
        orjson.dumps([answer])
        raw = orjson.dumps(answer)
        if self.answer_bytes + len(raw) <= max_bytes:
            record.answer = raw
            self.answer_bytes += len(raw)

    def add_waiter(self, record: TicketRecord, waiter: Waiter) -> None:
        record.waiters.append(waiter)
        self.sequences_by_waiter[waiter.key] = record.sequence

    def remove_waiter(self, key: tuple[bool, int]) -> Waiter | None:
        """Remove and return a waiter, or return ``None`` if it waits no more."""
        sequence = self.sequences_by_waiter.pop(key, None)
        if sequence is None:
            return None
        record = self.records_by_sequence[sequence]
        waiter = next(waiter for waiter in record.waiters if waiter.key == key)
        record.waiters.remove(waiter)
        return waiter

    def take_waiters(self, record: TicketRecord) -> list[Waiter]:
        """Remove and return all waiters of a record."""
        waiters, record.waiters = record.waiters, []
        for waiter in waiters:
            del self.sequences_by_waiter[waiter.key]
        return waiters
