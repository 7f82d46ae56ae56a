"""Gossip over UDP, beside a front's rooms: what they hold goes out, what others hold comes in."""

import asyncio
from typing import Any

from umberlead import configuration
from umberlead.gossip.messages import GossipKeys
from umberlead.gossip.swim import Gossip
from umberlead.zones.integration import ZoneIntegration

TICK_SECONDS = 0.1  # s


class GossipProtocol(asyncio.DatagramProtocol):
    def __init__(self, gossip: Gossip, clock: Any) -> None:
        self.gossip, self.clock = gossip, clock
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, address: Any) -> None:
        self.send(self.gossip.receive(self.clock(), data))

    def error_received(self, error: Exception) -> None:
        """A peer's port that is closed: the ping's silence tells the same."""

    def send(self, datagrams: list[tuple[str, bytes]]) -> None:
        for address, data in datagrams:
            host, _, port = address.rpartition(":")
            if self.transport is not None and port.isdigit() and 0 < int(port) < 65536:
                try:
                    self.transport.sendto(data, (host, int(port)))
                except (OSError, ValueError):  # no such address: as if it had been lost
                    continue


async def start_gossip(
    gossip_config: configuration.GossipConfig, name: str, seed: int, zones: ZoneIntegration, clock: Any
) -> tuple[GossipProtocol, asyncio.Task[None]]:
    """The socket and its ticks. BadKeys where the keys can't be read, OSError where it can't listen."""
    loop, keys = asyncio.get_running_loop(), GossipKeys.read(gossip_config.keys_path)
    gossip = Gossip(
        name,
        "",
        [f"{host}:{port}" for host, port in gossip_config.seed_addresses],
        keys,
        seed,
        clock(),
        gossip_config.max_bytes_per_second,
    )
    transport, protocol = await loop.create_datagram_endpoint(
        lambda: GossipProtocol(gossip, clock), local_addr=gossip_config.listen
    )
    host, port = transport.get_extra_info("sockname")[:2]
    gossip.address = f"{host}:{port}"
    gossip.on_observation = lambda peer, room, state: zones.router.zone_health.record_peer_state(
        clock(), peer, room, state
    )

    async def tick_periodically() -> None:
        while True:
            zone_records = zones.router.zone_health.zones
            gossip.observations = {zone_name: record.state for zone_name, record in zone_records.items()}
            protocol.send(gossip.tick(clock()))
            await asyncio.sleep(TICK_SECONDS)

    return protocol, loop.create_task(tick_periodically())
