"""Sockets on loopback: addresses that say nothing, and how late this process reads."""

import asyncio
import socket
import urllib.request
from contextlib import suppress

from umberlead.load_generator.day import SECOND_US

LATENESS_INTERVAL_S = 0.005  # s between looks at this process's own lateness; less than that counts as none


class Blackhole:
    """An address at which connections never come up: a listener whose queue is full."""

    def __init__(self, address: tuple[str, int]) -> None:
        """Takes the address and fills its queue."""
        self.sockets = [bound_socket(address)]
        self.sockets[0].listen(0)
        for _ in range(4):
            filler = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            filler.setblocking(False)
            with suppress(BlockingIOError):
                filler.connect(address)
            self.sockets.append(filler)

    def close(self) -> None:
        """Gives the address back."""
        for one in self.sockets:
            one.close()


def bound_socket(address: tuple[str, int]) -> socket.socket:
    """A stream socket bound to the address, which may have just been in use."""
    made = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    made.bind(address)
    return made


class Lateness:
    """How far this process is behind, as of the sockets that it reads from now.

    A loop that was held up runs its timers first, then reads: what it finds may have lain there since it
    looked last.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Starts to look at the loop's lateness."""
        self.loop = loop
        self._turn = 0.0
        self._due = loop.time()
        self._beat()

    def _beat(self) -> None:
        now = self.loop.time()
        self._turn = now - self._due
        self._due = now + LATENESS_INTERVAL_S
        self.loop.call_at(self._due, self._beat)
        self.loop.call_soon(self.loop.call_soon, self._read)

    def _read(self) -> None:
        self._turn = 0.0  # the turn's reading is over

    def us(self) -> int:
        """Microseconds behind; 0 below what counts."""
        late = max(self._turn, self.loop.time() - self._due)
        return int(late * SECOND_US) if late > LATENESS_INTERVAL_S else 0


def port_of(server: asyncio.Server) -> int:
    """The port that the server listens on."""
    return int(server.sockets[0].getsockname()[1])


def put(url: str) -> None:
    """One PUT without a body, past any proxy."""
    request = urllib.request.Request(url, method="PUT")
    with urllib.request.build_opener(urllib.request.ProxyHandler({})).open(request, timeout=5) as answer:
        answer.read()
