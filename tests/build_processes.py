"""Front processes of this or another build, the endpoints that they talk to, and calls at their admin API."""

import asyncio
import contextlib
import json
import re
import signal
import socket
import subprocess
import sys
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass
from pathlib import Path

from tests.front_processes import CONFIG_TEXT, ENDPOINT_ENTRY, call, read_request, wait_until

ROOT = Path(__file__).resolve().parent.parent
GOSSIP_CLIENT_PAUSE_SECONDS = 0.02


@dataclass(frozen=True)
class Build:
    """A program's tree, and the name that results are printed under."""

    name: str
    root: Path

    def run(self, *words: str, accepted: tuple[int, ...] = (0,)) -> str:
        """Return what `python ...` prints in this tree.

        Raises:
            AssertionError: it ends with another code than the accepted ones.
        """
        done = subprocess.run(
            [sys.executable, "-B", *words], cwd=self.root, capture_output=True, text=True, timeout=600
        )
        assert done.returncode in accepted, (self.name, words, done.returncode, done.stderr[-800:])
        return done.stdout


class Front:
    """A front process of one build; its log is read from a file."""

    def __init__(self, build: Build, folder: Path, name: str, text: str) -> None:
        path = folder / f"{name}.toml"
        path.write_text(text)
        self.log = folder / f"{name}.{time.monotonic_ns()}.log"
        with open(self.log, "wb") as log:
            self.child = subprocess.Popen(
                [sys.executable, "-B", "-m", "umberlead", "run", str(path)], cwd=build.root, stderr=log
            )

    async def until(self, event: str) -> str:
        """The first log line of an event, once it is there."""
        found = list[str]()

        def look() -> bool:
            assert self.child.poll() is None, self.log.read_text()[-800:]
            found.extend(x for x in self.log.read_text().splitlines() if f" {event} " in x)
            return bool(found)

        await wait_until(look, self.log.read_text)
        return found[0]

    async def address(self, event: str = "listening") -> tuple[str, int]:
        match = re.search(r'address="([\d.]+):(\d+)"', await self.until(event))
        assert match is not None
        return match[1], int(match[2])

    async def stop(self) -> None:
        """Shut down gracefully."""
        self.child.send_signal(signal.SIGTERM)
        await wait_until(lambda: self.child.poll() is not None, self.log.read_text)
        assert self.child.returncode == 0, (self.child.returncode, self.log.read_text()[-800:])

    def kill(self) -> None:
        self.child.kill()
        self.child.wait()


async def admin(address: tuple[str, int], method: str, path: str) -> str:
    """The body of a call of the admin API."""
    answer = await call(address, f"{method} {path}")
    head, _, body = answer.decode().partition("\r\n\r\n")
    assert " 200 " in head.splitlines()[0], (path, answer)
    return body


class Servers:
    """Endpoints that answer reads, each with its own count of requests; they can be taken down."""

    def __init__(self) -> None:
        self.counts: dict[str, int] = {}
        self.ports: dict[str, int] = {}
        self._listening: dict[str, asyncio.Server] = {}
        self._open: dict[str, set[asyncio.StreamWriter]] = {}

    async def start(self, name: str) -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self._open[name].add(writer)
            ends = (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError)
            with contextlib.suppress(*ends):
                while True:
                    await reader.readuntil(b"\r\n\r\n")
                    self.counts[name] += 1
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx")
            writer.close()
            self._open[name].discard(writer)

        self.counts.setdefault(name, 0)
        self._open[name] = set()
        server = await asyncio.start_server(serve, "127.0.0.1", self.ports.get(name, 0))
        self.ports[name] = server.sockets[0].getsockname()[1]
        self._listening[name] = server

    def stop(self, name: str) -> None:
        self._listening.pop(name).close()
        for writer in list(self._open[name]):
            writer.transport.abort()

    def stop_all(self) -> None:
        for name in list(self._listening):
            self.stop(name)


@contextlib.asynccontextmanager
async def servers_running(*names: str) -> AsyncIterator[Servers]:
    servers = Servers()
    for name in names:
        await servers.start(name)
    try:
        yield servers
    finally:
        servers.stop_all()


def known_endpoints_config(servers: Servers, listen: str = "127.0.0.1:0") -> str:
    endpoints = ",".join(ENDPOINT_ENTRY % (int(name[1:]), port) for name, port in servers.ports.items())
    text = CONFIG_TEXT.format(sockets=384, discovery="", endpoints=endpoints)
    return text.replace('listen = "127.0.0.1:0"', f'listen = "{listen}"', 1).replace("../state", "state")


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


ZONES = {"a": ("n0", "n1", "n2"), "b": ("n3", "n4", "n5"), "c": ("n6", "n7", "n8")}


def _gossip_config(folder: Path, name: str, servers: Servers, peers: tuple[int, ...]) -> str:
    rows = ["format 1", "version 1"]
    for zone, names in ZONES.items():
        rows += [f"server {n} address 127.0.0.1:{servers.ports[n]} shard 0 room {zone}" for n in names]
    (folder / "main.list").write_text("\n".join([*rows, f"end {len(rows)}", ""]))
    (folder / "peers.keys").write_text("11" * 16 + "\n")
    text = known_endpoints_config(servers).replace('name = "f"', f'name = "{name}"', 1)
    own, *others = (f'"127.0.0.1:{port}"' for port in peers)
    tables = f"""[membership]
list = "main.list"
[rooms]
near = [{", ".join(f'"{zone}"' for zone in ZONES)}]
[rooms.peers]
listen = {own}
join = [{", ".join(others)}]
keys = "peers.keys"
"""
    text = text.replace('state = "state"', f'state = "state-{name}"')
    return re.sub(r"\[known\]\nendpoints = .*\n", tables, text)


@contextlib.asynccontextmanager
async def gossiping_fronts(
    builds: tuple[Build, ...], folder: Path
) -> AsyncIterator[tuple[Servers, list[tuple[str, int]]]]:
    """Fronts that gossip, under load; yields the zones' servers and the addresses of the admin APIs."""
    async with servers_running(*(name for names in ZONES.values() for name in names)) as servers:
        ports = [free_port() for _ in builds]
        fronts = []
        for number, build in enumerate(builds):
            peers = (*ports[number:], *ports[:number])
            text = _gossip_config(folder, f"f{number}", servers, peers)
            fronts.append(Front(build, folder, f"f{number}", text))
        stopped = asyncio.Event()

        async def client(address: tuple[str, int], name: str) -> None:
            for count in range(1_000_000):
                if stopped.is_set():
                    return
                await call(address, *read_request(f"{name}-{count}"))
                await asyncio.sleep(GOSSIP_CLIENT_PAUSE_SECONDS)

        tasks = []
        try:
            admins = [await front.address("admin_api_listening") for front in fronts]
            for number, front in enumerate(fronts):
                address = await front.address()
                tasks += [asyncio.create_task(client(address, f"g{number}-{k}")) for k in range(4)]
            await asyncio.sleep(2)
            yield servers, admins
        finally:
            stopped.set()
            await asyncio.gather(*tasks, return_exceptions=True)
            for front in fronts:
                front.kill()


async def until_zone(
    admins: list[tuple[str, int]], zone: str, states: tuple[str, ...], seconds: float
) -> None:
    """All fronts have the zone in one of the states, and each has heard all others say the same."""
    end = time.monotonic() + seconds
    while True:
        rows = [
            json.loads(await admin(address, "GET", "/control/rooms"))["rooms"][zone] for address in admins
        ]
        agree = all(row["state"] in states for row in rows)
        heard = all(
            len(row["peers"]) == len(admins) - 1 and set(row["peers"].values()) <= set(states) for row in rows
        )
        if agree and heard:
            return
        assert time.monotonic() < end, rows
        await asyncio.sleep(0.1)
