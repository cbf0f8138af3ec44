"""Requests that crash servers.

A server that breaks off an attempt and then refuses connections has crashed. Each request that it was
working on is suspected once per call. An answer to the same request takes the suspicion back, because
a request that crashes servers is never answered. Instances add up what all have seen: each passes
on the numbers of the others under the incarnation that counted them, so that none counts twice.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from turmerictiller.forwarding.effects import LogDecision
from turmerictiller.forwarding.peer_model import CrashReport
from turmerictiller.forwarding.state import CrashCount, Suspect, TimerKind

if TYPE_CHECKING:
    from turmerictiller.clock import Millis
    from turmerictiller.forwarding.peer_model import Hello
    from turmerictiller.forwarding.state import Attempt, ServerState, State

CRASH_WINDOW_MS = 2_000.0  # a server that crashed is back after some seconds
MAX_BROKEN = 16  # broken attempts that are remembered per server
CRASHES_TO_QUARANTINE = 3
QUARANTINE_MS = 30_000.0
MAX_SUSPECTS = 256
# Ages do not count the time on the way, so a number looks younger at each instance it passes.
SAME_REPORT_MS = 500.0
NEWS_INTERVAL_MS = 250.0  # at least, between questions because of news
MAX_TOLD = 64  # numbers that are told in an exchange
# From the second crash on, others are told at once: the third must be the last.
CRASHES_TO_TELL = 2


def on_broken_off(state: State, server: ServerState, attempt: Attempt) -> None:
    """Remember an attempt that its server broke off, until it shows whether the server crashed."""
    server.broken.append((state.now, attempt.fingerprint, attempt.call_id))
    del server.broken[:-MAX_BROKEN]


def on_refused(state: State, server: ServerState) -> None:
    """Suspect the requests that a server broke off shortly before it refuses connections."""
    broken, server.broken = server.broken, []
    for at, fingerprint, call_id in broken:
        if state.now - at <= CRASH_WINDOW_MS:
            _suspect(state, fingerprint, call_id, server)


def _suspect(state: State, fingerprint: int, call_id: int, server: ServerState) -> None:
    suspect = state.suspects_by_fingerprint.get(fingerprint)
    if suspect is None:
        if len(state.suspects_by_fingerprint) >= MAX_SUSPECTS:
            del state.suspects_by_fingerprint[next(iter(state.suspects_by_fingerprint))]
        suspect = state.suspects_by_fingerprint[fingerprint] = Suspect()
    if call_id in suspect.calls:
        return
    suspect.calls.add(call_id)
    suspect.crashes += 1
    suspect.last_at = state.now
    if _crashes(state, fingerprint) >= CRASHES_TO_TELL:
        tell_news(state)
    fields = {
        "fingerprint": f"{fingerprint:x}",
        "server": server.entry.id,
        "crashes": suspect.crashes,
    }
    state.out.append(LogDecision("request_suspected", fields, urgent=True))


def on_answered(state: State, fingerprint: int) -> None:
    """Take back the suspicion that an answer disproves; others are told that it is none now."""
    suspect = state.suspects_by_fingerprint.get(fingerprint)
    if suspect is not None and suspect.crashes:
        suspect.crashes = 0
        suspect.calls.clear()
        suspect.last_at = state.now


def quarantined_ms(state: State, fingerprint: int) -> float:
    """Return for how long a request is still refused; 0 if it is not."""
    if _crashes(state, fingerprint) < CRASHES_TO_QUARANTINE:
        return 0.0
    return max(0.0, _last_at(state, fingerprint) + QUARANTINE_MS - state.now)


def crash_reports(state: State) -> tuple[CrashReport, ...]:
    """Return what is told to another instance, the latest first."""
    _forget_old(state)
    own = [
        CrashReport(
            fingerprint, state.own_incarnation, suspect.crashes, state.now - suspect.last_at
        )
        for fingerprint, suspect in state.suspects_by_fingerprint.items()
    ]
    told = [
        CrashReport(fingerprint, origin, count.crashes, state.now - count.changed_at)
        for fingerprint, counts in state.crash_counts_by_fingerprint.items()
        for origin, count in counts.items()
    ]
    return tuple(sorted([*own, *told], key=lambda report: report.age_ms)[:MAX_TOLD])


def on_crashes_told(state: State, hello: Hello) -> None:
    """Take over what other instances have seen; the latest number of each counts."""
    for report in hello.crash_reports:
        if report.origin == state.own_incarnation or report.age_ms >= QUARANTINE_MS:
            continue
        counts = state.crash_counts_by_fingerprint.setdefault(report.fingerprint, {})
        changed_at = state.now - report.age_ms
        if not _is_newer(counts.get(report.origin), report.crashes, changed_at):
            continue
        counts[report.origin] = CrashCount(report.crashes, changed_at)
        if report.crashes and _crashes(state, report.fingerprint) >= CRASHES_TO_TELL:
            tell_news(state)
    while len(state.crash_counts_by_fingerprint) > MAX_SUSPECTS:
        oldest = next(iter(state.crash_counts_by_fingerprint))
        del state.crash_counts_by_fingerprint[oldest]


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


def _crashes(state: State, fingerprint: int) -> int:
    """Return the calls that crashed servers, as all instances saw them lately."""
    since = state.now - QUARANTINE_MS
    suspect = state.suspects_by_fingerprint.get(fingerprint)
    own = suspect.crashes if suspect is not None and suspect.last_at > since else 0
    counts = state.crash_counts_by_fingerprint.get(fingerprint, {})
    return own + sum(item.crashes for item in counts.values() if item.changed_at > since)


def _last_at(state: State, fingerprint: int) -> Millis:
    suspect = state.suspects_by_fingerprint.get(fingerprint)
    counts = state.crash_counts_by_fingerprint.get(fingerprint, {})
    times = [count.changed_at for count in counts.values() if count.crashes]
    if suspect is not None and suspect.crashes:
        times.append(suspect.last_at)
    return max(times, default=float("-inf"))


def _forget_old(state: State) -> None:
    since = state.now - QUARANTINE_MS
    for fingerprint, counts in list(state.crash_counts_by_fingerprint.items()):
        for origin, count in list(counts.items()):
            if count.changed_at <= since:
                del counts[origin]
        if not counts:
            del state.crash_counts_by_fingerprint[fingerprint]
    for fingerprint, suspect in list(state.suspects_by_fingerprint.items()):
        if suspect.last_at <= since:
            del state.suspects_by_fingerprint[fingerprint]
