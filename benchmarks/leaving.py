"""Measures attempts that start after their client has disconnected, and the cost of checking for that.

Run it with `make bench-leaving`. The front and the stub servers run in a process each, the clients in this
one. Each client sends one request and disconnects after a random time: by closing, by shutting down its
sending side or by a reset. A quarter of the clients have sent so much data ahead that the front has stopped
reading. In parallel, objects are uploaded, one at a time on each shard, and their clients disconnect in
mid-upload. Only the record of the stub servers counts: the delay runs from the system call that disconnects
the client to the moment when the stub server has read the last byte of the request, on one monotonic clock,
and so includes any lag of the record itself. The front runs in three modes:

- `free`: the front has a core of its own;
- `busy`: it shares a core with two busy-looping processes (which end by themselves after a while);
- `stopped`: it is stopped by SIGSTOP for 0.15 to 0.3 s repeatedly, so that clients disconnect and deadlines
  expire meanwhile.

Each mode runs with and without the check of the client's connection ("look") when an attempt starts. The cost
of the check is the processor time per request of two fronts, with and without it, loaded alternately; one
check is also timed by itself."""

import argparse
import asyncio
import contextlib
import os
import random
import select
import signal
import socket
import statistics
import struct
import subprocess
import sys
import tempfile
import time
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from json import loads
from pathlib import Path
from typing import Any

import uvloop

from benchmarks.watched_lists import OUT, ROOT, server, sheet
from umberlead.common.counters import Counters
from umberlead.frontends.object_api.manifest import hashed_name
from umberlead.net.client_connections import ClientGroup
from umberlead.net.listener import Listener

MODES, SHARDS, BUSY = ("free", "busy", "stopped"), 8, 2
CLIENTS_PER_SECOND, CLIENT_STAY_S = 500.0, (0.0, 0.3)  # range of the time until one disconnects
OBJECT_STAY_S, OBJECT_GAP_S = 0.12, 0.4  # longest stay of an uploading client, pause until the next
PAIRS, RUN_S, CONCURRENT_CLIENTS = 12, 0.6, 16  # for the cost: pairs of runs, length of each run
CONFIG = """
name = "front"
listen = "127.0.0.1:0"
[objects]
listen = "127.0.0.1:0"
block_bytes = 4096
buffer_bytes = 65536
parallel = 1
read = {{ class = "read" }}
write = {{ class = "write" }}
buckets = {{ scans = "basic" }}
[known]
endpoints = [{endpoints}]
[settings]
[settings.bounds]
maxAttempts = 3
dialTimeout = 250000
[settings.callers]
marksRetry = true
[settings.extra]
meanUnits = 2.0
maxUnits = 4.0
nShards = 8
[[settings.grades]]
name = "read"
aim = 1500000
hardLimit = 3000000
effect = "idempotent"
[[settings.grades]]
name = "write"
aim = 1500000
hardLimit = 3000000
effect = "at_most_once"
[[settings.plans]]
name = "basic"
"""


def front(path: str, look: str) -> int:
    """Runs a front; without the look, an attempt starts unless the client is already known to be gone."""
    os.environ["UMBERLEAD_CONFIG"] = path
    if look == "without":
        from umberlead.requests.lifecycle import RequestLifecycle

        RequestLifecycle.is_client_connected = lambda self, ticket: True  # type: ignore[method-assign]
    from umberlead.__main__ import main as run

    return run()


class Process:
    """A front process, which listens for the protocol of the platform and for the object API."""

    def __init__(
        self, folder: Path, name: str, ports: list[int], look: bool, core: int | None = None
    ) -> None:
        path, self.log = folder / f"{name}.toml", folder / f"{name}.log"
        row = '{{ name = "n{0}", address = "127.0.0.1:{1}", group = {0} }}'
        path.write_text(CONFIG.format(endpoints=", ".join(row.format(k, p) for k, p in enumerate(ports))))
        call = [sys.executable, "-B", "-m", "benchmarks.leaving", "--front", str(path)]
        with open(self.log, "w") as out:
            self.process = subprocess.Popen([*call, "with" if look else "without"], cwd=ROOT, stderr=out)
        if core is not None:
            os.sched_setaffinity(self.process.pid, {core})

    async def ready(self) -> list[tuple[str, int]]:
        while self.process.poll() is None:
            said = [line for line in self.log.read_text().splitlines() if " listening " in line]
            if len(said) == 2:
                found = [line.split('address="')[1].split('"')[0].split(":") for line in said]
                return [(host, int(port)) for host, port in found]
            await asyncio.sleep(0.02)
        raise RuntimeError(self.log.read_text())

    def used(self) -> int:
        """Returns the processor time used so far, ns."""
        return int(Path(f"/proc/{self.process.pid}/schedstat").read_text().split()[0])

    def end(self) -> int:
        self.process.send_signal(signal.SIGCONT)
        self.process.terminate()
        return self.process.wait(20)


def disconnect(sock: socket.socket, way: int) -> int:
    """Disconnects a client: 0 closes, 1 shuts down sending, 2 resets. Returns the time in monotonic ns."""
    if way == 1:
        sock.shutdown(socket.SHUT_WR)
        told = time.monotonic_ns()
        asyncio.get_running_loop().call_later(1.0, sock.close)
        return told
    if way == 2:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()
    return time.monotonic_ns()


def request_bytes(name: str, chance: random.Random) -> bytes:
    shard, block = chance.randrange(SHARDS), chance.getrandbits(64)
    head = f"GET /read?block={block:016x} HTTP/1.1\r\nX-Call-Id: {name}\r\nX-Plan: basic\r\n"
    return (head + f"X-IO: volume={block % 40:x},units=2,shard={shard}\r\n\r\n").encode()


@dataclass
class Disconnections:
    """When clients disconnected, in monotonic ns.

    Attributes:
        by_id: Time of the disconnection by request id.
        objects: By shard, for each upload: its disconnection and the start of the next upload.
    """

    by_id: dict[str, int] = field(default_factory=dict)
    objects: dict[int, list[tuple[int, int]]] = field(default_factory=lambda: defaultdict(list))


def send_ahead(sock: socket.socket) -> None:
    """Sends more than the front reads ahead.

    It is sent separately, as the front would otherwise reject the data behind the first request at once.
    """
    with contextlib.suppress(OSError):  # the client may have disconnected
        sock.sendall(b"GET /" + b"x" * 60_000)


async def platform(
    address: tuple[str, int], name: str, seconds: float, left: Disconnections, seed: int
) -> None:
    loop, chance, begin = asyncio.get_running_loop(), random.Random(seed), time.monotonic()
    for k in range(int(CLIENTS_PER_SECOND * seconds)):
        await asyncio.sleep(max(begin + k / CLIENTS_PER_SECOND - time.monotonic(), 0))
        sock = socket.create_connection(address)
        names = [f"{name}-{k}"]
        text = request_bytes(names[0], chance)
        if chance.random() < 0.25:
            names.append(f"{name}-{k}b")
            text += request_bytes(names[1], chance)
            loop.call_later(0.005, send_ahead, sock)
        sock.sendall(text)

        def go(sock: socket.socket = sock, names: list[str] = names, way: int = k % 3) -> None:
            told = disconnect(sock, way)
            left.by_id.update(dict.fromkeys(names, told))

        loop.call_later(chance.uniform(*CLIENT_STAY_S), go)
    await asyncio.sleep(CLIENT_STAY_S[1] + 1.5)


async def objects(
    address: tuple[str, int], shard: int, seconds: float, left: Disconnections, seed: int
) -> None:
    chance, end, told = random.Random(f"{seed}/{shard}"), time.monotonic() + seconds, 0
    body = b"PUT /scans/%s HTTP/1.1\r\nContent-Length: 49152\r\n\r\n" + b"x" * 49152
    while time.monotonic() < end:
        key = next(
            k
            for k in iter(lambda: f"{chance.getrandbits(40):x}", "")
            if int(hashed_name("shard", "scans", k), 16) % SHARDS == shard
        )
        if told:
            left.objects[shard].append((told, time.monotonic_ns()))
        sock = socket.create_connection(address)
        sock.sendall(body.replace(b"%s", key.encode(), 1))
        await asyncio.sleep(chance.uniform(0, OBJECT_STAY_S))
        told = disconnect(sock, chance.randrange(3))
        await asyncio.sleep(OBJECT_GAP_S)
    left.objects[shard].append((told, time.monotonic_ns()))


async def stops(process: subprocess.Popen[bytes], seconds: float, seed: int) -> None:
    chance, end = random.Random(seed), time.monotonic() + seconds
    while time.monotonic() < end:
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(chance.uniform(0.15, 0.3))
        process.send_signal(signal.SIGCONT)
        await asyncio.sleep(chance.uniform(0.1, 0.2))


async def phase(
    folder: Path, ports: list[int], way: str, look: bool, seconds: float, seed: int
) -> tuple[str, Disconnections, int]:
    name = f"{way}-{'with' if look else 'without'}"
    core = max(os.sched_getaffinity(0)) if way == "busy" else None
    of, left, load = (
        Process(folder, name, ports, look, core),
        Disconnections(),
        list[subprocess.Popen[bytes]](),
    )
    try:
        places = await of.ready()
        if core is not None:
            burn = f"import time\nend = time.monotonic() + {seconds + 3}\nwhile time.monotonic() < end: pass"
            load = [subprocess.Popen([sys.executable, "-c", burn]) for _ in range(BUSY)]
            for each in load:
                os.sched_setaffinity(each.pid, {core})
        work = [platform(places[0], name, seconds, left, seed)]
        work += [objects(places[1], shard, seconds, left, seed) for shard in range(SHARDS)]
        if way == "stopped":
            work.append(stops(of.process, seconds, seed))
        await asyncio.gather(*work)
    finally:
        code = of.end()
        for each in load:
            each.kill()
            each.wait()
    return name, left, code


def after(name: str, left: Disconnections, rows: list[dict[str, Any]]) -> dict[str, Any]:
    """Returns the delays in ms from a disconnection to each attempt that starts later.

    Requests are matched by id. Blocks of objects are matched by shard and time, as each shard has one upload
    at a time.
    """
    told = left.by_id
    late = [(r["t"] - told[r["id"]]) / 1e6 for r in rows if r["id"] in told]
    before = {r["id"] for r in rows if r["id"] in told and r["t"] <= told[r["id"]]}
    made: dict[str, Any] = {"clients": len(told), "waiting": len(told.keys() - before)}
    made["late"] = sorted(x for x in late if x > 0)
    writes = [(r["shard"], r["t"]) for r in rows if r["class"] == "write"]
    spans = [(shard, *span) for shard, of in left.objects.items() for span in of]
    made["objects"] = len(spans)
    made["blocks"] = sorted(
        (t - since) / 1e6
        for shard, since, until in spans
        for s, t in writes
        if s == shard and since < t < until
    )
    return made


class RepeatingClient(asyncio.Protocol):
    """A client that sends its next request as soon as the previous one is answered."""

    def __init__(self, chance: random.Random, name: str) -> None:
        self.chance, self.name, self.count, self.on = chance, name, 0, True

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.ask()

    def ask(self) -> None:
        self.count += 1
        self.transport.write(request_bytes(f"{self.name}-{self.count}", self.chance))

    def data_received(self, data: bytes) -> None:
        if self.on:
            self.ask()


async def turn(address: tuple[str, int], of: Process, name: str) -> float:
    """Returns the processor time of the front per request, us."""
    loop, used = asyncio.get_running_loop(), of.used()
    made = [RepeatingClient(random.Random(f"{name}/{k}"), f"{name}-{k}") for k in range(CONCURRENT_CLIENTS)]
    for each in made:
        await loop.create_connection(lambda each=each: each, *address)  # type: ignore[misc]
    await asyncio.sleep(RUN_S)
    for each in made:
        each.on = False
    await asyncio.sleep(0.1)
    used = of.used() - used
    for each in made:
        each.transport.close()
    return used / 1000 / sum(each.count for each in made)


async def cost(folder: Path, ports: list[int]) -> list[tuple[float, float]]:
    """Returns us per request without and with the look, by pair of runs; the order alternates."""
    both = [Process(folder, f"cost-{look}", ports, look) for look in (False, True)]
    try:
        places = [(await of.ready())[0] for of in both]
        made = []
        for k in range(PAIRS + 1):
            got = {}
            for look in (0, 1) if k % 2 else (1, 0):
                got[look] = await turn(places[look], both[look], f"{k}-{look}")
            made.append((got[0], got[1]))
        return made[1:]  # the first pair warms up both fronts
    finally:
        for of in both:
            of.end()


async def call() -> float:
    """Returns the time of a single look in us, on an established connection."""
    loop, seen = asyncio.get_running_loop(), list[Any]()
    clients = ClientGroup(9, lambda: 0, Counters(), 0, 1 << 20, print)

    class Handler:
        max_body_bytes, sends_date = 0, False
        singleton_headers = kept_headers = frozenset[bytes]()
        kept_header_prefixes: tuple[bytes, ...] = ()
        retry_after_us, allows_slow_bodies = 0, False

        def handle_request(self, conn: Any, request: Any) -> None:
            seen.append(conn)

        def client_disconnected(self, conn: Any) -> None: ...

        def reject(self, conn: Any, status: int, reason: str) -> None: ...

    listener = Listener(Handler(), clients, ("127.0.0.1", 0), loop)
    with socket.create_connection(listener.address) as sock:
        sock.sendall(b"GET / HTTP/1.1\r\n\r\n")
        while not seen:
            await asyncio.sleep(0.001)
        looks: Callable[[], bool] = seen[0].check_disconnected
        assert not looks() and hasattr(select, "POLLRDHUP")
        took = []
        for _ in range(7):
            begin = time.perf_counter_ns()
            for _ in range(20_000):
                looks()
            took.append((time.perf_counter_ns() - begin) / 20_000 / 1000)
    listener.close()
    return statistics.median(took)


def stand_ins(
    folder: Path, name: str, base: int, unit: float
) -> tuple[subprocess.Popen[bytes], list[int], Path]:
    listed, record = folder / f"{name}.list", folder / f"{name}.record"
    ports = list(range(base, base + SHARDS))
    listed.write_text(sheet(1, [server(f"n{k}", port, k) for k, port in enumerate(ports)]))
    words = ["--synthetic", "--quiet", "--record", str(record), "--unit-ms", str(unit)]
    call = [sys.executable, "-B", "-m", "umberlead", "standin", str(listed), *words]
    return subprocess.Popen(call, cwd=ROOT, stderr=subprocess.DEVNULL), ports, record


async def measure(seconds: float, seed: int) -> dict[str, Any]:
    with tempfile.TemporaryDirectory() as root:
        folder, base = Path(root), 21000 + (os.getpid() * 37) % 20000
        slow, ports, record = stand_ins(folder, "slow", base, 24.0)
        quick, quick_ports, _ = stand_ins(folder, "quick", base + SHARDS, 0.05)
        lefts, codes = dict[str, Disconnections](), list[int]()
        try:
            await asyncio.sleep(1.5)
            for way in MODES:
                for look in (False, True):
                    name, lefts[name], code = await phase(folder, ports, way, look, seconds, seed)
                    codes.append(code)
            slow.terminate()
            slow.wait(20)
            pairs = await cost(folder, quick_ports)
        finally:
            for each in (slow, quick):
                each.terminate()
                each.wait(20)
        rows = [loads(line) for line in record.read_text().splitlines()]
        return {
            "ways": {name: after(name, left, rows) for name, left in lefts.items()},
            "pairs": pairs,
            "call": await call(),
            "codes": codes,
        }


def row(name: str, of: dict[str, Any]) -> str:
    way, look = name.split("-")
    cells = [way, look, of["clients"], of["waiting"]]
    for late in (of["late"], of["blocks"]):
        cells += [sum(x > 10 for x in late), sum(x > 100 for x in late), f"{max(late, default=0.0):.1f}"]
    cells.insert(7, of["objects"])
    return "| " + " | ".join(map(str, cells)) + " |"


def table(made: dict[str, Any], seconds: float, seed: int) -> str:
    without, with_ = (statistics.median(p[k] for p in made["pairs"]) for k in (0, 1))
    more = sorted(b - a for a, b in made["pairs"])
    heads = [
        "front",
        "look",
        "requests whose client left",
        "of these not begun before",
        "begun over 10 ms after",
        "over 100 ms",
        "latest, ms",
        "objects whose client left",
        "blocks begun over 10 ms after",
        "over 100 ms",
        "latest, ms",
    ]
    text = "# Attempts begun after their client left\n\n"
    text += f"`make bench-leaving`; {seconds:g} s each, seed {seed}. Latest: the last request that a stub"
    text += (
        " server read completely after its client had disconnected, including the time to read it. Without"
    )
    text += " the look: the program before the check was added. Each front serves alone.\n\n"
    text += "| " + " | ".join(heads) + " |\n| --- |" + " --- |" * (len(heads) - 1) + "\n"
    text += "\n".join(row(name, of) for name, of in made["ways"].items()) + "\n\n"
    text += "| the look's cost | us |\n| --- | --- |\n"
    text += f"| a call by itself | {made['call']:.2f} |\n"
    text += f"| processor time a request without, with; medians of {len(more)} turns | {without:.1f}, "
    text += f"{with_:.1f} |\n"
    text += f"| difference of a pair: median, least, most | {statistics.median(more):+.1f}, {more[0]:+.1f}, "
    text += f"{more[-1]:+.1f} |\n\nExit codes of the fronts: {', '.join(map(str, made['codes']))}.\n"
    return text


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seconds", type=float, default=6)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--keep", action="store_true", help="write docs/measurements")
    parser.add_argument("--front", nargs=2, metavar=("CONFIG", "LOOK"), help="for the fronts it starts")
    words = parser.parse_args()
    if words.front:
        return front(*words.front)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        made = runner.run(measure(words.seconds, words.seed))
    text = table(made, words.seconds, words.seed)
    print(text)
    if words.keep:
        (OUT / "leaving.md").write_text(text)
    looked = [of for name, of in made["ways"].items() if name.endswith("-with")]
    good = all(max([*of["late"], *of["blocks"]], default=0) <= 100 for of in looked)
    return 0 if good and not any(made["codes"]) else 1


if __name__ == "__main__":
    sys.exit(main())
