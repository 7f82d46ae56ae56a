"""Clients of one soak run, as a process.

`python -m umberlead.testing.soak.client SEED SECONDS RATE DEADLINE IMPATIENT SHARDS FILE FRONT=ADDRESS...`.

Each client sends requests to one front on a connection of its own, with one kind of behaviour, good or bad.
All clients record which requests they sent, when, and how each ended.
"""

import asyncio
import random
import socket
import struct
import sys
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path
from typing import cast

import httptools
import uvloop

from umberlead.testing.soak.records import ClientRecord, Writer

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
RESET_CHECK_SECONDS = 0.05  # after EOF; a reset in this time shows that the last data went unread
ANSWER_GRACE_SECONDS = 1.5  # after a request's deadline, for which its answer is still awaited
BEGUN_ANSWER_SECONDS = 12.0  # after a request's deadline, for which an answer that comes is awaited
CONNECT_SECONDS = 2.0
MAX_PIPELINED = 5
CLIENT_RATE = 4.0  # requests per second of one client
BUSY_PAUSE_SECONDS = 0.02  # longest pause of a busy client between an answer and its next request
BUDGETS = (0.3, 0.6, 1.5, 2.5)


class Kind(Enum):
    """How a client behaves."""

    STEADY = "steady"  # one request at a time on a persistent connection
    BUSY = "busy"  # like STEADY, almost without pauses, also at a front that shuts down, until it closes
    FRESH = "fresh"  # a new connection for each request
    RESTING = "resting"  # pauses between requests, in which the front may close the connection
    PIPELINE = "pipeline"  # several requests at once
    SLOW = "slow"  # writes its request in pieces
    LEAVER = "leaver"  # closes, resets or half-closes its connection while its request is open
    HALF = "half"  # sends part of a request and keeps the connection open


KINDS = (
    *[Kind.STEADY] * 6,
    *[Kind.BUSY] * 2,
    *[Kind.FRESH] * 5,
    *[Kind.RESTING] * 3,
    *[Kind.PIPELINE] * 2,
    Kind.SLOW,
    *[Kind.LEAVER] * 3,
    Kind.HALF,
)


IMPATIENT_KINDS = (*KINDS, *[Kind.LEAVER] * 30)


@dataclass(slots=True)
class Sent:
    """A request that was sent, and how it ended."""

    id: str
    class_name: str
    budget: float
    used: int
    behind: int
    sent_first: int = 0
    sent_last: int = 0
    ended: int = 0
    end: str = "open"
    status: int = 0
    sound: bool = True
    begun: int = 0
    done: asyncio.Event = field(default_factory=asyncio.Event)

    def finish(self, end: str, status: int = 0, sound: bool = True) -> None:
        """Record how the request ended; later calls are ignored."""
        if self.end == "open":
            self.end = end
            self.status = status
            self.sound = sound
            self.ended = time.monotonic_ns()
            self.done.set()


class Connection(asyncio.Protocol):
    """A connection to a front: answers arrive in the order of the requests."""

    def __init__(self) -> None:
        """Create the protocol before the connection is established."""
        self.transport: asyncio.Transport = cast(asyncio.Transport, None)
        self.connected = 0
        self.waiting: list[Sent] = []
        self.served = 0
        self.closing = self.ended = False
        self._parser = httptools.HttpResponseParser(self)
        self._body = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Record when the connection was established."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=0)
        self.connected = time.monotonic_ns()

    def data_received(self, data: bytes) -> None:
        """Parse answers; abort the connection on malformed data."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._end("spoilt")
            self.transport.abort()

    def on_headers_complete(self) -> None:
        """Record when the answer to the oldest open request began."""
        if self.waiting and self._parser.get_status_code() >= 200:
            self.waiting[0].begun = time.monotonic_ns()

    def on_body(self, body: bytes) -> None:
        """Append a piece of an answer's body."""
        self._body += body

    def on_message_complete(self) -> None:
        """Assign the answer to the oldest open request."""
        status = self._parser.get_status_code()
        body = self._body
        self._body = b""
        if status < 200:
            return
        if not self._parser.should_keep_alive():
            self.closing = True
        if self.waiting:
            request = self.waiting.pop(0)
            sound = status != 200 or body.startswith(request.id.encode())
            request.finish("answered", status, sound)
            self.served += 1
        if self.closing:
            self._end("closing")

    def eof_received(self) -> bool:
        """Check shortly after EOF whether a reset follows: if so, the last data sent was not read."""
        self.ended = True
        asyncio.get_running_loop().call_later(RESET_CHECK_SECONDS, self._finish_after_eof)
        return True

    def _finish_after_eof(self) -> None:
        self._end("reset" if self._was_reset() else "eof")
        self.transport.abort()

    def _was_reset(self) -> bool:
        """Return whether a reset followed EOF; after EOF only the socket's error status shows it."""
        sock = self.transport.get_extra_info("socket")
        if sock is None or sock.fileno() < 0:
            return False
        return bool(sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR))

    def connection_lost(self, exc: Exception | None) -> None:
        """Finish all open requests."""
        self.ended = True
        self._end("reset" if exc is not None else "eof")

    def _end(self, end: str) -> None:
        for request in self.waiting:
            request.finish(end)
        self.waiting.clear()

    def usable(self) -> bool:
        """Return whether another request can be sent on the connection."""
        return not (self.closing or self.ended or self.transport.is_closing())

    def reset(self) -> None:
        """Close the connection with a TCP reset."""
        sock = self.transport.get_extra_info("socket")
        if sock is not None and sock.fileno() >= 0:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.transport.abort()


class Clients:
    """All clients of this process."""

    def __init__(
        self,
        seed: int,
        record: Writer,
        fronts: dict[str, tuple[str, int]],
        shards: int,
        deadline_seconds: float,
    ) -> None:
        """Create clients of `fronts` (addresses by name); `seed` seeds their random choices.

        Requests are for data of `shards` shards, with budgets up to `deadline_seconds`.
        """
        self.budgets = [budget for budget in BUDGETS if budget < deadline_seconds] + [deadline_seconds]
        self.chance = random.Random(f"clients/{seed}")
        self.record = record
        self.fronts = fronts
        self.shards = shards
        self.seed = seed
        self.number = 0

    def request(self, connection: Connection, behind: int, budget: float) -> tuple[Sent, bytes]:
        """Generate a random request; return it and its bytes."""
        chance = self.chance
        self.number += 1
        id_ = f"{self.seed:04x}{self.number:012x}"
        write = chance.random() < 0.4
        class_name = "store" if write else "fetch"
        sent = Sent(id_, class_name, budget, connection.served, behind)
        shard = chance.randrange(self.shards) if not write or chance.random() < 0.5 else -1
        units = chance.choice((1, 1, 2, 3))
        body = b"b" * chance.randrange(2000) if write else b""
        volume = chance.randrange(12)
        head = (
            f"{'PUT' if write else 'GET'} /{class_name}?block={chance.getrandbits(64):016x} HTTP/1.1\r\n"
            f"Host: s\r\nX-Call-Id: {id_}\r\nX-Plan: basic\r\nX-Budget: {sent.budget:.3f}\r\n"
            f"X-IO: volume={volume:016x},units={units},shard={shard},hosts=1\r\n"
        )
        if write:
            head += f"Content-Length: {len(body)}\r\n"
        return sent, head.encode() + b"\r\n" + body

    def record_request(self, front: str, kind: Kind, connection: Connection, sent: Sent) -> None:
        """Record a request once it has ended or its answer is no longer awaited."""
        self.record.add(
            ClientRecord(
                sent.id,
                front,
                kind.value,
                sent.class_name,
                sent.budget,
                sent.used,
                sent.behind,
                connection.connected,
                sent.sent_first,
                sent.sent_last,
                sent.ended,
                sent.end,
                sent.status,
                sent.sound,
                sent.begun,
            )
        )

    async def run_client(self, kind: Kind, rate: float, until: float) -> None:
        """Act as one client until `until`, with `rate` requests per second on average."""
        loop = asyncio.get_running_loop()
        front = self.chance.choice(sorted(self.fronts))
        connection: Connection | None = None
        while loop.time() < until:
            if kind is Kind.BUSY and connection is not None:
                await asyncio.sleep(self.chance.uniform(0.0, BUSY_PAUSE_SECONDS))
            else:
                await asyncio.sleep(self.chance.expovariate(rate))
            if kind is Kind.RESTING:
                await asyncio.sleep(self.chance.uniform(0.0, 3.0))
            if connection is not None and not connection.usable():
                connection = None
            if connection is None:
                connection = await self._connect(front)
            if connection is None:
                front = self.chance.choice(sorted(self.fronts))
                continue
            if connection.usable():
                await self._send_requests(kind, front, connection)
            if kind in (Kind.FRESH, Kind.LEAVER, Kind.HALF):
                connection.transport.close()
                connection = None
        if connection is not None:
            connection.transport.close()

    async def _connect(self, front: str) -> Connection | None:
        loop = asyncio.get_running_loop()
        connection = Connection()
        try:
            async with asyncio.timeout(CONNECT_SECONDS):
                await loop.create_connection(lambda: connection, *self.fronts[front])
        except (OSError, TimeoutError):
            await asyncio.sleep(0.05)
            return None
        return connection

    async def _send_requests(self, kind: Kind, front: str, connection: Connection) -> None:
        count = self.chance.randint(2, MAX_PIPELINED) if kind is Kind.PIPELINE else 1
        # The same for all requests: a pipelined answer waits for the earlier ones.
        budget = self.chance.choice(self.budgets)
        made = [self.request(connection, behind, budget) for behind in range(count)]
        sent = [request for request, _ in made]
        data = b"".join(part for _, part in made)
        now = time.monotonic_ns()
        for request in sent:
            request.sent_first = now
        connection.waiting += sent
        whole = kind is not Kind.HALF
        if kind is Kind.HALF:
            await self._send_half(connection, data)
        elif kind is Kind.SLOW:
            whole = await self._send_slowly(connection, data)
        else:
            connection.transport.write(data)
        if (
            whole
            and not connection.transport.is_closing()
            and not connection.transport.get_write_buffer_size()
        ):
            now = time.monotonic_ns()
            for request in sent:
                request.sent_last = now
        if kind is Kind.LEAVER:
            await self._disconnect_early(connection, sent[0])
        for request in sent:
            await self._wait(request, connection)
            self.record_request(front, kind, connection, request)

    async def _wait(self, request: Sent, connection: Connection) -> None:
        """Wait for an answer until ANSWER_GRACE_SECONDS after its deadline, longer for one that has begun."""
        for grace_seconds in (ANSWER_GRACE_SECONDS, BEGUN_ANSWER_SECONDS):
            if request.done.is_set():
                return
            elapsed = (time.monotonic_ns() - (request.sent_last or request.sent_first)) / 1e9
            left = max(request.budget + grace_seconds - elapsed, 0.01)
            try:
                async with asyncio.timeout(left):
                    await request.done.wait()
            except TimeoutError:
                if not (connection.waiting and connection.waiting[0].begun):
                    return

    async def _send_half(self, connection: Connection, data: bytes) -> None:
        connection.transport.write(data[: self.chance.randrange(1, len(data))])
        await asyncio.sleep(self.chance.uniform(1.0, 4.0))

    async def _send_slowly(self, connection: Connection, data: bytes) -> bool:
        """Write the data in pieces; return whether all of it was written."""
        pieces = self.chance.randint(2, 8)
        size = len(data) // pieces + 1
        for at in range(0, len(data), size):
            if connection.transport.is_closing():
                return False
            connection.transport.write(data[at : at + size])
            await asyncio.sleep(self.chance.uniform(0.0, 0.06))
        return True

    async def _disconnect_early(self, connection: Connection, request: Sent) -> None:
        try:
            async with asyncio.timeout(self.chance.uniform(0.0, 0.15)):
                await request.done.wait()
            return
        except TimeoutError:
            pass
        connection.waiting.clear()
        how = self.chance.random()
        request.finish("left")
        if how < 0.4:
            connection.reset()
        elif how < 0.7 and connection.transport.can_write_eof():
            connection.transport.write_eof()
        else:
            connection.transport.close()


async def run(clients: Clients, seconds: float, rate: float, choice: Sequence[Kind]) -> None:
    """Run clients of kinds drawn from `choice` for `seconds`, with `rate` requests per second in total."""
    loop = asyncio.get_running_loop()
    until = loop.time() + seconds
    kinds = [clients.chance.choice(choice) for _ in range(max(int(rate / CLIENT_RATE), 1))]
    await asyncio.gather(*(clients.run_client(kind, CLIENT_RATE, until) for kind in kinds))


def _fronts(words: list[str]) -> dict[str, tuple[str, int]]:
    found = {}
    for word in words:
        name, _, address = word.partition("=")
        host, _, port = address.rpartition(":")
        found[name] = (host, int(port))
    return found


def main(words: list[str]) -> None:
    """Run the clients described by the command-line arguments."""
    seed, seconds, rate, deadline, impatient, shards, path, *fronts = words
    clients = Clients(int(seed), Writer(Path(path)), _fronts(fronts), int(shards), float(deadline))
    kinds = IMPATIENT_KINDS if int(impatient) else KINDS
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run(clients, float(seconds), float(rate), kinds))


if __name__ == "__main__":
    main(sys.argv[1:])
