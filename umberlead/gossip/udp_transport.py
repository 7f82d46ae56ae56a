"""Gossip over UDP: what this front observes of zones is sent, and what peers observe is received."""

import asyncio
from collections.abc import Callable
from typing import Any

from umberlead import configuration
from umberlead.gossip.messages import GossipKeys
from umberlead.gossip.swim import Datagrams, Gossip
from umberlead.zones.model import ZoneState
from umberlead.zones.zone_health import ZoneHealth

TICK_SECONDS = 0.1
PORT_LIMIT = 65536


class GossipProtocol(asyncio.DatagramProtocol):
    """The socket's events.

    Attributes:
        gossip: The members, as a state machine without I/O.
        clock: Returns the time in us.
        transport: The socket, None before it is open.
    """

    def __init__(self, gossip: Gossip, clock: Callable[[], int]) -> None:
        """Begin without a socket."""
        self.gossip = gossip
        self.clock = clock
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: Any) -> None:
        """Keep the socket."""
        self.transport = transport

    def datagram_received(self, data: bytes, address: Any) -> None:
        """Handle a datagram; what it says of its sender counts, and not the address it came from."""
        self.send(self.gossip.receive(self.clock(), data))

    def error_received(self, error: Exception) -> None:
        """Ignore that a peer's port is closed: that its pings have no ack says the same."""

    def send(self, datagrams: Datagrams) -> None:
        """Send datagrams; one whose address can't be used is as good as lost."""
        for address, data in datagrams:
            host, _, port = address.rpartition(":")
            if self.transport is not None and port.isdigit() and 0 < int(port) < PORT_LIMIT:
                try:
                    self.transport.sendto(data, (host, int(port)))
                except (OSError, ValueError):
                    continue


class GossipService:
    """A front's open socket and its periodic task."""

    def __init__(self, protocol: GossipProtocol, zone_health: ZoneHealth) -> None:
        """Start the periodic task."""
        self._protocol = protocol
        self._zone_health = zone_health
        self._task = asyncio.get_running_loop().create_task(self._tick_periodically())
        protocol.gossip.on_observation = self._on_observation

    @property
    def address(self) -> str:
        """The `host:port` that the front listens at."""
        return self._protocol.gossip.address

    def _on_observation(self, peer: str, zone: str, state: ZoneState) -> None:
        self._zone_health.record_peer_state(self._protocol.clock(), peer, zone, state)

    async def _tick_periodically(self) -> None:
        gossip = self._protocol.gossip
        while True:
            gossip.observations = {zone: record.state for zone, record in self._zone_health.zones.items()}
            self._protocol.send(gossip.tick(self._protocol.clock()))
            await asyncio.sleep(TICK_SECONDS)

    def close(self) -> None:
        """Stop sending and close the socket."""
        self._task.cancel()
        if self._protocol.transport is not None:
            self._protocol.transport.close()


async def start_gossip(
    gossip_config: configuration.GossipConfig,
    name: str,
    seed: int,
    zone_health: ZoneHealth,
    clock: Callable[[], int],
) -> GossipService:
    """Open the socket and start the periodic task.

    Args:
        gossip_config: The addresses and the keys.
        name: This front's name.
        seed: The seed of the random numbers, another one for each process.
        zone_health: Gives what is observed of zones, and takes what peers observe.
        clock: Returns the time in us.

    Raises:
        GossipKeysError: The keys can't be used.
        OSError: The address can't be listened at.
    """
    gossip = Gossip(
        name,
        "",
        [f"{host}:{port}" for host, port in gossip_config.seed_addresses],
        GossipKeys.read(gossip_config.keys_path),
        seed,
        clock(),
        gossip_config.max_bytes_per_second,
    )
    transport, protocol = await asyncio.get_running_loop().create_datagram_endpoint(
        lambda: GossipProtocol(gossip, clock), local_addr=gossip_config.listen
    )
    host, port = transport.get_extra_info("sockname")[:2]
    gossip.address = f"{host}:{port}"
    return GossipService(protocol, zone_health)
