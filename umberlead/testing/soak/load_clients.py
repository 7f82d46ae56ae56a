"""Clients that occupy a front: partial or slow requests, unread answers, and floods of small requests.

`python -m umberlead.testing.soak.load_clients KIND ADDRESS COUNT SECONDS CLASS PLAN`.

`COUNT` clients of one kind connect at once and keep that up for `SECONDS`; one whose connection the front
closes connects again. Blocks whose number begins with `LONG_BLOCK` are those for which a chunk server of the
tests sends a long answer, and with `HELD_BLOCK` those for which it sends none.
"""

import asyncio
import contextlib
import itertools
import os
import socket
import sys
from collections.abc import Awaitable, Callable, Iterator
from enum import Enum
from typing import cast

import uvloop

HELD_BLOCK = "aaaaaaaa"
LONG_BLOCK = "bbbbbbbb"
FIELDS_COUNT = 1100  # of a head with many short fields
PARTIAL_BODY_BYTES = 20_000
DECLARED_BODY_BYTES = 30_000
UPLOAD_BYTES = 65_000
PARTIAL_UPLOAD_BYTES = 63_000
UPLOAD_PIECE_BYTES = 1000
SLOW_UPLOAD_BYTES_PER_S = 15_000
PIPELINED_COUNT = 250
TRICKLED_BYTES = 4000
FLOOD_BATCH_COUNT = 50  # requests in one write
ANSWERS_PER_READER_COUNT = 3  # long answers that a client asks for before it stops to read
DIAL_SECONDS = 5.0
RECONNECT_SECONDS = 0.2
READ_BYTES = 1 << 16
SLOW_READER_BUFFER_BYTES = 4096


class LoadKind(Enum):
    """How the clients occupy the front."""

    PARTIAL_HEAD = "partial_head"  # many short fields, without the end of the head
    PARTIAL_BODY = "partial_body"  # such a head, and two thirds of the body
    PARTIAL_UPLOAD = "partial_upload"  # nearly all of a large body, in small pieces
    SLOW_UPLOAD = "slow_upload"  # a large body, slowly
    PIPELINED = "pipelined"  # many complete requests behind one that is held
    TRICKLE = "trickle"  # single bytes behind a request that is held
    SLOW_READER = "slow_reader"  # long answers that are never read
    FLOOD_WITHOUT_ID = "flood_without_id"  # requests without X-Call-Id
    FLOOD_NEW_CLASSES = "flood_new_classes"  # requests of classes that the settings don't name
    FLOOD_HEALTH = "flood_health"  # GET /healthz
    FLOOD_NEW_VOLUMES = "flood_new_volumes"  # sound requests, each for another volume and block

    @property
    def is_flood(self) -> bool:
        """Whether a few clients send at full speed, rather than hundreds slowly."""
        return self.value.startswith("flood_")


Client = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class LoadClients:
    """The clients of one kind at one front."""

    def __init__(self, kind: LoadKind, class_name: str, plan: str) -> None:
        """Send requests of `class_name` and `plan`."""
        self.kind = kind
        self._class_name = class_name
        self._plan = plan
        self._numbers = itertools.count(1)
        self._behaviours: dict[LoadKind, Client] = {
            LoadKind.PARTIAL_HEAD: self._partial_head,
            LoadKind.PARTIAL_BODY: self._partial_body,
            LoadKind.PARTIAL_UPLOAD: self._partial_upload,
            LoadKind.SLOW_UPLOAD: self._slow_upload,
            LoadKind.PIPELINED: self._pipelined,
            LoadKind.TRICKLE: self._trickle,
            LoadKind.SLOW_READER: self._slow_reader,
        }

    async def run(self, host: str, port: int, count: int, seconds: float) -> None:
        """Keep `count` connections to the front occupied for `seconds`."""
        until = asyncio.get_running_loop().time() + seconds
        await asyncio.gather(*(self._keep_connected(host, port, until) for _ in range(count)))

    async def _keep_connected(self, host: str, port: int, until: float) -> None:
        loop = asyncio.get_running_loop()
        behave = self._behaviours.get(self.kind, self._flood)
        while loop.time() < until:
            with contextlib.suppress(OSError, TimeoutError):
                reader, writer = await self._connect(host, port)
                try:
                    async with asyncio.timeout_at(until):
                        await behave(reader, writer)
                finally:
                    writer.transport.abort()
            await asyncio.sleep(RECONNECT_SECONDS)

    async def _connect(self, host: str, port: int) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Connect; a reader that does not read gets a small receive buffer."""
        sock = socket.socket()
        sock.setblocking(False)
        if self.kind is LoadKind.SLOW_READER:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_READER_BUFFER_BYTES)
        try:
            async with asyncio.timeout(DIAL_SECONDS):
                await asyncio.get_running_loop().sock_connect(sock, (host, port))
                return await asyncio.open_connection(sock=sock, limit=READ_BYTES)
        except BaseException:
            sock.close()
            raise

    # Requests

    def _call_id(self) -> str:
        return f"{os.getpid():08x}{next(self._numbers):08x}"

    def _request(self, block: str, volume: int = 1, method: str = "GET") -> bytes:
        """Return the head of a sound request without the empty line at its end."""
        return (
            f"{method} /{self._class_name}?block={block:0<16} HTTP/1.1\r\nHost: s\r\n"
            f"X-Call-Id: {self._call_id()}\r\nX-Plan: {self._plan}\r\n"
            f"X-IO: volume={volume:016x},units=1,shard=0,hosts=1\r\n"
        ).encode()

    def _flood_requests(self) -> Iterator[bytes]:
        """Yield the requests of one write."""
        for _ in range(FLOOD_BATCH_COUNT):
            number = next(self._numbers)
            if self.kind is LoadKind.FLOOD_HEALTH:
                yield b"GET /healthz HTTP/1.1\r\nHost: s\r\n\r\n"
            elif self.kind is LoadKind.FLOOD_WITHOUT_ID:
                yield (
                    b"GET /%s?block=0000000000000001 HTTP/1.1\r\nHost: s\r\n\r\n" % self._class_name.encode()
                )
            elif self.kind is LoadKind.FLOOD_NEW_CLASSES:
                yield b"GET /new-%d?block=0000000000000001 HTTP/1.1\r\nHost: s\r\nX-Call-Id: %d\r\n\r\n" % (
                    number,
                    number,
                )
            else:
                yield self._request(f"{number:016x}", volume=number) + b"\r\n"

    # Behaviours: each returns when the connection has ended

    async def _flood(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Send at full speed; read the answers, but do not wait for them."""
        drain = asyncio.get_running_loop().create_task(self._read_until_end(reader))
        try:
            while not (drain.done() or writer.is_closing()):
                writer.write(b"".join(self._flood_requests()))
                await writer.drain()
                await asyncio.sleep(0)
        finally:
            drain.cancel()

    @staticmethod
    async def _read_until_end(reader: asyncio.StreamReader) -> None:
        with contextlib.suppress(OSError):
            while await reader.read(READ_BYTES):
                pass

    @staticmethod
    def _many_fields() -> bytes:
        return b"".join(b"%x:1\r\n" % number for number in range(FIELDS_COUNT))

    async def _partial_head(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(b"GET /a HTTP/1.1\r\n" + self._many_fields())
        await self._read_until_end(reader)

    async def _partial_body(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        length = b"Content-Length: %d\r\n\r\n" % DECLARED_BODY_BYTES
        writer.write(b"PUT /a HTTP/1.1\r\n" + self._many_fields() + length + b"b" * PARTIAL_BODY_BYTES)
        await self._read_until_end(reader)

    async def _upload(self, writer: asyncio.StreamWriter, size: int, pause_seconds: float) -> None:
        writer.write(self._request("1", method="PUT") + b"Content-Length: %d\r\n\r\n" % UPLOAD_BYTES)
        for _ in range(size // UPLOAD_PIECE_BYTES):
            if writer.is_closing():
                return
            writer.write(b"b" * UPLOAD_PIECE_BYTES)
            await writer.drain()
            await asyncio.sleep(pause_seconds)

    async def _partial_upload(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await self._upload(writer, PARTIAL_UPLOAD_BYTES, 0.0)
        await self._read_until_end(reader)

    async def _slow_upload(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await self._upload(writer, UPLOAD_BYTES, UPLOAD_PIECE_BYTES / SLOW_UPLOAD_BYTES_PER_S)
        await self._read_until_end(reader)

    async def _pipelined(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(self._request(HELD_BLOCK) + b"\r\n")
        await asyncio.sleep(0.05)
        writer.write(b"".join(self._request("1") + b"\r\n" for _ in range(PIPELINED_COUNT)))
        await self._read_until_end(reader)

    async def _trickle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(self._request(HELD_BLOCK) + b"\r\n")
        for number in range(TRICKLED_BYTES):
            if writer.is_closing():
                return
            writer.write(b"GET /trickled HTTP/1.1\r\n"[number : number + 1] or b"x")
            await asyncio.sleep(0)
        await self._read_until_end(reader)

    async def _slow_reader(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        cast(asyncio.Transport, writer.transport).pause_reading()
        for _ in range(ANSWERS_PER_READER_COUNT):
            writer.write(self._request(LONG_BLOCK) + b"\r\n")
        await asyncio.sleep(3600.0)


def main(words: list[str]) -> None:
    """Run the clients described by the command-line arguments."""
    kind, address, count, seconds, class_name, plan = words
    host, _, port = address.partition(":")
    clients = LoadClients(LoadKind(kind), class_name, plan)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(clients.run(host, int(port), int(count), float(seconds)))


if __name__ == "__main__":
    main(sys.argv[1:])
