"""Requests that crash upstreams: suspicion, quarantine, and tests after a while.

A lost server puts blame on the requests that it was running. An answer from a server of the same
service takes the blame back, because a request that crashes upstreams is never answered.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from turmerictiller.effects import WriteLog

if TYPE_CHECKING:
    from turmerictiller.clock import Millis
    from turmerictiller.state import Attempt, ServerState, State

ONE_LOSS_MS = 100.0  # losses of one server within this time are one loss
BLAME_LIMIT = 1.5
MIN_LOST_SERVERS = 2
FIRST_QUARANTINE_MS = 30_000.0
LONGEST_QUARANTINE_MS = 3_600_000.0
FORGET_AFTER_MS = 7_200_000.0
# The instance that imposed a quarantine tests first; others wait this much longer.
FOREIGN_GRACE_MS = 60_000.0


@dataclass(slots=True)
class Suspect:
    """A fingerprint that may belong to a request that crashes upstreams.

    :param blame_by_service: blame since the last answer of the service.
    :param until: end of the quarantine; the past when there is none.
    :param tests_failed: tests after which a server was lost again.
    """

    fingerprint: str
    blame_by_service: dict[str, float] = field(default_factory=dict)
    server_ids: set[str] = field(default_factory=set)
    until: Millis = float("-inf")
    tests_failed: int = 0
    last_at: Millis = 0.0
    testing_call_id: int | None = None
    is_foreign: bool = False

    @property
    def blame(self) -> float:
        return sum(self.blame_by_service.values())


def on_server_lost(state: State, attempt: Attempt, server: ServerState) -> None:
    """Blame the requests that a lost server was running."""
    if state.now - server.lost_at <= ONE_LOSS_MS:
        return
    server.lost_at = state.now
    fingerprints = {attempt.fingerprint}
    for attempt_id in server.attempt_ids:
        fingerprints.add(state.attempts_by_id[attempt_id].fingerprint)
    for fingerprint in sorted(fingerprints):
        _blame(state, fingerprint, server, 1 / len(fingerprints), attempt.call_id)


def _blame(state: State, fingerprint: str, server: ServerState, blame: float, call_id: int) -> None:
    suspect = state.suspects_by_fingerprint.get(fingerprint)
    if suspect is None:
        _make_room(state)
        suspect = Suspect(fingerprint)
        state.suspects_by_fingerprint[fingerprint] = suspect
    suspect.last_at = state.now
    suspect.server_ids.add(server.id)
    before = suspect.blame_by_service.get(server.service, 0.0)
    suspect.blame_by_service[server.service] = before + blame
    if suspect.testing_call_id == call_id:
        suspect.testing_call_id = None
        suspect.tests_failed += 1
        _impose(state, suspect)
    elif state.now >= suspect.until and _is_condemned(suspect):
        _impose(state, suspect)


def _is_condemned(suspect: Suspect) -> bool:
    return suspect.blame >= BLAME_LIMIT and len(suspect.server_ids) >= MIN_LOST_SERVERS


def _impose(state: State, suspect: Suspect) -> None:
    length_ms = min(FIRST_QUARANTINE_MS * 2**suspect.tests_failed, LONGEST_QUARANTINE_MS)
    suspect.until = state.now + length_ms
    suspect.is_foreign = False
    state.quarantine_changed = True
    state.counters["quarantine.imposed"] += 1
    message = f"Request {suspect.fingerprint} is quarantined for {length_ms / 1000:g} s."
    state.out.append(WriteLog("quarantine", message, {"servers": len(suspect.server_ids)}))


def on_answered(state: State, attempt: Attempt) -> None:
    """Take back the blame that an answer disproves."""
    suspect = state.suspects_by_fingerprint.get(attempt.fingerprint)
    if suspect is None:
        return
    if suspect.testing_call_id == attempt.call_id:
        del state.suspects_by_fingerprint[attempt.fingerprint]
        state.counters["quarantine.lifted"] += 1
        return
    if suspect.is_foreign:
        return
    suspect.blame_by_service.pop(attempt.service, None)
    if not suspect.blame_by_service:
        del state.suspects_by_fingerprint[attempt.fingerprint]
    elif not _is_condemned(suspect):
        suspect.until = float("-inf")


def quarantined_for_ms(state: State, fingerprint: str) -> float | None:
    """Return how long a request stays in quarantine, or ``None`` if it is not."""
    suspect = state.suspects_by_fingerprint.get(fingerprint)
    if suspect is None or suspect.until == float("-inf"):
        return None
    until = suspect.until + (FOREIGN_GRACE_MS if suspect.is_foreign else 0.0)
    if state.now < until:
        return until - state.now
    return FIRST_QUARANTINE_MS if suspect.testing_call_id is not None else None


def begin_test(state: State, fingerprint: str, call_id: int) -> bool:
    """Return whether a search is the one test of a request whose quarantine has ended."""
    suspect = state.suspects_by_fingerprint.get(fingerprint)
    if suspect is None or suspect.until == float("-inf"):
        return False
    suspect.testing_call_id = call_id
    return True


def service_to_test(state: State, fingerprint: str) -> str | None:
    """Return the service that a test should call: the one with the most blame."""
    blame = state.suspects_by_fingerprint[fingerprint].blame_by_service
    return max(sorted(blame), key=blame.__getitem__) if blame else None


def end_test(state: State, fingerprint: str, call_id: int) -> None:
    """End a test that neither was answered nor lost a server."""
    suspect = state.suspects_by_fingerprint.get(fingerprint)
    if suspect is not None and suspect.testing_call_id == call_id:
        suspect.testing_call_id = None


def adopt(state: State, fingerprint: str, remaining_ms: float, tests_failed: int) -> None:
    """Take over a quarantine that a peer imposed."""
    remaining_ms = min(max(remaining_ms, 0.0), LONGEST_QUARANTINE_MS)
    until = state.now + remaining_ms
    suspect = state.suspects_by_fingerprint.get(fingerprint)
    if suspect is None:
        _make_room(state)
        suspect = Suspect(fingerprint, is_foreign=True)
        state.suspects_by_fingerprint[fingerprint] = suspect
    if until <= suspect.until:
        return
    if state.now >= suspect.until:
        suspect.is_foreign = True
    suspect.until = until
    suspect.last_at = state.now
    suspect.tests_failed = max(suspect.tests_failed, tests_failed)


def own_quarantines(state: State) -> list[Suspect]:
    """Return the quarantines that this instance imposed and that still last."""
    return [
        suspect
        for suspect in state.suspects_by_fingerprint.values()
        if not suspect.is_foreign and suspect.until > state.now
    ]


def forget_old(state: State) -> None:
    """Forget suspects that have not been seen for long."""
    old = [
        fingerprint
        for fingerprint, suspect in state.suspects_by_fingerprint.items()
        if state.now - suspect.last_at > FORGET_AFTER_MS and suspect.until < state.now
    ]
    for fingerprint in old:
        del state.suspects_by_fingerprint[fingerprint]


def _make_room(state: State) -> None:
    suspects = state.suspects_by_fingerprint
    if len(suspects) < state.settings.max_suspects:
        return
    # A quarantine in force is given up last, and the one that ends first before others.
    oldest = min(suspects.values(), key=lambda item: (max(item.until, state.now), item.last_at))
    del suspects[oldest.fingerprint]
