"""State about release notes that are not, or not yet, in force."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING, Any

from turmerictiller.core.peers.peer_state import NEVER

if TYPE_CHECKING:
    from turmerictiller.clock import Millis
    from turmerictiller.core.configuration.notes import NoteError
    from turmerictiller.core.fronts import NoteInForce


class JoinPhase(Enum):
    """Whether this instance may put notes in force."""

    WAITING = "waiting"
    JOINED = "joined"


@dataclass(frozen=True, slots=True)
class JoinAnswer:
    """Answer of a peer to an ask of this incarnation.

    :param asked_at: when the ask was sent; the answer is at least as new.
    """

    peer_id: str
    address: str
    asked_at: Millis
    note_number: int
    note_digest: str


@dataclass(slots=True)
class JoinState:
    """Progress of a newly started instance towards its first note.

    :param candidate: newest note of the platform.
    :param fetched: newest note that an established peer has handed over.
    :param asks: address and time by number of an ask that may still be answered.
    :param established_at: when any gossip of an established peer last arrived.
    """

    phase: JoinPhase = JoinPhase.WAITING
    candidate: NoteInForce | None = None
    fetched: NoteInForce | None = None
    next_ask: int = 1
    asks: dict[int, tuple[str, Millis]] = field(default_factory=dict)
    first_asked_at: dict[str, Millis] = field(default_factory=dict)
    answers_by_address: dict[str, JoinAnswer] = field(default_factory=dict)
    established_at: Millis = NEVER


@dataclass(slots=True)
class RefusedNote:
    """A note that was not put in force, with the mistakes found in it.

    :param number: its number, or ``None`` if it has none.
    :param source: ``platform`` or the id of the peer that had it last.
    :param times: how often it was seen.
    """

    number: int | None
    digest: str
    source: str
    errors: tuple[NoteError, ...]
    last_at: Millis
    times: int = 1


@dataclass(slots=True)
class Fetch:
    """A note on its way from a peer."""

    peer_id: str
    address: str
    until: Millis


@dataclass(slots=True)
class NotesState:
    """Everything about notes but the one in force.

    :param platform_document: the platform's note if it follows one that is not in force here.
    :param conflicting_digests: other notes that have the number of the note in force.
    """

    join: JoinState = field(default_factory=JoinState)
    platform_document: Any = None
    conflicting_digests: set[str] = field(default_factory=set)
    refused_by_digest: dict[str, RefusedNote] = field(default_factory=dict)
    fetch: Fetch | None = None
