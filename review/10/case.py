"""A front that tells its peers of rooms, and whose process is replaced: does the new process stand?"""

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib2"))

from objects import SHARD_COUNT, ObjectFront, SteadyClient
from rig import HOST, TROUBLE, Case, Front, free_port, library_folder, main

READY_SECONDS = 6.0  # within which the new process says yes
SLACK_SECONDS = 0.05
KILL_SECONDS = 3.7  # from SIGTERM to SIGKILL: the longest deadline, counted as 3 s, and 0.7 s
PEERS = os.environ.get("PEERS", "1") != "0"  # PEERS=0: the same without the table [rooms.peers]


def rooms_tables(own_port: int, other_port: int) -> str:
    """Return the tables that set up rooms, and what the fronts tell each other of them."""
    rooms = '[rooms]\nown = "room-a"\nnear = ["room-b"]\n\n'
    if not PEERS:
        return rooms
    join = f'join = ["{HOST}:{other_port}"]'
    return f'{rooms}[rooms.peers]\nlisten = "{HOST}:{own_port}"\n{join}\nkeys = "peers.keys"\n\n'


async def new_process_of_a_front_with_peers_takes_over(case: Case) -> bool:
    """Replace the process of one of two fronts, and return whether the new one stands and serves."""
    blocks: list[dict[str, bytes]] = [{} for _ in range(SHARD_COUNT)]
    discovery = await case.discovery()
    for room in ("room-a", "room-b"):
        for shard in range(SHARD_COUNT):
            discovery.tell(await case.server(f"{room}-{shard}", shard, blocks[shard]), "ready", room)
    (case.folder / "peers.keys").write_text("6f70657261746f72732d6c6f6f706261636b\n")
    peer_ports = (free_port(), free_port())
    ports = [ObjectFront(), ObjectFront()]
    environments = []
    for number, (own, other) in enumerate((peer_ports, peer_ports[::-1])):
        text = (
            ports[number].text(discovery.port).replace("[limits]\n", rooms_tables(own, other) + "[limits]\n")
        )
        names = f'name = "objects-{number + 1}"\nstate = "state-{number + 1}"'
        config = case.folder / f"front-{number + 1}.toml"
        config.write_text(text.replace('name = "objects-1"', names))
        environments.append({"UMBERLEAD_CONFIG": str(config), "PYTHONPATH": library_folder()})
    old, other_front = case.front(), case.front()
    await old.start(environments[0])
    await other_front.start(environments[1])
    await old.require_ready(ports[0].objects)
    await other_front.require_ready(ports[1].objects)
    client = SteadyClient(case, ports[0].objects, 0.05)
    traffic = asyncio.create_task(client.run(10.0))
    await asyncio.sleep(2.0)
    stands = await replace(case, old, ports[0], environments[0]) if TROUBLE else True
    await traffic
    failed = sum(answer.status not in (200, 503) for _, answer in client.uploads)
    case.record.add("judged", new_process_stands=stands, uploads=len(client.uploads), uploads_failed=failed)
    return stands


async def replace(case: Case, old: Front, ports: ObjectFront, environment: dict[str, str]) -> bool:
    """Start a second process of the front beside the old one; return whether it takes over."""
    door = free_port()
    config = Path(environment["UMBERLEAD_CONFIG"])
    beside = config.with_name("front-1-new.toml")  # the same but for the second address
    beside.write_text(
        config.read_text().replace(
            f'management = "{HOST}:{ports.management}"', f'management = "{HOST}:{door}"'
        )
    )
    new = case.front()
    started = time.monotonic()
    await new.start(environment | {"UMBERLEAD_CONFIG": str(beside)})
    ready = await new.wait_ready(door, "/control/ready", READY_SECONDS + SLACK_SECONDS)
    seconds = round(time.monotonic() - started, 3)
    case.record.add("new_process", ready=ready, seconds=seconds, exit_code=new.exit_code())
    if not ready:
        return False
    old.signal(signal.SIGTERM)
    await asyncio.sleep(KILL_SECONDS)
    await old.end()
    return new.exit_code() is None


if __name__ == "__main__":
    main(new_process_of_a_front_with_peers_takes_over)
