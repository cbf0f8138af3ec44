"""Servers lost under a search: which of its parts may be sent again.

One lost part is sent again at a time. Only when its server answers are the other lost parts sent
again, so that a request that crashes upstreams takes down one more server and not one per service.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from turmerictiller.core.state import Search, ServicePart


def may_send_again(search: Search, part: ServicePart) -> bool:
    """Return whether a part that has lost its server may be sent again now.

    Otherwise the part is held back, or given up if a server was lost after a loss.
    """
    if search.probing_service is None:
        search.probing_service = part.service
        return True
    if search.probing_service == part.service:
        give_up_lost_parts(search)
        part.resolved = True
    else:
        part.is_held = True
    return False


def give_up_lost_parts(search: Search) -> None:
    """Give up the parts that were held back."""
    for part in search.parts_by_service.values():
        if part.is_held:
            part.is_held = False
            part.resolved = True


def release_lost_parts(search: Search, settled: ServicePart) -> list[ServicePart]:
    """Return the parts to send again, now that another part has ended without a loss."""
    if search.probing_service != settled.service:
        return []
    search.probing_service = None
    held = [part for part in search.parts_by_service.values() if part.is_held]
    for part in held:
        part.is_held = False
    return held
