"""Gossip over UDP, which exchanges observed zone states with the other fronts."""

import asyncio
import socket
from collections.abc import Callable
from typing import Any

from umberlead import configuration
from umberlead.common.supervision import Supervisor
from umberlead.gossip.messages import GossipKeys
from umberlead.gossip.swim import Datagrams, Gossip
from umberlead.zones.model import ZoneState
from umberlead.zones.zone_health import ZoneHealth

TICK_SECONDS = 0.1
TASK_NAME = "gossip_tick"  # under which the periodic task is supervised
PORT_LIMIT = 65536


class GossipProtocol(asyncio.DatagramProtocol):
    """The UDP socket: passes received datagrams to the state machine, and sends its datagrams.

    Attributes:
        gossip: The gossip state machine, which does no I/O.
        clock: Returns the time in microseconds.
        transport: The socket; None before it is open.
        on_lost: Is called when the socket was closed.
    """

    def __init__(self, gossip: Gossip, clock: Callable[[], int]) -> None:
        """Create the protocol; asyncio sets its socket."""
        self.gossip = gossip
        self.clock = clock
        self.transport: asyncio.DatagramTransport | None = None
        self.on_lost: Callable[[], None] = lambda: None

    def connection_made(self, transport: Any) -> None:
        """Store the socket."""
        self.transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """Report that the socket was closed, by this program or by an error."""
        self.on_lost()

    def datagram_received(self, data: bytes, address: Any) -> None:
        """Handle a datagram; its sender is identified by the message, not by the source address."""
        try:
            self.send(self.gossip.receive(self.clock(), data))
        except Exception as error:  # raised further, it would close the socket
            message = "a gossip datagram could not be handled"
            asyncio.get_running_loop().call_exception_handler({"message": message, "exception": error})

    def error_received(self, error: Exception) -> None:
        """Ignore ICMP errors such as a closed port: the missing ack of a ping reveals the same failure."""

    def send(self, datagrams: Datagrams) -> None:
        """Send datagrams; drop those with an invalid address or a socket error, as if they were lost."""
        for address, data in datagrams:
            host, _, port = address.rpartition(":")
            if self.transport is not None and port.isdigit() and 0 < int(port) < PORT_LIMIT:
                try:
                    self.transport.sendto(data, (host, int(port)))
                except (OSError, ValueError):
                    continue


class GossipService:
    """Gossip of a running front: the open socket and the periodic task.

    Attributes:
        on_lost: Is called if the socket closes, unless `close` was called.
    """

    def __init__(
        self, protocol: GossipProtocol, zone_health: ZoneHealth, supervisor: Supervisor | None = None
    ) -> None:
        """Start the periodic task, and pass the peers' observations to `zone_health`.

        Args:
            protocol: The open socket.
            zone_health: Provides the observed zone states, and records those of the peers.
            supervisor: Runs the task again if it raises; without one, the task ends then.
        """
        self.on_lost: Callable[[], None] = lambda: None
        self._protocol = protocol
        self._zone_health = zone_health
        self._supervisor = supervisor
        self._is_closed = False
        if supervisor is None:
            self._task = asyncio.get_running_loop().create_task(self._tick_periodically())
        else:
            self._task = supervisor.start_task(TASK_NAME, self._tick_periodically)
        protocol.on_lost = self._socket_lost
        protocol.gossip.on_observation = self._on_observation

    @property
    def address(self) -> str:
        """The `host:port` on which the front listens."""
        return self._protocol.gossip.address

    def _on_observation(self, peer: str, zone: str, state: ZoneState) -> None:
        self._zone_health.record_peer_state(self._protocol.clock(), peer, zone, state)

    async def _tick_periodically(self) -> None:
        gossip = self._protocol.gossip
        while True:
            gossip.observations = {zone: record.state for zone, record in self._zone_health.zones.items()}
            self._protocol.send(gossip.tick(self._protocol.clock()))
            if self._supervisor is not None:
                self._supervisor.record_success(TASK_NAME)
            await asyncio.sleep(TICK_SECONDS)

    def _socket_lost(self) -> None:
        if not self._is_closed:
            self._task.cancel()
            self.on_lost()

    def close(self) -> None:
        """Stop sending and close the socket."""
        self._is_closed = True
        self._task.cancel()
        if self._protocol.transport is not None:
            self._protocol.transport.close()


def _open_socket(address: configuration.Address) -> socket.socket:
    """Open a UDP socket for this process alone: two that share a port each get a part of its datagrams.

    Raises:
        OSError: The socket can't be opened at the address.
    """
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    udp_socket = socket.socket(family, socket.SOCK_DGRAM)
    try:
        udp_socket.setblocking(False)
        udp_socket.bind(address)
    except OSError:
        udp_socket.close()
        raise
    return udp_socket


async def start_gossip(
    gossip_config: configuration.GossipConfig,
    keys: GossipKeys,
    name: str,
    seed: int,
    zone_health: ZoneHealth,
    clock: Callable[[], int],
    supervisor: Supervisor | None = None,
) -> GossipService:
    """Open the socket and start the periodic task.

    Args:
        gossip_config: The addresses and the rate limit.
        keys: The keys that the fronts share.
        name: This front's name.
        seed: The seed of the random numbers, a different one for each process.
        zone_health: Provides the zone states that this front observes, and records those of its peers.
        clock: Returns the time in microseconds.
        supervisor: Runs the periodic task.

    Raises:
        OSError: The socket can't be opened at the address.
    """
    udp_socket = _open_socket(gossip_config.listen)
    host, port = udp_socket.getsockname()[:2]
    gossip = Gossip(
        name,
        f"{host}:{port}",
        [f"{seed_host}:{seed_port}" for seed_host, seed_port in gossip_config.seed_addresses],
        keys,
        seed,
        clock(),
        gossip_config.max_bytes_per_second,
    )
    _, protocol = await asyncio.get_running_loop().create_datagram_endpoint(
        lambda: GossipProtocol(gossip, clock), sock=udp_socket
    )
    return GossipService(protocol, zone_health, supervisor)
