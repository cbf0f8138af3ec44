"""Requests that crash servers.

A server that breaks off an attempt and then refuses connections has crashed. A connection is opened at
once to find out, because an instance that has just lost an attempt prefers other servers and may not ask
this one again for seconds. Each request that the server was working on is suspected. An answer to the same
request at any instance, or to another part of it, shows that it does not crash servers.

Instances add up what all have seen: each passes on the numbers of the others under the incarnation that
counted them, so that none counts twice. A request is refused from the third crash on, at first for a short
time, and longer each time that it crashes a server again.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from turmerictiller.forwarding.effects import LogDecision, ProbeConnection
from turmerictiller.forwarding.events import Failure
from turmerictiller.forwarding.peer_model import CrashReport
from turmerictiller.forwarding.server_selection import observe_failure
from turmerictiller.forwarding.state import CrashCount, InterruptedAttempt, Suspect, TimerKind

if TYPE_CHECKING:
    from turmerictiller.clock import Millis
    from turmerictiller.forwarding.events import ConnectionProbed
    from turmerictiller.forwarding.peer_model import GossipMessage
    from turmerictiller.forwarding.state import Attempt, Request, ServerState, State

CRASH_WINDOW_MS = 2_000.0  # a server that crashed is back after some seconds
MAX_INTERRUPTED_ATTEMPTS = 16  # broken attempts that are remembered per server
CRASHES_TO_QUARANTINE = 3
# A crash breaks off all that its server runs, and three of them without an answer are seldom chance.
QUARANTINE_MS = 120_000.0
# A request that still crashes servers when it is let through again is refused for so many times as long
# as it has been known.
QUARANTINE_FACTOR = 2.0
# Longer than callers repeat a request that is never answered, so that one more crash is enough.
SUSPECT_TTL_MS = 600_000.0
MAX_SUSPECTS = 256
# Ages do not count the time on the way, so a number looks younger at each instance it passes.
SAME_REPORT_MS = 500.0
MIN_URGENT_GOSSIP_INTERVAL_MS = 250.0  # at least, between questions because of news
MAX_CRASH_REPORTS = 64  # numbers that are told in an exchange
# Numbers too low to refuse a request are told for so long; most servers that crash do so for other reasons.
TOLD_MS = 30_000.0
# From the second crash on, news of others are passed on at once: the third must be the last.
CRASHES_TO_PASS_ON = 2


def on_attempt_interrupted(
    state: State, server: ServerState, attempt: Attempt, request: Request | None
) -> None:
    """Remember an attempt that its server broke off, and find out whether the server crashed."""
    if attempt.is_crash_ruled_out or (request is not None and request.answered_parts):
        return
    request_id = request.request_id if request is not None else ""
    server.interrupted_attempts.append(
        InterruptedAttempt(state.now, attempt.fingerprint, request_id)
    )
    del server.interrupted_attempts[:-MAX_INTERRUPTED_ATTEMPTS]
    _probe(state, server)


def _probe(state: State, server: ServerState) -> None:
    if server.probed_at is None:
        server.probed_at = state.now
        state.out.append(ProbeConnection(server.entry.id, server.entry.address))


def on_connection_probed(state: State, event: ConnectionProbed) -> None:
    """Take in whether a server that broke off attempts accepts connections."""
    server = state.servers_by_id.get(event.server_id)
    if server is None or server.probed_at is None:
        return
    probed_at, server.probed_at = server.probed_at, None
    if event.failure is Failure.REFUSED:
        observe_failure(state, server, event.failure.value, unreachable=True)
        on_connection_refused(state, server)
        return
    state.counters["crashes.ruled_out"] += 1
    server.interrupted_attempts = [
        broken for broken in server.interrupted_attempts if broken.at > probed_at
    ]
    if server.interrupted_attempts:
        _probe(state, server)


def on_connection_refused(state: State, server: ServerState) -> None:
    """Suspect the requests that a server broke off shortly before it refuses connections."""
    broken, server.interrupted_attempts = server.interrupted_attempts, []
    since = state.now - CRASH_WINDOW_MS
    # One crash counts once for a request, however many callers had sent it to the server.
    by_fingerprint = {item.fingerprint: item for item in broken if item.at >= since}
    for item in by_fingerprint.values():
        _suspect(state, item, server)


def _suspect(state: State, broken: InterruptedAttempt, server: ServerState) -> None:
    state.counters["crashes.confirmed"] += 1
    suspect = _suspect_of(state, broken.fingerprint, state.now)
    before = suspect.crashes
    own = suspect.counts_by_origin.setdefault(state.own_incarnation, CrashCount(0, state.now))
    own.crashes = own.crashes + 1 if own.changed_at > suspect.answered_at else 1
    own.changed_at = state.now
    schedule_urgent_gossip(state)
    fields = {
        "request": broken.request_id,
        "fingerprint": f"{broken.fingerprint:x}",
        "server": server.entry.id,
        "crashes_seen_here": own.crashes,
        "crashes_known": suspect.crashes,
    }
    state.out.append(LogDecision("request_suspected", fields, urgent=True))
    _log_quarantine(state, broken.fingerprint, suspect, before)


def _suspect_of(state: State, fingerprint: int, known_at: Millis) -> Suspect:
    suspect = state.suspects_by_fingerprint.get(fingerprint)
    if suspect is None:
        if len(state.suspects_by_fingerprint) >= MAX_SUSPECTS:
            del state.suspects_by_fingerprint[next(iter(state.suspects_by_fingerprint))]
        suspect = state.suspects_by_fingerprint[fingerprint] = Suspect(known_at)
    suspect.first_at = min(suspect.first_at, known_at)
    return suspect


def _log_quarantine(state: State, fingerprint: int, suspect: Suspect, before: int) -> None:
    if before < CRASHES_TO_QUARANTINE <= suspect.crashes:
        fields = {
            "fingerprint": f"{fingerprint:x}",
            "crashes_known": suspect.crashes,
            "instances": sum(1 for count in suspect.counts_by_origin.values() if count.crashes),
            "ms": round(quarantined_ms(state, fingerprint)),
        }
        state.out.append(LogDecision("request_quarantined", fields, urgent=True))


def on_request_answered(state: State, fingerprint: int) -> None:
    """Take back the suspicion that an answer disproves, whoever had it; others are told at once.

    A frequent request is answered while it is refused already, because some were sent before.
    """
    suspect = state.suspects_by_fingerprint.get(fingerprint)
    if suspect is None:
        return
    if suspect.crashes:
        suspect.answered_at = state.now
        suspect.counts_by_origin[state.own_incarnation] = CrashCount(0, state.now)
        schedule_urgent_gossip(state)


def quarantined_ms(state: State, fingerprint: int) -> float:
    """Return for how long a request is still refused; 0 if it is not."""
    suspect = state.suspects_by_fingerprint.get(fingerprint)
    if suspect is None or suspect.crashes < CRASHES_TO_QUARANTINE:
        return 0.0
    last_at = max(count.changed_at for count in suspect.counts_by_origin.values() if count.crashes)
    refused_ms = max(QUARANTINE_MS, QUARANTINE_FACTOR * (last_at - suspect.first_at))
    return max(0.0, last_at + min(SUSPECT_TTL_MS, refused_ms) - state.now)


def crash_reports(state: State) -> tuple[CrashReport, ...]:
    """Return what is told to another instance, the latest first."""
    _forget_old(state)
    told = [
        CrashReport(fingerprint, origin, count.crashes, state.now - count.changed_at)
        for fingerprint, suspect in state.suspects_by_fingerprint.items()
        for origin, count in suspect.counts_by_origin.items()
        if suspect.crashes >= CRASHES_TO_QUARANTINE or state.now - count.changed_at < TOLD_MS
    ]
    return tuple(sorted(told, key=lambda report: report.age_ms)[:MAX_CRASH_REPORTS])


def merge_crash_reports(state: State, gossip: GossipMessage) -> None:
    """Take over what other instances have seen; the latest number of each counts."""
    for report in gossip.crash_reports:
        if report.origin == state.own_incarnation or report.age_ms >= SUSPECT_TTL_MS:
            continue
        changed_at = state.now - report.age_ms
        suspect = _suspect_of(state, report.fingerprint, changed_at)
        known = suspect.counts_by_origin.get(report.origin)
        if not _is_newer(known, report.crashes, changed_at):
            continue
        before = suspect.crashes
        suspect.counts_by_origin[report.origin] = CrashCount(report.crashes, changed_at)
        if not report.crashes:
            # An instance tells zero when it had an answer.
            suspect.answered_at = max(suspect.answered_at, changed_at)
        if suspect.crashes >= CRASHES_TO_PASS_ON or before >= CRASHES_TO_QUARANTINE:
            schedule_urgent_gossip(state)
        _log_quarantine(state, report.fingerprint, suspect, before)


def _is_newer(known: CrashCount | None, crashes: int, changed_at: Millis) -> bool:
    if known is None or changed_at > known.changed_at + SAME_REPORT_MS:
        return True
    return changed_at > known.changed_at - SAME_REPORT_MS and crashes > known.crashes


def schedule_urgent_gossip(state: State) -> None:
    """Ask other instances soon, so that they learn what this one has just learned."""
    if not state.settings.peer_address:
        return
    due_at = max(state.now, state.urgent_gossip_at + MIN_URGENT_GOSSIP_INTERVAL_MS)
    if state.urgent_gossip_at <= state.now:
        state.urgent_gossip_at = due_at
        state.timers.add(due_at, TimerKind.URGENT_GOSSIP)


def _forget_old(state: State) -> None:
    since = state.now - SUSPECT_TTL_MS
    for fingerprint, suspect in list(state.suspects_by_fingerprint.items()):
        for origin, count in list(suspect.counts_by_origin.items()):
            if count.changed_at <= since:
                del suspect.counts_by_origin[origin]
        if not suspect.counts_by_origin:
            del state.suspects_by_fingerprint[fingerprint]
