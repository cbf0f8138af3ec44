"""The two deployments of the design page as data, and their release notes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from turmerictiller.core.configuration.note_model import DefinitionsModel, WithdrawnModel
from turmerictiller.core.configuration.notes import seal_note
from turmerictiller.util.canonical import snapshot_name

SHARDS_PER_SERVICE = 2
DEADLINE_MS = 500.0
COVERAGE_FLOOR = 0.5


@dataclass(frozen=True)
class FrontShape:
    """One front and the upstreams that serve only this front.

    :param servers: servers of each service.
    :param load: share of the upstreams' capacity that the ordinary demand uses.
    :param service_ms: mean time that a sub-request holds a slot.
    """

    name: str
    services: int
    servers: int
    slots: int
    connections: int
    open_ms: float
    load: float
    service_ms: float = 10.0

    def capacity_per_s(self) -> float:
        """Return the searches per second that the upstreams can serve."""
        return self.servers * self.slots * 1000 / self.service_ms


@dataclass(frozen=True)
class Deployment:
    """A deployment; figures are reported for its first front.

    :param client_ms: one-way delay between callers and instances.
    :param local_ms: one-way delay within a failure domain.
    :param between_ms: one-way delay between failure domains.
    """

    name: str
    domains: tuple[str, ...]
    instances: int
    client_ms: float
    fronts: tuple[FrontShape, ...]
    local_ms: float = 0.1
    between_ms: float = 1.0


@dataclass
class Network:
    """One-way delays between failure domains, one of which may be partitioned from the others."""

    deployment: Deployment
    cut_domain: str = ""

    def is_cut(self, one: str, other: str) -> bool:
        """Return whether two domains are partitioned from each other."""
        return one != other and self.cut_domain in (one, other)

    def delay_ms(self, one: str, other: str) -> float:
        """Return the one-way delay between two domains."""
        return self.deployment.local_ms if one == other else self.deployment.between_ms


DAKAR = Deployment(
    "dakar",
    ("plateau", "almadies", "pikine"),
    instances=8,
    client_ms=1.0,
    fronts=(
        FrontShape("booking", 10, 3, 3, 30, 6.0, load=0.5),
        FrontShape("fabric", 15, 3, 3, 30, 6.0, load=0.02),
        FrontShape("dispatch", 1, 10, 2, 110, 1.0, load=0.4),
        FrontShape("invoicing", 1, 6, 2, 110, 1.0, load=0.05),
    ),
)

BAGMATI = Deployment(
    "bagmati",
    ("kathmandu-1", "kathmandu-2", "lalitpur", "bhaktapur"),
    instances=9,
    client_ms=3.0,
    fronts=(
        FrontShape("finder", 10, 3, 3, 30, 6.0, load=0.5),
        FrontShape("ledger", 15, 3, 3, 30, 6.0, load=0.02),
        FrontShape("pattern", 1, 8, 3, 40, 1.0, load=0.4),
        FrontShape("trainer", 1, 4, 3, 40, 1.0, load=0.05),
    ),
)

DEPLOYMENTS = (DAKAR, BAGMATI)


def definitions(deployment: Deployment, **front: Any) -> DefinitionsModel:
    """Return the services and fronts of a deployment.

    :param front: fields that are set on every front.
    """
    services: list[dict[str, Any]] = []
    fronts: list[dict[str, Any]] = []
    for shape in deployment.fronts:
        names = [f"{shape.name}-{number}" for number in range(shape.services)]
        for name in names:
            services.append(_service(deployment, shape, name, len(services)))
        fronts.append(
            {
                "name": shape.name,
                "services": names,
                "coverage_floor": COVERAGE_FLOOR,
                "deadline_default_ms": DEADLINE_MS,
                **front,
            }
        )
    return DefinitionsModel.model_validate({"services": services, "fronts": fronts})


def _service(deployment: Deployment, shape: FrontShape, name: str, index: int) -> dict[str, Any]:
    servers = [
        {
            "id": f"{name}-s{number}",
            "address": f"127.0.0.1:{10_000 + index * 20 + number}",
            "domain": deployment.domains[(index + number) % len(deployment.domains)],
        }
        for number in range(shape.servers)
    ]
    return {
        "name": name,
        "servers": servers,
        "slots": shape.slots,
        "connections": shape.connections,
        "open_ms": shape.open_ms,
    }


def note_document(deployment: Deployment, **front: Any) -> dict[str, Any]:
    """Return the first release note of a deployment."""
    added = definitions(deployment, **front)
    return seal_note(None, added, DefinitionsModel(), WithdrawnModel()).unwrap()


def shard_map(deployment: Deployment) -> dict[str, tuple[str, ...]]:
    """Return the shards of each service."""
    return {
        f"{shape.name}-{number}": tuple(
            f"{shape.name}-{number}/{shard}" for shard in range(SHARDS_PER_SERVICE)
        )
        for shape in deployment.fronts
        for number in range(shape.services)
    }


def snapshot(deployment: Deployment, version: int) -> str:
    """Return the name of an index version's snapshot."""
    lists = {name: list(shards) for name, shards in shard_map(deployment).items()}
    return snapshot_name(version, lists)


def reachable_share(deployment: Deployment, domain: str) -> float:
    """Return the share of the first front's services that have a server in a domain."""
    front, services = deployment.fronts[0].name, definitions(deployment).services
    front_services = [item for item in services if item.name.rpartition("-")[0] == front]
    reachable = [
        item for item in front_services if any(server.domain == domain for server in item.servers)
    ]
    return len(reachable) / len(front_services)
