"""Several reducers in virtual time over a network that loses, delays, doubles and reorders."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from typing import Any

from tests.reducing import Harness
from turmerictiller.core import effects, events
from turmerictiller.core.configuration.note_model import DefinitionsModel, WithdrawnModel
from turmerictiller.core.configuration.notes import check_note, seal_note

REACHABLE_DELAY_MS = 400.0


def next_note(document: dict[str, Any], variant: int = 0) -> dict[str, Any]:
    """Return a note that follows another one; variants differ in their digests."""
    current = check_note(None, document).unwrap()
    front = document["result"]["fronts"][0] | {"k_max": current.number * 4 + variant + 1}
    changed = DefinitionsModel.model_validate({"services": [], "fronts": [front]})
    return seal_note(current, DefinitionsModel(), changed, WithdrawnModel()).unwrap()


class Fleet:
    """Instances that know each other by their settings.

    :param owed: by joining instance, the number that each peer had in force at its start; a peer
        that was out of reach for a moment since then is left out.
    """

    def __init__(self, size: int, seed: int = 1) -> None:
        self.size = size
        self.at = 0.0
        self.rng = random.Random(seed)
        self.loss = self.double = self.delay_ms = 0.0
        self.cut: set[tuple[int, int]] = set()
        self.cut_from_platform: set[int] = set()
        self.platform: dict[str, Any] | None = None
        self.nodes: list[Harness | None] = [None] * size
        self.paused_until = [0.0] * size
        self.owed: list[dict[int, int]] = [{} for _ in range(size)]
        self._starts = itertools.count(1)
        self._queue: list[tuple[float, int, int, Callable[[], events.Event], Any]] = []
        self._sequence = itertools.count()

    def address(self, index: int) -> str:
        return f"10.0.0.{index + 1}:1"

    def number(self, index: int) -> int:
        """Return the number in force on an instance, 0 for none."""
        node = self.nodes[index]
        return node.state.note.number if node and node.state.note else 0

    def candidates(self) -> list[int]:
        """Return the numbers of the platform's notes that joining instances hold."""
        held = [node.state.notes.join.candidate for node in self.nodes if node]
        return [note.number for note in held if note]

    def start(self, index: int) -> None:
        """Start an instance, or restart it under the same address."""
        self.stop(index)
        self.owed[index] = {
            other: self.number(other)
            for other in range(self.size)
            if self.number(other) and not self._is_impaired(index, other)
        }
        start = next(self._starts)
        node = self.nodes[index] = Harness(
            instance_id=f"e{index}",
            incarnation=f"inc{start}",
            seed=start,
            peer_address=self.address(index),
            peers=",".join(self.address(other) for other in range(self.size)),
        )
        node.at = self.at
        self._send(index, events.Tick(self.at))
        self.show(index, self.platform)

    def stop(self, index: int) -> None:
        """End an instance without notice."""
        self.nodes[index] = None
        self.paused_until[index] = 0.0
        self._disturb(index)

    def pause(self, index: int, ms: float) -> None:
        """Give an instance no time; what arrives meanwhile is read afterwards."""
        if self.nodes[index] is not None:
            self.paused_until[index] = self.at + ms
            self._disturb(index)

    def cut_link(self, source: int, target: int) -> None:
        """Lose everything on its way from one instance to another."""
        self.cut.add((source, target))
        self.owed[source].pop(target, None)
        self.owed[target].pop(source, None)

    def end_faults(self) -> None:
        """Let everything be reachable again; what is on its way is lost."""
        self.cut.clear()
        self.loss = self.double = self.delay_ms = 0.0
        self.paused_until = [0.0] * self.size
        self._queue.clear()

    def publish(self, document: dict[str, Any]) -> None:
        """Set the platform's value and show it to all who can read it."""
        self.platform = document
        for index in range(self.size):
            self.show(index, document)

    def show(self, index: int, document: dict[str, Any] | None) -> None:
        """Let one instance read a value of the platform."""
        if document is not None and index not in self.cut_from_platform:
            self._post(index, lambda: events.NoteSeen(self.at, "platform", document), None, 1.0)

    def advance(self, ms: float) -> None:
        """Let time pass for all."""
        end = self.at + ms
        while (due := self._next_at()) <= end:
            self.at = max(self.at, due)
            self._step()
        self.at = end

    def _next_at(self) -> float:
        times = [self._queue[0][0]] if self._queue else []
        for index, node in enumerate(self.nodes):
            if node is not None:
                wake_at = node.state.timers.next_at() or 0.0
                times.append(max(wake_at, self.paused_until[index]))
        return min(times, default=float("inf"))

    def _step(self) -> None:
        for index, node in enumerate(self.nodes):
            is_awake = node is not None and self.paused_until[index] <= self.at
            if is_awake and (node.state.timers.next_at() or 0.0) <= self.at:
                self._send(index, events.Tick(self.at))
        while self._queue and self._queue[0][0] <= self.at:
            _, _, index, make, start = heapq.heappop(self._queue)
            if self.paused_until[index] > self.at:
                self._push(self.paused_until[index], index, make, start)
            elif self.nodes[index] is not None and start in (None, self.nodes[index]):
                self._send(index, make())

    def _send(self, index: int, event: events.Event) -> None:
        node = self.nodes[index]
        assert node is not None
        before = node.state.note
        node.at = self.at
        new = node.send(event)
        node.effects.clear()
        after = node.state.note
        if after is not before:
            assert after is not None, "a note in force was withdrawn"
            assert before is None or after.number > before.number, "the number fell"
            if before is None:
                newest = max(self.owed[index].values(), default=0)
                assert after.number >= newest, "joined with an older note than a reachable peer's"
        for effect in new:
            if isinstance(effect, effects.SendGossip):
                self._gossip(index, effect)
            elif isinstance(effect, effects.FetchNote):
                self._fetch(index, effect)
            else:
                self.on_effect(index, effect)

    def on_effect(self, index: int, effect: effects.Effect) -> None:
        """Carry out another effect of an instance; the fleet has no upstreams of its own."""

    def _gossip(self, index: int, effect: effects.SendGossip) -> None:
        target = self._index(effect.address)
        message = effect.message
        self._transmit(index, target, lambda: events.GossipReceived(self.at, message))

    def _fetch(self, index: int, fetch: effects.FetchNote) -> None:
        target = self._index(fetch.address)
        node, peer = self.nodes[index], self.nodes[target]
        failed = lambda: events.PeerFailed(self.at, fetch.address, "unreachable")  # noqa: E731
        if peer is None or peer.state.note is None:
            self._post(index, failed, node, 50.0)
            return
        if {(index, target), (target, index)} & self.cut or self.rng.random() < self.loss:
            return
        document, source = peer.state.note.document, peer.settings.instance_id
        delay_ms = 2 + self.rng.random() * 2 * self.delay_ms
        self._post(index, lambda: events.NoteSeen(self.at, source, document), node, delay_ms)

    def _transmit(self, source: int, target: int, make: Callable[[], events.Event]) -> None:
        if (source, target) in self.cut:
            return
        if self._is_impaired(source, target):
            self.owed[source].pop(target, None)
            self.owed[target].pop(source, None)
        if self.rng.random() < self.loss:
            return
        for _ in range(2 if self.rng.random() < self.double else 1):
            self._post(target, make, None, 1 + self.rng.random() * self.delay_ms)

    def _post(self, index: int, make: Callable[[], events.Event], start: Any, ms: float) -> None:
        self._push(self.at + ms, index, make, start)

    def _push(self, at: float, index: int, make: Callable[[], events.Event], start: Any) -> None:
        heapq.heappush(self._queue, (at, next(self._sequence), index, make, start))

    def _is_impaired(self, source: int, target: int) -> bool:
        is_cut = (source, target) in self.cut or (target, source) in self.cut
        is_paused = self.paused_until[target] > self.at
        return is_cut or is_paused or self.loss > 0 or self.delay_ms > REACHABLE_DELAY_MS

    def _disturb(self, index: int) -> None:
        for owed in self.owed:
            owed.pop(index, None)

    def _index(self, address: str) -> int:
        return int(address.split(":")[0].rsplit(".", 1)[1]) - 1
