"""Retries of parts whose server was lost (the connection ended while the call was running).

Only one lost part of a search is resent at a time. The others are held until that call is resolved
without another loss, so that a request that crashes upstreams takes down one more server instead of
one per service.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from turmerictiller.core.state import Search, ServicePart


def may_resend(search: Search, part: ServicePart) -> bool:
    """Return whether a part whose server was lost may be resent now.

    Otherwise the part is held. If the resent part lost a second server, that part and all held
    parts are resolved without an answer.
    """
    if search.probing_service is None:
        search.probing_service = part.service
        return True
    if search.probing_service == part.service:
        resolve_held_parts(search)
        part.resolved = True
    else:
        part.is_held = True
    return False


def resolve_held_parts(search: Search) -> None:
    """Resolve all held parts without an answer."""
    for part in search.parts_by_service.values():
        if part.is_held:
            part.is_held = False
            part.resolved = True


def release_held_parts(search: Search, resolved_part: ServicePart) -> list[ServicePart]:
    """Release and return the held parts once the resent part was resolved without a loss."""
    if search.probing_service != resolved_part.service:
        return []
    search.probing_service = None
    held_parts = [part for part in search.parts_by_service.values() if part.is_held]
    for part in held_parts:
        part.is_held = False
    return held_parts
