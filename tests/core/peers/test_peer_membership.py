"""Tests of the membership, the live count and the content of gossip."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from tests.harness import Harness
from turmerictiller.borders.peers import frames
from turmerictiller.core import effects, events
from turmerictiller.core.peers.gossip_model import DrainingServer, GossipMessage, Member, PeerStatus
from turmerictiller.core.servers.limits import live_instances
from turmerictiller.core.servers.suspects import Loss, Suspect

SERVER = "jobs-0-s0"


def _member(number: int, incarnation: str = "i1", heartbeat: int = 1, **changes: Any) -> Member:
    member = Member(
        f"p{number}", incarnation, heartbeat, f"10.0.0.{number}:1", "pikine", PeerStatus.READY
    )
    return replace(member, **changes)


def _receive_gossip(harness: Harness, sender: Member, *members: Member, **fields: Any) -> None:
    message = GossipMessage(sender, members=members, **fields)
    harness.send(events.GossipReceived(harness.at, message))


def _listed_instance(number: int, **changes: Any) -> events.ListedInstance:
    row = events.ListedInstance(
        f"p{number}", "entry", f"10.0.0.{number}:1", "pikine", False, f"l{number}"
    )
    return replace(row, **changes)


def _receive_instance_list(harness: Harness, *rows: events.ListedInstance) -> None:
    harness.send(events.InstanceListSeen(harness.at, 1, rows))


def test_restart_under_one_address_replaces_the_older_incarnation() -> None:
    """Guards against counting a restarted instance twice, or reviving it by stale gossip."""
    harness = Harness()
    _receive_gossip(harness, _member(1, "old", 50))
    _receive_gossip(harness, _member(1, "new", 1))
    _receive_gossip(harness, _member(2), _member(1, "old", 40), _member(1, "older", 99))
    assert harness.state.peers.by_id["p1"].incarnation == "new"
    _receive_gossip(harness, _member(3, address="10.0.0.1:1"))
    _receive_gossip(harness, _member(2, heartbeat=2), _member(1, "new", 2))
    assert harness.state.peers.by_id["p1"].status is PeerStatus.GONE
    assert live_instances(harness.state) == 3


def test_late_gossip_of_an_ended_incarnation_does_not_block_the_new_one() -> None:
    """Guards against ignoring a peer permanently after its messages arrived out of order."""
    harness = Harness()
    _receive_gossip(harness, _member(1, "new", 1))
    _receive_gossip(harness, _member(1, "old", 50))
    _receive_gossip(harness, _member(1, "new", 2))
    assert harness.state.peers.by_id["p1"].incarnation == "new"


def test_partitioned_instance_keeps_its_live_count() -> None:
    """Guards against a connection share that grows while no gossip is received."""
    harness = Harness(peers="10.0.0.1:1,10.0.0.2:1,10.0.0.9:1,127.0.0.1:8081")
    assert live_instances(harness.state) == 4
    for number in range(1, 5):
        _receive_gossip(harness, _member(number))
    assert live_instances(harness.state) == 6
    harness.advance(3_600_000)
    assert live_instances(harness.state) == 6


def test_silent_peer_is_dropped_only_if_unlisted_and_most_peers_are_live() -> None:
    """Guards against shares reduced forever by a dead peer, and dropping a listed instance."""
    harness = Harness(peers="10.0.0.9:1")
    _receive_instance_list(harness, _listed_instance(4))
    for heartbeat in range(1, 200):
        for number in (1, 2, 3):
            _receive_gossip(harness, _member(number, heartbeat=heartbeat))
        if heartbeat == 1:
            _receive_gossip(harness, _member(5))
        harness.advance(1_000)
        if heartbeat == 30:
            assert live_instances(harness.state) == 7
    assert live_instances(harness.state) == 5
    _receive_instance_list(harness)
    _receive_gossip(harness, _member(1, heartbeat=200, status=PeerStatus.GONE))
    assert live_instances(harness.state) == 3
    _receive_gossip(harness, _member(5, heartbeat=2))
    assert live_instances(harness.state) == 4


def test_peer_table_is_bounded() -> None:
    """Guards against memory that grows with each made-up address in gossip."""
    harness = Harness(max_peers=10)
    for number in range(1, 100):
        _receive_gossip(harness, _member(200), _member(number))
    _receive_instance_list(harness, *[_listed_instance(number) for number in range(100, 150)])
    assert len(harness.state.peers.by_id) == len(harness.state.peers.id_by_address) == 10


@given(
    st.lists(st.tuples(st.sampled_from(["status", "drain", "list", "gossip"]), st.integers(0, 2)))
)
def test_draining_is_sticky_and_bound_to_its_incarnation(steps: list[tuple[str, int]]) -> None:
    """Guards against stale gossip that drains a new incarnation, and draining that is reverted."""
    harness = Harness()
    snapshot = harness.start()
    server = harness.state.servers_by_id[SERVER]
    drained_incarnations: set[str] = set()
    for kind, number in steps:
        incarnation = f"s{number}"
        if kind in ("status", "drain"):
            status = events.UpstreamStatus(incarnation, kind == "drain", (snapshot,))
            harness.send(events.HealthReported(harness.at, SERVER, status))
        elif kind == "list":
            _receive_instance_list(
                harness,
                _listed_instance(
                    0, id=SERVER, kind="upstream", leaving=True, incarnation=incarnation
                ),
            )
            _receive_instance_list(
                harness,
                _listed_instance(0, id=SERVER, kind="upstream", leaving=True, incarnation=""),
            )
        else:
            _receive_gossip(harness, _member(1), draining=(DrainingServer(SERVER, incarnation),))
        if kind != "status":
            drained_incarnations.add(incarnation)
        assert server.draining == (server.incarnation in drained_incarnations)
        has_attempt = SERVER in [attempt.server_id for attempt in harness.search(harness.at)]
        assert not (has_attempt and server.draining)


def test_gossip_of_650_members_stays_within_its_budget() -> None:
    """Guards against gossip that grows with the fleet, and against an unused budget."""
    harness = Harness(incarnation="f" * 32)
    harness.start()
    for number in range(650):
        address = f"10.100.{number // 250 + 100}.{number % 250 + 1}:18081"
        _receive_gossip(
            harness, _member(number, "f" * 32, address=address, domain="kathmandu-east")
        )
    for server in harness.state.servers_by_id.values():
        server.incarnation = "e" * 32
        server.draining_incarnations = ("e" * 32,)
    for number in range(50):
        suspect = Suspect(
            f"{number:024}", [Loss(1, 1, {"s": 1.5}, {"s"})], {"a" * 20, "b" * 20}, 1e9
        )
        harness.state.suspects_by_fingerprint[suspect.fingerprint] = suspect
    harness.pop_effects(effects.SendGossip)
    harness.advance(20_000)
    sent = harness.pop_effects(effects.SendGossip)
    sizes = [
        len(frames.encode_frame(frames.Frame(2**40, effect.message), 10_000)) + 104
        for effect in sent
    ]
    assert len(sizes) <= 3 * 23
    assert 2 * 3 * max(sizes) <= 9_000
    assert 2 * 3 * max(sizes) >= 8_000
    for effect in sent:
        message = effect.message
        assert min(map(len, (message.draining, message.quarantine, message.members))) >= 2


def test_shutdown_and_its_end_are_reported_to_peers() -> None:
    """Guards against peers that keep counting an instance after a graceful shutdown."""
    harness = Harness(peers="10.0.0.1:1")
    other = Harness(instance_id="p1", peer_address="10.0.0.1:1")
    harness.advance(0)
    harness.pop_effects(effects.SendGossip)
    harness.send(events.ShutdownRequested(harness.at))
    harness.advance(harness.settings.shutdown_limit_ms + 1_000)
    sent = [effect.message for effect in harness.pop_effects(effects.SendGossip)]
    for status, count in ((PeerStatus.DRAINING, 2), (PeerStatus.GONE, 1)):
        message = next(message for message in sent if message.sender.status is status)
        other.send(events.GossipReceived(0.0, message))
        assert live_instances(other.state) == count
