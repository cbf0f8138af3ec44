"""Conversion between gossip messages and thrift structs."""

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
from turmerictiller.util.wire_checks import (
    check_finite,
    check_integer,
    check_ip_address,
    check_list,
    check_text,
)
from turmerictiller.wire.peers import ttypes


def gossip_to_wire(message: GossipMessage) -> Any:
    """Return the thrift struct for a gossip message."""
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
    """Return the gossip message for a thrift struct.

    :raises FrameError: if a value is missing or out of bounds.
    """
    return GossipMessage(
        sender=_member_from_wire(wire.sender),
        note_number=check_integer(wire.note_number, "note_number"),
        note_digest=check_text(wire.note_digest, "note_digest"),
        draining=tuple(
            DrainingServer(check_text(item.id, "id"), check_text(item.incarnation, "incarnation"))
            for item in check_list(wire.draining, "draining")
        ),
        quarantine=tuple(
            _quarantine_from_wire(item) for item in check_list(wire.quarantine, "quarantine")
        ),
        members=tuple(_member_from_wire(item) for item in check_list(wire.members, "members")),
        ask=check_integer(wire.ask, "ask"),
        answer_to=check_integer(wire.answer_to, "answer_to"),
        answer_incarnation=check_text(wire.answer_incarnation, "answer_incarnation"),
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
        raise FrameError("status is not a known value") from None
    return Member(
        id=check_text(wire.id, "id"),
        incarnation=check_text(wire.incarnation, "incarnation"),
        heartbeat=check_integer(wire.heartbeat, "heartbeat"),
        address=check_ip_address(wire.address, "address"),
        domain=check_text(wire.domain, "domain"),
        status=status,
    )


def _quarantine_from_wire(wire: Any) -> QuarantineEntry:
    return QuarantineEntry(
        fingerprint=check_text(wire.fingerprint, "fingerprint"),
        blame=check_finite(wire.blame, "blame"),
        servers=tuple(check_text(item, "servers") for item in check_list(wire.servers, "servers")),
        remaining_ms=check_finite(wire.remaining_ms, "remaining_ms"),
        tests_failed=check_integer(wire.tests_failed, "tests_failed"),
    )
