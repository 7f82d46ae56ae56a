"""Runs an earlier build and the present one together: data, verdicts, hand-over and gossip.

`make both-builds BEFORE=REVISION`. The earlier build is laid out from git; each check runs both programs as
processes and compares what leaves them. Prints a line for each check; exit code 1 if one fails.
"""

import asyncio
import contextlib
import io
import json
import re
import signal
import subprocess
import sys
import tarfile
import tempfile
import time
import urllib.request
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from tests.front_processes import CONFIG_TEXT, ENDPOINT_ENTRY, call, read_request, wait_until

ROOT = Path(__file__).resolve().parent.parent
SUITES = ("deploy/expectations/watched.suite",)
REHEARSALS = ("combined", "faults", "cold-starts", "room-loss", "room-dark")
OWN_TIME_FIELDS = {"elapsed_seconds", "elapsed_s", "seconds_taken", "took_s", "late", "late_ms", "late_start"}
WRITE_GOLDEN = """
import sys, tempfile
from pathlib import Path
from tests.golden import exported, settings, stored, wire
for name, make in {**stored.FILES, **exported.FILES, **settings.FILES, **wire.FILES}.items():
    with tempfile.TemporaryDirectory() as folder:
        (Path(sys.argv[1]) / name).write_bytes(make(Path(folder)))
"""
HANDOVER_CLIENTS = 40
HANDOVER_LOAD_SECONDS = 2.0  # before and after each hand-over
GOSSIP_CLIENT_PAUSE_SECONDS = 0.02
OBJECT_BYTES = 300_000


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


def settings_of(text: str) -> str:
    return text[text.index("[settings]") :]


async def read_many(address: tuple[str, int], count: int, prefix: str) -> list[bytes]:
    return [await call(address, *read_request(f"{prefix}-{n}")) for n in range(count)]


# The checks. Each is given the two builds in both orders, or once as (earlier, present) where it compares.


def golden_files_are_the_same(before: Build, after: Build, folder: Path) -> None:
    """State folder, snapshot, manifests, gossip, admin API, counters, settings and the simulator's lines."""
    written = []
    for build in (before, after):
        out = folder / build.name
        out.mkdir()
        build.run("-c", WRITE_GOLDEN, str(out))
        written.append({path.name: path.read_bytes() for path in out.iterdir()})
    assert len(written[0]) > 10 and written[0] == written[1], [
        name for name in written[0] if written[0][name] != written[1].get(name)
    ]


def _without_own_times(value: Any) -> Any:
    if isinstance(value, dict):
        return {key: _without_own_times(inner) for key, inner in value.items() if key not in OWN_TIME_FIELDS}
    return [_without_own_times(inner) for inner in value] if isinstance(value, list) else value


def _documents(text: str) -> list[Any]:
    """The JSON documents of a file that holds several, one after the other."""
    found, position = [], 0
    while position < len(text.rstrip()):
        value, length = json.JSONDecoder().raw_decode(text[position:].lstrip())
        position = len(text) - len(text[position:].lstrip()) + length
        found.append(value)
    return found


def verdicts_are_the_same(before: Build, after: Build, folder: Path) -> None:
    """Routing tests and rehearsals in virtual time."""
    for suite in SUITES:
        results = [
            json.loads(build.run("-m", "umberlead", "expect", suite, "--json", accepted=(0, 1)))
            for build in (before, after)
        ]
        assert _without_own_times(results[0]) == _without_own_times(results[1]), suite
    for script in REHEARSALS:
        results = []
        for build in (before, after):
            out = folder / f"{build.name}-{script}.json"
            words = ("rehearse", f"deploy/rehearsals/{script}.script", "--out", str(out))
            build.run("-m", "umberlead", *words, accepted=(0, 1))
            results.append(_documents(out.read_text()))
        assert _without_own_times(results[0]) == _without_own_times(results[1]), script


async def a_drain_holds_in_the_other_build(first: Build, second: Build, folder: Path) -> None:
    """The state folder that one build wrote is read by the other."""
    async with servers_running("n0", "n1") as servers:
        text = known_endpoints_config(servers)
        front = Front(first, folder, "front", text)
        try:
            await front.address()
            await admin(
                await front.address("admin_api_listening"), "PUT", "/control/chunk-servers/n0/offline"
            )
            await front.stop()
            servers.counts.update(n0=0, n1=0)
            front = Front(second, folder, "front", text)
            answers = await read_many(await front.address(), 20, "drain")
            assert all(answer.startswith(b"HTTP/1.1 200") for answer in answers)
            assert servers.counts == {"n0": 0, "n1": 20}, servers.counts
            await front.stop()
        finally:
            front.kill()


async def a_snapshot_is_restored_by_the_other_build(first: Build, second: Build, folder: Path) -> None:
    """The list that one build saved serves in the other while the file is broken."""
    async with servers_running("n0", "n1") as servers:
        rows = ["format 1", "version 1"]
        rows += [f"server {name} address 127.0.0.1:{port} shard 0" for name, port in servers.ports.items()]
        (folder / "main.list").write_text("\n".join([*rows, f"end {len(rows)}", ""]))
        text = known_endpoints_config(servers)
        table = '[membership]\nlist = "main.list"\nsnapshot = "saved.list"\n'
        text = re.sub(r"\[known\]\nendpoints = .*\n", table, text)
        front = Front(first, folder, "front", text)
        try:
            await front.address()
            await wait_until((folder / "saved.list").exists, front.log.read_text)
            await front.stop()
            (folder / "main.list").write_text("format 1\nversion")
            front = Front(second, folder, "front", text)
            address = await front.address()
            await front.until("endpoint_list_restored")
            answers = await read_many(address, 20, "snapshot")
            assert all(answer.startswith(b"HTTP/1.1 200") for answer in answers)
            await front.stop()
        finally:
            front.kill()


def _object_call(address: tuple[str, int], method: str, path: str, body: bytes = b"") -> tuple[int, bytes]:
    url = f"http://{address[0]}:{address[1]}{path}"
    request = urllib.request.Request(url, data=body or None, method=method)
    try:
        with urllib.request.urlopen(request, timeout=30) as answer:
            return answer.status, answer.read()
    except urllib.error.HTTPError as error:
        return error.code, error.read()


async def objects_are_read_by_the_other_build(first: Build, second: Build, folder: Path) -> None:
    """An object and a finished multipart upload are read; an unfinished upload is refused, as by a new start.

    The registry of uploads lives in the process that began them: no build takes over an unfinished one.
    """
    ports = [_free_port() for _ in range(5)]
    rows = ["format 1", "version 1"]
    rows += [f"server n{n} address 127.0.0.1:{port} shard {n}" for n, port in enumerate(ports)]
    (folder / "main.list").write_text("\n".join([*rows, f"end {len(rows)}", ""]))
    text = (ROOT / "deploy/watched.toml").read_text()
    text = re.sub(r'(?m)^list = "[^"]*"', 'list = "main.list"', text)
    text = re.sub(r'(?m)^(listen|management) = "[^"]*"', r'\1 = "127.0.0.1:0"', text)
    standin = subprocess.Popen(
        [sys.executable, "-B", "-m", "umberlead", "standin", str(folder / "main.list"), "--quiet"],
        cwd=first.root,
        stderr=subprocess.PIPE,
    )
    assert standin.stderr is not None and b"listen" in standin.stderr.readline()
    data, parts = bytes(range(256)) * (OBJECT_BYTES // 256), (b"a" * 100_000, b"b" * 70_000)
    front = Front(first, folder, "front", text)

    async def ask(address: tuple[str, int], method: str, path: str, body: bytes = b"") -> tuple[int, bytes]:
        return await asyncio.to_thread(_object_call, address, method, path, body)

    try:
        address = await front.address()
        assert (await ask(address, "PUT", "/scans/plain", data))[0] == 200
        uploads = []
        for name in ("finished", "unfinished"):
            status, answer = await ask(address, "POST", f"/scans/{name}?uploads")
            match = re.search(rb"<UploadId>(.*?)</UploadId>", answer)
            assert status == 200 and match is not None, answer
            uploads.append(match[1].decode())
            for number, part in enumerate(parts, 1):
                path = f"/scans/{name}?partNumber={number}&uploadId={uploads[-1]}"
                assert (await ask(address, "PUT", path, part))[0] == 200
        assert (await ask(address, "POST", f"/scans/finished?uploadId={uploads[0]}", _complete(parts)))[
            0
        ] == 200
        await front.stop()
        front = Front(second, folder, "front", text)
        address = await front.address()
        assert await ask(address, "GET", "/scans/plain") == (200, data)
        assert await ask(address, "GET", "/scans/finished") == (200, b"".join(parts))
        status, answer = await ask(
            address, "POST", f"/scans/unfinished?uploadId={uploads[1]}", _complete(parts)
        )
        assert status == 404 and b"NoSuchUpload" in answer, answer
        await front.stop()
    finally:
        front.kill()
        standin.kill()
        standin.wait()


def _complete(parts: tuple[bytes, ...]) -> bytes:
    import hashlib

    rows = "".join(
        f'<Part><PartNumber>{number}</PartNumber><ETag>"{hashlib.md5(part).hexdigest()}"</ETag></Part>'
        for number, part in enumerate(parts, 1)
    )
    return f"<CompleteMultipartUpload>{rows}</CompleteMultipartUpload>".encode()


def _free_port() -> int:
    import socket

    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


async def a_handover_under_load_loses_no_request(first: Build, second: Build, folder: Path) -> None:
    """The second build takes over from the first under load, then the first from the second."""
    async with servers_running("n0", "n1") as servers:
        front = Front(first, folder, "front", known_endpoints_config(servers))
        address = await front.address()
        text = known_endpoints_config(servers, f"127.0.0.1:{address[1]}")
        answers, stopped = list[bytes](), asyncio.Event()

        async def client(number: int) -> None:
            for count in range(1_000_000):
                if stopped.is_set():
                    return
                answers.append(await call(address, *read_request(f"h{number}-{count}")))

        tasks = [asyncio.create_task(client(number)) for number in range(HANDOVER_CLIENTS)]
        newer = None
        try:
            for build in (second, first):
                await asyncio.sleep(HANDOVER_LOAD_SECONDS)
                newer = Front(build, folder, "newer", text)
                await newer.address()
                await front.stop()
                front, newer = newer, None
            await asyncio.sleep(HANDOVER_LOAD_SECONDS)
            stopped.set()
            await asyncio.gather(*tasks)
            failed = [answer for answer in answers if not answer.startswith(b"HTTP/1.1 200")]
            assert len(answers) > 500 and not failed, (len(answers), len(failed), failed[:3])
            await front.stop()
        finally:
            stopped.set()
            front.kill()
            if newer is not None:
                newer.kill()


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
        ports = [_free_port() for _ in builds]
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


async def fronts_of_both_builds_see_a_zone_fail_alike(first: Build, second: Build, folder: Path) -> None:
    """Three fronts, one of them of the other build, see a zone fail, and hear the others say so."""
    async with gossiping_fronts((first, second, second), folder) as (servers, admins):
        for name in ZONES["b"]:
            servers.stop(name)
        await until_zone(admins, "b", ("lost",), 30)


async def fronts_of_both_builds_see_a_zone_recover_alike(first: Build, second: Build, folder: Path) -> None:
    """The same with the zone's recovery; fails while tests/test_zone_recovery.py is in KNOWN-RED.txt."""
    async with gossiping_fronts((first, second, second), folder) as (servers, admins):
        for name in ZONES["b"]:
            servers.stop(name)
        await until_zone(admins, "b", ("lost",), 30)
        for name in ZONES["b"]:
            await servers.start(name)
        await until_zone(admins, "b", ("return", "well"), 30)


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


Check = Callable[[Build, Build, Path], Awaitable[None] | None]
COMPARISONS: tuple[Check, ...] = (golden_files_are_the_same, verdicts_are_the_same)
BOTH_ORDERS: tuple[Check, ...] = (
    a_drain_holds_in_the_other_build,
    a_snapshot_is_restored_by_the_other_build,
    objects_are_read_by_the_other_build,
    a_handover_under_load_loses_no_request,
    fronts_of_both_builds_see_a_zone_fail_alike,
    fronts_of_both_builds_see_a_zone_recover_alike,
)


def lay_out(revision: str, folder: Path) -> Build:
    """The tree of a revision, with its tests and deploy files."""
    packed = subprocess.run(
        ["git", "archive", revision, "umberlead", "tests", "deploy", "pyproject.toml"],
        cwd=ROOT,
        check=True,
        capture_output=True,
    ).stdout
    root = folder / "before"
    with tarfile.open(fileobj=io.BytesIO(packed)) as tree:
        tree.extractall(root, filter="data")
    return Build("before", root)


def passed(check: Check, first: Build, second: Build) -> bool:
    """Run one check and print its line."""
    began = time.monotonic()
    with tempfile.TemporaryDirectory() as folder:
        try:
            done = check(first, second, Path(folder))
            if done is not None:
                asyncio.run(asyncio.wait_for(done, 300))  # type: ignore[arg-type]
            verdict = "passed"
        except Exception as fault:
            verdict = f"FAILED: {type(fault).__name__}: {str(fault)[:1500]}"
    order = f"{first.name} then {second.name}"
    print(f"{check.__name__} ({order}), {time.monotonic() - began:.0f} s: {verdict}", flush=True)
    return verdict == "passed"


def main() -> int:
    """Run all checks, or those whose names hold the second argument."""
    only = sys.argv[2] if len(sys.argv) > 2 else ""
    with tempfile.TemporaryDirectory() as folder:
        before, after = lay_out(sys.argv[1], Path(folder)), Build("after", ROOT)
        pairs = [(check, before, after) for check in COMPARISONS]
        pairs += [pair for check in BOTH_ORDERS for pair in ((check, before, after), (check, after, before))]
        results = [passed(*pair) for pair in pairs if only in pair[0].__name__]
    print(f"{sum(results)} of {len(results)} checks passed")
    return int(not all(results))


if __name__ == "__main__":
    sys.exit(main())
