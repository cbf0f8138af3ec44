"""Test harness that drives the reducer of one instance in virtual time."""

from __future__ import annotations

from typing import Any, TypeVar

from turmerictiller.config import load_settings
from turmerictiller.core import effects, events
from turmerictiller.core.configuration.note_model import DefinitionsModel, WithdrawnModel
from turmerictiller.core.configuration.notes import seal_note
from turmerictiller.core.reducer import reduce
from turmerictiller.core.state import new_state
from turmerictiller.util.canonical import snapshot_name

E = TypeVar("E")


def definitions(services: int = 2, servers: int = 3, **front: Any) -> dict[str, Any]:
    """Return the definitions of one front over several services."""
    names = [f"jobs-{number}" for number in range(services)]
    return {
        "services": [
            {
                "name": name,
                "servers": [
                    {
                        "id": f"{name}-s{number}",
                        "address": f"127.0.0.1:{20_000 + index * 100 + number}",
                        "domain": ["plateau", "almadies", "pikine"][number % 3],
                    }
                    for number in range(servers)
                ],
                "slots": 3,
                "connections": 30,
                "open_ms": 6.0,
            }
            for index, name in enumerate(names)
        ],
        "fronts": [{"name": "booking", "services": names, "actions": ["pickup"], **front}],
    }


def first_note(**kwargs: Any) -> dict[str, Any]:
    """Return a sealed first note, which has no predecessor."""
    added = DefinitionsModel.model_validate(definitions(**kwargs))
    return seal_note(None, added, DefinitionsModel(), WithdrawnModel()).unwrap()


def shard_map(services: int = 2, shards: int = 2) -> dict[str, tuple[str, ...]]:
    """Return shard names by service."""
    return {
        f"jobs-{index}": tuple(f"jobs-{index}/{number}" for number in range(shards))
        for index in range(services)
    }


def snapshot(version: int, shards: dict[str, tuple[str, ...]]) -> str:
    """Return the name of the snapshot of some shards at a version."""
    return snapshot_name(version, {name: list(items) for name, items in shards.items()})


class Harness:
    """Drive one instance in virtual time and collect its effects."""

    def __init__(self, **settings: Any) -> None:
        values = {"instance_id": "e1", "failure_domain": "plateau", "incarnation": "a1", "seed": 1}
        self.settings = load_settings({**values, **settings})
        self.state = new_state(self.settings)
        self.effects: list[effects.Effect] = []
        self.at = 0.0

    def send(self, event: events.Event) -> list[effects.Effect]:
        """Reduce one event and return its effects."""
        new = reduce(self.state, event)
        self.effects += new
        return new

    def advance(self, ms: float) -> list[effects.Effect]:
        """Advance the clock, send a tick for each due timer, and return the new effects."""
        end = self.at + ms
        new: list[effects.Effect] = []
        while (due := self.state.timers.next_at()) is not None and due <= end:
            self.at = max(self.at, due)
            new += self.send(events.Tick(self.at))
        self.at = end
        return new + self.send(events.Tick(self.at))

    def pop_effects(self, kind: type[E]) -> list[E]:
        """Remove and return the collected effects of one kind."""
        found: list[E] = [effect for effect in self.effects if isinstance(effect, kind)]
        self.effects = [effect for effect in self.effects if not isinstance(effect, kind)]
        return found

    def start(self, version: int = 1, services: int = 2, servers: int = 3, **front: Any) -> str:
        """Put a note in force, report one snapshot for every server, and return its name."""
        note = first_note(services=services, servers=servers, **front)
        self.send(events.NoteSeen(self.at, "platform", note))
        shards = shard_map(services)
        name = snapshot(version, shards)
        for server_id in list(self.state.servers_by_id):
            status = events.UpstreamStatus(f"i-{server_id}", False, (name,))
            self.send(events.HealthReported(self.at, server_id, status))
        self.send(events.ShardMapSeen(self.at, next(iter(self.state.servers_by_id)), name, shards))
        return name

    def list_instances(self, *addresses: str) -> None:
        """Send an instance list of the platform with entry instances at the addresses."""
        rows = tuple(
            events.ListedInstance(f"listed-{address}", "entry", address, "plateau", False)
            for address in addresses
        )
        self.send(events.InstanceListSeen(self.at, 1, rows))

    def search(self, call_id: int, **kwargs: Any) -> list[effects.SendSearch]:
        """Start a search and return its attempts."""
        values = {"front": "booking", "query": "velvet", "deadline_ms": 500.0, **kwargs}
        self.send(events.SearchArrived(self.at, call_id, **values))
        return self.pop_effects(effects.SendSearch)

    def answer(self, attempt: effects.SendSearch, hits_per_shard: int = 2, **changes: Any) -> None:
        """Answer an attempt with hits from every shard of its service."""
        shards = self.state.shard_maps_by_snapshot[attempt.snapshot][attempt.service]
        values = {
            "snapshot": attempt.snapshot,
            "shards": shards,
            "hits": tuple(
                events.Hit(1.0 / (number + 1), shard, f"{shard}#{number}")
                for shard in shards
                for number in range(hits_per_shard)
            ),
            **changes,
        }
        self.send(events.AttemptAnswered(self.at, attempt.attempt_id, **values))
