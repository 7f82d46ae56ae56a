"""What long answers hold that come in lumps or stall, in an earlier build and here: `--before REVISION`.

One front of 64 MB and 1,024 descriptors at a time; beside the slow answers, sound clients send 30 small
requests a second. The clients of slow answers wait until these end, or leave after `PATIENCE_SECONDS`.
"""

import argparse
import asyncio
import contextlib
import random
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

import uvloop

from benchmarks.earlier_build import ROOT, earlier_build
from tests import loaded_front
from tests.loaded_front import (
    SAFE_CLASS,
    Call,
    Connection,
    LoadedFront,
    Script,
    ScriptedEndpoint,
    SoundClients,
)
from umberlead.testing.soak.slow_answers import answer_in_lumps

SLOW_ANSWERS_COUNT = 240
BEGIN_SECONDS = 8.0  # in which they begin, one after the other
RUN_SECONDS = 24.0
PATIENCE_SECONDS = 12.0
BUDGETS_SECONDS = (0.45, 0.6, 0.8, 1.9)
SAMPLE_SECONDS = 0.5
BLOCK_PREFIX = "cc"
GAUGES = (
    "client_connections",
    "node_connections",
    "client_buffered_bytes",
    "node_buffered_bytes",
    "loop_late_us",
)


@dataclass(slots=True)
class Held:
    """The most that a front held, and how its requests ended."""

    gauges: dict[str, int] = field(default_factory=dict)
    outcomes: dict[str, float] = field(default_factory=dict)


def script(chance: random.Random, stalls: bool) -> Script:
    """Return a script that sends a long answer in lumps; one that stalls sends its first lump alone."""

    async def send(transport: asyncio.Transport) -> None:
        answer = answer_in_lumps(chance, "x")
        transport.write(answer.head)
        for number, (pause_seconds, piece) in enumerate(answer.pieces):
            if stalls and number:
                await asyncio.sleep(3600.0)
            await asyncio.sleep(pause_seconds)
            transport.write(piece)
        if answer.closes:
            transport.close()

    return send


async def slow_client(port: int, number: int, statuses: list[int]) -> None:
    await asyncio.sleep(BEGIN_SECONDS * number / SLOW_ANSWERS_COUNT)
    connection = await Connection.open(port)
    budget = BUDGETS_SECONDS[number % len(BUDGETS_SECONDS)]
    call = Call(f"slow-{number}", budget, time.monotonic())
    with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, TimeoutError, ValueError):
        await connection.call(
            call, SAFE_CLASS, BLOCK_PREFIX + "0" * 14, grace_seconds=PATIENCE_SECONDS - budget
        )
    connection.writer.close()
    statuses.append(call.status)


async def sample(front: LoadedFront, held: Held) -> None:
    while True:
        await asyncio.sleep(SAMPLE_SECONDS)
        counters = await front.counters()
        for name in GAUGES:
            held.gauges[name] = max(held.gauges.get(name, 0), counters[name])


async def measure(tree: Path, stalls: bool) -> Held:
    """Play the slow answers against one front of the build in `tree`."""
    loaded_front.ROOT = tree
    held = Held()
    endpoint = ScriptedEndpoint()
    endpoint.scripts[BLOCK_PREFIX] = script(random.Random(1), stalls)
    with tempfile.TemporaryDirectory() as folder:
        async with loaded_front.loaded_front(Path(folder), endpoint) as (front, _, port):
            sampling = asyncio.get_running_loop().create_task(sample(front, held))
            sound = SoundClients(port)
            statuses: list[int] = []
            clients = (slow_client(port, number, statuses) for number in range(SLOW_ANSWERS_COUNT))
            await asyncio.gather(sound.run(RUN_SECONDS), *clients)
            sampling.cancel()
            held.outcomes = {
                "slow answers whole": statuses.count(200),
                "slow requests refused": statuses.count(503),
                "sound requests": len(sound.calls),
                "sound requests late": len(sound.late()),
                "sound requests refused": sum(call.status == 503 for call in sound.calls),
                "peak memory, MB": round(front.peak_memory_mb(), 1),
            }
    return held


def main() -> None:
    """Print a table of both builds."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--before", required=True)
    before = parser.parse_args().before
    print(f"| {SLOW_ANSWERS_COUNT} long answers | figure | {before} | now |\n| --- | --- | --- | --- |")
    with earlier_build(before) as tree:
        for stalls in (False, True):
            found = []
            for build in (tree, ROOT):
                with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
                    held = runner.run(measure(build, stalls))
                found.append(held.outcomes | held.gauges)
            kind = "that stall for good" if stalls else "in lumps"
            for name, earlier in found[0].items():
                print(f"| {kind} | {name} | {earlier} | {found[1][name]} |")


if __name__ == "__main__":
    main()
