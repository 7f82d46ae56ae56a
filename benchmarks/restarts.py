"""Measures how long fronts that start together take to become ready, by phase: `make bench-restarts`.

As many fronts as a release starts are started at once, each as by `run` of the deploy file, each on its own
loopback address, while other processes keep all cores busy. Discovery is a stub in the process of the
benchmark: it answers at once, accepts calls without answering, refuses connections, or answers calls one
after the other and rejects those that wait too long. A front is ready when `GET /healthz`, polled every
50 ms, first returns 200; its time counts from just before its start. The phases come from the `started` line
in the log of the front. The interpreter times module imports (`-X importtime`) in one front before the others
start.

Run it with the environment of the platform (`.venv`): a test environment has more packages, and structlog
loads some of them."""

import argparse
import asyncio
import json
import os
import re
import socket
import subprocess
import sys
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent
OUT = ROOT / "docs" / "measurements"
POLL_INTERVAL_S = 0.05  # between two readiness polls
READY_TIMEOUT_S = 30.0  # as in the standing test
TARGET_S, TARGET_FRACTION = 10.0, 0.9  # that fraction of the fronts has to be ready in time
# A slow discovery answers this many calls a second and rejects a call after that wait.
CALLS_PER_SECOND, QUEUE_TIMEOUT_S = 7.0, 2.0
MODES = {
    "up": ("push", "answers at once"),
    "hung": ("push", "takes calls and says nothing"),
    "refused": ("push", "refuses connections"),
    "slow": ("push", "answers in turn, 7 a second, 503 after 2 s"),
    "slow, asked for": ("ask", "the same, where the settings say that lists are asked for"),
}
# Phases of a start, in order. `began` in the log is the time of the program's first line: the interpreter
# phase ends there.
PHASES = ("interpreter", "imports", "configuration", "parts", "list", "listeners", "answer")
BUSY_LOOP = "import time\nend = time.monotonic() + {}\nwhile time.monotonic() < end: pass"
HEALTH_REQUEST = b"GET /healthz HTTP/1.1\r\nHost: f\r\nConnection: close\r\n\r\n"


@dataclass
class FrontRun:
    """One front process. `since` and `ready` are the times of its start and readiness, in monotonic s."""

    process: subprocess.Popen[bytes]
    address: tuple[str, int]
    log: Path
    since: float
    ready: float = 0.0
    parts: dict[str, float] = field(default_factory=dict)  # s

    def took(self) -> float:
        return self.ready - self.since if self.ready else READY_TIMEOUT_S


class DiscoveryStub:
    """The discovery stub. In its slow modes it has one queue for all calls."""

    def __init__(self, way: str, endpoints: list[dict[str, Any]]) -> None:
        self.way, self.tasks = way, set[asyncio.Task[None]]()
        self.turn = asyncio.Lock()
        listing = {"index": 1, "snapshot": True, "endpoints": endpoints}
        self.listing = json.dumps(listing).encode() + b"\n"

    async def take(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        try:
            await reader.readuntil(b"\r\n\r\n")
            if self.way == "hung":
                await reader.read()
            elif self.way == "up" or await self.wait_for_turn():
                writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + self.listing)
                while True:
                    await writer.drain()
                    await asyncio.sleep(2)
                    writer.write(b"\n")
            else:
                writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
            self.tasks.discard(task)

    async def wait_for_turn(self) -> bool:
        """Waits for the turn of a call; returns False if the wait exceeds QUEUE_TIMEOUT_S."""
        try:
            await asyncio.wait_for(self.turn.acquire(), QUEUE_TIMEOUT_S)
        except TimeoutError:
            return False
        try:
            await asyncio.sleep(1 / CALLS_PER_SECOND)
        finally:
            self.turn.release()
        return True


def front_environment(
    folder: Path, k: int, port: int, discovery: int, lists: str, fronts: int
) -> dict[str, str]:
    """Creates a folder for front `k` and returns the environment variables that the platform would set."""
    own = folder / f"f{k}"
    own.mkdir()
    grades = [
        {"name": name, "aim": 500_000, "hardLimit": 2_500_000, "effect": effect}
        for name, effect in (("read", "idempotent"), ("write", "at_most_once"), ("export", "idempotent"))
    ]
    settings = {
        "instances": fronts,
        "discovery": lists,
        "grades": grades,
        "plans": [{"name": "a"}, {"name": "b"}],
        "bounds": {"maxAttempts": 3, "dialTimeout": 250_000, "cancel": True},
    }
    config = {"settings": settings, "seed": f"{k:x}", "known": {"index": 1, "endpoints": endpoints(fronts)}}
    config["limits"] = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
    (own / "config.json").write_text(json.dumps(config))
    keep = {name: os.environ[name] for name in ("PATH", "LANG") if name in os.environ}
    return keep | {
        "EDGE_CONFIG": str(own / "config.json"),
        "EDGE_NAME": f"f{k}",
        "TMPDIR": str(own),
        "EDGE_LISTEN": f"127.1.{k >> 8}.{k & 255}:{port}",
        "EDGE_DISCOVERY": f"127.0.0.1:{discovery}",
    }


def endpoints(number: int) -> list[dict[str, Any]]:
    return [{"name": f"n{k}", "address": f"127.0.0.1:{9 + k}", "group": k} for k in range(number)]


def start(folder: Path, env: dict[str, str], *words: str) -> FrontRun:
    """Starts a front as `run` of the deploy file does: one process, without a shell as its parent."""
    host, _, port = env["EDGE_LISTEN"].rpartition(":")
    log = folder / f"{env['EDGE_NAME']}.log"
    with log.open("wb") as file:
        call, since = [sys.executable, "-B", *words, "-m", "umberlead"], time.monotonic()
        process = subprocess.Popen(call, cwd=ROOT, env=env, stdout=file, stderr=file)
    return FrontRun(process, (host, int(port)), log, since)


async def answers(address: tuple[str, int]) -> bool:
    """Returns whether the front answers the health check with 200 within a second."""
    try:
        async with asyncio.timeout(1):
            reader, writer = await asyncio.open_connection(*address)
            try:
                writer.write(HEALTH_REQUEST)
                return (await reader.readline()).startswith(b"HTTP/1.1 200 ")
            finally:
                writer.close()
    except (OSError, TimeoutError):
        return False


async def watch(one: FrontRun, number: int = 0) -> None:
    """Polls a front until it is ready, exits or exceeds READY_TIMEOUT_S; then reads its phases."""
    await asyncio.sleep(POLL_INTERVAL_S * (number % 10) / 10)  # spreads the polls over the interval
    while time.monotonic() - one.since < READY_TIMEOUT_S and one.process.poll() is None:
        if await answers(one.address):
            one.ready = time.monotonic()
            break
        await asyncio.sleep(POLL_INTERVAL_S)
    if one.ready:
        await read_phases(one)


async def read_phases(one: FrontRun) -> None:
    for _ in range(100):
        line = re.search(rb" started \[.*", one.log.read_bytes())
        if line is not None:
            us = {k.decode(): int(v) for k, v in re.findall(rb' (\w+)="(\d+)"', line[0])}
            break
        await asyncio.sleep(POLL_INTERVAL_S)
    else:
        return
    began = us.pop("began") / 1e6
    one.parts = {k: v / 1e6 for k, v in us.items()} | {"interpreter": began - one.since}
    inside = sum(one.parts[k] for k in PHASES[1:-1])
    one.parts["answer"] = max(one.ready - began - inside, 0.0)


def end(started: list[FrontRun]) -> None:
    for one in started:
        one.process.kill()
    for one in started:
        one.process.wait()


async def played(way: str, number: int) -> list[FrontRun]:
    """Starts `number` fronts together under the running load; waits until each is ready or fails."""
    kind = way.partition(",")[0]
    discovery, made = DiscoveryStub(kind, endpoints(number)), list[FrontRun]()
    with tempfile.TemporaryDirectory() as name, socket.socket() as listener, socket.socket() as free:
        listener.bind(("127.0.0.1", 0))
        free.bind(("127.1.0.0", 0))
        port, server = free.getsockname()[1], None
        free.close()
        if kind != "refused":  # a socket that is bound but not listening refuses connections
            listener.setblocking(False)
            server = await asyncio.start_server(discovery.take, sock=listener, backlog=1024)
        folder, at = Path(name), listener.getsockname()[1]
        envs = [front_environment(folder, k, port, at, MODES[way][0], number) for k in range(number)]
        try:
            for env in envs:
                made.append(start(folder, env))
            async with asyncio.TaskGroup() as group:
                for k, one in enumerate(made):
                    group.create_task(watch(one, k))
        finally:
            end(made)
            if server is not None:
                server.close()
                for task in list(discovery.tasks):
                    task.cancel()
    return made


async def imports() -> tuple[list[tuple[str, float, int]], FrontRun]:
    """Starts one front alone, twice.

    Returns the import time in ms and the number of modules by package, from the start with import timing, and
    the start without it.
    """
    with tempfile.TemporaryDirectory() as name, socket.socket() as refusing:
        refusing.bind(("127.0.0.1", 0))
        folder, at = Path(name), refusing.getsockname()[1]
        env = front_environment(folder, 0, 0, at, "ask", 1)
        timed = start(folder, env, "-X", "importtime")
        try:
            while (
                b" started " not in timed.log.read_bytes()
                and time.monotonic() - timed.since < READY_TIMEOUT_S
            ):
                await asyncio.sleep(POLL_INTERVAL_S)
        finally:
            end([timed])
        ms, modules = Counter[str](), Counter[str]()
        for own, module in re.findall(rb"import time: +(\d+) \| +\d+ \| +([\w.]+)", timed.log.read_bytes()):
            package = module.decode().partition(".")[0]
            ms[package] += int(own) / 1000
            modules[package] += 1
        with socket.socket() as free:
            free.bind(("127.1.0.0", 0))
            env["EDGE_LISTEN"] = f"127.1.0.0:{free.getsockname()[1]}"
        alone = start(folder, env)
        try:
            await watch(alone)
        finally:
            end([alone])
    return [(package, took, modules[package]) for package, took in ms.most_common()], alone


def at(values: list[float], part: float) -> float:
    """Returns a percentile by nearest rank."""
    return sorted(values)[max(-int(-len(values) * part // 1) - 1, 0)]


def report(
    rounds: dict[str, list[FrontRun]], busy: int, beside: float, modules: Any, alone: FrontRun
) -> tuple[str, bool]:
    """Returns the page and whether the target is met; `beside`, the load average before, should be near 0."""
    number = len(next(iter(rounds.values())))
    lines = [
        "# Restarts",
        "",
        f"`make bench-restarts`; {number} fronts started together beside {busy} processes that spin, on",
        f"{os.cpu_count()} cores. A front is ready when `GET /healthz`, polled every 50 ms, returns 200.",
        f"Times are s since just before its start. Target: nine in ten within {TARGET_S:g} s.",
        f"The machine's load average before was {beside:.1f}.",
        "",
        "| discovery | p50 | p90 | max | ready within 10 s | not ready in 30 s |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    good = True
    for way, made in rounds.items():
        took = [one.took() for one in made]
        within = sum(t <= TARGET_S for t in took)
        good = good and within >= TARGET_FRACTION * len(took)
        figures = " | ".join(f"{at(took, p):.2f}" for p in (0.5, 0.9, 1.0))
        late = sum(not one.ready for one in made)
        lines.append(f"| {way}: {MODES[way][1]} | {figures} | {within} of {len(took)} | {late} |")
    names = (
        "the interpreter, to the program's first line",
        "imports",
        "configuration",
        "parts made",
        "wait for the first list",
        "listeners, collection",
        "first answer seen",
    )
    lines += ["", "Time by phase, ms; for the busy machine p50, p90 and max of all fronts.", ""]
    lines += [
        "| part | one front alone | " + " | ".join(rounds) + " |",
        "| --- |" + " --- |" * (len(rounds) + 1),
    ]
    rows = list(zip(PHASES, names, strict=True)) + [("cpu", "processor time up to `started`")]
    for part, what in rows:
        cells = [f"{alone.parts.get(part, 0) * 1000:.0f}"]
        for made in rounds.values():
            got = [one.parts[part] * 1000 for one in made if one.parts] or [0.0]
            cells.append(", ".join(f"{at(got, p):.0f}" for p in (0.5, 0.9, 1.0)))
        lines.append(f"| {what} | " + " | ".join(cells) + " |")
    rest = modules[12:]
    lines += ["", "Imports of one front alone, by package (`-X importtime`, own time):", ""]
    lines += ["| package | modules | ms |", "| --- | --- | --- |"]
    lines += [f"| {package} | {n} | {ms:.1f} |" for package, ms, n in modules[:12]]
    lines.append(f"| {len(rest)} others | {sum(n for *_, n in rest)} | {sum(ms for _, ms, _ in rest):.1f} |")
    return "\n".join(lines) + "\n", good


def main() -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument("--fronts", type=int, default=60)
    parser.add_argument("--busy", type=int, default=os.cpu_count() or 1)
    parser.add_argument("--only", choices=MODES, nargs="+", default=list(MODES))
    parser.add_argument("--keep", action="store_true")
    words = parser.parse_args()
    beside = os.getloadavg()[0]
    modules, alone = asyncio.run(imports())
    load = [
        subprocess.Popen([sys.executable, "-S", "-c", BUSY_LOOP.format(READY_TIMEOUT_S * len(words.only))])
        for _ in range(words.busy)
    ]
    rounds = {}
    try:
        for way in words.only:
            rounds[way] = asyncio.run(played(way, words.fronts))
            print(f"{way}: p90 {at([one.took() for one in rounds[way]], 0.9):.2f} s", flush=True)
    finally:
        for process in load:
            process.kill()
            process.wait()
    text, good = report(rounds, words.busy, beside, modules, alone)
    print(text)
    if words.keep:
        (OUT / "restarts.md").write_text(text)
    return 0 if good else 1


if __name__ == "__main__":
    sys.exit(main())
