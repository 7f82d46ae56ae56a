"""A range read whose chunk server stalls partway through: does it end before its client gives up?"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib2"))

from objects import ObjectFront, shard_of
from rig import TROUBLE, Answer, Case, ChunkServer, ask, main

SHARD_COUNT = 10  # servers, of which one stalls: a tenth
OBJECT_BYTES = 6 << 20
STALL_SECONDS = 8.0
BLOCK_BYTES = 65536
# What the client waits (X-Budget), the bytes that it asks for, and the blocks that come before the stall.
READS = ((1.0, 5 << 19, 24), (2.0, 5 << 20, 48))
GRACE_SECONDS = 0.5  # up to which a late answer only earns nothing
SLACK_SECONDS = 0.05  # by which each time limit is longer on sockets


async def stall(server: ChunkServer, blocks: int) -> None:
    """Let the server take requests and answer none, for some seconds, once it was asked for some blocks."""
    first = len(server.runs)
    while len(server.runs) < first + blocks:
        await asyncio.sleep(0.001)
    server.responds.clear()
    server.record.add("server_stalls", server=server.name)
    await asyncio.sleep(STALL_SECONDS)
    server.responds.set()
    server.record.add("server_answers_again", server=server.name)


async def ranges_that_stall_end_before_the_client_gives_up(case: Case) -> bool:
    """Read ranges of an object, and return whether each ended in time and with the right bytes."""
    discovery = await case.discovery()
    servers = [await case.server(f"s-{shard}", shard, {}, 0.01) for shard in range(SHARD_COUNT)]
    for server in servers:
        discovery.tell(server, "ready")
    ports = ObjectFront()
    config = case.folder / "front.toml"
    config.write_text(ports.text(discovery.port, SHARD_COUNT))
    front = case.front()
    await front.start({"UMBERLEAD_CONFIG": str(config)})
    await front.require_ready(ports.objects)
    filling = bytes(number * 7 % 251 for number in range(BLOCK_BYTES - 8))
    body = b"".join(n.to_bytes(8, "big") + filling for n in range(OBJECT_BYTES // BLOCK_BYTES))
    stored = await ask(case.record, ports.objects, "PUT", "/scans/scan.tif", {}, body)
    if stored.status != 200:
        raise RuntimeError(f"the upload got {stored.status}")
    holder = servers[shard_of("scans", "scan.tif", SHARD_COUNT)]
    held = True
    for budget, length, blocks in READS:
        stalling = asyncio.create_task(stall(holder, blocks)) if TROUBLE else None
        first = 4096
        headers = {"Range": f"bytes={first}-{first + length - 1}", "X-Budget": f"{budget:.3f}"}
        answer = await ask(case.record, ports.objects, "GET", "/scans/scan.tif", headers, b"", 15.0)
        held &= judge(case, answer, budget, body[first : first + length])
        if stalling is not None:
            await stalling
        await asyncio.sleep(1.0)
    return held


def judge(case: Case, answer: Answer, budget: float, wanted: bytes) -> bool:
    """Return whether an answer ended in time, and whether its bytes are the object's."""
    in_time = answer.seconds <= budget + GRACE_SECONDS + SLACK_SECONDS
    same = answer.status != 206 or wanted.startswith(answer.body)
    case.record.add("judged", budget=budget, ended_after=round(answer.seconds, 3), in_time=in_time, same=same)
    return in_time and same


if __name__ == "__main__":
    main(ranges_that_stall_end_before_the_client_gives_up)
