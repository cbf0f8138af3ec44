"""Dispatch of the parts of a request: a search is sent only if it can be answered.

If a shard has a single server left at the crest of demand, some searches get no capacity there. A
search that sends its other parts meanwhile, and is refused when no capacity was freed in time, has
wasted the work of all other shards, and its refusal cannot say "not run". Its parts are therefore
held until the shards without capacity that it cannot do without have capacity at the same time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from turmerictiller.forwarding.attempts import choose_server_for_part, send_to
from turmerictiller.forwarding.completion import fail_part, finish_if_decided
from turmerictiller.forwarding.overload import min_parts, parts_to_shed
from turmerictiller.forwarding.queueing import enqueue_part
from turmerictiller.forwarding.state import service_state

if TYPE_CHECKING:
    from turmerictiller.forwarding.state import Request, ServerState, State


def dispatch_request(state: State, request: Request) -> bool:
    """Send, hold or queue the parts of a request; return false if it ended instead."""
    server_by_part: dict[int, ServerState] = {}
    for index, part in enumerate(request.parts):
        service_state(state, part.service).first_attempts.add(state.now)
        server = choose_server_for_part(state, request, index)
        if server is not None:
            server_by_part[index] = server
        elif not enqueue_part(state, request, index):
            fail_part(state, request, part, "no_server")
    for index in parts_to_shed(state, request, server_by_part):
        del server_by_part[index]
        fail_part(state, request, request.parts[index], "overloaded")
    if finish_if_decided(state, request):
        return False
    if len(server_by_part) < _required_parts(request):
        for index in server_by_part:
            request.parts[index].is_held = True
        return True
    for index, server in server_by_part.items():
        send_to(state, request, index, server, is_extra=False)
    return True


def dispatch_queued_parts(state: State) -> None:
    """Send queued parts of the services with freed capacity, the most urgent and oldest first."""
    while state.freed_services:
        service = state.freed_services.pop()
        queue = service.queued_priority_by_part
        for key in sorted(queue, key=lambda key: (queue[key], key)):
            call_id, index = key
            request = state.requests_by_call.get(call_id)
            if request is None or request.caller_disconnected or not request.parts[index].is_queued:
                queue.pop(key, None)
            elif any(part.is_held for part in request.parts):
                _dispatch_held_request(state, request)
            elif not _dispatch_queued_part(state, request, index):
                break


def _dispatch_held_request(state: State, request: Request) -> None:
    """Send the parts of a request that are held, and those queued ones that have capacity.

    Nothing is sent unless enough parts have capacity.
    """
    required = _required_parts(request)
    missing_allowed = request.open_parts - required
    server_by_part: dict[int, ServerState] = {}
    waiting = [index for index, part in enumerate(request.parts) if part.is_queued]
    held = [index for index, part in enumerate(request.parts) if part.is_held]
    for index in waiting + held:
        server = choose_server_for_part(state, request, index)
        if server is not None:
            server_by_part[index] = server
            continue
        missing_allowed -= 1
        if missing_allowed < 0:
            return
    for index in waiting + held:
        part = request.parts[index]
        part.is_held = False
        chosen = server_by_part.get(index)
        if chosen is not None:
            _unqueue_part(state, request, index)
            send_to(state, request, index, chosen, is_extra=False)
        elif not part.is_queued and not enqueue_part(state, request, index):
            fail_part(state, request, part, "no_server")


def _dispatch_queued_part(state: State, request: Request, index: int) -> bool:
    server = choose_server_for_part(state, request, index)
    if server is None:
        return False
    _unqueue_part(state, request, index)
    send_to(state, request, index, server, is_extra=False)
    return True


def _unqueue_part(state: State, request: Request, index: int) -> None:
    part = request.parts[index]
    part.is_queued = False
    queue = service_state(state, part.service).queued_priority_by_part
    queue.pop((request.call_id, index), None)


def _required_parts(request: Request) -> int:
    """Return how many of the open parts must be answered."""
    if not request.route.shards:
        return 0
    return min_parts(request.route.min_share, len(request.parts)) - request.answered_parts
