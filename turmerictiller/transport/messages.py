"""HTTP messages as they are on the wire."""

from __future__ import annotations

from dataclasses import dataclass

Headers = list[tuple[bytes, bytes]]


@dataclass(slots=True)
class RawRequest:
    """A whole request; header names are in lower case in ``values_by_name`` only."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    values_by_name: dict[bytes, bytes]


@dataclass(slots=True)
class RawResponse:
    """A whole response.

    :param extra_bytes: bytes followed it that belong to no request.
    """

    status: int
    reason: bytes
    headers: Headers
    body: bytes
    values_by_name: dict[bytes, bytes]
    extra_bytes: bool = False


# Headers that concern one connection only and are not passed on.
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)


def end_to_end(headers: Headers, values_by_name: dict[bytes, bytes]) -> Headers:
    """Return the headers that are meant for the other end."""
    connection = values_by_name.get(b"connection")
    named = (
        {token.strip().lower() for token in connection.split(b",")} if connection else frozenset()
    )
    return [
        (name, value)
        for name, value in headers
        if (lower := name.lower()) not in HOP_BY_HOP and lower not in named
    ]


def write_response(status: int, reason: bytes, headers: Headers, body: bytes, close: bool) -> bytes:
    """Return the bytes of a response with a length."""
    lines = [b"HTTP/1.1 %d %s" % (status, reason)]
    lines += [b"%s: %s" % header for header in headers]
    lines.append(b"Content-Length: %d" % len(body))
    if close:
        lines.append(b"Connection: close")
    lines.append(b"\r\n")
    return b"\r\n".join(lines) + body
