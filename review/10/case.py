"""A room that is evacuated, and whose servers are stopped and come up again: does it get work?"""

import asyncio
import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib2"))

from objects import SHARD_COUNT, ObjectFront, SteadyClient
from rig import TROUBLE, Case, ChunkServer, Discovery, ask, main

ROOMS_TABLE = '[rooms]\nown = "room-a"\nnear = ["room-b"]\n\n[limits]\n'
GRACE_SECONDS = 1.0  # for what was under way when the operator evacuated the room
SLACK_SECONDS = 0.05
WORK_SECONDS = 0.06


async def evacuated_room_gets_nothing_until_it_is_cleared(case: Case) -> bool:
    """Evacuate a room, stop and start its servers; return whether they get nothing before `clear`."""
    blocks: list[dict[str, bytes]] = [{} for _ in range(SHARD_COUNT)]
    rooms = {
        room: [await case.server(f"{room}-{n}", n, blocks[n], WORK_SECONDS) for n in range(SHARD_COUNT)]
        for room in ("room-a", "room-b")
    }
    discovery = await case.discovery()
    for room, servers in rooms.items():
        for server in servers:
            discovery.tell(server, "ready", room)
    ports = ObjectFront()
    config = case.folder / "front.toml"
    config.write_text(ports.text(discovery.port).replace("[limits]\n", ROOMS_TABLE))
    front = case.front()
    await front.start({"UMBERLEAD_CONFIG": str(config)})
    await front.require_ready(ports.objects)
    client = SteadyClient(case, ports.objects, 0.05)
    traffic = asyncio.create_task(client.run(15.0))
    await asyncio.sleep(2.0)
    door = await ask(case.record, ports.management, "PUT", "/control/rooms/room-a/evacuate", {})
    if door.status != 200:
        raise RuntimeError(f"the door answered {door.status}")
    evacuated = case.record.now()
    await asyncio.sleep(2.0)
    stopped = rooms["room-a"]
    if TROUBLE:  # the planned stop: the servers drain, end, and come up again
        await stop_and_start(stopped, discovery)
    await asyncio.sleep(4.0)
    shown = await ask(case.record, ports.management, "GET", "/control/rooms", {})
    case.record.add("door_shows", rooms=json.loads(shown.body)["rooms"])
    for server in stopped:  # the operators restart them once more before they clear the room
        server.stop()
    await traffic
    return judge(case, stopped, evacuated, client)


async def stop_and_start(servers: list[ChunkServer], discovery: Discovery) -> None:
    """Stop servers as planned, and start them again, as discovery tells."""
    for status in ("draining", "gone"):
        for server in servers:
            discovery.tell(server, status, "room-a")
        await asyncio.sleep(1.5)
    for server in servers:
        server.stop()
    await asyncio.sleep(1.0)
    for server in servers:
        await server.start()
        discovery.tell(server, "ready", "room-a", time.time_ns() // 1_000_000)


def judge(case: Case, servers: list[ChunkServer], evacuated: float, client: SteadyClient) -> bool:
    """Return whether the room's servers got nothing after the evacuation."""
    since = evacuated + GRACE_SECONDS + SLACK_SECONDS
    before = sum(run.at < evacuated for server in servers for run in server.runs)
    late = sum(run.at > since for server in servers for run in server.runs)
    failed = sum(answer.status not in (200, 503) for _, answer in client.uploads)
    case.record.add(
        "judged", runs_before=before, runs_late=late, uploads=len(client.uploads), uploads_failed=failed
    )
    if not before:
        raise RuntimeError("the room had no work before")
    return not late


if __name__ == "__main__":
    main(evacuated_room_gets_nothing_until_it_is_cleared)
