"""A proxy between fronts and one chunk server: `python -m umberlead.testing.soak.proxy LISTEN TARGET`.

Orders change how it forwards: with `stalls` it forwards nothing, with `pieces` a few bytes at a time; `reset`
resets all open connections once.
"""

import asyncio
import random
import socket
import struct
import sys
from typing import Any, cast

import uvloop

from umberlead.testing.soak.processes import Orders

PIECE_BYTES, PIECE_SECONDS = 24, 0.0005
RETRY_SECONDS = 0.02  # between checks whether a stall is over
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Proxy:
    """The state of the proxy: how it forwards, and the open connections."""

    def __init__(self, target: tuple[str, int]) -> None:
        """Create a proxy that forwards to `target`."""
        self.target = target
        self.stalls = self.pieces = False
        self.ends: set[End] = set()
        self.chance = random.Random(str(target))

    def order(self, order: dict[str, Any]) -> None:
        """Apply an order."""
        self.stalls = bool(order.get("stalls", self.stalls))
        self.pieces = bool(order.get("pieces", self.pieces))
        if order.get("reset"):
            for end in list(self.ends):
                end.reset()


class End(asyncio.Protocol):
    """One of the two connections of a proxied connection: to the front, or to the chunk server."""

    def __init__(self, proxy: Proxy, other: "End | None" = None) -> None:
        """Create an end; `other` is the end at the front, given for an end at the server."""
        self.proxy, self.other = proxy, other
        self.transport: asyncio.Transport | None = None
        self._pending = b""
        self._scheduled = self._ended = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Dial the server for a connection of a front; once dialled, forward the data received so far."""
        self.transport = cast(asyncio.Transport, transport)
        self.proxy.ends.add(self)
        if self.other is None:
            self.other = End(self.proxy, self)
            asyncio.get_running_loop().create_task(self._dial(self.other))
        else:
            self.other.forward()

    async def _dial(self, other_end: "End") -> None:
        try:
            await asyncio.get_running_loop().create_connection(lambda: other_end, *self.proxy.target)
        except OSError:
            self.reset()

    def data_received(self, data: bytes) -> None:
        """Forward received data."""
        self._pending += data
        self.forward()

    def eof_received(self) -> bool:
        """Forward EOF after the data before it."""
        self._ended = True
        self.forward()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Close the other end after pending data, or reset it if this end broke."""
        self.proxy.ends.discard(self)
        self._ended = True
        other = self.other
        if exc is not None and other is not None:
            other.reset()
        else:
            self.forward()

    def forward(self) -> None:
        """Forward pending data, unless that is already scheduled."""
        if not self._scheduled:
            self._forward_piece()

    def _forward_piece(self) -> None:
        self._scheduled = False
        other_end, loop = self.other, asyncio.get_running_loop()
        if other_end is None or other_end.transport is None or other_end.transport.is_closing():
            return
        if self.proxy.stalls:
            self._scheduled = True
            loop.call_later(RETRY_SECONDS, self._forward_piece)
            return
        size = self.proxy.chance.randint(1, PIECE_BYTES) if self.proxy.pieces else len(self._pending)
        piece, self._pending = self._pending[:size], self._pending[size:]
        if piece:
            other_end.transport.write(piece)
        if self._pending:
            self._scheduled = True
            loop.call_later(PIECE_SECONDS, self._forward_piece)
        elif self._ended:
            other_end.transport.close()

    def reset(self) -> None:
        """Reset both ends."""
        for end in (self, self.other):
            if end is None or end.transport is None or end.transport.is_closing():
                continue
            sock = end.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            end.transport.abort()


async def run(listen: str, target: str) -> None:
    """Forward connections until standard input is closed."""
    host, _, port = listen.partition(":")
    to, _, to_port = target.partition(":")
    proxy = Proxy((to, int(to_port)))
    loop = asyncio.get_running_loop()
    await loop.create_server(lambda: End(proxy), host, int(port), backlog=512)
    print("ready", flush=True)
    orders = Orders(proxy.order)
    await orders.follow()


if __name__ == "__main__":
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run(sys.argv[1], sys.argv[2]))
