"""Encode, decode and verify tickets, each of which authorizes one non-idempotent request.

A ticket has the form ``t1.<payload>.<digest>``, both parts in unpadded URL-safe base64. The payload
is a JSON array of the fields of :class:`Ticket` in order; the digest is a keyed BLAKE2b hash of it.
"""

from __future__ import annotations

import base64
import binascii
import hashlib
import hmac
import ipaddress
import math
from dataclasses import astuple, dataclass
from typing import TYPE_CHECKING, Any

import orjson
from pydantic import SecretStr

from turmerictiller.errors import (
    ForeignTicketError,
    ForgedTicketError,
    MalformedTicketError,
    TicketError,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from turmerictiller.clock import Millis
    from turmerictiller.config import Settings

VERSION = "t1"
DIGEST_BYTES = 16
MAX_TICKET_CHARS = 512
MAX_NAME_CHARS = 64


@dataclass(frozen=True, slots=True)
class Ticket:
    """Fields of a ticket; they are untrusted until :func:`verify_ticket` has checked the digest.

    :param address: ``IP:PORT`` of the owner's listener for peers.
    :param expires_at: expiry on the owner's monotonic clock.
    """

    instance_id: str
    address: str
    incarnation: str
    sequence: int
    expires_at: Millis


def ticket_key(settings: Settings) -> bytes:
    """Derive the key with which this incarnation signs its tickets."""
    secret = hashlib.blake2b(settings.ticket_secret.get_secret_value().encode()).digest()
    return hashlib.blake2b(settings.incarnation.encode(), key=secret, digest_size=32).digest()


def encode_ticket(ticket: Ticket, key: bytes) -> str:
    """Return the signed text form of a ticket."""
    payload = orjson.dumps(astuple(ticket))
    return f"{VERSION}.{_to_base64(payload)}.{_to_base64(_digest(payload, key))}"


def decode_ticket(text: str) -> Ticket:
    """Parse a ticket without verifying its digest.

    :raises MalformedTicketError: if the text does not have the form of a ticket.
    """
    payload, _ = _split(text)
    try:
        return _parse_fields(orjson.loads(payload))
    except ValueError as error:
        raise MalformedTicketError("the payload of the ticket is malformed") from error


def verify_ticket(text: str, settings: Settings) -> Ticket:
    """Parse a ticket and verify that this incarnation issued it.

    :raises MalformedTicketError: if the text does not have the form of a ticket.
    :raises ForeignTicketError: if another incarnation or instance is named as the issuer.
    :raises ForgedTicketError: if the digest does not match the payload.
    """
    ticket = decode_ticket(text)
    issuer = (ticket.instance_id, ticket.incarnation)
    if issuer != (settings.instance_id, settings.incarnation):
        raise ForeignTicketError("the ticket belongs to another incarnation")
    payload, digest = _split(text)
    if not hmac.compare_digest(digest, _digest(payload, ticket_key(settings))):
        raise ForgedTicketError("the digest of the ticket is wrong")
    return ticket


def ticket_rewriter(settings: Settings) -> Callable[[str], str]:
    """Return a function that re-signs a ticket with the empty secret, for use in traces.

    Traces then hold no valid signature. A text that is not a valid ticket of this incarnation is
    returned unchanged, so that a replay refuses it as well.
    """
    without_secret = ticket_key(settings.model_copy(update={"ticket_secret": SecretStr("")}))

    def rewrite(text: str) -> str:
        try:
            return encode_ticket(verify_ticket(text, settings), without_secret)
        except TicketError:
            return text

    return rewrite


def _digest(payload: bytes, key: bytes) -> bytes:
    return hashlib.blake2b(payload, key=key, digest_size=DIGEST_BYTES).digest()


def _split(text: str) -> tuple[bytes, bytes]:
    parts = text.split(".") if len(text) <= MAX_TICKET_CHARS else []
    if len(parts) != 3 or parts[0] != VERSION:
        raise MalformedTicketError("this is not a ticket of version 1")
    digest = _from_base64(parts[2])
    if len(digest) != DIGEST_BYTES:
        raise MalformedTicketError("the digest of the ticket has the wrong length")
    return _from_base64(parts[1]), digest


def _parse_fields(fields: Any) -> Ticket:
    match fields:
        case [str(instance_id), str(address), str(incarnation), int(sequence), float(expires_at)]:
            are_names_valid = 0 < len(instance_id) <= MAX_NAME_CHARS and incarnation
            if not are_names_valid or isinstance(sequence, bool) or sequence < 1:
                raise ValueError("field out of bounds")
            if not math.isfinite(expires_at):
                raise ValueError("expiry is not finite")
            _check_address(address)
            return Ticket(instance_id, address, incarnation, sequence, expires_at)
    raise ValueError("wrong fields")


def _check_address(address: str) -> None:
    host, _, port = address.rpartition(":")
    ipaddress.ip_address(host.strip("[]"))
    if not (port.isascii() and port.isdecimal()) or not 0 <= int(port) <= 65535:
        raise ValueError("port out of bounds")


def _to_base64(raw: bytes) -> str:
    return base64.urlsafe_b64encode(raw).rstrip(b"=").decode()


def _from_base64(text: str) -> bytes:
    try:
        raw = base64.urlsafe_b64decode(text + "=" * (-len(text) % 4))
    except (binascii.Error, ValueError) as error:
        raise MalformedTicketError("the ticket is not base64") from error
    # Several base64 texts decode to the same bytes; accept only the canonical one, as issued.
    if _to_base64(raw) != text:
        raise MalformedTicketError("the ticket is not canonical base64")
    return raw
