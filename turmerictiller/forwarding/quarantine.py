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

from turmerictiller.forwarding.choice import observe_failure
from turmerictiller.forwarding.effects import LogDecision, ProbeConnection
from turmerictiller.forwarding.events import Failure
from turmerictiller.forwarding.peer_model import CrashReport
from turmerictiller.forwarding.state import BrokenAttempt, CrashCount, Suspect, TimerKind

if TYPE_CHECKING:
    from turmerictiller.clock import Millis
    from turmerictiller.forwarding.events import ConnectionProbed
    from turmerictiller.forwarding.peer_model import Hello
    from turmerictiller.forwarding.state import Attempt, Request, ServerState, State

CRASH_WINDOW_MS = 2_000.0  # a server that crashed is back after some seconds
MAX_BROKEN = 16  # broken attempts that are remembered per server
CRASHES_TO_QUARANTINE = 3
# A crash breaks off all that its server runs, and three of them without an answer are seldom chance.
QUARANTINE_MS = 120_000.0
# A request that still crashes servers when it is let through again is refused for so many times as long
# as it has been known.
QUARANTINE_FACTOR = 2.0
# Longer than callers repeat a request that is never answered, so that one more crash is enough.
MEMORY_MS = 600_000.0
MAX_SUSPECTS = 256
# Ages do not count the time on the way, so a number looks younger at each instance it passes.
SAME_REPORT_MS = 500.0
NEWS_INTERVAL_MS = 250.0  # at least, between questions because of news
MAX_TOLD = 64  # numbers that are told in an exchange
# Numbers too low to refuse a request are told for so long; most servers that crash do so for other reasons.
TOLD_MS = 30_000.0
# From the second crash on, news of others are passed on at once: the third must be the last.
CRASHES_TO_PASS_ON = 2


def on_broken_off(
    state: State, server: ServerState, attempt: Attempt, request: Request | None
) -> None:
    """Remember an attempt that its server broke off, and find out whether the server crashed."""
    if attempt.is_disproved or (request is not None and request.included):
        return
    request_id = request.request_id if request is not None else ""
    server.broken.append(BrokenAttempt(state.now, attempt.fingerprint, request_id))
    del server.broken[:-MAX_BROKEN]
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
        on_refused(state, server)
        return
    state.counters["crashes.ruled_out"] += 1
    server.broken = [broken for broken in server.broken if broken.at > probed_at]
    if server.broken:
        _probe(state, server)


def on_refused(state: State, server: ServerState) -> None:
    """Suspect the requests that a server broke off shortly before it refuses connections."""
    broken, server.broken = server.broken, []
    since = state.now - CRASH_WINDOW_MS
    # One crash counts once for a request, however many callers had sent it to the server.
    by_fingerprint = {item.fingerprint: item for item in broken if item.at >= since}
    for item in by_fingerprint.values():
        _suspect(state, item, server)


def _suspect(state: State, broken: BrokenAttempt, server: ServerState) -> None:
    state.counters["crashes.confirmed"] += 1
    suspect = _suspect_of(state, broken.fingerprint, state.now)
    before = suspect.crashes
    own = suspect.counts_by_origin.setdefault(state.own_incarnation, CrashCount(0, state.now))
    own.crashes = own.crashes + 1 if own.changed_at > suspect.answered_at else 1
    own.changed_at = state.now
    tell_news(state)
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


def on_answered(state: State, fingerprint: int) -> None:
    """Take back the suspicion that an answer disproves, whoever had it; others are told at once.

    A frequent request is answered while it is refused already, because some were sent before.
    """
    suspect = state.suspects_by_fingerprint.get(fingerprint)
    if suspect is None:
        return
    if suspect.crashes:
        suspect.answered_at = state.now
        suspect.counts_by_origin[state.own_incarnation] = CrashCount(0, state.now)
        tell_news(state)


def quarantined_ms(state: State, fingerprint: int) -> float:
    """Return for how long a request is still refused; 0 if it is not."""
    suspect = state.suspects_by_fingerprint.get(fingerprint)
    if suspect is None or suspect.crashes < CRASHES_TO_QUARANTINE:
        return 0.0
    last_at = max(count.changed_at for count in suspect.counts_by_origin.values() if count.crashes)
    refused_ms = max(QUARANTINE_MS, QUARANTINE_FACTOR * (last_at - suspect.first_at))
    return max(0.0, last_at + min(MEMORY_MS, refused_ms) - state.now)


def crash_reports(state: State) -> tuple[CrashReport, ...]:
    """Return what is told to another instance, the latest first."""
    _forget_old(state)
    told = [
        CrashReport(fingerprint, origin, count.crashes, state.now - count.changed_at)
        for fingerprint, suspect in state.suspects_by_fingerprint.items()
        for origin, count in suspect.counts_by_origin.items()
        if suspect.crashes >= CRASHES_TO_QUARANTINE or state.now - count.changed_at < TOLD_MS
    ]
    return tuple(sorted(told, key=lambda report: report.age_ms)[:MAX_TOLD])


def on_crashes_told(state: State, hello: Hello) -> None:
    """Take over what other instances have seen; the latest number of each counts."""
    for report in hello.crash_reports:
        if report.origin == state.own_incarnation or report.age_ms >= MEMORY_MS:
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
            tell_news(state)
        _log_quarantine(state, report.fingerprint, suspect, before)


def _is_newer(known: CrashCount | None, crashes: int, changed_at: Millis) -> bool:
    if known is None or changed_at > known.changed_at + SAME_REPORT_MS:
        return True
    return changed_at > known.changed_at - SAME_REPORT_MS and crashes > known.crashes


def tell_news(state: State) -> None:
    """Ask other instances soon, so that they learn what this one has just learned."""
    if not state.settings.peer_address:
        return
    due_at = max(state.now, state.news_due_at + NEWS_INTERVAL_MS)
    if state.news_due_at <= state.now:
        state.news_due_at = due_at
        state.timers.add(due_at, TimerKind.NEWS)


def _forget_old(state: State) -> None:
    since = state.now - MEMORY_MS
    for fingerprint, suspect in list(state.suspects_by_fingerprint.items()):
        for origin, count in list(suspect.counts_by_origin.items()):
            if count.changed_at <= since:
                del suspect.counts_by_origin[origin]
        if not suspect.counts_by_origin:
            del state.suspects_by_fingerprint[fingerprint]
