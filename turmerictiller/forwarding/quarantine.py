"""Quarantine of requests that crash servers.

A server that interrupts an attempt and then refuses connections has crashed. A connection is opened
at once as a probe, because an instance that has just lost an attempt prefers other servers and may
send nothing to this one for seconds. Every request that the server was running becomes a suspect.
An answer to the same request at any instance, or to another part of it, shows that it does not
crash servers.

Instances add up the crashes that all have observed: each propagates the counts of the others under
the incarnation that made them, so that no crash counts twice. A request is refused from the third
crash on, at first for a short time, and longer each time that it crashes a server again.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from turmerictiller.forwarding.effects import ProbeConnection, WriteLog
from turmerictiller.forwarding.events import FailureKind
from turmerictiller.forwarding.peer_model import CrashReport
from turmerictiller.forwarding.server_selection import observe_failure
from turmerictiller.forwarding.state import CrashCount, InterruptedAttempt, Suspect, TimerKind

if TYPE_CHECKING:
    from turmerictiller.clock import Millis
    from turmerictiller.forwarding.events import ConnectionProbed
    from turmerictiller.forwarding.peer_model import GossipMessage
    from turmerictiller.forwarding.state import Attempt, Request, ServerState, State

CRASH_WINDOW_MS = 2_000.0  # a server that crashed is back after some seconds
MAX_INTERRUPTED_ATTEMPTS = 16  # per server
# A crash interrupts every request that its server runs, so one crash does not show which of them
# caused it. Three crashes during the same request, without an answer to it, are seldom coincidence.
CRASHES_TO_QUARANTINE = 3
MIN_QUARANTINE_MS = 120_000.0
# A request that crashes a server again after its quarantine is refused for this multiple of the
# time since its first crash.
QUARANTINE_FACTOR = 2.0
# Longer than callers retry a request that is never answered, so that one more crash is enough.
SUSPECT_TTL_MS = 600_000.0
MAX_SUSPECTS = 256
# Ages do not include network delay, so a count appears younger at each instance that propagates it.
REPORT_AGE_TOLERANCE_MS = 500.0
MIN_URGENT_GOSSIP_INTERVAL_MS = 250.0
MAX_CRASH_REPORTS = 64  # per message
# Counts too low for a quarantine are propagated for this time; most crashes have other causes.
LOW_COUNT_TTL_MS = 30_000.0
# From the second crash on, counts received from other instances are propagated at once, so that all
# instances refuse the request after the third.
CRASHES_FOR_URGENT_GOSSIP = 2


def on_attempt_interrupted(
    state: State, server: ServerState, attempt: Attempt, request: Request | None
) -> None:
    """Record an attempt that its server interrupted, and probe whether the server crashed."""
    if attempt.is_crash_ruled_out or (request is not None and request.answered_parts):
        return
    request_id = request.request_id if request is not None else ""
    server.interrupted_attempts.append(
        InterruptedAttempt(state.now, attempt.fingerprint, request_id)
    )
    del server.interrupted_attempts[:-MAX_INTERRUPTED_ATTEMPTS]
    _probe_for_crash(state, server)


def _probe_for_crash(state: State, server: ServerState) -> None:
    if server.probed_at is None:
        server.probed_at = state.now
        state.out.append(ProbeConnection(server.entry.id, server.entry.address))


def on_connection_probed(state: State, event: ConnectionProbed) -> None:
    """Apply the result of a crash probe: confirm the crash or rule it out."""
    server = state.servers_by_id.get(event.server_id)
    if server is None or server.probed_at is None:
        return
    probed_at, server.probed_at = server.probed_at, None
    if event.failure is FailureKind.REFUSED:
        observe_failure(state, server, event.failure.value, unreachable=True)
        on_connection_refused(state, server)
        return
    state.counters["crashes.ruled_out"] += 1
    server.interrupted_attempts = [
        interrupted for interrupted in server.interrupted_attempts if interrupted.at > probed_at
    ]
    if server.interrupted_attempts:
        _probe_for_crash(state, server)


def on_connection_refused(state: State, server: ServerState) -> None:
    """Record a crash for the requests that a server interrupted shortly before it crashed."""
    interrupted, server.interrupted_attempts = server.interrupted_attempts, []
    since = state.now - CRASH_WINDOW_MS
    # One crash counts once per request, however many callers had sent it to the server.
    by_fingerprint = {item.fingerprint: item for item in interrupted if item.at >= since}
    for item in by_fingerprint.values():
        _record_crash(state, item, server)


def _record_crash(state: State, interrupted: InterruptedAttempt, server: ServerState) -> None:
    state.counters["crashes.confirmed"] += 1
    suspect = _get_or_add_suspect(state, interrupted.fingerprint, state.now)
    crashes_before = suspect.crashes
    own_count = suspect.counts_by_origin.setdefault(state.own_incarnation, CrashCount(0, state.now))
    own_count.crashes = own_count.crashes + 1 if own_count.changed_at > suspect.answered_at else 1
    own_count.changed_at = state.now
    schedule_urgent_gossip(state)
    fields = {
        "request": interrupted.request_id,
        "fingerprint": f"{interrupted.fingerprint:x}",
        "server": server.entry.id,
        "crashes_seen_here": own_count.crashes,
        "crashes_known": suspect.crashes,
    }
    state.out.append(WriteLog("request_suspected", fields, urgent=True))
    _log_quarantine(state, interrupted.fingerprint, suspect, crashes_before)


def _get_or_add_suspect(state: State, fingerprint: int, crashed_at: Millis) -> Suspect:
    suspect = state.suspects_by_fingerprint.get(fingerprint)
    if suspect is None:
        if len(state.suspects_by_fingerprint) >= MAX_SUSPECTS:
            del state.suspects_by_fingerprint[next(iter(state.suspects_by_fingerprint))]
        suspect = state.suspects_by_fingerprint[fingerprint] = Suspect(crashed_at)
    suspect.first_at = min(suspect.first_at, crashed_at)
    return suspect


def _log_quarantine(state: State, fingerprint: int, suspect: Suspect, crashes_before: int) -> None:
    if crashes_before < CRASHES_TO_QUARANTINE <= suspect.crashes:
        fields = {
            "fingerprint": f"{fingerprint:x}",
            "crashes_known": suspect.crashes,
            "instances": sum(1 for count in suspect.counts_by_origin.values() if count.crashes),
            "ms": round(remaining_quarantine_ms(state, fingerprint)),
        }
        state.out.append(WriteLog("request_quarantined", fields, urgent=True))


def on_request_answered(state: State, fingerprint: int) -> None:
    """Reset the crash counts of a request that was answered, and gossip the reset urgently.

    A frequent request can be answered while it is quarantined, because some were sent before.
    """
    suspect = state.suspects_by_fingerprint.get(fingerprint)
    if suspect is None:
        return
    if suspect.crashes:
        suspect.answered_at = state.now
        suspect.counts_by_origin[state.own_incarnation] = CrashCount(0, state.now)
        schedule_urgent_gossip(state)


def remaining_quarantine_ms(state: State, fingerprint: int) -> float:
    """Return the remaining quarantine of a request in ms, or 0 if it is not quarantined."""
    suspect = state.suspects_by_fingerprint.get(fingerprint)
    if suspect is None or suspect.crashes < CRASHES_TO_QUARANTINE:
        return 0.0
    last_at = max(count.changed_at for count in suspect.counts_by_origin.values() if count.crashes)
    refused_ms = max(MIN_QUARANTINE_MS, QUARANTINE_FACTOR * (last_at - suspect.first_at))
    return max(0.0, last_at + min(SUSPECT_TTL_MS, refused_ms) - state.now)


def crash_reports(state: State) -> tuple[CrashReport, ...]:
    """Return the crash counts for a gossip message, the latest first."""
    _evict_expired_suspects(state)
    reports = [
        CrashReport(fingerprint, origin, count.crashes, state.now - count.changed_at)
        for fingerprint, suspect in state.suspects_by_fingerprint.items()
        for origin, count in suspect.counts_by_origin.items()
        if suspect.crashes >= CRASHES_TO_QUARANTINE
        or state.now - count.changed_at < LOW_COUNT_TTL_MS
    ]
    return tuple(sorted(reports, key=lambda report: report.age_ms)[:MAX_CRASH_REPORTS])


def merge_crash_reports(state: State, message: GossipMessage) -> None:
    """Merge the crash counts in a gossip message; the latest count of each instance wins."""
    for report in message.crash_reports:
        if report.origin == state.own_incarnation or report.age_ms >= SUSPECT_TTL_MS:
            continue
        changed_at = state.now - report.age_ms
        suspect = _get_or_add_suspect(state, report.fingerprint, changed_at)
        previous = suspect.counts_by_origin.get(report.origin)
        if not _is_newer(previous, report.crashes, changed_at):
            continue
        crashes_before = suspect.crashes
        suspect.counts_by_origin[report.origin] = CrashCount(report.crashes, changed_at)
        if not report.crashes:
            # A count of zero reports an answer to the request.
            suspect.answered_at = max(suspect.answered_at, changed_at)
        if suspect.crashes >= CRASHES_FOR_URGENT_GOSSIP or crashes_before >= CRASHES_TO_QUARANTINE:
            schedule_urgent_gossip(state)
        _log_quarantine(state, report.fingerprint, suspect, crashes_before)


def _is_newer(previous: CrashCount | None, crashes: int, changed_at: Millis) -> bool:
    if previous is None or changed_at > previous.changed_at + REPORT_AGE_TOLERANCE_MS:
        return True
    return changed_at > previous.changed_at - REPORT_AGE_TOLERANCE_MS and crashes > previous.crashes


def schedule_urgent_gossip(state: State) -> None:
    """Schedule gossip to several instances soon, at a limited rate."""
    if not state.settings.peer_address:
        return
    due_at = max(state.now, state.urgent_gossip_at + MIN_URGENT_GOSSIP_INTERVAL_MS)
    if state.urgent_gossip_at <= state.now:
        state.urgent_gossip_at = due_at
        state.timers.add(due_at, TimerKind.URGENT_GOSSIP)


def _evict_expired_suspects(state: State) -> None:
    since = state.now - SUSPECT_TTL_MS
    for fingerprint, suspect in list(state.suspects_by_fingerprint.items()):
        for origin, count in list(suspect.counts_by_origin.items()):
            if count.changed_at <= since:
                del suspect.counts_by_origin[origin]
        if not suspect.counts_by_origin:
            del state.suspects_by_fingerprint[fingerprint]
