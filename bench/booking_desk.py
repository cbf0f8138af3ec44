"""Dakar's booking desk for demonstrations: servers, release notes and a check of answers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from standins.upstream import documents
from turmerictiller.core.configuration.note_model import DefinitionsModel, WithdrawnModel
from turmerictiller.core.configuration.notes import check_note, seal_note
from turmerictiller.util.canonical import snapshot_name

FRONT = "booking"
SERVICES = [f"jobs-{number}" for number in range(10)]
DOMAINS = ["plateau", "almadies", "pikine"]
SHARDS_PER_SERVICE = 4
SHARDS = [f"{name}/{number}" for name in SERVICES for number in range(SHARDS_PER_SERVICE)]
SERVICE_MS = 5.0


@dataclass(frozen=True)
class DeskServer:
    """One server of the desk."""

    id: str
    service: str
    domain: str
    address: str

    def as_argument(self) -> dict[str, Any]:
        """Return the server as an item of the stand-in's ``--servers`` argument."""
        behaviour = {
            "service": self.service,
            "services": SERVICES,
            "shards_per_service": SHARDS_PER_SERVICE,
            "service_ms": SERVICE_MS,
        }
        return {"id": self.id, "address": self.address, "behaviour": behaviour}


def desk_servers(addresses: list[str]) -> list[DeskServer]:
    """Return three servers per service, one in each failure domain."""
    placements = [(service, domain) for service in SERVICES for domain in DOMAINS]
    return [
        DeskServer(f"{service}-{domain}", service, domain, address)
        for (service, domain), address in zip(placements, addresses, strict=True)
    ]


def first_note(servers: list[DeskServer]) -> dict[str, Any]:
    """Return the first release note, which defines all services and the front."""
    services = [
        {
            "name": name,
            "servers": [
                {"id": server.id, "address": server.address, "domain": server.domain}
                for server in servers
                if server.service == name
            ],
            "slots": 3,
            "connections": 30,
            "open_ms": 6.0,
        }
        for name in SERVICES
    ]
    added = {"services": services, "fronts": [_front(100)]}
    definitions = DefinitionsModel.model_validate(added)
    return seal_note(None, definitions, DefinitionsModel(), WithdrawnModel()).unwrap()


def next_note(document: dict[str, Any]) -> dict[str, Any]:
    """Return the note that follows ``document`` and lowers the limit on hits."""
    current = check_note(None, document).unwrap()
    changed = DefinitionsModel.model_validate({"fronts": [_front(50)]})
    return seal_note(current, DefinitionsModel(), changed, WithdrawnModel()).unwrap()


def _front(k_max: int) -> dict[str, Any]:
    return {
        "name": FRONT,
        "services": SERVICES,
        "actions": ["pickup"],
        "k_max": k_max,
        "deadline_default_ms": 2_000.0,
    }


def find_problems(answer: dict[str, Any], query: str, k: int) -> list[str]:
    """Return the errors in an answer, whose hits must be exactly those of the covered shards."""
    coverage = answer["coverage"]
    missing = {item["shard"] for item in coverage["missing"]}
    problems = []
    if coverage["total"] != len(SHARDS) or coverage["merged"] != len(SHARDS) - len(missing):
        problems.append(f"coverage does not add up: {coverage}")
    version = int(answer["snapshot"].partition("-")[0])
    shards_by_service = {
        name: [shard for shard in SHARDS if shard.startswith(f"{name}/")] for name in SERVICES
    }
    if answer["snapshot"] != snapshot_name(version, shards_by_service):
        problems.append(f"unknown snapshot {answer['snapshot']}")
    hits = [
        hit for shard in SHARDS if shard not in missing for hit in documents(shard, version, query)
    ]
    hits.sort(key=lambda hit: (-hit["score"], hit["shard"], hit["id"]))
    if answer["hits"] != hits[:k]:
        problems.append(f"hits are not those of the covered shards at {answer['snapshot']}")
    return problems
