"""Long answers and uploads in pieces, each crossing forced: docs/crossings.md has the table. Whole fronts on
real sockets with a clock moved on by hand, as in test_long.py, whose answers and steps these are."""

import asyncio
import os
import socket
from collections.abc import Callable

import pytest

from tests.exchange import PATIENCE, Peer
from tests.test_long import WELL, Long
from umberlead.net.client_connections import ACCEPT_GRACE_US
from umberlead.net.server_connection import ServerConnection

SMALL_BUFFER = 4096  # bytes of a socket's buffer, both ways, to a client that reads slowly


class Pieces(Long):
    """With steps of its own:

    slow client NAME       a client to which little fits; it reads once told to: `NAME reads`, `NAME rests`
    holds N                waits until so many long answers are held back for their readers
    NAME half read         waits until a request of its is half read
    NAME in bytes          sends what is below, a byte in each turn of the loop
    clients N              waits until so many clients are connected
    NAME unread            waits until an answer to it stands unread in the front
    NAME sends, then evict what is below is here, unread, as a place is asked for: none gives way
    NAME evict, then sends one gives way, and what is below comes in that turn
    NAME sends, then sweep N  what is below is here, unread, as the clock moves on and a sweep runs"""

    async def _step(self, words: list[str], lines: list[str]) -> None:
        match words:
            case ["slow", "client", name]:
                await self._slow_client(name)
            case [name, "reads"]:
                self.peers[name].transport.resume_reading()
            case [name, "rests"]:
                self.peers[name].transport.pause_reading()
            case ["holds", number]:
                pool = (await self._start()).pool
                await self._until(
                    lambda: sum(conn.stream is not None and conn.stream.paused for conn in pool.slots)
                    == int(number)
                )
            case [name, "half", "read"]:
                conn = await self._known(name)
                await self._until(lambda: conn.partial_request is not None)
            case [name, "in", "bytes"]:
                for byte in b"".join(self._bytes(line, False) for line in lines):
                    self.peers[name].transport.write(bytes([byte]))
                    await asyncio.sleep(0)
            case ["clients", number]:
                clients = (await self._start()).groups[0]
                await self._until(lambda: len(clients.slots) == int(number))
            case [name, "unread"]:
                conn = await self._known(name)
                await self._until(lambda: conn.write_blocked and conn.source is None)
            case [name, "sends,", "then", "evict"]:
                self._at_once(name, lines)
                assert not await self._evict()
            case [name, "evict,", "then", "sends"]:
                assert await self._evict()
                self._at_once(name, lines)
            case [name, "sends,", "then", "sweep", number]:
                front = await self._start()
                self._at_once(name, lines)
                self.clock.added += int(number)
                front.groups[0].sweep()
            case _:
                await super()._step(words, lines)

    async def _slow_client(self, name: str) -> None:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
        sock.connect((await self._start()).servers[0].address)
        loop = asyncio.get_running_loop()
        _, self.peers[name] = await loop.create_connection(Peer, sock=sock)
        self.peers[name].transport.pause_reading()
        self.peers[name].transport.write(b"\r\n")  # it may stand before a request
        conn = await self._known(name)
        out = conn.transport.get_extra_info("socket")
        out.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER)

    async def _known(self, name: str) -> ServerConnection:
        """The front's end of a client's connection, which is accepted with its first bytes."""
        clients = (await self._start()).groups[0]
        port = self.peers[name].transport.get_extra_info("sockname")[1]

        def found() -> list[ServerConnection]:
            conns = [c for c in clients.slots if isinstance(c, ServerConnection)]
            assert len(conns) == len(clients.slots)
            return [c for c in conns if c.transport.get_extra_info("peername")[1] == port]

        await self._until(lambda: bool(found()))
        return found()[0]

    async def _until(self, met: Callable[[], bool]) -> None:
        end = asyncio.get_running_loop().time() + PATIENCE
        while not met():
            assert asyncio.get_running_loop().time() < end, "it never came"
            await asyncio.sleep(0.001)

    def _at_once(self, name: str, lines: list[str]) -> None:
        """Past the loop: it is with the system before the front's next step, and can't be read before it."""
        raw = b"".join(self._bytes(line, False) for line in lines)
        assert os.write(self.peers[name].transport.get_extra_info("socket").fileno(), raw) == len(raw)

    async def _evict(self) -> bool:
        clients = (await self._start()).groups[0]
        return clients.evict(clients.evictable())


def play(*parts: str) -> None:
    Pieces("".join(parts)).play()


# Requests in pieces, on a connection that is to give way

PUT = "| PUT /write?block=7f3a9c21e0b4d655 HTTP/1.1\n& ask a1 / 0\n| Content-Length: 4\n|\n"
STORED = "a <\n& done\n"
NO_ROOM = (
    "a <\n| HTTP/1.1 503 Service Unavailable\n| Retry-After: 0.5\n| Content-Length: 30\n"
    "| Connection: close\n|\n~ refused: too many connections\n"
)
WELL_CLOSING = (
    "client {0} platform\n{0} >\n| GET /healthz HTTP/1.1\n|\n{0} <\n"
    "| HTTP/1.1 200 OK\n| Content-Length: 3\n| Connection: close\n|\n~ ok\n"
)
HALVES = {
    "a byte": "= P\n",
    "half a head": "| PUT /write?block=7f3a9c21e0b4d655 HTTP/1.1\n= X-Call-\n",
    "a head": PUT,
    "half a body": PUT + "= ab\n",
}
ALONE = "node n0 0\nclient a platform\n"
PAST_GRACE = f"clock {ACCEPT_GRACE_US + 10_000}\n"


@pytest.mark.parametrize("half", HALVES)
def test_what_is_half_read_is_refused_as_its_place_goes(half: str) -> None:
    """It was closed on without a word, as an idle connection is: a request taken, and lost."""
    play(ALONE, "a >\n", HALVES[half], "a half read\nplaces clients 1\n", PAST_GRACE,
         WELL_CLOSING.format("b"), NO_ROOM, "a eof\ncounter clients_evicted 1\nn0 ran PUT 0\n")  # fmt: skip


def test_a_cap_that_comes_down_refuses_what_is_half_read() -> None:
    play(ALONE, "a >\n", PUT, "a half read\n", PAST_GRACE, "places clients 0\n", "clock 100000\n",
         NO_ROOM, "a eof\n")  # fmt: skip


def test_a_piece_that_is_here_keeps_its_connection() -> None:
    """It was not read yet as a place is asked for, in that turn: nothing gives way, and it is served."""
    play(ALONE, "a >\n", PUT, "= ab\n", "a half read\n", PAST_GRACE, "a sends, then evict\n= cd\n", STORED,
         "writes n0 PUT 1\ncounter clients_evicted 0\n")  # fmt: skip


def test_a_piece_that_comes_in_the_turn_of_the_eviction_is_refused_with_its_request() -> None:
    """The refusal is out before the connection is closed, a turn later: the piece finds no open request."""
    play(ALONE, "a >\n", PUT, "= ab\n", "a half read\n", PAST_GRACE, "a evict, then sends\n= cd\n", NO_ROOM,
         "n0 ran PUT 0\n")  # fmt: skip


def test_a_request_in_single_bytes_outlives_the_drain() -> None:
    """Half read, it is not idle: the drain does not close on it, and its end is read and served."""
    play(ALONE, WELL.format("b"), "a >\n| GET /healthz HTTP/1.1\n|\na <\n& well\nsignal TERM\n",
         WELL.format("c"), "clock 1500000\na in bytes\n",
         "| PUT /write?block=7f3a9c21e0b4d655 HTTP/1.1\n| X-Call-Id: a1\n= X-Pla\n", "a half read\n",
         "clock 1810000\nb eof\na in bytes\n",
         "| n: gold\n| X-IO: volume=b4,units=1,shard=0\n| Content-Length: 4\n|\n= abcd\n",
         "a <\n| HTTP/1.1 200 OK\n| Content-Length: 0\n| Connection: close\n|\n",
         "writes n0 PUT 1\nends\n")  # fmt: skip
