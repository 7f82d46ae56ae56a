"""Open-loop load on the object API: it stores objects, reads them and compares the bytes.

An object's bytes are generated from its name, so only names and sizes are kept. Latency is measured from the
scheduled time of a request, which avoids coordinated omission.
"""

import asyncio
import random
import time
from collections import Counter, deque
from dataclasses import dataclass, field

import httptools
from hdrh.histogram import HdrHistogram

STORED_NAME_LIMIT = 2000  # the latest stored objects, from which reads choose
CALL_TIMEOUT_SECONDS = 20.0
PLACES = ("in", "back", "part")  # stored, read in full, read as a byte range


def content(name: str, size: int) -> bytes:
    """Return the bytes of an object, which depend on its name and size only."""
    return random.Random(name).randbytes(size)


@dataclass(slots=True)
class Tally:
    """Counts and latencies of the requests that have ended."""

    completed: Counter[str] = field(default_factory=Counter)  # requests by entry of PLACES
    octets: Counter[str] = field(default_factory=Counter)
    refused: int = 0
    failed: int = 0
    mismatches: list[str] = field(default_factory=list)  # a description of each read whose bytes differed
    latencies: dict[str, HdrHistogram] = field(
        default_factory=lambda: {p: HdrHistogram(1, int(CALL_TIMEOUT_SECONDS * 2e6), 3) for p in PLACES}
    )  # us

    def percentile(self, place: str, part: float) -> float:
        """Return a percentile of the latency, in milliseconds."""
        return float(self.latencies[place].get_value_at_percentile(part)) / 1000


class _Call(asyncio.Protocol):
    """One request on a connection of its own."""

    def __init__(self, request: bytes) -> None:
        self.request = request
        self.body = list[bytes]()
        self.done: asyncio.Future[tuple[int, bytes]] = asyncio.get_running_loop().create_future()
        self.parser = httptools.HttpResponseParser(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        transport.write(self.request)

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._end(error)

    def on_body(self, body: bytes) -> None:
        self.body.append(body)

    def on_message_complete(self) -> None:
        if not self.done.done():
            self.done.set_result((self.parser.get_status_code(), b"".join(self.body)))

    def connection_lost(self, error: Exception | None) -> None:
        self._end(error or ConnectionResetError("connection closed before the response was complete"))

    def _end(self, error: Exception) -> None:
        if not self.done.done():
            self.done.set_exception(error)


async def call(address: tuple[str, int], request: bytes) -> tuple[int, bytes]:
    """Send a request; return status and body, or status 0 if there was no complete response."""
    loop = asyncio.get_running_loop()
    transport = None
    try:
        transport, protocol = await loop.create_connection(lambda: _Call(request), *address)
        return await asyncio.wait_for(protocol.done, CALL_TIMEOUT_SECONDS)
    except (OSError, TimeoutError, httptools.HttpParserError):
        return 0, b""
    finally:
        if transport is not None:
            transport.abort()


class Objects:
    """The load on one front."""

    def __init__(self, address: tuple[str, int], buckets: list[str], rate: float, seed: int) -> None:
        """Create a load of `rate` requests a second on the front at `address`."""
        self.address = address
        self.buckets = buckets
        self.rate = rate
        self.seed = seed
        self.rng = random.Random(seed)
        self.tally = Tally()
        self.stored: deque[tuple[str, int]] = deque(maxlen=STORED_NAME_LIMIT)
        self._count = 0

    async def run(self, until: asyncio.Event) -> None:
        """Send requests at times drawn in advance until `until` is set, then wait for all of them to end."""
        begin = time.monotonic()
        at = 0.0
        tasks = set[asyncio.Task[None]]()
        while not until.is_set():
            at += self.rng.expovariate(self.rate)
            wait = begin + at - time.monotonic()
            if wait > 0:
                try:
                    await asyncio.wait_for(until.wait(), wait)
                    break
                except TimeoutError:
                    pass
            task = asyncio.create_task(self._send_one(begin + at))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.gather(*tasks)

    async def _send_one(self, due: float) -> None:
        if not self.stored or self.rng.random() < 0.4:
            await self._put(due)
        else:
            name, size = self.rng.choice(self.stored)
            await self._get(due, name, size, size > 1 and self.rng.random() < 0.3)

    async def _put(self, due: float) -> None:
        self._count += 1
        size = min(int(self.rng.lognormvariate(10.5, 1.2)) + 1, 2 << 20)
        name = f"{self.rng.choice(self.buckets)}/{self.seed}/{self._count:06d}"
        body = content(name, size)
        head = f"PUT /{name} HTTP/1.1\r\nHost: demo\r\nContent-Length: {size}\r\nConnection: close\r\n\r\n"
        status, _ = await call(self.address, head.encode() + body)
        if self._record("in", status, due, size):
            self.stored.append((name, size))

    async def _get(self, due: float, name: str, size: int, ranged: bool) -> None:
        begin = 0
        end = size
        if ranged:
            begin = self.rng.randrange(size)
            end = self.rng.randint(begin + 1, size)
        head = f"GET /{name} HTTP/1.1\r\nHost: demo\r\nConnection: close\r\n"
        head += f"Range: bytes={begin}-{end - 1}\r\n" if ranged else ""
        status, body = await call(self.address, head.encode() + b"\r\n")
        if self._record("part" if ranged else "back", status, due, len(body)):
            expected = content(name, size)[begin:end]
            if body != expected:
                self.tally.mismatches.append(
                    f"{name}, bytes {begin} to {end}: received {len(body)} bytes, which differ"
                )

    def _record(self, place: str, status: int, due: float, size: int) -> bool:
        tally = self.tally
        if status in (200, 206):
            tally.completed[place] += 1
            tally.octets[place] += size
            tally.latencies[place].record_value(max(int((time.monotonic() - due) * 1e6), 1))
            return True
        if status in (429, 503):
            tally.refused += 1
        else:
            tally.failed += 1
        return False
