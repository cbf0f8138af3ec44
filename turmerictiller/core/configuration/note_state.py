"""State of release notes that are refused, pending or being fetched."""

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

    :param asked_at: when the ask was sent; the state in the answer is at least as recent.
    """

    peer_id: str
    address: str
    asked_at: Millis
    note_number: int
    note_digest: str


@dataclass(slots=True)
class JoinState:
    """Progress of a newly started instance towards its first note.

    An established peer is one that has a note in force.

    :param candidate: newest note of the platform.
    :param fetched: newest note fetched from an established peer.
    :param asks: address and send time by ask number, for the asks that may still be answered.
    :param established_at: when gossip of an established peer was last received.
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
    """A note that was not put in force, with the errors found in it.

    :param number: number of the note, or ``None`` if it has none.
    :param source: ``platform``, or the id of the peer where it was last seen.
    :param times: number of refusals.
    """

    number: int | None
    digest: str
    source: str
    errors: tuple[NoteError, ...]
    last_at: Millis
    times: int = 1


@dataclass(slots=True)
class Fetch:
    """A fetch of a note from a peer that is in flight.

    :param until: when the fetch times out.
    """

    peer_id: str
    address: str
    until: Millis


@dataclass(slots=True)
class NotesState:
    """State of all notes except the one in force.

    :param platform_document: the platform's note if its predecessor is not in force here.
    :param conflicting_digests: digests of other notes with the number of the note in force.
    """

    join: JoinState = field(default_factory=JoinState)
    platform_document: Any = None
    conflicting_digests: set[str] = field(default_factory=set)
    refused_by_digest: dict[str, RefusedNote] = field(default_factory=dict)
    fetch: Fetch | None = None
