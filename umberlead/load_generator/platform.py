"""Open-loop load generator for the platform's protocol; arrival times are drawn in advance.

Latency is measured from the time at which a request was due, so that the delay which a stalled front causes
to later requests is counted (no coordinated omission). There is one pool of connections for each front; it
opens another connection when all are busy.
"""

import asyncio
import random
import time
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import cast

import httptools
from hdrh.histogram import HdrHistogram

MAX_RECORDED_LATENCY_US = 60_000_000  # longer latencies are recorded as this one


@dataclass(frozen=True, slots=True)
class Plan:
    """Parameters of a run; `rate` is in requests a second over all fronts, `budget` in seconds."""

    rate: float
    seconds: float
    seed: int
    shards: int
    volumes: int = 40
    writes: float = 0.3
    plan: str = "basic"
    read: str = "image-read"
    write: str = "image-upload"
    budget: float = 2.0
    units: tuple[int, ...] = (1, 1, 2, 2, 3, 6)


@dataclass(slots=True)
class PlannedRequest:
    """A drawn request and the time at which it is due."""

    at: float  # s after the start
    front: int
    id: str
    write: bool
    shard: int
    volume: int
    units: int
    block: str


def draw(plan: Plan, fronts: int) -> list[PlannedRequest]:
    """Draw all requests of a run; they depend on the plan, its seed and the number of fronts only."""
    rng = random.Random(plan.seed)
    at = 0.0
    requests = list[PlannedRequest]()
    while True:
        at += rng.expovariate(plan.rate)
        if at >= plan.seconds:
            return requests
        volume = rng.randrange(plan.volumes)
        requests.append(
            PlannedRequest(
                at,
                rng.randrange(fronts),
                f"{plan.seed:x}-{len(requests):x}",
                rng.random() < plan.writes,
                rng.randrange(plan.shards),
                volume,
                rng.choice(plan.units),
                f"{rng.getrandbits(64):016x}",
            )
        )


@dataclass(slots=True)
class Result:
    """Counts and latencies of a run."""

    latency: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, MAX_RECORDED_LATENCY_US, 3)
    )  # us, served requests only
    statuses: Counter[int] = field(default_factory=Counter)  # 0: no response, or a broken one
    answers: Counter[str] = field(default_factory=Counter)  # responses by request id
    late_start: float = 0.0  # s, the greatest delay with which the generator sent a request

    def row(self) -> dict[str, float]:
        """Return the result as a row of figures."""
        histogram = self.latency
        figures = {f"p{p:g}_ms": histogram.get_value_at_percentile(p) / 1000 for p in (50, 90, 99, 99.9)}
        figures |= {"max_ms": histogram.get_max_value() / 1000, "asked": sum(self.statuses.values())}
        return figures | {
            "served": self.statuses[200],
            "refused": self.statuses[503],
            "failed": self.statuses[502],
        }


class _Connection(asyncio.Protocol):
    def __init__(self, pool: "_ConnectionPool") -> None:
        self.pool = pool
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.done: Callable[[int], None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def send(self, data: bytes, done: Callable[[int], None]) -> None:
        assert self.transport is not None
        self.done = done
        self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            if self.transport is not None:
                self.transport.abort()

    def on_message_complete(self) -> None:
        status = self.parser.get_status_code()
        keep = self.parser.should_keep_alive()
        self.parser = httptools.HttpResponseParser(self)
        done = self.done
        self.done = None
        if keep:
            self.pool.idle.append(self)
        elif self.transport is not None:
            self.transport.close()
        if done is not None:
            done(status)

    def connection_lost(self, exc: Exception | None) -> None:
        if self in self.pool.idle:
            self.pool.idle.remove(self)
        if self.done is not None:
            done = self.done
            self.done = None
            done(0)


class _ConnectionPool:
    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self.idle = deque[_Connection]()

    async def send(self, data: bytes, done: Callable[[int], None]) -> None:
        if self.idle:
            return self.idle.pop().send(data, done)
        loop = asyncio.get_running_loop()
        try:
            _, connection = await loop.create_connection(lambda: _Connection(self), *self.address)
        except OSError:
            return done(0)
        connection.send(data, done)


def _encode_request(plan: Plan, request: PlannedRequest) -> bytes:
    body = b"x" * 200 if request.write else b""
    name = plan.write if request.write else plan.read
    head = (
        f"{'PUT' if request.write else 'GET'} /{name}?block={request.block} HTTP/1.1\r\nHost: load\r\n"
        f"X-Call-Id: {request.id}\r\nX-Plan: {plan.plan}\r\nX-Budget: {plan.budget:.3f}\r\n"
        f"X-IO: volume={request.volume:016x},units={request.units},shard={request.shard},hosts=1\r\n"
    )
    return head.encode() + (b"Content-Length: %d\r\n" % len(body) if request.write else b"") + b"\r\n" + body


async def run(plan: Plan, fronts: list[tuple[str, int]]) -> Result:
    """Send all drawn requests and wait for the last response, for at most twice the budget."""
    result = Result()
    pools = [_ConnectionPool(address) for address in fronts]
    begin = time.monotonic()
    tasks = set[asyncio.Task[None]]()
    unanswered = set[str]()

    def answered(request: PlannedRequest, status: int) -> None:
        result.statuses[status] += 1
        result.answers[request.id] += 1
        unanswered.discard(request.id)
        if status == 200:
            latency_s = time.monotonic() - begin - request.at
            result.latency.record_value(max(min(int(latency_s * 1e6), MAX_RECORDED_LATENCY_US), 1))

    for request in draw(plan, len(fronts)):
        wait = request.at - (time.monotonic() - begin)
        if wait > 0:
            await asyncio.sleep(wait)
        result.late_start = max(result.late_start, time.monotonic() - begin - request.at)
        unanswered.add(request.id)
        call = pools[request.front].send(
            _encode_request(plan, request),
            lambda status, a=request: answered(a, status),  # type: ignore[misc]
        )
        task = asyncio.create_task(call)
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    end = time.monotonic() + 2 * plan.budget
    while unanswered and time.monotonic() < end:
        await asyncio.sleep(0.01)
    result.statuses[0] += len(unanswered)
    return result
