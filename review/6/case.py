"""A list with a typo for a while: does a server that leaves after that still get work?"""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib2"))

from objects import SHARD_COUNT, ObjectFront, SteadyClient
from rig import TROUBLE, Case, ChunkServer, configuration, library_folder, main

BROKEN_SECONDS = 3.0  # for which the main file is broken
LEAVING_SECONDS = 1.0  # after which a server that leaves the list gets nothing new
SLACK_SECONDS = 0.05
TRAFFIC_SECONDS = 14.0
PAUSE_SECONDS = 0.2  # for which a server stands still every few seconds, as the site has it
WORK_SECONDS = 0.06  # of a request, within the site's figures for uploads


def write_list(folder: Path, version: int, servers: list[ChunkServer], include: str = "*.list") -> None:
    """Write the list as the operators' page says: a copy of the file, renamed over it."""
    lines = ["format 1", f"version {version}", "network 127.0.0.0/8", f"include servers.d/{include}"]
    lines += [f"server {server.name} address {server.address} shard {server.shard}" for server in servers]
    copy = folder / "servers.list.new"
    copy.write_text("\n".join([*lines, f"end {len(lines)}", ""]))
    copy.rename(folder / "servers.list")


async def server_that_leaves_the_list_gets_no_new_work(case: Case) -> bool:
    """Break the list and mend it, then take a server out; return whether that gets nothing new."""
    folder = case.folder / "watched"
    (folder / "servers.d").mkdir(parents=True)
    blocks: list[dict[str, bytes]] = [{} for _ in range(SHARD_COUNT)]
    servers = [
        await case.server(f"node-{room}{shard}", shard, blocks[shard], WORK_SECONDS)
        for room in "ab"
        for shard in range(SHARD_COUNT)
    ]
    write_list(folder, 1, servers)
    ports = ObjectFront()
    snapshot = {r"^# snapshot = .*$": f'snapshot = "{case.folder}/last-good"'}
    config = case.folder / "front.toml"
    config.write_text(configuration("watched.toml", ports.replacements() | snapshot))
    front = case.front()
    await front.start({"UMBERLEAD_CONFIG": str(config), "PYTHONPATH": library_folder()})
    await front.require_ready(ports.objects)
    client = SteadyClient(case, ports.objects, 0.05)
    traffic = asyncio.create_task(client.run(TRAFFIC_SECONDS))
    await asyncio.sleep(2.0)
    if TROUBLE:  # a version with a typo is put into place, and mended by the next
        write_list(folder, 2, servers, "**.list")
        case.record.add("list_broken", version=2)
        await asyncio.sleep(BROKEN_SECONDS)
        write_list(folder, 3, servers)
        case.record.add("list_mended", version=3)
    await asyncio.sleep(1.0)
    leaving = servers[0]
    write_list(folder, 4, servers[1:])
    left = case.record.now()
    case.record.add("server_taken_out", server=leaving.name, version=4)
    await asyncio.sleep(3.0)
    front.signal(signal.SIGHUP)  # which reads the files at once, whatever the watch says
    await asyncio.sleep(3.0)
    leaving.responds.clear()  # one of its pauses
    await asyncio.sleep(PAUSE_SECONDS)
    leaving.stop()  # its work should long be done
    await traffic
    return judge(case, leaving, left, client)


def judge(case: Case, leaving: ChunkServer, left: float, client: SteadyClient) -> bool:
    """Return whether the server that left got nothing new in time, and whether it had work before."""
    before = [run for run in leaving.runs if run.at < left]
    late = [run for run in leaving.runs if run.at > left + LEAVING_SECONDS + SLACK_SECONDS]
    failed = [answer.status for _, answer in client.uploads if answer.status not in (200, 503)]
    case.record.add(
        "judged",
        runs_before=len(before),
        runs_late=len(late),
        last_late=round(late[-1].at - left, 3) if late else 0,
        uploads=len(client.uploads),
        uploads_failed=len(failed),
        uploads_refused=sum(answer.status == 503 for _, answer in client.uploads),
        wrong_reads=client.wrong_reads,
    )
    if not before:
        raise RuntimeError("the server that leaves had no work before")
    return not late


if __name__ == "__main__":
    main(server_that_leaves_the_list_gets_no_new_work)
