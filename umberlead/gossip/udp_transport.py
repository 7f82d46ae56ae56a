"""Gossip over UDP, beside a front's rooms: what they hold goes out, what others hold comes in."""

import asyncio
from typing import Any

from umberlead import config
from umberlead.gossip.messages import Keys
from umberlead.gossip.swim import Gossip
from umberlead.zones.integration import Joined

TICK = 0.1  # s


class Peers(asyncio.DatagramProtocol):
    def __init__(self, gossip: Gossip, clock: Any) -> None:
        self.gossip, self.clock = gossip, clock
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, address: Any) -> None:
        self.send(self.gossip.got(self.clock(), data))

    def error_received(self, fault: Exception) -> None:
        """A peer's port that is closed: the ping's silence tells the same."""

    def send(self, rows: list[tuple[str, bytes]]) -> None:
        for address, data in rows:
            host, _, port = address.rpartition(":")
            if self.transport is not None and port.isdigit() and 0 < int(port) < 65536:
                try:
                    self.transport.sendto(data, (host, int(port)))
                except (OSError, ValueError):  # no such address: as if it had been lost
                    continue


async def start(
    of: config.Peers, name: str, seed: int, rooms: Joined, clock: Any
) -> tuple[Peers, asyncio.Task[None]]:
    """The socket and its ticks. BadKeys where the keys can't be read, OSError where it can't listen."""
    loop, keys = asyncio.get_running_loop(), Keys.read(of.keys)
    gossip = Gossip(name, "", [f"{h}:{p}" for h, p in of.join], keys, seed, clock(), of.bytes_a_second)
    transport, made = await loop.create_datagram_endpoint(lambda: Peers(gossip, clock), local_addr=of.listen)
    host, port = transport.get_extra_info("sockname")[:2]
    gossip.address = f"{host}:{port}"
    gossip.heard = lambda peer, room, state: rooms.director.rooms.peer(clock(), peer, room, state)

    async def ticks() -> None:
        while True:
            held = rooms.director.rooms.rooms
            gossip.words = {n: r.state for n, r in held.items()}
            made.send(gossip.tick(clock()))
            await asyncio.sleep(TICK)

    return made, loop.create_task(ticks())
