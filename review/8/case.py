"""A plug-in whose hook calls `sys.exit`: is it disabled, or does the front end?"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib2"))

from catalogue import Catalogue
from objects import SHARD_COUNT, ObjectFront, SteadyClient
from rig import TROUBLE, Case, main

SCRIPT = '''"""Asks the catalogue whether a bucket is closed, and ends where it can't be asked."""

import socket
import sys

API = 1
ADDRESS = ("127.0.0.1", {port})


def request_taken(request):
    try:
        with socket.create_connection(ADDRESS, timeout=0.02) as link:
            link.sendall(b"?")
            return None if link.recv(1) == b"y" else "closed"
    except OSError:
        sys.exit("the catalogue can't be asked")
'''
LIMIT_MS = 50  # of a hook (`plugins.limit_ms`)
BEFORE_SECONDS = 2.0
AFTER_SECONDS = 3.0
WORK_SECONDS = 0.06  # of a chunk server's request, within the site's figures for uploads


async def hook_that_crashes_is_disabled_and_the_front_serves_on(case: Case) -> bool:
    """Let a plug-in's hook crash, and return whether the front stands and each request gets its answer."""
    discovery = await case.discovery()
    for shard in range(SHARD_COUNT):
        discovery.tell(await case.server(f"s-{shard}", shard, {}, WORK_SECONDS), "ready")
    catalogue = Catalogue()
    await catalogue.start()
    (case.folder / "catalogue.py").write_text(SCRIPT.format(port=catalogue.port))
    ports = ObjectFront()
    config = case.folder / "front.toml"
    text = ports.text(discovery.port).replace("scripts = []", 'scripts = ["catalogue.py"]')
    config.write_text(text.replace("limit_ms = 5\n", f"limit_ms = {LIMIT_MS}\n"))
    front = case.front()
    await front.start({"UMBERLEAD_CONFIG": str(config)})
    await front.require_ready(ports.objects)
    client = SteadyClient(case, ports.objects, 0.05)
    traffic = asyncio.create_task(client.run(BEFORE_SECONDS + AFTER_SECONDS))
    await asyncio.sleep(BEFORE_SECONDS)
    if front.exit_code() is not None or front.logged("plugin_disabled"):
        raise RuntimeError("the front has ended, or the plug-in was too slow for this machine")
    ended = case.record.now()
    if TROUBLE:
        await catalogue.stop()
        case.record.add("catalogue_ended")
    await traffic
    served = sum(answer.status == 200 for _, answer in client.uploads)
    lost = sum(sent < ended and not answer.complete for sent, answer in client.uploads)
    unanswered = sum(not answer.complete for _, answer in client.uploads)
    exit_code = front.exit_code()
    case.record.add(
        "judged",
        exit_code=exit_code,
        uploads=len(client.uploads),
        served=served,
        sent_before_and_lost=lost,
        unanswered=unanswered,
        disabled=len(front.logged("plugin_disabled")),
    )
    await front.end()
    if not TROUBLE:
        await catalogue.stop()
    return exit_code is None and not unanswered


if __name__ == "__main__":
    main(hook_that_crashes_is_disabled_and_the_front_serves_on)
