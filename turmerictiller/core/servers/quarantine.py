"""Quarantine of requests that crash upstreams, and tests of them after their quarantine.

When a server is lost, the requests that it was running are blamed. Servers that are lost while the
same calls of a request are outstanding count as one loss, because a rack failure takes down several
servers at once. A call that was sent after a loss and loses its server too counts as another loss.
An answer from a server of the same service withdraws the blame, because a request that crashes
upstreams is never answered.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from turmerictiller.core.effects import WriteLog
from turmerictiller.core.servers.suspects import Loss, Suspect

if TYPE_CHECKING:
    from turmerictiller.core.state import Attempt, ServerState, State

LOSS_WINDOW_MS = 100.0  # lost calls of one server within this time count as one loss
BLAME_LIMIT = 1.5
MAX_LOST_SERVERS = 16  # lost servers recorded per suspect, to show to operators
MAX_LOSSES = 8  # per suspect; the oldest one is dropped
INITIAL_QUARANTINE_MS = 30_000.0
MAX_QUARANTINE_MS = 3_600_000.0
SUSPECT_TTL_MS = 7_200_000.0
# Added to the quarantines of peers, so that the instance that imposed one tests the request first.
PEER_QUARANTINE_GRACE_MS = 60_000.0


def on_server_lost(state: State, attempt: Attempt, server: ServerState) -> None:
    """Divide the blame for a lost server equally among the requests that it was running."""
    if state.now - server.lost_at <= LOSS_WINDOW_MS:
        return
    server.lost_at = state.now
    attempts_by_fingerprint = {attempt.fingerprint: attempt}
    for attempt_id in server.attempt_ids:
        other = state.attempts_by_id[attempt_id]
        attempts_by_fingerprint.setdefault(other.fingerprint, other)
    for _, blamed_attempt in sorted(attempts_by_fingerprint.items()):
        _assign_blame(state, blamed_attempt, server, 1 / len(attempts_by_fingerprint))


def _assign_blame(state: State, attempt: Attempt, server: ServerState, blame: float) -> None:
    fingerprint = attempt.fingerprint
    suspect = state.suspects_by_fingerprint.get(fingerprint)
    if suspect is None:
        _evict_suspect_if_full(state)
        suspect = Suspect(fingerprint)
        state.suspects_by_fingerprint[fingerprint] = suspect
    suspect.last_at = state.now
    if len(suspect.server_ids) < MAX_LOST_SERVERS:
        suspect.server_ids.add(server.id)
    _record_loss(state, suspect, attempt, blame)
    if suspect.testing_call_id == attempt.call_id:
        suspect.testing_call_id = None
        suspect.tests_failed += 1
        _impose_quarantine(state, suspect)
    elif state.now >= suspect.until and _reaches_blame_limit(suspect):
        _impose_quarantine(state, suspect)


def _record_loss(state: State, suspect: Suspect, attempt: Attempt, blame: float) -> None:
    last_loss = suspect.losses[-1] if suspect.losses else None
    if last_loss is not None and attempt.id < last_loss.next_attempt_id:
        last_loss.shares[attempt.service] = max(blame, last_loss.shares.get(attempt.service, 0.0))
        last_loss.services.add(attempt.service)
        return
    search = state.searches_by_id.get(attempt.call_id)
    part_count = len(search.parts_by_service) if search else 1
    loss = Loss(state.next_attempt_id, part_count, {attempt.service: blame}, {attempt.service})
    suspect.losses.append(loss)
    del suspect.losses[:-MAX_LOSSES]


def _reaches_blame_limit(suspect: Suspect) -> bool:
    return suspect.blame >= BLAME_LIMIT


def _impose_quarantine(state: State, suspect: Suspect) -> None:
    duration_ms = min(INITIAL_QUARANTINE_MS * 2**suspect.tests_failed, MAX_QUARANTINE_MS)
    suspect.until = state.now + duration_ms
    suspect.is_foreign = False
    state.quarantine_changed = True
    state.counters["quarantine.imposed"] += 1
    message = f"Request {suspect.fingerprint} is quarantined for {duration_ms / 1000:g} s."
    state.out.append(WriteLog("quarantine", message, {"servers": len(suspect.server_ids)}))


def withdraw_blame(state: State, attempt: Attempt) -> None:
    """Withdraw the blame of a request for losses at the service that has answered it.

    An answer to the test of a request lifts its quarantine.
    """
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
    elif not _reaches_blame_limit(suspect):
        suspect.until = float("-inf")


def remaining_quarantine_ms(state: State, fingerprint: str) -> float | None:
    """Return the remaining quarantine of a request in ms, or ``None`` if it is not quarantined.

    While a request is tested, all other calls of it are still treated as quarantined.
    """
    suspect = state.suspects_by_fingerprint.get(fingerprint)
    if suspect is None or suspect.until == float("-inf"):
        return None
    until = suspect.until + (PEER_QUARANTINE_GRACE_MS if suspect.is_foreign else 0.0)
    if state.now < until:
        return until - state.now
    return INITIAL_QUARANTINE_MS if suspect.testing_call_id is not None else None


def begin_test(state: State, fingerprint: str, call_id: int) -> bool:
    """Make a search the test of its request if a quarantine was imposed on the request.

    A quarantine that was withdrawn does not count. Return whether the search is the test.
    """
    suspect = state.suspects_by_fingerprint.get(fingerprint)
    if suspect is None or suspect.until == float("-inf"):
        return False
    suspect.testing_call_id = call_id
    return True


def service_to_test(state: State, fingerprint: str) -> str | None:
    """Return the service that a test should call: one that lost a server in the last loss."""
    losses = state.suspects_by_fingerprint[fingerprint].losses
    return min(losses[-1].services) if losses else None


def end_test(state: State, fingerprint: str, call_id: int) -> None:
    """End a test without a result: it was neither answered nor lost a server."""
    suspect = state.suspects_by_fingerprint.get(fingerprint)
    if suspect is not None and suspect.testing_call_id == call_id:
        suspect.testing_call_id = None


def merge_quarantine(
    state: State, fingerprint: str, remaining_ms: float, tests_failed: int
) -> None:
    """Merge a quarantine that a peer imposed, if it ends later than the local one."""
    remaining_ms = min(max(remaining_ms, 0.0), MAX_QUARANTINE_MS)
    until = state.now + remaining_ms
    suspect = state.suspects_by_fingerprint.get(fingerprint)
    if suspect is None:
        _evict_suspect_if_full(state)
        suspect = Suspect(fingerprint, is_foreign=True)
        state.suspects_by_fingerprint[fingerprint] = suspect
    if until <= suspect.until:
        return
    if state.now >= suspect.until:
        suspect.is_foreign = True
    suspect.until = until
    suspect.last_at = state.now
    suspect.tests_failed = max(suspect.tests_failed, tests_failed)


def local_quarantines(state: State) -> list[Suspect]:
    """Return the suspects whose quarantine was imposed by this instance and is in force."""
    return [
        suspect
        for suspect in state.suspects_by_fingerprint.values()
        if not suspect.is_foreign and suspect.until > state.now
    ]


def evict_expired_suspects(state: State) -> None:
    """Evict suspects that were not seen for ``SUSPECT_TTL_MS`` and are not quarantined."""
    expired = [
        fingerprint
        for fingerprint, suspect in state.suspects_by_fingerprint.items()
        if state.now - suspect.last_at > SUSPECT_TTL_MS and suspect.until < state.now
    ]
    for fingerprint in expired:
        del state.suspects_by_fingerprint[fingerprint]


def _evict_suspect_if_full(state: State) -> None:
    suspects = state.suspects_by_fingerprint
    if len(suspects) < state.settings.max_suspects:
        return
    # Suspects without a quarantine in force are evicted first, then the quarantine that ends first.
    victim = min(suspects.values(), key=lambda item: (max(item.until, state.now), item.last_at))
    del suspects[victim.fingerprint]
