"""Tests of the encoding and verification of tickets."""

from __future__ import annotations

import string
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.harness import Harness
from turmerictiller.borders.operators.state_dump import dump_state
from turmerictiller.config import Settings
from turmerictiller.core.tickets.codec import (
    Ticket,
    decode_ticket,
    encode_ticket,
    ticket_key,
    verify_ticket,
)
from turmerictiller.errors import (
    ForeignTicketError,
    ForgedTicketError,
    MalformedTicketError,
    TicketError,
)

OWNER = Harness(ticket_secret="velvet").settings
TICKET = Ticket("e1", "127.0.0.1:8081", "a1", 7, 600_000.0)
TEXT = encode_ticket(TICKET, ticket_key(OWNER))


def changed_settings(**changes: str) -> Settings:
    """Return the owner's settings with some values replaced."""
    values = {"incarnation": "a1", "ticket_secret": "velvet", **changes}
    return Harness(**values).settings


def test_owner_accepts_its_own_ticket() -> None:
    """Guards against an owner that cannot verify its own tickets."""
    assert verify_ticket(TEXT, OWNER) == TICKET


@pytest.mark.parametrize("index", range(len(TEXT)))
def test_changed_text_is_never_accepted(index: int) -> None:
    """Guards against accepting a ticket with an altered expiry or a non-canonical encoding."""
    for char in string.ascii_letters + string.digits + "-_.=":
        altered_text = TEXT[:index] + char + TEXT[index + 1 :]
        if altered_text != TEXT:
            with pytest.raises(TicketError):
                verify_ticket(altered_text, OWNER)


@given(st.text(max_size=80) | st.text(alphabet="t1.AQab_-", max_size=60))
def test_arbitrary_text_raises_a_typed_error(text: str) -> None:
    """Guards against a caller's text that raises an untyped exception in the reducer."""
    with pytest.raises(MalformedTicketError):
        decode_ticket(text)


@pytest.mark.parametrize(
    "changes",
    [
        {"sequence": 0},
        {"expires_at": 1},
        {"address": "host:1"},
        {"address": "::1"},
        {"sequence": 1.5},
    ]
    + [{"instance_id": ""}, {"address": "127.0.0.1:99999"}, {"incarnation": ""}],
)
def test_out_of_range_field_is_malformed(changes: dict[str, object]) -> None:
    """Guards against a forwarder that connects to an arbitrary address of a forged ticket."""
    text = encode_ticket(replace(TICKET, **changes), ticket_key(OWNER))  # type: ignore[arg-type]
    with pytest.raises(MalformedTicketError):
        decode_ticket(text)


def test_ticket_signed_with_another_secret_is_forged() -> None:
    """Guards against a digest that does not depend on the secret."""
    with pytest.raises(ForgedTicketError):
        verify_ticket(TEXT, changed_settings(ticket_secret="linen"))


def test_ticket_of_another_incarnation_is_foreign() -> None:
    """Guards against accepting tickets whose records were lost in a restart."""
    with pytest.raises(ForeignTicketError):
        verify_ticket(TEXT, changed_settings(incarnation="a2"))
    assert ticket_key(OWNER) != ticket_key(changed_settings(incarnation="a2"))


def test_secret_is_random_and_not_exposed() -> None:
    """Guards against a predictable secret, and against one that appears in dumps or logs."""
    first, second = (changed_settings(ticket_secret="").with_identity() for _ in range(2))
    secret = first.ticket_secret.get_secret_value()
    assert len(secret) == 64
    assert secret != second.ticket_secret.get_secret_value()
    state_dump = dump_state(Harness(ticket_secret="velvet").state)
    exposed_text = f"{OWNER!r}{OWNER}{OWNER.model_dump()}{OWNER.model_dump_json()}{state_dump}"
    assert "velvet" not in exposed_text
    assert "ticket_secret" not in exposed_text
