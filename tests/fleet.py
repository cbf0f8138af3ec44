"""Simulation of several instances over a network that drops, delays, duplicates and reorders."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from typing import Any

from tests.harness import Harness
from turmerictiller.core import effects, events
from turmerictiller.core.configuration.note_model import DefinitionsModel, WithdrawnModel
from turmerictiller.core.configuration.notes import check_note, seal_note

MAX_REACHABLE_DELAY_MS = 400.0


def next_note(document: dict[str, Any], variant: int = 0) -> dict[str, Any]:
    """Return a successor of a note; different variants have different digests."""
    current = check_note(None, document).unwrap()
    front = document["result"]["fronts"][0] | {"k_max": current.number * 4 + variant + 1}
    changed = DefinitionsModel.model_validate({"services": [], "fronts": [front]})
    return seal_note(current, DefinitionsModel(), changed, WithdrawnModel()).unwrap()


class Fleet:
    """Simulate instances that are configured as peers of each other.

    Each step checks that a note in force is never withdrawn or replaced by an older one, and that
    an instance does not join with an older note than a reachable peer had when it started.

    :ivar expected_numbers: for each joining instance, the note number that each peer had in force
        at its start. A peer that was unreachable at any time since then is left out.
    """

    def __init__(self, size: int, seed: int = 1) -> None:
        self.size = size
        self.at = 0.0
        self.rng = random.Random(seed)
        self.loss_rate = self.duplicate_rate = self.delay_ms = 0.0
        self.cut_links: set[tuple[int, int]] = set()
        self.cut_from_platform: set[int] = set()
        self.platform: dict[str, Any] | None = None
        self.nodes: list[Harness | None] = [None] * size
        self.paused_until = [0.0] * size
        self.expected_numbers: list[dict[int, int]] = [{} for _ in range(size)]
        self._starts = itertools.count(1)
        self._queue: list[tuple[float, int, int, Callable[[], events.Event], Any]] = []
        self._sequence = itertools.count()

    def address(self, index: int) -> str:
        return f"10.0.0.{index + 1}:1"

    def number(self, index: int) -> int:
        """Return the number of the note in force on an instance, 0 for none."""
        node = self.nodes[index]
        return node.state.note.number if node and node.state.note else 0

    def candidate_numbers(self) -> list[int]:
        """Return the numbers of the platform notes that joining instances hold as candidates."""
        candidates = [node.state.notes.join.candidate for node in self.nodes if node]
        return [note.number for note in candidates if note]

    def start(self, index: int) -> None:
        """Start an instance, or restart it under the same address."""
        self.stop(index)
        self.expected_numbers[index] = {
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
        self._dispatch(index, events.Tick(self.at))
        self.deliver_document(index, self.platform)

    def stop(self, index: int) -> None:
        """Crash an instance."""
        self.nodes[index] = None
        self.paused_until[index] = 0.0
        self._drop_expectations(index)

    def pause(self, index: int, ms: float) -> None:
        """Pause an instance; it handles the events that arrive meanwhile when it resumes."""
        if self.nodes[index] is not None:
            self.paused_until[index] = self.at + ms
            self._drop_expectations(index)

    def cut_link(self, source: int, target: int) -> None:
        """Drop all messages from one instance to another."""
        self.cut_links.add((source, target))
        self.expected_numbers[source].pop(target, None)
        self.expected_numbers[target].pop(source, None)

    def end_faults(self) -> None:
        """Restore the network and resume all instances; messages in flight are lost."""
        self.cut_links.clear()
        self.loss_rate = self.duplicate_rate = self.delay_ms = 0.0
        self.paused_until = [0.0] * self.size
        self._queue.clear()

    def publish(self, document: dict[str, Any]) -> None:
        """Set the platform's document and deliver it to all instances that can reach it."""
        self.platform = document
        for index in range(self.size):
            self.deliver_document(index, document)

    def deliver_document(self, index: int, document: dict[str, Any] | None) -> None:
        """Deliver a document of the platform to one instance, unless it is cut off from it."""
        if document is not None and index not in self.cut_from_platform:
            self._schedule(index, lambda: events.NoteSeen(self.at, "platform", document), None, 1.0)

    def advance(self, ms: float) -> None:
        """Advance the clock of all instances and deliver what falls due."""
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
                self._dispatch(index, events.Tick(self.at))
        while self._queue and self._queue[0][0] <= self.at:
            _, _, index, make_event, recipient = heapq.heappop(self._queue)
            if self.paused_until[index] > self.at:
                self._enqueue(self.paused_until[index], index, make_event, recipient)
            elif self.nodes[index] is not None and recipient in (None, self.nodes[index]):
                self._dispatch(index, make_event())

    def _dispatch(self, index: int, event: events.Event) -> None:
        node = self.nodes[index]
        assert node is not None
        before = node.state.note
        node.at = self.at
        new = node.send(event)
        node.effects.clear()
        after = node.state.note
        if after is not before:
            assert after is not None, "a note in force was withdrawn"
            assert before is None or after.number > before.number, "an older note came into force"
            if before is None:
                min_number = max(self.expected_numbers[index].values(), default=0)
                assert (
                    after.number >= min_number
                ), "joined with an older note than a reachable peer's"
        for effect in new:
            if isinstance(effect, effects.SendGossip):
                self._transmit_gossip(index, effect)
            elif isinstance(effect, effects.FetchNote):
                self._transmit_note(index, effect)
            else:
                self.on_effect(index, effect)

    def on_effect(self, index: int, effect: effects.Effect) -> None:
        """Handle any other effect of an instance; subclasses override it to simulate upstreams."""

    def _transmit_gossip(self, index: int, effect: effects.SendGossip) -> None:
        target = self._index_of_address(effect.address)
        message = effect.message
        self._transmit(index, target, lambda: events.GossipReceived(self.at, message))

    def _transmit_note(self, index: int, fetch: effects.FetchNote) -> None:
        target = self._index_of_address(fetch.address)
        node, peer = self.nodes[index], self.nodes[target]
        failed = lambda: events.PeerFailed(self.at, fetch.address, "unreachable")  # noqa: E731
        if peer is None or peer.state.note is None:
            self._schedule(index, failed, node, 50.0)
            return
        if {
            (index, target),
            (target, index),
        } & self.cut_links or self.rng.random() < self.loss_rate:
            return
        document, source = peer.state.note.document, peer.settings.instance_id
        delay_ms = 2 + self.rng.random() * 2 * self.delay_ms
        self._schedule(index, lambda: events.NoteSeen(self.at, source, document), node, delay_ms)

    def _transmit(self, source: int, target: int, make_event: Callable[[], events.Event]) -> None:
        if (source, target) in self.cut_links:
            return
        if self._is_impaired(source, target):
            self.expected_numbers[source].pop(target, None)
            self.expected_numbers[target].pop(source, None)
        if self.rng.random() < self.loss_rate:
            return
        for _ in range(2 if self.rng.random() < self.duplicate_rate else 1):
            self._schedule(target, make_event, None, 1 + self.rng.random() * self.delay_ms)

    def _schedule(
        self, index: int, make_event: Callable[[], events.Event], recipient: Any, delay_ms: float
    ) -> None:
        """Deliver an event after a delay.

        :param recipient: the process that must still run then; any if ``None``.
        """
        self._enqueue(self.at + delay_ms, index, make_event, recipient)

    def _enqueue(
        self, at: float, index: int, make_event: Callable[[], events.Event], recipient: Any
    ) -> None:
        heapq.heappush(self._queue, (at, next(self._sequence), index, make_event, recipient))

    def _is_impaired(self, source: int, target: int) -> bool:
        is_cut = (source, target) in self.cut_links or (target, source) in self.cut_links
        is_paused = self.paused_until[target] > self.at
        return is_cut or is_paused or self.loss_rate > 0 or self.delay_ms > MAX_REACHABLE_DELAY_MS

    def _drop_expectations(self, index: int) -> None:
        for expected in self.expected_numbers:
            expected.pop(index, None)

    def _index_of_address(self, address: str) -> int:
        return int(address.split(":")[0].rsplit(".", 1)[1]) - 1
