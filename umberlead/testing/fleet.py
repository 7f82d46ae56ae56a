"""Simulates all servers of a list in one process: `umberlead standin LIST`."""

import asyncio
import signal
import sys
import time
from collections import Counter
from pathlib import Path

from umberlead.common.errors import UmberleadError
from umberlead.membership.model import EndpointSpec
from umberlead.testing.chunkserver import ChunkServer, Model, Record

REPORT_INTERVAL_SECONDS = 2.0  # between two lines of request rates


class NotLoopbackError(UmberleadError, ValueError):
    """A simulated server may listen on loopback only; the message names the server."""


async def start(
    servers: list[EndpointSpec], model: Model, record: Record, seed: int, emulated: bool = False
) -> list[ChunkServer]:
    """Start simulated servers; those of one shard share their stored blocks, like replicas.

    Args:
        servers: servers of the list.
        model: their behaviour.
        record: where their requests are recorded.
        seed: seed of the random choices of the model.
        emulated: whether they follow the emulator's node model; `model` then sets only what they store.

    Raises:
        NotLoopbackError: the address of a server is not a loopback address.
    """
    kind: type[ChunkServer] = ChunkServer
    if emulated:
        from umberlead.emulator.stored import StoringNode

        kind = StoringNode
    made = []
    stores: dict[int, dict[str, bytes]] = {}
    for server in servers:
        assert server.address is not None
        host, port = server.address
        if not (host.startswith("127.") or host == "::1"):
            raise NotLoopbackError(f"server {server.name}: {host} is no loopback address")
        stand_in = kind(server.name, server.shard, model, record, seed)
        stand_in.blocks = stores.setdefault(server.shard, stand_in.blocks)
        await stand_in.listen(host, port)
        made.append(stand_in)
    return made


def format_rates(counts: Counter[str], before: Counter[str], names: list[str], elapsed_seconds: float) -> str:
    """Return requests per second of each server, including servers without requests."""
    return "  ".join(f"{name} {(counts[name] - before[name]) / elapsed_seconds:.0f}/s" for name in names)


async def run(
    servers: list[EndpointSpec], model: Model, record: Record, seed: int, quiet: bool, emulated: bool = False
) -> None:
    """Run simulated servers until SIGTERM or SIGINT; print their request rates unless `quiet`."""
    loop = asyncio.get_running_loop()
    done = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, done.set)
    stand_ins = await start(servers, model, record, seed, emulated)
    names = [s.name for s in servers]
    print(f"stand-ins listen: {len(names)}", file=sys.stderr, flush=True)
    before = Counter(record.counts)
    since = time.monotonic()
    while not done.is_set():
        try:
            await asyncio.wait_for(done.wait(), REPORT_INTERVAL_SECONDS)
        except TimeoutError:
            record.flush()
            now = time.monotonic()
            if not quiet and record.counts != before:
                rates = format_rates(record.counts, before, names, now - since)
                print(f"chunk servers: {rates}", file=sys.stderr)
            before = Counter(record.counts)
            since = now
    record.flush()
    for stand_in in stand_ins:
        stand_in.close()


def main(
    servers: list[EndpointSpec],
    model: Model,
    record: Path | None,
    seed: int,
    quiet: bool,
    emulated: bool = False,
) -> None:
    """Run simulated servers in a new event loop; record requests in a file, or only count them."""
    if record is None:
        # Rows are only counted: keeping them would use up memory in a long run.
        with open("/dev/null", "w") as nowhere:
            asyncio.run(run(servers, model, Record(nowhere), seed, quiet, emulated))
        return
    with open(record, "w") as file:
        asyncio.run(run(servers, model, Record(file), seed, quiet, emulated))
