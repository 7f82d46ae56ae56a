"""What the cases 6 to 10 share: the front as a process, stand-ins for what surrounds it, and the record.

The front is started by `run` of deploy/balancer.toml. Clients, chunk servers and discovery run in the
process of the case and follow the operators' protocol page. Every address is a loopback address.
"""

import asyncio
import contextlib
import json
import os
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import IO, Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes of a case
CASE_SECONDS = 110.0  # after which a case is given up as not run
READY_SECONDS = 30.0  # which the pages allow a front until it is ready
IDLE_SECONDS = 15.0  # of the settings (`keepalive`), after which a chunk server closes a connection
KEEPALIVE_SECONDS = 2.0  # between two empty lines of a watch
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CaseError(Exception):
    """The case could not be played, so that it shows nothing."""


class Record:
    """The lines of record.txt: what was sent, run and answered, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        """Begin an empty file at `path`."""
        self._file: IO[str] = path.open("w")
        self._began = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self._began

    def add(self, event: str, **fields: Any) -> None:
        """Write a line."""
        text = " ".join(f"{name}={json.dumps(value)}" for name, value in fields.items())
        self._file.write(f"{self.now():8.3f} {event} {text}\n")
        self._file.flush()


@dataclass(frozen=True)
class Run:
    """A request that a chunk server has received whole.

    Attributes:
        at: when its last byte came, in seconds since the start of the case.
        server: the name of the chunk server.
        method: GET or PUT.
        class_name: the request's class.
        block: the block's name.
        call_id: the request's id.
    """

    at: float
    server: str
    method: str
    class_name: str
    block: str
    call_id: str


class ChunkServer:
    """A chunk server: it serves its shard, two requests at a time, in order of arrival.

    Attributes:
        name: its name in lists.
        shard: the shard that it holds.
        blocks: the shard's blocks, which servers of the same shard share.
        service_seconds: the work of a request.
        runs: the requests that came whole and were begun.
        responds: cleared while it takes requests and answers none.
        before_answer: called with a request before its work ends; it may stop the server.
        port: where it listens; 0 while it does not.
    """

    def __init__(
        self, record: Record, name: str, shard: int, blocks: dict[str, bytes], service_seconds: float
    ) -> None:
        """Create a server that does not listen yet."""
        self.record = record
        self.name = name
        self.shard = shard
        self.blocks = blocks
        self.service_seconds = service_seconds
        self.runs: list[Run] = []
        self.responds = asyncio.Event()
        self.responds.set()
        self.port = 0
        self._cores = asyncio.Semaphore(2)
        self._listener: asyncio.Server | None = None
        self._connections: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[Any]] = set()

    @property
    def address(self) -> str:
        """The address for lists."""
        return f"{HOST}:{self.port}"

    async def start(self) -> None:
        """Listen, at the same port as before if there was one."""
        self._listener = await asyncio.start_server(self._serve, HOST, self.port, limit=1 << 20)
        self.port = self._listener.sockets[0].getsockname()[1]
        self.record.add("server_started", server=self.name, address=self.address)

    def stop(self) -> None:
        """End as a process that dies: connections are reset, new ones are refused."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        for task in list(self._tasks):
            task.cancel()
        for writer in list(self._connections):
            writer.transport.abort()
        self.record.add("server_stopped", server=self.name)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._connections.add(writer)
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while await self._serve_request(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, TimeoutError, asyncio.CancelledError):
            pass
        finally:
            self._connections.discard(writer)
            self._tasks.discard(task)
            writer.close()

    async def _serve_request(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), IDLE_SECONDS)
        line, *fields = head.decode("latin-1").split("\r\n")
        method, target, _ = line.split(" ")
        headers = {name.lower(): value.strip() for name, _, value in (text.partition(":") for text in fields)}
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        url = urlsplit(target)
        block = parse_qs(url.query).get("block", [""])[0]
        io = dict(pair.partition("=")[::2] for pair in headers.get("x-io", "").split(","))
        call_id = headers.get("x-call-id", "")
        if not call_id:
            writer.write(_response(404, b"", ""))
            return True
        if int(io.get("shard", "-1")) not in (-1, self.shard):
            self.record.add("turned_away", server=self.name, method=method, block=block, call=call_id)
            writer.write(_response(503, b"", "X-Rejected: 1\r\n"))
            return True
        run = Run(self.record.now(), self.name, method, url.path.strip("/"), block, call_id)
        self.runs.append(run)
        self.record.add("run", server=self.name, method=method, block=block, call=call_id, bytes=len(body))
        async with self._cores:
            await asyncio.sleep(self.service_seconds)
            await self.responds.wait()
            if method == "PUT":
                self.blocks[block] = body
        status, answer = 200, b"stored\n"
        if method == "GET":
            status, answer = (200, self.blocks[block]) if block in self.blocks else (404, b"")
        writer.write(_response(status, answer, ""))
        await writer.drain()
        self.record.add("server_answered", server=self.name, call=call_id, status=status, bytes=len(answer))
        return True


def _response(status: int, body: bytes, more: str) -> bytes:
    return f"HTTP/1.1 {status} x\r\nContent-Length: {len(body)}\r\n{more}\r\n".encode() + body


class Discovery:
    """Discovery's agent on the front's machine: the list, and watches that tell each change at once."""

    def __init__(self, record: Record) -> None:
        """Begin with an empty list."""
        self.record = record
        self.port = 0
        self.index = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self._listener: asyncio.Server | None = None
        self._watches: set[asyncio.Queue[bytes]] = set()
        self._tasks: set[asyncio.Task[Any]] = set()

    async def start(self) -> None:
        """Listen."""
        self._listener = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._listener.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stop listening and end the watches."""
        if self._listener is not None:
            self._listener.close()
        for task in list(self._tasks):
            task.cancel()

    def tell(self, server: ChunkServer, status: str, zone: str = "a", since_ms: int = 0) -> None:
        """Change the entry of a server; `gone` takes it off the list."""
        entry = {
            "name": server.name,
            "address": server.address,
            "zone": zone,
            "type": "node-2c",
            "group": server.shard,
            "status": status,
            "weight": 1.0,
            "since_ms": since_ms,
        }
        self.index += 1
        if status == "gone":
            self.entries.pop(server.name, None)
        else:
            self.entries[server.name] = entry
        line = self._line(False, [entry])
        for watch in self._watches:
            watch.put_nowait(line)
        self.record.add("told", server=server.name, status=status, watches=len(self._watches))

    def _line(self, snapshot: bool, entries: Iterable[dict[str, Any]]) -> bytes:
        message = {"index": self.index, "snapshot": snapshot, "endpoints": list(entries)}
        return json.dumps(message).encode() + b"\n"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            head = await reader.readuntil(b"\r\n\r\n")
            if b"watch=1" in head.split(b"\r\n")[0]:
                await self._watch(writer)
            else:
                writer.write(_response(200, self._line(True, self.entries.values()), ""))
                await writer.drain()
        self._tasks.discard(task)
        writer.close()

    async def _watch(self, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        queue: asyncio.Queue[bytes] = asyncio.Queue()
        queue.put_nowait(self._line(True, self.entries.values()))
        self._watches.add(queue)
        try:
            while True:
                try:
                    line = await asyncio.wait_for(queue.get(), KEEPALIVE_SECONDS)
                except TimeoutError:
                    line = b"\n"
                writer.write(b"%x\r\n%s\r\n" % (len(line), line))
                await writer.drain()
        finally:
            self._watches.discard(queue)


@dataclass
class Answer:
    """What a client has received when its request ended.

    Attributes:
        status: the HTTP status; 0 without a response.
        headers: the response's header fields by name in lower case.
        body: the body as far as it came.
        complete: whether the whole response came.
        ended: why the wait ended: "answered", "broken" (the front ended the connection) or "gave up".
        seconds: from the request's last byte to the end.
    """

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False
    ended: str = "broken"
    seconds: float = 0.0


async def _receive(reader: asyncio.StreamReader, answer: Answer, has_body: bool) -> None:
    """Read a response with a length into `answer`."""
    head = await reader.readuntil(b"\r\n\r\n")
    line, *fields = head.decode("latin-1").split("\r\n")
    answer.headers = {name.lower(): value.strip() for name, _, value in (f.partition(":") for f in fields)}
    answer.status = int(line.split(" ")[1])
    length = int(answer.headers.get("content-length", "0")) if has_body else 0
    while len(answer.body) < length:
        piece = await reader.read(length - len(answer.body))
        if not piece:
            return
        answer.body += piece
    answer.complete = True
    answer.ended = "answered"


async def ask(
    record: Record,
    port: int,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    wait_seconds: float = 10.0,
) -> Answer:
    """Send a request on a connection of its own, and wait for the answer for `wait_seconds` at most."""
    answer = Answer()
    sent = time.monotonic()
    with contextlib.suppress(OSError, asyncio.IncompleteReadError):
        reader, writer = await asyncio.open_connection(HOST, port, limit=1 << 20)
        lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}:{port}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body or method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join([*lines, "", ""]).encode("latin-1") + body)
        sent = time.monotonic()
        try:
            await writer.drain()
            await asyncio.wait_for(_receive(reader, answer, method != "HEAD"), wait_seconds)
        except TimeoutError:
            answer.ended = "gave up"
        finally:
            writer.close()
    answer.seconds = time.monotonic() - sent
    record.add(
        "client",
        request=f"{method} {target}",
        headers=headers,
        sent_bytes=len(body),
        status=answer.status,
        received_bytes=len(answer.body),
        complete=answer.complete,
        ended=answer.ended,
        seconds=round(answer.seconds, 3),
    )
    return answer


def free_port() -> int:
    """Return a port of the loopback address that is free now."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return int(sock.getsockname()[1])


def run_command() -> str:
    """Return the command of the deploy file that starts a front."""
    return str(tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"])


def library_folder() -> str:
    """Return the folder of the libraries that watched lists need, as review/build-2.sh installs them."""
    found = sorted(ROOT.glob(".run-venv/lib/python3*/site-packages"))
    if not found:
        raise CaseError("review/build-2.sh has not been run")
    return str(found[-1])


class Front:
    """A process of a front; its log is kept in the case's temporary folder.

    Attributes:
        process: the process.
        log: the file of its log.
    """

    def __init__(self, record: Record, log: Path) -> None:
        """Prepare a process that logs to `log`."""
        self.record = record
        self.log = log
        self.process: asyncio.subprocess.Process | None = None

    async def start(self, environment: dict[str, str]) -> None:
        """Start the process from the repository's root, by the shell, as the deploy page says."""
        kept = {name: value for name, value in os.environ.items() if not name.startswith("EDGE_")}
        kept.pop("UMBERLEAD_CONFIG", None)
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run_command(), cwd=ROOT, env=kept | environment, stdout=log, stderr=log
            )
        self.record.add("front_started", pid=self.process.pid)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)
        self.record.add("front_signalled", signal=number.name)

    def exit_code(self) -> int | None:
        """Return the exit code; None while the process runs."""
        return None if self.process is None else self.process.returncode

    async def wait_ready(self, port: int, path: str = "/healthz", seconds: float = READY_SECONDS) -> bool:
        """Return whether the front answers 200 within `seconds`; False too if the process has ended."""
        end = time.monotonic() + seconds
        while time.monotonic() < end and self.exit_code() is None:
            answer = Answer()
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                reader, writer = await asyncio.open_connection(HOST, port)
                writer.write(f"GET {path} HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode())
                await asyncio.wait_for(_receive(reader, answer, True), 1.0)
                writer.close()
            if answer.status == 200:
                self.record.add("front_ready")
                return True
            await asyncio.sleep(0.05)
        return False

    async def require_ready(self, port: int, path: str = "/healthz") -> None:
        """Wait until the front is ready.

        Raises:
            CaseError: it does not become ready.
        """
        if not await self.wait_ready(port, path):
            raise CaseError(f"the front is not ready: {self.log.read_text()[-2000:]}")

    def logged(self, event: str) -> list[str]:
        """Return the lines of the log that tell of an event."""
        return [line for line in self.log.read_text(errors="replace").splitlines() if f" {event} " in line]

    async def end(self) -> None:
        """End the process, which this case has started."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()


class Case:
    """One play of a case.

    Attributes:
        record: the record.
        folder: a temporary folder.
    """

    def __init__(self, folder: Path, record: Record) -> None:
        """Begin with nothing started."""
        self.folder = folder
        self.record = record
        self._fronts: list[Front] = []
        self._servers: list[ChunkServer] = []
        self._discoveries: list[Discovery] = []

    def front(self) -> Front:
        """Return a front that is ended with the case."""
        front = Front(self.record, self.folder / f"front-{len(self._fronts)}.log")
        self._fronts.append(front)
        return front

    async def server(
        self, name: str, shard: int, blocks: dict[str, bytes], service_seconds: float = 0.01
    ) -> ChunkServer:
        """Start a chunk server that is stopped with the case."""
        server = ChunkServer(self.record, name, shard, blocks, service_seconds)
        self._servers.append(server)
        await server.start()
        return server

    async def discovery(self) -> Discovery:
        """Start a discovery that is stopped with the case."""
        discovery = Discovery(self.record)
        self._discoveries.append(discovery)
        await discovery.start()
        return discovery

    async def end(self) -> None:
        """End everything that the case has started."""
        for front in self._fronts:
            await front.end()
        for server in self._servers:
            server.stop()
        for discovery in self._discoveries:
            discovery.stop()


def configuration(name: str, replacements: dict[str, str]) -> str:
    """Return a configuration of deploy/ with lines changed.

    Args:
        name: the file's name in deploy/.
        replacements: patterns of text and what takes their place; each must be found.

    Raises:
        CaseError: a pattern is not found.
    """
    text = (ROOT / "deploy" / name).read_text()
    for pattern, replacement in replacements.items():
        text, count = re.subn(pattern, lambda _, new=replacement: new, text, flags=re.MULTILINE)
        if not count:
            raise CaseError(f"deploy/{name} has no {pattern}")
    return text


def main(play: Callable[[Case], Awaitable[bool]]) -> None:
    """Play a case, write record.txt beside it, and exit with 0 (held), 1 (broken) or 2 (not run)."""

    async def run(case: Case) -> bool:
        try:
            return await asyncio.wait_for(play(case), CASE_SECONDS)
        finally:
            await case.end()

    script = Path(sys.argv[0]).resolve()
    record = Record(script.parent / "record.txt")
    record.add("case", folder=script.parent.name, trouble=TROUBLE)
    folder = Path(tempfile.mkdtemp(prefix="umberlead-review-"))
    try:
        code = HELD if asyncio.run(run(Case(folder, record))) else BROKEN
    except Exception as error:  # whatever hinders the play, it shows nothing
        record.add("not_run", error=f"{type(error).__name__}: {error}")
        code = NOT_RUN
    finally:
        for log in sorted(folder.glob("*.log")):
            lines = [
                line
                for line in log.read_text(errors="replace").splitlines()
                if "object_request_ended" not in line
            ]
            for line in lines[-40:]:
                record.add("log", line=line)
        shutil.rmtree(folder, ignore_errors=True)
    verdict = {HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "the case could not run"}[code]
    record.add("verdict", exit=code, verdict=verdict)
    print(f"case {script.parent.name}: {verdict} (exit {code})")
    sys.exit(code)
