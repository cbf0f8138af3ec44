"""Tests of the text of a ticket."""

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


def with_changes(**changes: str) -> Settings:
    """Return the owner's settings with changes."""
    values = {"incarnation": "a1", "ticket_secret": "velvet", **changes}
    return Harness(**values).settings


def test_own_ticket_is_accepted() -> None:
    """Guards against an owner that can not read its own tickets."""
    assert verify_ticket(TEXT, OWNER) == TICKET


@pytest.mark.parametrize("index", range(len(TEXT)))
def test_changed_text_is_never_accepted(index: int) -> None:
    """Guards against a ticket with another expiry or spelling than the one issued."""
    for char in string.ascii_letters + string.digits + "-_.=":
        changed = TEXT[:index] + char + TEXT[index + 1 :]
        if changed != TEXT:
            with pytest.raises(TicketError):
                verify_ticket(changed, OWNER)


@given(st.text(max_size=80) | st.text(alphabet="t1.AQab_-", max_size=60))
def test_any_text_gives_a_typed_error(text: str) -> None:
    """Guards against a caller's text that raises through the reducer."""
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
def test_field_out_of_bounds_is_malformed(changes: dict[str, object]) -> None:
    """Guards against a forwarder that connects to whatever a forged ticket holds."""
    text = encode_ticket(replace(TICKET, **changes), ticket_key(OWNER))  # type: ignore[arg-type]
    with pytest.raises(MalformedTicketError):
        decode_ticket(text)


def test_ticket_of_another_secret_is_forged() -> None:
    """Guards against a digest that does not depend on the secret."""
    with pytest.raises(ForgedTicketError):
        verify_ticket(TEXT, with_changes(ticket_secret="linen"))


def test_ticket_of_another_incarnation_is_foreign() -> None:
    """Guards against a restart that honours tickets whose records it lost."""
    with pytest.raises(ForeignTicketError):
        verify_ticket(TEXT, with_changes(incarnation="a2"))
    assert ticket_key(OWNER) != ticket_key(with_changes(incarnation="a2"))


def test_secret_is_drawn_and_not_shown() -> None:
    """Guards against a predictable secret, and one that shows in dumps or logs."""
    first, second = (with_changes(ticket_secret="").with_identity() for _ in range(2))
    secret = first.ticket_secret.get_secret_value()
    assert len(secret) == 64
    assert secret != second.ticket_secret.get_secret_value()
    dump = dump_state(Harness(ticket_secret="velvet").state)
    shown = f"{OWNER!r}{OWNER}{OWNER.model_dump()}{OWNER.model_dump_json()}{dump}"
    assert "velvet" not in shown
    assert "ticket_secret" not in shown
