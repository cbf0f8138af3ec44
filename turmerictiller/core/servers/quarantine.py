"""Requests that crash upstreams: suspicion, quarantine, and tests after a while.

A lost server puts blame on the requests that it was running. Servers that are lost while the same
calls of a request run count once, because a rack takes down several servers at once; a call that was
sent after a loss and loses its server too counts again. An answer from a server of the same service
takes the blame back, because a request that crashes upstreams is never answered.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from turmerictiller.core.effects import WriteLog
from turmerictiller.core.servers.suspects import Loss, Suspect

if TYPE_CHECKING:
    from turmerictiller.core.state import Attempt, ServerState, State

ONE_LOSS_MS = 100.0  # losses of one server within this time are one loss
BLAME_LIMIT = 1.5
MAX_LOST_SERVERS = 16  # names of lost servers that are kept for operators
MAX_LOSSES = 8  # the oldest loss of a suspect is forgotten
FIRST_QUARANTINE_MS = 30_000.0
LONGEST_QUARANTINE_MS = 3_600_000.0
FORGET_AFTER_MS = 7_200_000.0
# The instance that imposed a quarantine tests first; others wait this much longer.
FOREIGN_GRACE_MS = 60_000.0


def on_server_lost(state: State, attempt: Attempt, server: ServerState) -> None:
    """Blame the requests that a lost server was running."""
    if state.now - server.lost_at <= ONE_LOSS_MS:
        return
    server.lost_at = state.now
    running = {attempt.fingerprint: attempt}
    for attempt_id in server.attempt_ids:
        other = state.attempts_by_id[attempt_id]
        running.setdefault(other.fingerprint, other)
    for _, blamed in sorted(running.items()):
        _blame(state, blamed, server, 1 / len(running))


def _blame(state: State, attempt: Attempt, server: ServerState, blame: float) -> None:
    fingerprint = attempt.fingerprint
    suspect = state.suspects_by_fingerprint.get(fingerprint)
    if suspect is None:
        _make_room(state)
        suspect = Suspect(fingerprint)
        state.suspects_by_fingerprint[fingerprint] = suspect
    suspect.last_at = state.now
    if len(suspect.server_ids) < MAX_LOST_SERVERS:
        suspect.server_ids.add(server.id)
    _add_loss(state, suspect, attempt, blame)
    if suspect.testing_call_id == attempt.call_id:
        suspect.testing_call_id = None
        suspect.tests_failed += 1
        _impose(state, suspect)
    elif state.now >= suspect.until and _is_condemned(suspect):
        _impose(state, suspect)


def _add_loss(state: State, suspect: Suspect, attempt: Attempt, blame: float) -> None:
    last = suspect.losses[-1] if suspect.losses else None
    if last is not None and attempt.id < last.next_attempt_id:
        last.shares[attempt.service] = max(blame, last.shares.get(attempt.service, 0.0))
        last.services.add(attempt.service)
        return
    search = state.searches_by_id.get(attempt.call_id)
    parts = len(search.parts_by_service) if search else 1
    loss = Loss(state.next_attempt_id, parts, {attempt.service: blame}, {attempt.service})
    suspect.losses.append(loss)
    del suspect.losses[:-MAX_LOSSES]


def _is_condemned(suspect: Suspect) -> bool:
    return suspect.blame >= BLAME_LIMIT


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
    for loss in suspect.losses:
        loss.services.discard(attempt.service)
    suspect.losses = [loss for loss in suspect.losses if loss.services]
    if not suspect.losses:
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
    """Return the service that a test should call: one of those that lost a server last."""
    losses = state.suspects_by_fingerprint[fingerprint].losses
    return min(losses[-1].services) if losses else None


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
