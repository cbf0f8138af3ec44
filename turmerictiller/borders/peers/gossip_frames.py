"""Gossip messages as thrift structs."""

from __future__ import annotations

from typing import Any

from turmerictiller.core.peers.gossip_model import (
    DrainingServer,
    GossipMessage,
    Member,
    PeerStatus,
    QuarantineEntry,
)
from turmerictiller.errors import FrameError
from turmerictiller.util.wire_checks import finite, integer, ip_address, items, text
from turmerictiller.wire.peers import ttypes


def gossip_to_wire(message: GossipMessage) -> Any:
    """Return the thrift struct of a gossip message."""
    return ttypes.Gossip(
        sender=_member_to_wire(message.sender),
        note_number=message.note_number,
        note_digest=message.note_digest,
        draining=[
            ttypes.DrainingServer(id=server.id, incarnation=server.incarnation)
            for server in message.draining
        ],
        quarantine=[
            ttypes.QuarantineEntry(
                fingerprint=entry.fingerprint,
                blame=entry.blame,
                servers=list(entry.servers),
                remaining_ms=entry.remaining_ms,
                tests_failed=entry.tests_failed,
            )
            for entry in message.quarantine
        ],
        members=[_member_to_wire(member) for member in message.members],
        ask=message.ask,
        answer_to=message.answer_to,
        answer_incarnation=message.answer_incarnation,
    )


def gossip_from_wire(wire: Any) -> GossipMessage:
    """Return the gossip message of a thrift struct.

    :raises FrameError: if a value is missing or out of bounds.
    """
    return GossipMessage(
        sender=_member_from_wire(wire.sender),
        note_number=integer(wire.note_number, "note_number"),
        note_digest=text(wire.note_digest, "note_digest"),
        draining=tuple(
            DrainingServer(text(item.id, "id"), text(item.incarnation, "incarnation"))
            for item in items(wire.draining, "draining")
        ),
        quarantine=tuple(_quarantine(item) for item in items(wire.quarantine, "quarantine")),
        members=tuple(_member_from_wire(item) for item in items(wire.members, "members")),
        ask=integer(wire.ask, "ask"),
        answer_to=integer(wire.answer_to, "answer_to"),
        answer_incarnation=text(wire.answer_incarnation, "answer_incarnation"),
    )


def _member_to_wire(member: Member) -> Any:
    return ttypes.Member(
        id=member.id,
        incarnation=member.incarnation,
        heartbeat=member.heartbeat,
        address=member.address,
        domain=member.domain,
        status=member.status.value,
    )


def _member_from_wire(wire: Any) -> Member:
    if wire is None:
        raise FrameError("a member is missing")
    try:
        status = PeerStatus(wire.status)
    except ValueError:
        raise FrameError("status is none of those known") from None
    return Member(
        id=text(wire.id, "id"),
        incarnation=text(wire.incarnation, "incarnation"),
        heartbeat=integer(wire.heartbeat, "heartbeat"),
        address=ip_address(wire.address, "address"),
        domain=text(wire.domain, "domain"),
        status=status,
    )


def _quarantine(wire: Any) -> QuarantineEntry:
    return QuarantineEntry(
        fingerprint=text(wire.fingerprint, "fingerprint"),
        blame=finite(wire.blame, "blame"),
        servers=tuple(text(item, "servers") for item in items(wire.servers, "servers")),
        remaining_ms=finite(wire.remaining_ms, "remaining_ms"),
        tests_failed=integer(wire.tests_failed, "tests_failed"),
    )
