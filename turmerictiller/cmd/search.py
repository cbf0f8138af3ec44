"""Command ``search``: send a search and print the response."""

from __future__ import annotations

from typing import Annotated, Any
from urllib.parse import quote

import orjson
import typer

from turmerictiller.cmd import http

EXIT_REFUSED = 1
DEFAULT_TIMEOUT_S = 60.0
RAN_TEXT = {"no": "It was not run.", "maybe": "It may have run."}


def register(app: typer.Typer) -> None:
    """Add the command ``search``."""
    app.command("search")(search)


def search(
    url: Annotated[str, typer.Argument(help="Address for callers, such as 127.0.0.1:8080.")],
    front: Annotated[str, typer.Argument(help="Name of the search front.")],
    query: Annotated[str, typer.Argument(help="Query to search for.")],
    k: Annotated[int | None, typer.Option("--k", help="Maximum number of hits.")] = None,
    deadline_ms: Annotated[float | None, typer.Option(help="Deadline of the search.")] = None,
    priority: Annotated[str | None, typer.Option(help="Priority: interactive or batch.")] = None,
    cursor: Annotated[
        str | None, typer.Option(help="Cursor of the next page, from the previous response.")
    ] = None,
    as_json: Annotated[bool, typer.Option("--json", help="Print the response as JSON.")] = False,
) -> None:
    """Send a search and print its hits, snapshot, coverage and latency.

    Exit status: 0 if it succeeded, 1 if it was refused, 2 if the process cannot be reached.
    """
    parameters = {
        "query": query,
        "k": k,
        "deadline_ms": deadline_ms,
        "priority": priority,
        "cursor": cursor,
    }
    body = {name: value for name, value in parameters.items() if value is not None}
    timeout_s = (
        DEFAULT_TIMEOUT_S if deadline_ms is None else deadline_ms / 1000 + http.RESPONSE_MARGIN_S
    )
    search_url = f"{url.rstrip('/')}/v1/fronts/{quote(front, safe='')}/search"
    status, answer = http.post_json(search_url, body, timeout_s)
    if as_json:
        typer.echo(orjson.dumps(answer, option=orjson.OPT_INDENT_2).decode())
    elif status == 200:
        typer.echo("\n".join(answer_lines(answer)))
    else:
        typer.echo(refusal_line(status, answer), err=True)
    if status != 200:
        raise typer.Exit(EXIT_REFUSED)


def answer_lines(answer: dict[str, Any]) -> list[str]:
    """Return the response to a search as text, one hit per line."""
    lines = [_hit_line(number, hit) for number, hit in enumerate(answer["hits"], 1)]
    coverage = answer["coverage"]
    lines.append(
        f"{len(answer['hits'])} hits; snapshot {answer['snapshot']}; coverage "
        f"{coverage['merged']} of {coverage['total']} shards ({coverage['share']:.1%}); "
        f"{answer['took_ms']:.1f} ms"
    )
    lines += [f"missing: {item['shard']} ({item['reason']})" for item in coverage["missing"]]
    if answer.get("cursor"):
        lines.append(f"next page: --cursor {answer['cursor']}")
    return lines


def _hit_line(number: int, hit: dict[str, Any]) -> str:
    fields = ", ".join(f"{name}={value}" for name, value in hit["fields"].items())
    return f"{number:4}. {hit['score']:.3f}  {hit['shard']}  {hit['id']}  {fields}".rstrip()


def refusal_line(status: int, answer: Any) -> str:
    """Return a refusal as one line of text."""
    if not isinstance(answer, dict):
        return f"Refused with status {status}."
    retry_after_ms = answer.get("retry_after_ms")
    parts = [
        f"Refused with status {status}, {answer.get('error', 'no reason')}:",
        f"{answer.get('message', '')}.",
        RAN_TEXT.get(str(answer.get("ran")), ""),
        f"Try again after {retry_after_ms} ms." if retry_after_ms is not None else "",
    ]
    return " ".join(part for part in parts if part)
