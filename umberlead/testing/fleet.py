"""All servers of a list as stand-ins in one process: `umberlead standin LIST`."""

import asyncio
import signal
import sys
import time
from collections import Counter
from pathlib import Path

from umberlead.membership.model import EndpointSpec
from umberlead.testing.chunkserver import ChunkServer, Model, Record

TELL = 2.0  # s between two lines of what was asked


class NotLoopback(ValueError):
    """A stand-in listens on loopback alone."""


async def start(
    servers: list[EndpointSpec], model: Model, record: Record, seed: int, emulated: bool = False
) -> list[ChunkServer]:
    """Servers of one shard share what they store: replicas that are always up to date. `emulated` ones work
    as the operators' figures have it, `model` tells just what they store."""
    kind: type[ChunkServer] = ChunkServer
    if emulated:
        from umberlead.emulator.stored import StoringNode as kind  # noqa: N813
    made, stores = [], dict[int, dict[str, bytes]]()
    for server in servers:
        assert server.address is not None
        host, port = server.address
        if not (host.startswith("127.") or host == "::1"):
            raise NotLoopback(f"server {server.name}: {host} is no loopback address")
        stand_in = kind(server.name, server.shard, model, record, seed)
        stand_in.blocks = stores.setdefault(server.shard, stand_in.blocks)
        await stand_in.listen(host, port)
        made.append(stand_in)
    return made


def told(counts: Counter[str], before: Counter[str], names: list[str], took: float) -> str:
    """Requests a second by server, those with none too: there it is seen that a server gets no more."""
    return "  ".join(f"{n} {(counts[n] - before[n]) / took:.0f}/s" for n in names)


async def run(
    servers: list[EndpointSpec], model: Model, record: Record, seed: int, quiet: bool, emulated: bool = False
) -> None:
    """Until SIGTERM or SIGINT."""
    loop, done = asyncio.get_running_loop(), asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, done.set)
    stand_ins = await start(servers, model, record, seed, emulated)
    names = [s.name for s in servers]
    print(f"stand-ins listen: {len(names)}", file=sys.stderr, flush=True)
    before, since = Counter(record.counts), time.monotonic()
    while not done.is_set():
        try:
            await asyncio.wait_for(done.wait(), TELL)
        except TimeoutError:
            record.flush()
            now = time.monotonic()
            if not quiet and record.counts != before:
                print(f"chunk servers: {told(record.counts, before, names, now - since)}", file=sys.stderr)
            before, since = Counter(record.counts), now
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
    if record is None:
        # Counted, not kept: a long run must not fill memory.
        with open("/dev/null", "w") as nowhere:
            asyncio.run(run(servers, model, Record(nowhere), seed, quiet, emulated))
        return
    with open(record, "w") as file:
        asyncio.run(run(servers, model, Record(file), seed, quiet, emulated))
