"""A plug-in whose hook asks a silent service again and again: is it disabled, or does the front hang?"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib2"))

from catalogue import Catalogue
from objects import SHARD_COUNT, ObjectFront
from rig import TROUBLE, Case, ask, main

SCRIPT = '''"""Asks the catalogue whether a bucket is closed, and asks again where it does not answer."""

import socket

API = 1
ADDRESS = ("127.0.0.1", {port})


def request_taken(request):
    while True:
        try:
            with socket.create_connection(ADDRESS, timeout=0.5) as link:
                link.sendall(b"?")
                return None if link.recv(1) == b"y" else "closed"
        except Exception:
            continue
'''
LIMIT_MS = 50  # of a hook (`plugins.limit_ms`)
BUDGET_SECONDS = 2.0  # of a read (`objects.read.within_ms`)
GRACE_SECONDS = 0.5  # up to which a late answer only earns nothing
SLACK_SECONDS = 0.05  # by which each time limit is longer on sockets
READ_COUNT = 3


async def hook_that_overruns_is_disabled_and_the_front_serves_on(case: Case) -> bool:
    """Ask a front whose plug-in does not return; return whether each request gets its answer in time."""
    discovery = await case.discovery()
    for shard in range(SHARD_COUNT):
        discovery.tell(await case.server(f"s-{shard}", shard, {}), "ready")
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
    first = await ask(case.record, ports.objects, "GET", "/scans/none.tif", {})
    if first.status != 404 or front.logged("plugin_disabled"):
        raise RuntimeError(f"the first read got {first.status}, or the plug-in was too slow for this machine")
    if TROUBLE:
        catalogue.answers.clear()
        case.record.add("catalogue_silent")
    wait = BUDGET_SECONDS + GRACE_SECONDS + SLACK_SECONDS
    reads = [
        ask(case.record, ports.objects, "GET", f"/scans/{number}.tif", {}, b"", wait + 2.0)
        for number in range(READ_COUNT)
    ]
    answers = await asyncio.gather(*reads)
    in_time = sum(answer.complete and answer.seconds <= wait for answer in answers)
    ready = await ask(case.record, ports.management, "GET", "/control/ready", {}, b"", 3.0)
    disabled = len(front.logged("plugin_disabled"))
    case.record.add("judged", reads=READ_COUNT, in_time=in_time, door=ready.status, disabled=disabled)
    await front.end()
    await catalogue.stop()
    return in_time == READ_COUNT


if __name__ == "__main__":
    main(hook_that_overruns_is_disabled_and_the_front_serves_on)
