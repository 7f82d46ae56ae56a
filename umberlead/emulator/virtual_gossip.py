"""Gossip between the fronts of a scenario in virtual time."""

from collections.abc import Sequence
from functools import partial
from typing import Any, Protocol

from umberlead.emulator.loop import Loop
from umberlead.emulator.plan import Plan
from umberlead.emulator.virtual_front import Front


class GossipScenario(Protocol):
    """The part of a scenario that gossip uses."""

    @property
    def plan(self) -> Plan:
        """Return the rehearsal's plan."""

    @property
    def loop(self) -> Loop:
        """Return virtual time."""

    @property
    def fronts(self) -> Sequence[Front]:
        """Return the fronts, by number."""

    @property
    def now(self) -> int:
        """Return the time since the scenario's start."""


class GossipNetwork:
    """Gossip between fronts; datagrams between partitioned zones are lost.

    Attributes:
        kind: fault of every third front: "liars" report every zone as down, "mute" ones send nothing; any
            other text means that no front is faulty.
    """

    def __init__(self, world: GossipScenario, kind: str) -> None:
        """Create a gossip member for each front of `world`."""
        from umberlead.gossip.messages import GossipKeys
        from umberlead.gossip.swim import Gossip

        self.world = world
        self.kind = kind
        keys = GossipKeys([b"rehearsals' own key" * 2])
        join = ["0:1", "1:1"]
        self.members = [
            Gossip(f"f{n}", f"{n}:1", join, keys, world.plan.seed * 1000 + n, world.loop.now)
            for n in range(len(world.fronts))
        ]
        for front, member in zip(world.fronts, self.members, strict=True):
            member.on_observation = partial(self._record_peer_state, front)

    def _record_peer_state(self, front: Front, peer: str, room: str, state: Any) -> None:
        front.zones.router.zone_health.record_peer_state(self.world.loop.now, peer, room, state)

    def tick(self) -> None:
        """Run one gossip tick of each front."""
        from umberlead.zones.model import ZoneState

        for front, member in zip(self.world.fronts, self.members, strict=True):
            if self.kind == "mute" and front.number % 3 == 0:
                continue
            zones = front.zones.router.zone_health.zones
            is_liar = self.kind == "liars" and front.number % 3 == 0
            member.observations = {n: ZoneState.DOWN if is_liar else room.state for n, room in zones.items()}
            self._send(front.number, member.tick(self.world.loop.now))

    def _send(self, source: int, rows: list[tuple[str, bytes]]) -> None:
        plan = self.world.plan
        loop = self.world.loop
        for address, data in rows:
            to = int(address.partition(":")[0])
            if plan.is_partitioned(self.world.now, source, plan.front_zones[to]):
                continue
            delay_us = plan.one_way_delays_us[plan.front_zones[source], plan.front_zones[to]]
            loop.at(loop.now + delay_us, partial(self._receive, to, data))

    def _receive(self, to: int, data: bytes) -> None:
        self._send(to, self.members[to].receive(self.world.loop.now, data))
