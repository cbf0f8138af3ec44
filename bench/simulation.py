"""One simulated run in virtual time: instances, servers, callers and a record of every search."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from bench.deployments import DEADLINE_MS, Network, note_document, shard_map, snapshot
from bench.fakes import Delivery, FakeInstance, FakeServer
from bench.virtual_clock import VirtualClock
from turmerictiller.config import load_settings
from turmerictiller.core import effects, events
from turmerictiller.core.state import new_state

if TYPE_CHECKING:
    from collections.abc import Callable

    from bench.deployments import Deployment, FrontShape

FIRST_VERSION = 1


@dataclass(slots=True)
class SearchRecord:
    """One search as its caller observes it.

    :param took_ms: time from sending to the answer, both at the caller; 0 without an answer.
    :param refusal: type of the refusal; empty for an answer.
    """

    sent_at: float
    front: str
    domain: str
    parts: int = 0
    took_ms: float = 0.0
    coverage: float = 0.0
    refusal: str = ""
    retry_after_ms: float | None = None


@dataclass
class Simulation:
    """State of one simulated run.

    :param demand: returns the factor on the ordinary demand at a time in milliseconds.
    :param settings: settings of the instances that differ from the defaults.
    :param front_options: fields that are set on every front.
    """

    deployment: Deployment
    seed: int
    demand: Callable[[float], float]
    settings: dict[str, Any] = field(default_factory=dict)
    front_options: dict[str, Any] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.clock = VirtualClock()
        self.rng = random.Random(self.seed)
        self.network = Network(self.deployment)
        self.counters: Counter[str] = Counter()
        self.records: list[SearchRecord] = []
        self.records_by_call: dict[int, SearchRecord] = {}
        self.note = note_document(self.deployment, **self.front_options)
        self.servers_by_id = self._create_servers()
        self.retired: list[FakeInstance] = []
        self.instances: list[FakeInstance] = []
        self._next_number = 0

    def start(self) -> None:
        """Start instances and callers."""
        self.set_version(FIRST_VERSION)
        self._start_instances()
        for server in self.servers_by_id.values():
            server.report_load()
        for shape in self.deployment.fronts:
            self._schedule_arrival(shape)

    def _create_servers(self) -> dict[str, FakeServer]:
        shapes = {shape.name: shape for shape in self.deployment.fronts}
        shards = shard_map(self.deployment)
        servers = {}
        for service in self.note["result"]["services"]:
            shape = shapes[service["name"].rpartition("-")[0]]
            for item in service["servers"]:
                rng = random.Random(f"{self.seed}/{item['id']}")
                server = FakeServer(
                    item["id"],
                    item["domain"],
                    service["name"],
                    shape,
                    self.clock,
                    rng,
                    self.counters,
                    shards=shards[service["name"]],
                )
                servers[server.id] = server
        return servers

    def set_version(self, version: int, version_count: int = 1) -> None:
        """Make all servers serve an index version and the ``version_count - 1`` before it."""
        for server in self.servers_by_id.values():
            self.set_server_version(server, version, version_count)

    def set_server_version(self, server: FakeServer, version: int, version_count: int = 1) -> None:
        """Make one server serve an index version and the ``version_count - 1`` before it."""
        versions = range(max(FIRST_VERSION, version - version_count + 1), version + 1)
        server.snapshots = tuple(snapshot(self.deployment, item) for item in versions)

    def new_instance(self, slot: int) -> FakeInstance:
        """Return an instance that has received the note and the status of all reachable servers."""
        self._next_number += 1
        domains = self.deployment.domains
        settings = load_settings(
            {
                "instance_id": f"e{slot}",
                "failure_domain": domains[slot % len(domains)],
                "incarnation": f"i{self._next_number}",
                "peer_address": f"10.0.0.{slot + 1}:8081",
                "seed": self.seed * 1_000 + self._next_number,
                **self.settings,
            }
        )
        instance = FakeInstance(
            new_state(settings), self.network, self.clock, self.servers_by_id, self._deliver
        )
        instance.dispatch(events.NoteSeen(self.clock.now, "platform", self.note))
        for server in self.servers_by_id.values():
            if server.is_up and not self.network.is_cut(settings.failure_domain, server.domain):
                status = server.status()
                instance.dispatch(events.HealthReported(self.clock.now, server.id, status))
        return instance

    def replace_instances(self) -> None:
        """Replace all instances; the old ones complete the searches in flight."""
        self.retired += self.instances
        self._start_instances()

    def _start_instances(self) -> None:
        self.instances = [self.new_instance(slot) for slot in range(self.deployment.instances)]
        all_settings = [instance.state.settings for instance in self.instances]
        rows = tuple(
            events.ListedInstance(
                item.instance_id, "entry", item.peer_address, item.failure_domain, False
            )
            for item in all_settings
        )
        for instance in self.instances:
            instance.dispatch(events.InstanceListSeen(self.clock.now, 1, rows))

    def _schedule_arrival(self, shape: FrontShape) -> None:
        arrivals_per_ms = shape.capacity_per_s() * shape.load * self.demand(self.clock.now) / 1000
        self.clock.after(self.rng.expovariate(arrivals_per_ms), self._on_arrival, shape)

    def _on_arrival(self, shape: FrontShape) -> None:
        self._schedule_arrival(shape)
        self.send_search(shape.name, f"query {self.rng.randrange(1_000_000)}")

    def send_search(self, front: str, query: str) -> None:
        """Send a search to a random instance, as a load balancer would."""
        call_id = len(self.records) + 1
        instance = self.rng.choice(self.instances)
        record = SearchRecord(self.clock.now, front, instance.state.settings.failure_domain)
        self.records.append(record)
        self.records_by_call[call_id] = record
        client_ms = self.deployment.client_ms
        event = events.SearchArrived(
            at=self.clock.now + client_ms,
            call_id=call_id,
            front=front,
            query=query,
            deadline_ms=DEADLINE_MS - 2 * client_ms,
            caller=f"caller-{call_id % 50}",
        )
        self.clock.at(event.at, instance.dispatch, event)

    def _deliver(self, instance: FakeInstance, effect: Delivery) -> None:
        if isinstance(effect, effects.SendGossip):
            self._send_gossip(instance, effect)
        else:
            self._on_reply(effect)

    def _send_gossip(self, sender: FakeInstance, effect: effects.SendGossip) -> None:
        for receiver in self.instances:
            settings = receiver.state.settings
            domain = sender.state.settings.failure_domain
            if settings.peer_address != effect.address or self.network.is_cut(
                domain, settings.failure_domain
            ):
                continue
            at = self.clock.now + self.network.delay_ms(domain, settings.failure_domain)
            self.clock.at(at, receiver.dispatch, events.GossipReceived(at, effect.message))

    def _on_reply(self, reply: effects.ReplySearch | effects.ReplyRefusal) -> None:
        record = self.records_by_call.pop(reply.call_id)
        record.took_ms = self.clock.now + self.deployment.client_ms - record.sent_at
        if isinstance(reply, effects.ReplyRefusal):
            record.refusal = reply.refusal.type.value
            record.retry_after_ms = reply.refusal.retry_after_ms
        else:
            record.coverage = reply.coverage.share

    def sum_counter(self, name: str) -> int:
        """Return the sum of a counter over all instances, including retired ones."""
        return sum(item.counters[name] for item in [*self.instances, *self.retired])

    def parts_sent(self) -> int:
        """Return the number of parts of searches for which at least one sub-request was sent."""
        return sum(len(item.sent_parts) for item in [*self.instances, *self.retired])
