"""Compares routing in virtual time and on sockets, request by request: `make both-ways`.

Each scenario is drawn from its seed. Requests are sent one after the other, each after the response to the
previous one. Between them servers drain, leave or rejoin the list, are drained manually, or end their
requests in one of six ways. On sockets, a front in its own process watches the list and sends to stub
servers, whose record shows which server received each request. In virtual time the same requests are sent at
the same intervals. A request agrees if the same servers receive it in the same order and its answer is of the
same kind."""

import argparse
import asyncio
import json
import random
import re
import sys
import tempfile
import urllib.request
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from umberlead import configuration
from umberlead.membership.loading import ListLoader
from umberlead.membership.name_resolution import NameResolver
from umberlead.routing_tests.model import Collection, Happening, Load
from umberlead.routing_tests.world import START_US, ServerModel, World
from umberlead.testing.chunkserver import ChunkServer, Model, Record

ROOT = Path(__file__).parent.parent
OUT = ROOT / "docs" / "measurements" / "both-ways.md"
SHARDS, REQUEST_INTERVAL_US = 3, 47_000  # us between requests; no multiple coincides with the end of a rest
UNIT_WORK_S = {
    "a": 0.004,
    "b": 0.020,
}  # s of work a unit; different enough that the faster server is recognized on sockets
OUTCOMES = ("error", "reset", "full", "astray", "no-link", "")
KINDS = {200: "served", 503: "refused", 502: "failed"}
CONFIG = """
name = "f"
listen = "127.0.0.1:0"
management = "127.0.0.1:0"
[membership]
list = "main.list"
withdrawn_most = 1.0
settle_ms = 0
flap_half_life_s = 0.1
flap_suppress = 8
[log]
level = "info"
[settings]
instances = 1
tick = 2000
[settings.bounds]
maxAttempts = 3
dialTimeout = 250000
[settings.extra]
meanUnits = 1.0
maxUnits = 4.0
nShards = 3
[[settings.grades]]
name = "image-read"
aim = 600000
hardLimit = 2000000
effect = "idempotent"
[[settings.grades]]
name = "image-upload"
aim = 600000
hardLimit = 2000000
effect = "at_most_once"
[[settings.plans]]
name = "basic"
"""


@dataclass
class Move:
    """A change of a server before a request."""

    what: str
    server: str
    word: str = ""


@dataclass
class Script:
    seed: int
    requests: list[tuple[str, int]] = field(default_factory=list)  # class and shard
    moves: dict[int, list[Move]] = field(default_factory=dict)


NAMES = [f"{c}{s}" for s in range(SHARDS) for c in UNIT_WORK_S]


def draw(seed: int, length: int) -> Script:
    chance, made = random.Random(seed), Script(seed)
    listed, out = dict.fromkeys(NAMES, "ready"), set[str]()
    for k in range(length):
        made.requests.append(
            (chance.choice(["image-read", "image-read", "image-upload"]), chance.randrange(SHARDS))
        )
        if k % 3 or not k:
            continue
        name = chance.choice(NAMES)
        other = ("b" if name[0] == "a" else "a") + name[1:]
        kind = chance.choice(["drain", "leave", "back", "hand", "end", "end"])
        if kind in ("drain", "leave") and listed[name] == listed[other] == "ready":  # one stays ready
            listed[name] = kind
            made.moves[k] = [Move(kind, name)]
        elif kind == "back" and listed[name] != "ready":
            listed[name] = "ready"
            made.moves[k] = [Move(kind, name)]
        elif kind == "hand" and listed[name] == "ready":
            out ^= {name}
            made.moves[k] = [Move("out" if name in out else "in", name)]
        elif kind == "end":
            made.moves[k] = [Move("outcome", name, chance.choice(OUTCOMES))]
    return made


def list_text(version: int, listed: dict[str, str], ports: dict[str, int]) -> str:
    rows = ["format 1", f"version {version}"]
    for name, state in listed.items():
        if state != "leave":
            more = " state draining" if state == "drain" else ""
            rows.append(f"server {name} address 127.0.0.1:{ports[name]} shard {name[1:]}{more}")
    return "\n".join([*rows, f"end {len(rows)}", ""])


Route = tuple[tuple[str, ...], str]


def play_virtual(script: Script, folder: Path, times: list[tuple[float, float]]) -> list[Route]:
    """Plays the same requests and moves in virtual time, at the times (s) that they had on sockets."""
    path = folder / "virtual.list"
    ports = {name: 9000 + k for k, name in enumerate(NAMES)}
    path.write_text(list_text(1, dict.fromkeys(NAMES, "ready"), ports))
    listing = ListLoader(path, 0, NameResolver(lambda host: ())).load(None).check_result.checked_list
    assert listing is not None
    world = World(configuration.load_operator_file(str(folder / "front.toml")).settings, listing, script.seed)
    world._first = dict(listing.endpoints)
    for name in NAMES:
        world.models[name] = ServerModel(UNIT_WORK_S[name[0]] / 0.020)
    made = []
    for k, (cls, shard) in enumerate(script.requests):
        world.loop.run(START_US + int(times[k][0] * 1e6))
        for move in script.moves.get(k, ()):
            if move.what == "outcome":
                world.models[move.server].mix = {move.word: 1.0} if move.word else {}
            else:
                slow, mix = world.models[move.server].slow, world.models[move.server].mix
                world.happen(Happening(0, move.what, (move.server,)), {})
                world.models[move.server].slow, world.models[move.server].mix = slow, mix
        world.loop.run(START_US + int(times[k][1] * 1e6))
        load = Load("c", cls, 1.0, 0, 1)
        made.append(world.take(Collection("c", "basic", (shard,)), "0a", load, shard, k, f"{k:016x}"))
    world.loop.run(world.loop.now + 5_000_000)
    return [
        (tuple(s.server for s in of.attempts()), of.answers()[0].result if of.answers() else "none")
        for of in made
    ]


class SocketRun:
    def __init__(self, folder: Path) -> None:
        self.folder, self.record = folder, Record()
        self.servers: dict[str, ChunkServer] = {}
        self.listed = dict.fromkeys(NAMES, "ready")
        self.version = 0
        self.process: asyncio.subprocess.Process | None = None
        self.times: list[tuple[float, float]] = []  # s: end of the moves, and sending of the request

    async def start(self) -> None:
        for name in NAMES:
            server = ChunkServer(
                name,
                int(name[1:]),
                Model(unit=UNIT_WORK_S[name[0]], spread=0, synthetic=True),
                self.record,
                1,
            )
            await server.listen("127.0.0.1", 0)
            self.servers[name] = server
        self.ports = {name: s.address[1] for name, s in self.servers.items()}
        self.publish_list()
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-B",
            "-m",
            "umberlead",
            "run",
            str(self.folder / "front.toml"),
            cwd=ROOT,
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.PIPE,
        )
        assert self.process.stderr is not None
        found: dict[str, int] = {}
        while len(found) < 2:
            line = (await asyncio.wait_for(self.process.stderr.readline(), 20)).decode()
            assert line, "the front did not start"
            pattern = r' (listening|admin_api_listening) .*address="127.0.0.1:(\d+)"'
            for word, port in re.findall(pattern, line):
                found[word] = int(port)
        self.port, self.door = found["listening"], found["admin_api_listening"]
        self.drain = asyncio.create_task(self.process.stderr.read())

    def publish_list(self) -> None:
        self.version += 1
        path = self.folder / "next"
        path.write_text(list_text(self.version, self.listed, self.ports))
        path.rename(self.folder / "main.list")

    def call(self, path: str, method: str = "GET") -> str:
        request = urllib.request.Request(f"http://127.0.0.1:{self.door}{path}", method=method)
        with urllib.request.build_opener(urllib.request.ProxyHandler({})).open(request, timeout=5) as answer:
            return str(answer.read().decode())

    async def move(self, of: Move) -> None:
        server = self.servers[of.server]
        if of.what == "outcome":
            if of.word == "no-link":
                server.down()
            elif server.listener is None:
                await server.listen(*server.address)
            server.force = of.word if of.word != "no-link" else ""
            await asyncio.sleep(0.005)
        elif of.what in ("out", "in"):
            path = f"/control/chunk-servers/{of.server}/{'offline' if of.what == 'out' else 'online'}"
            await asyncio.to_thread(self.call, path, "PUT")
        else:
            self.listed[of.server] = "ready" if of.what == "back" else of.what
            self.publish_list()
            while json.loads(await asyncio.to_thread(self.call, "/control/list"))["version"] != self.version:
                await asyncio.sleep(0.002)

    async def ask(self, k: int, cls: str, shard: int) -> str:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        write = cls == "image-upload"
        head = f"{'PUT' if write else 'GET'} /{cls}?block={k:016x} HTTP/1.1\r\nHost: f\r\nX-Call-Id: q{k}\r\n"
        head += f"X-Plan: basic\r\nX-IO: volume=0a,units=1,shard={shard},hosts=1\r\n"
        writer.write(f"{head}Content-Length: {3 if write else 0}\r\n\r\n{'abc' if write else ''}".encode())
        line = await reader.readline()
        writer.close()
        return KINDS.get(int(line.split()[1]), "other") if line else "none"

    async def play(self, script: Script) -> list[Route]:
        await self.start()
        loop, answers = asyncio.get_running_loop(), list[str]()
        begin = loop.time()
        for k, (cls, shard) in enumerate(script.requests):
            for move in script.moves.get(k, ()):
                await self.move(move)
            moved = loop.time() - begin
            await asyncio.sleep(max(begin + k * REQUEST_INTERVAL_US / 1e6 - loop.time(), 0))
            self.times.append((moved, loop.time() - begin))
            answers.append(await self.ask(k, cls, shard))
        self.process.terminate()
        await self.process.wait()
        await self.drain
        for server in self.servers.values():
            server.close()
        sent: dict[str, list[str]] = {}
        for row in sorted(self.record.rows, key=lambda r: r["t"]):
            sent.setdefault(row["id"], []).append(row["server"])
        return [(tuple(sent.get(f"q{k}", ())), answer) for k, answer in enumerate(answers)]


def recorded_route(route: Route, down: set[str]) -> Route:
    """Returns the route as the servers' record shows it: without servers that could not be connected to."""
    return tuple(s for s in route[0] if s not in down), route[1]


def unreachable_servers(script: Script) -> Iterator[set[str]]:
    down = set[str]()
    for k in range(len(script.requests)):
        for move in script.moves.get(k, ()):
            if move.what == "outcome":
                (down.add if move.word == "no-link" else down.discard)(move.server)
        yield set(down)


async def compare_scenario(seed: int, length: int) -> tuple[int, list[str]]:
    script = draw(seed, length)
    with tempfile.TemporaryDirectory() as root:
        folder = Path(root)
        (folder / "front.toml").write_text(CONFIG)
        world = SocketRun(folder)
        try:
            real = await asyncio.wait_for(world.play(script), 60)
        finally:
            if world.process is not None and world.process.returncode is None:
                world.process.kill()
        model = [
            recorded_route(r, down)
            for r, down in zip(
                play_virtual(script, folder, world.times), unreachable_servers(script), strict=True
            )
        ]
    differ = [
        f"seed {seed}, request {k} ({script.requests[k]}): sockets {a}, virtual {b}"
        for k, (a, b) in enumerate(zip(real, model, strict=True))
        if a != b
    ]
    return len(real), differ


async def run(count: int, length: int, side: int) -> list[tuple[int, list[str]]]:
    gate = asyncio.Semaphore(side)

    async def one(seed: int) -> tuple[int, list[str]]:
        async with gate:
            return await compare_scenario(seed, length)

    return list(await asyncio.gather(*(one(seed) for seed in range(1, count + 1))))


def main() -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument("--scenarios", type=int, default=36)
    parser.add_argument("--requests", type=int, default=60)
    parser.add_argument("--side-by-side", type=int, default=3)
    parser.add_argument("--keep", action="store_true")
    words: Any = parser.parse_args()
    made = asyncio.run(run(words.scenarios, words.requests, words.side_by_side))
    total, differ = sum(n for n, _ in made), [line for _, lines in made for line in lines]
    same = sum(not lines for _, lines in made)
    text = "# Virtual time and sockets\n\n"
    text += f"`make both-ways`; {words.scenarios} scenarios of {words.requests} requests.\n\n"
    text += f"{total - len(differ)} of {total} requests were routed alike; {same} scenarios agree fully.\n\n"
    text += "\n".join(f"- {line}" for line in differ[:40]) + "\n" * bool(differ)
    print(text)
    if words.keep:
        OUT.write_text(text)
    return 0 if len(differ) <= total // 100 else 1


if __name__ == "__main__":
    sys.exit(main())
