"""Cost of gossip and membership by the size of the fleet."""

from __future__ import annotations

import time

from bench.series import Series, traced_bytes
from turmerictiller.borders.peers import frames
from turmerictiller.config import load_settings
from turmerictiller.core import effects, events
from turmerictiller.core.peers.gossip_model import GossipMessage, Member, PeerStatus
from turmerictiller.core.reducer import reduce
from turmerictiller.core.state import State, new_state

MEMBERS = (10, 100, 300, 650)
MEMBERS_PER_MESSAGE = 8
INCARNATION = "f" * 32
ROUNDS = 20
MAX_FRAME_BYTES = 1_100_000


def member(number: int, heartbeat: int = 1) -> Member:
    """Return one member of a fleet."""
    address = f"10.100.{number // 250}.{number % 250 + 1}:8081"
    return Member(f"entry-{number}", INCARNATION, heartbeat, address, "domain-1", PeerStatus.READY)


def fleet_state(members: int) -> State:
    """Return the state of an instance that has received gossip from the given number of members."""
    values = {"instance_id": "e1", "failure_domain": "d1", "seed": 1, "incarnation": INCARNATION}
    state = new_state(load_settings(values))
    reduce(state, events.Tick(0.0))
    for number in range(members):
        reduce(state, events.GossipReceived(0.0, GossipMessage(member(number))))
    return state


def run_rounds(state: State) -> list[effects.SendGossip]:
    """Advance the time by ``ROUNDS`` gossip intervals and return the messages sent."""
    sent = []
    end = state.now + ROUNDS * state.settings.gossip_interval_ms
    while (due := state.timers.next_at()) is not None and due <= end:
        for effect in reduce(state, events.Tick(due)):
            if isinstance(effect, effects.SendGossip):
                sent.append(effect)
    return sent


def gossip_round_ms(members: int) -> float:
    """Return milliseconds of processor time per gossip round, by default one second, when idle."""
    state = fleet_state(members)
    started_at = time.process_time()
    run_rounds(state)
    return (time.process_time() - started_at) * 1e3 / ROUNDS


def gossip_receive_ms(members: int) -> float:
    """Return milliseconds of processor time per gossip message received."""
    state = fleet_state(members)
    messages = 200
    started_at = time.process_time()
    for number in range(messages):
        sender = member(number % members, heartbeat=2 + number)
        sample = tuple(
            member((number + offset) % members, heartbeat=2 + number)
            for offset in range(1, MEMBERS_PER_MESSAGE + 1)
        )
        message = GossipMessage(sender, members=sample)
        reduce(state, events.GossipReceived(state.now + 1, message))
    return (time.process_time() - started_at) * 1e3 / messages


def gossip_bytes_per_s(members: int) -> float:
    """Return bytes of gossip that an instance sends and receives per second."""
    sent = run_rounds(fleet_state(members))
    sizes = [
        len(frames.encode_frame(frames.Frame(1, effect.message), MAX_FRAME_BYTES))
        for effect in sent
    ]
    return 2 * sum(sizes) / ROUNDS


def members_bytes(members: int) -> float:
    """Return the bytes of state that members use."""
    return traced_bytes(fleet_state, members)


def control_series() -> list[Series]:
    """Measure gossip and membership at several sizes of the fleet."""
    measured = (
        ("idle instance, per second", "ms", gossip_round_ms),
        ("gossip message received", "ms", gossip_receive_ms),
        ("gossip in and out", "bytes/s", gossip_bytes_per_s),
        ("members of the fleet", "bytes", members_bytes),
    )
    return [
        Series(name, unit, "member", {size: measure(size) for size in MEMBERS})
        for name, unit, measure in measured
    ]
