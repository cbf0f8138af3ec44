"""What is known of requests that may crash upstreams."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from turmerictiller.clock import Millis

MOST_SERVICES = 0.75


@dataclass(slots=True)
class Loss:
    """Servers that were lost at one time while they ran a request.

    A rack takes down a few servers of a search, a crashing request most of them. So the shares of
    blame add up only if most services of the search lost a server.

    :param next_attempt_id: attempts from this one on were sent after the loss.
    :param shares: for each lost service, 1 if the request was the only one on the server, else less.
    :param parts: services that the search asked.
    :param services: services that lost a server and have not answered the request since.
    """

    next_attempt_id: int
    parts: int
    shares: dict[str, float]
    services: set[str]

    @property
    def blame(self) -> float:
        shares = self.shares.values()
        is_most = len(shares) >= max(2, MOST_SERVICES * self.parts)
        return sum(shares) if is_most else max(shares)


@dataclass(slots=True)
class Suspect:
    """A fingerprint that may belong to a request that crashes upstreams.

    :param until: end of the quarantine; the past when there is none.
    :param tests_failed: tests after which a server was lost again.
    """

    fingerprint: str
    losses: list[Loss] = field(default_factory=list)
    server_ids: set[str] = field(default_factory=set)
    until: Millis = float("-inf")
    tests_failed: int = 0
    last_at: Millis = 0.0
    testing_call_id: int | None = None
    is_foreign: bool = False

    @property
    def blame(self) -> float:
        return sum(loss.blame for loss in self.losses)
