"""Raw HTTP messages and their encoding."""

from __future__ import annotations

from dataclasses import dataclass

Headers = list[tuple[bytes, bytes]]


@dataclass(slots=True)
class RawRequest:
    """A complete request; only the keys of ``values_by_name`` are in lower case."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    values_by_name: dict[bytes, bytes]


@dataclass(slots=True)
class RawResponse:
    """A complete response.

    :param extra_bytes: whether unsolicited bytes followed the response.
    """

    status: int
    reason: bytes
    headers: Headers
    body: bytes
    values_by_name: dict[bytes, bytes]
    extra_bytes: bool = False


# Headers that apply to a single connection and are not forwarded.
HOP_BY_HOP_HEADERS = frozenset(
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


def end_to_end_headers(headers: Headers, values_by_name: dict[bytes, bytes]) -> Headers:
    """Return the headers to forward, without hop-by-hop headers."""
    connection_value = values_by_name.get(b"connection")
    connection_options = (
        {token.strip().lower() for token in connection_value.split(b",")}
        if connection_value
        else frozenset()
    )
    return [
        (name, value)
        for name, value in headers
        if (lower := name.lower()) not in HOP_BY_HOP_HEADERS and lower not in connection_options
    ]


def encode_response(
    status: int, reason: bytes, headers: Headers, body: bytes, close: bool
) -> bytes:
    """Return an encoded response with a ``Content-Length`` header."""
    lines = [b"HTTP/1.1 %d %s" % (status, reason)]
    lines += [b"%s: %s" % header for header in headers]
    lines.append(b"Content-Length: %d" % len(body))
    if close:
        lines.append(b"Connection: close")
    lines.append(b"\r\n")
    return b"\r\n".join(lines) + body
