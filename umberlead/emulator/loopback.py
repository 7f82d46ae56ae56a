"""Loopback sockets: addresses that never accept, and a measure of how late this process reads."""

import asyncio
import socket
import urllib.request
from contextlib import suppress

from umberlead.load_generator.day import SECOND_US

LATENESS_INTERVAL_S = 0.005  # between two measurements; a shorter lateness counts as 0


class Blackhole:
    """An address at which connections are never established: its listen queue is full."""

    def __init__(self, address: tuple[str, int]) -> None:
        """Listen at the address and fill the queue."""
        self.sockets = [bound_socket(address)]
        self.sockets[0].listen(0)
        for _ in range(4):
            connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            connection.setblocking(False)
            with suppress(BlockingIOError):
                connection.connect(address)
            self.sockets.append(connection)

    def close(self) -> None:
        """Release the address."""
        for one in self.sockets:
            one.close()


def bound_socket(address: tuple[str, int]) -> socket.socket:
    """Return a TCP socket bound to the address, which may have been in use just before."""
    made = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    made.bind(address)
    return made


class Lateness:
    """Measures how late this process reads from its sockets.

    An event loop that was delayed runs its timers first and reads afterwards. The bytes that it then finds
    may have arrived at any time since its previous read.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Start measuring the lateness of `loop`."""
        self.loop = loop
        self._turn_delay = 0.0
        self._due = loop.time()
        self._measure()

    def _measure(self) -> None:
        now = self.loop.time()
        self._turn_delay = now - self._due
        self._due = now + LATENESS_INTERVAL_S
        self.loop.call_at(self._due, self._measure)
        self.loop.call_soon(self.loop.call_soon, self._reset_turn_delay)

    def _reset_turn_delay(self) -> None:
        self._turn_delay = 0.0  # the sockets of this turn have been read

    def us(self) -> int:
        """Return the lateness in microseconds; 0 if it is at most `LATENESS_INTERVAL_S`."""
        late = max(self._turn_delay, self.loop.time() - self._due)
        return int(late * SECOND_US) if late > LATENESS_INTERVAL_S else 0


def port_of(server: asyncio.Server) -> int:
    """Return the port on which the server listens."""
    return int(server.sockets[0].getsockname()[1])


def put(url: str) -> None:
    """Send a PUT without a body, bypassing any proxy."""
    request = urllib.request.Request(url, method="PUT")
    with urllib.request.build_opener(urllib.request.ProxyHandler({})).open(request, timeout=5) as answer:
        answer.read()
