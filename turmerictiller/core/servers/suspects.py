"""Records of requests that may crash upstreams."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from turmerictiller.clock import Millis

MOST_SERVICES_SHARE = 0.75


@dataclass(slots=True)
class Loss:
    """Servers that were lost together while they ran the same request.

    A rack failure takes down a few servers of a search, a crashing request most of them. The shares
    of blame therefore add up only if most services of the search lost a server.

    :param next_attempt_id: attempts from this id on were sent after the loss.
    :param parts: number of services that the search called.
    :param shares: blame by service that lost a server: 1 divided by the number of requests that the
        server was running.
    :param services: services that lost a server and have not answered the request since.
    """

    next_attempt_id: int
    parts: int
    shares: dict[str, float]
    services: set[str]

    @property
    def blame(self) -> float:
        shares = self.shares.values()
        spans_most_services = len(shares) >= max(2, MOST_SERVICES_SHARE * self.parts)
        return sum(shares) if spans_most_services else max(shares)


@dataclass(slots=True)
class Suspect:
    """A request, by its fingerprint, that may crash upstreams.

    :param server_ids: lost servers that were running the request.
    :param until: end of the quarantine; in the past if there is none in force.
    :param tests_failed: number of tests in which a server was lost again.
    :param last_at: time of the last loss, or of the merge of a peer's quarantine.
    :param testing_call_id: search that is the current test of the request.
    :param is_foreign: whether a peer imposed the quarantine.
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
