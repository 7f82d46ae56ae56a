"""Cost of clients' connections in an earlier build and in this one, in one run: `--before REVISION`.

Starts a front of each build in turn, several times, and measures its processor time for a small request, for
a health check sent ahead, for a megabyte of uploads and of long answers, its memory for an idle connection,
and the time of a scheduling decision. The clients and the endpoint run in this process.
"""

import argparse
import asyncio
import os
import re
import statistics
import subprocess
import sys
import tempfile
import time
from collections import defaultdict
from collections.abc import Awaitable, Callable
from pathlib import Path

import uvloop

from benchmarks.earlier_build import ROOT, earlier_build
from tests import loaded_front
from tests.loaded_front import (
    LONG_ANSWER_BYTES,
    SAFE_CLASS,
    UNSAFE_CLASS,
    Call,
    Connection,
    LoadedFront,
    request,
)

ROUNDS = 3
CLIENTS = 16
REQUESTS_PER_CLIENT = 200
HEALTH_CHECKS = 20_000
BATCH = 50
UPLOADS_PER_CLIENT = 12
UPLOAD_BYTES = 64_000
LONG_ANSWERS_PER_CLIENT = 4
IDLE_CONNECTIONS = 400
DECISION_SCRIPT = """
import time
from umberlead.scheduling.actions import Send
from umberlead.scheduling.events import AttemptResult, Endpoint, EndpointList, EndpointStatus
from umberlead.scheduling.events import Outcome, Request
from umberlead.scheduling.scheduler import Scheduler
from umberlead.scheduling.settings import Plan, RequestClass, Settings
settings = Settings(
    classes=(RequestClass("read", latency_objective_us=300_000, timeout_us=2_000_000),), plans=(Plan("gold"),)
)
scheduler = Scheduler(settings, seed=1, now_us=0)
endpoints = tuple(Endpoint(f"n{n}", EndpointStatus.UP, shard=0) for n in range(8))
scheduler.handle(0, [EndpointList(True, endpoints)])
began = time.process_time()
now = 0
for number in range(20_000):
    now += 1000
    request = Request(f"{number}", None, f"v{number % 300}", now + 2_000_000, 0, 1.0, "read", "gold")
    for action in scheduler.handle(now, [request]):
        if isinstance(action, Send):
            outcome = Outcome(action.request_id, action.endpoint, 0, AttemptResult.OK, 3000, True)
            scheduler.handle(now + 300, [outcome])
print((time.process_time() - began) / 20_000 * 1e6)
"""

Measurement = Callable[[int], Awaitable[float]]


def cpu_seconds(pid: int) -> float:
    """Return the processor time of a process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_kb(pid: int) -> int:
    found = re.search(r"VmRSS:\s+([0-9]+) kB", Path(f"/proc/{pid}/status").read_text())
    assert found is not None
    return int(found[1])


async def _client(
    port: int, number: int, count: int, class_name: str, block: str, body: bytes | None
) -> None:
    connection = await Connection.open(port)
    for position in range(count):
        call = Call(f"c{os.getpid():x}-{number}-{position}-{time.monotonic_ns():x}", 1.9, 0.0)
        await connection.call(call, class_name, block, body)
        if connection.closes:
            connection.writer.close()
            connection = await Connection.open(port)
    connection.writer.close()


async def small_requests(port: int) -> float:
    """Return the number of requests made."""
    clients = (
        _client(port, number, REQUESTS_PER_CLIENT, SAFE_CLASS, "0" * 16, None) for number in range(CLIENTS)
    )
    await asyncio.gather(*clients)
    return CLIENTS * REQUESTS_PER_CLIENT


async def health_checks(port: int) -> float:
    """Return the number of health checks sent, 50 in each write."""
    connection = await Connection.open(port)
    for _ in range(HEALTH_CHECKS // BATCH):
        connection.writer.write(b"GET /healthz HTTP/1.1\r\nHost: s\r\n\r\n" * BATCH)
        for _ in range(BATCH):
            await connection.read_answer(Call("", 1.0, 0.0))
    connection.writer.close()
    return HEALTH_CHECKS


async def uploads(port: int) -> float:
    """Return the number of megabytes sent."""
    body = bytes(UPLOAD_BYTES)
    clients = (
        _client(port, number, UPLOADS_PER_CLIENT, UNSAFE_CLASS, "0" * 16, body) for number in range(CLIENTS)
    )
    await asyncio.gather(*clients)
    return CLIENTS * UPLOADS_PER_CLIENT * UPLOAD_BYTES / 1e6


async def long_answers(port: int) -> float:
    """Return the number of megabytes received."""
    clients = (
        _client(port, number, LONG_ANSWERS_PER_CLIENT, SAFE_CLASS, "bb" + "0" * 14, None)
        for number in range(CLIENTS)
    )
    await asyncio.gather(*clients)
    return CLIENTS * LONG_ANSWERS_PER_CLIENT * LONG_ANSWER_BYTES / 1e6


MEASUREMENTS: dict[str, Measurement] = {
    "us CPU a small request": small_requests,
    "us CPU a health check sent ahead": health_checks,
    "us CPU a MB of uploads": uploads,
    "us CPU a MB of long answers": long_answers,
}


async def idle_connection_kb(front: LoadedFront, port: int) -> float:
    """Return the resident memory that an idle connection with one served request takes."""
    before = resident_kb(front.child.pid)
    connections = []
    for _ in range(IDLE_CONNECTIONS):
        connection = await Connection.open(port)
        connection.writer.write(
            request("", "healthz", "", 1.0).replace(b"GET /healthz?block=", b"GET /healthz")
        )
        await connection.reader.readuntil(b"ok\n")
        connections.append(connection)
    after = resident_kb(front.child.pid)
    for connection in connections:
        connection.writer.close()
    return (after - before) / IDLE_CONNECTIONS


async def measure(tree: Path) -> dict[str, float]:
    """Return the figures of one front of the build in `tree`."""
    loaded_front.ROOT = tree
    figures: dict[str, float] = {}
    with tempfile.TemporaryDirectory() as folder:
        limits = {"cores": 1, "memory_mb": 192, "sockets": 1024}
        async with loaded_front.loaded_front(Path(folder), limits=limits) as (front, _, port):
            for name, work in MEASUREMENTS.items():
                cpu_before, began = cpu_seconds(front.child.pid), time.monotonic()
                amount = await work(port)
                figures[name] = (cpu_seconds(front.child.pid) - cpu_before) / amount * 1e6
                if work is small_requests:
                    figures["small requests a second"] = amount / (time.monotonic() - began)
            figures["kB an idle connection"] = await idle_connection_kb(front, port)
    completed = subprocess.run(
        [sys.executable, "-B", "-c", DECISION_SCRIPT], cwd=tree, capture_output=True, text=True, check=True
    )
    figures["us a decision (request and outcome)"] = float(completed.stdout)
    return figures


def main() -> None:
    """Print a table of both builds' medians."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--before", required=True)
    before = parser.parse_args().before
    rows: dict[str, dict[str, list[float]]] = defaultdict(lambda: {"before": [], "now": []})
    with earlier_build(before) as earlier_tree:
        for _ in range(ROUNDS):
            for build, tree in (("before", earlier_tree), ("now", ROOT)):
                with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
                    for name, figure in runner.run(measure(tree)).items():
                        rows[name][build].append(figure)
    print(f"| figure | {before} | now |\n| --- | --- | --- |")
    for name, figures in rows.items():
        texts = []
        for build in ("before", "now"):
            samples = figures[build]
            texts.append(f"{statistics.median(samples):.1f} ({min(samples):.1f} to {max(samples):.1f})")
        print(f"| {name} | {texts[0]} | {texts[1]} |")


if __name__ == "__main__":
    main()
