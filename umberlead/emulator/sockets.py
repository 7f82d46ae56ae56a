"""A rehearsal on real sockets: fronts as processes, emulated servers, discovery, log collector and clients in
this one, all on loopback. Each front reaches every other party at addresses of its own."""

import asyncio
import json
import os
import re
import socket
import sys
import tempfile
import time
import urllib.request
from collections import Counter
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, cast

import httptools
import tomli_w

from umberlead.emulator.judge import SLACK
from umberlead.emulator.node import FOREVER, Job, Node
from umberlead.emulator.outcomes import AFTER, KEEPS, NEVER_RAN
from umberlead.emulator.plan import AFTER as RUN_ON
from umberlead.emulator.plan import BESIDE, Hand, Notice, Plan, Turn, rooms_told
from umberlead.emulator.records import Records
from umberlead.emulator.world import Stage
from umberlead.load_generator.clients import Try
from umberlead.load_generator.day import SECOND

START_UP = 30.0  # s in which every front must listen
END = 15.0  # s for a front to end after SIGTERM
BEAT = 2.0  # s between empty lines of a watch
PULSE = 0.005  # s between looks at this process's own lateness; less than that counts as none
STATUS = {"up": "ready", "draining": "draining", "gone": "gone"}
KINDS = {200: "served", 429: "refused", 503: "refused"}
WORDS = {
    "full": b"503 Full",
    "draining": b"503 Draining",
    "astray": b"504 Astray",
    "error": b"500 Error",
}


class NoStart(RuntimeError):
    """A front did not come up; the text has its last lines."""


class Blackhole:
    """An address at which connections never come up: a listener whose queue is full."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.sockets = [_bound(address)]
        self.sockets[0].listen(0)
        for _ in range(4):
            filler = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            filler.setblocking(False)
            with suppress(BlockingIOError):
                filler.connect(address)
            self.sockets.append(filler)

    def close(self) -> None:
        for one in self.sockets:
            one.close()


def _bound(address: tuple[str, int]) -> socket.socket:
    made = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    made.bind(address)
    return made


class Lateness:
    """How far this process is behind, as of the sockets that it reads from now. A loop that was held up runs
    its timers first, then reads: what it finds may have lain there since it looked last."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop, self._turn, self._due = loop, 0.0, loop.time()
        self._beat()

    def _beat(self) -> None:
        now = self.loop.time()
        self._turn, self._due = now - self._due, now + PULSE
        self.loop.call_at(self._due, self._beat)
        self.loop.call_soon(self.loop.call_soon, self._read)

    def _read(self) -> None:
        self._turn = 0.0  # the turn's reading is over

    def us(self) -> int:
        late = max(self._turn, self.loop.time() - self._due)
        return int(late * SECOND) if late > PULSE else 0


class _Messages(asyncio.Protocol):
    """Requests as they come whole; what both servers here are made of."""

    transport: asyncio.Transport | None = None

    def __init__(self) -> None:
        self.fresh()

    def fresh(self) -> None:
        self.parser = httptools.HttpRequestParser(self)
        self.target, self.headers, self.body = b"", dict[bytes, bytes](), list[bytes]()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            if self.transport is not None:
                self.transport.abort()

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        self.body.append(body)

    def send(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()


class _AtNode(_Messages):
    """A front's connection to an emulated server."""

    def __init__(self, play: "Sockets", name: str, front: int) -> None:
        super().__init__()
        self.play, self.name, self.front = play, name, front
        self.node: Node | None = None
        self.job: Job | None = None
        self.silent = False  # a cut, or a server that says nothing: never again
        self.used = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        node = self.play.stage.nodes.get(self.name)
        if node is None or not node.connect():
            return self.abort()
        self.node = node
        self.play.dials[self.play.now() // SECOND] += 1
        self.play.links.setdefault(self.name, set()).add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        if self.node is not None:
            self.node.disconnect()
            self.play.links[self.name].discard(self)
        if self.job is not None and self.node is not None:
            self.play.stage.left(self.play.now(), self.node, self.job.id)
            self.job = None

    def data_received(self, data: bytes) -> None:
        if self.node is not None and self.play.cut(self.front, self.node):
            self.silent = True
        if not self.silent:
            super().data_received(data)

    def on_message_complete(self) -> None:
        assert self.node is not None
        target, headers, body = self.target.decode("latin-1"), self.headers, b"".join(self.body)
        self.fresh()
        way = self.play.plan.way(self.front, int(self.node.room))
        wait = way if self.used else way + int(2 * way * self.node.of.rtts)
        self.used = True
        self.play.after(wait, lambda: self._arrived(target, headers, body))

    def _arrived(self, target: str, headers: dict[bytes, bytes], body: bytes) -> None:
        """It is at the server now, whoever still waits for it."""
        node, play = self.node, self.play
        assert node is not None
        path, _, query = target.partition("?")
        io = dict(p.partition("=")[::2] for p in headers.get(b"x-io", b"").decode("latin-1").split(","))
        block, shard = query.removeprefix("block="), int(io.get("shard", "-1"))
        id_ = headers.get(b"x-call-id", b"").decode("latin-1")
        word, job = play.stage.came(
            play.now(), node, self.front, id_, path.strip("/"), block, shard, body.decode("latin-1")
        )
        job.token = self
        if word == "taken":
            self.job = job
            if self.transport is not None and self.transport.is_closing():
                self.job = None
                play.stage.left(play.now(), node, id_)
            return play.arm(node)
        if word == "fallen":
            return play.fall(node)
        if word not in WORDS:
            return self.abort()
        assert word in NEVER_RAN
        play.after(self.way, lambda: self._reply(WORDS[word], b"", b"X-Rejected: 1\r\n"))

    @property
    def way(self) -> int:
        assert self.node is not None
        return self.play.plan.way(self.front, int(self.node.room))

    def done(self, job: Job, body: str) -> None:
        """Its answer sets out."""
        if self.job is job:
            wait = max(job.answer_at - self.play.now(), 0) + self.way
            self.play.after(wait, lambda: self._answer(job, body.encode()))

    def _answer(self, job: Job, body: bytes) -> None:
        if self.job is not job or self.node is None:
            return
        if self.silent or AFTER[job.end] is None or self.play.cut(self.front, self.node):
            self.silent = True
            return
        self.job = None
        word = job.end
        if word == "reset":
            return self.abort()
        if word == "spoilt":
            self.send(b"HTTP/1.1 2OO Not quite\r\nContent-Length: x\r\n\r\n")
        elif word == "half":
            self.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (len(body) + 9) + body)
        elif word == "error":
            self._reply(WORDS["error"], b"failed\n", b"")
        else:
            self._reply(b"200 OK", body, self._figures(job))
            if word == "surplus":
                self.send(b"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nsurplus")
        if word not in KEEPS and self.transport is not None:
            self.transport.close()

    def _figures(self, job: Job) -> bytes:
        play, node = self.play, self.node
        assert node is not None
        percent = play.stage.meter.percent(play.now(), job.volume)
        made = b"X-Volume-Use: %d\r\n" % percent if percent >= 0 else b""
        if elsewhere := node.elsewhere(job.volume, job.front, job.units):
            made += b"X-Served-Elsewhere: %d\r\n" % elsewhere
        return made

    def _reply(self, status: bytes, body: bytes, more: bytes) -> None:
        assert self.node is not None
        load = ",".join(f"{k}={v}" for k, v in self.node.report(self.play.now()).items()).encode()
        head = b"HTTP/1.1 %s\r\nContent-Length: %d\r\nX-Load-Report: %s\r\n" % (status, len(body), load)
        self.send(head + more + b"\r\n" + body)


class _AtDiscovery(_Messages):
    """A front's connection to its agent: the list, or a watch of it."""

    def __init__(self, agent: "Agent") -> None:
        super().__init__()
        self.agent = agent

    def connection_lost(self, exc: Exception | None) -> None:
        self.agent.watchers.discard(self)

    def on_message_complete(self) -> None:
        target = self.target.decode("latin-1")
        self.fresh()
        if "watch=1" not in target:
            body = self.agent.whole()
            return self.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        self.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.agent.watchers.add(self)
        after = re.search(r"after=([0-9]{1,9})", target)
        known = after is not None and int(after[1]) == self.agent.index
        self.line(b"" if known else self.agent.whole())

    def line(self, text: bytes) -> None:
        self.send(b"%x\r\n%s\n\r\n" % (len(text) + 1, text))


class Agent:
    """Discovery as one front sees it: it answers at once with what it has been sent."""

    def __init__(self) -> None:
        self.index, self.entries = 1, dict[str, dict[str, Any]]()
        self.watchers: set[_AtDiscovery] = set()

    def message(self, entries: list[dict[str, Any]], whole: bool) -> bytes:
        return json.dumps({"index": self.index, "snapshot": whole, "endpoints": entries}).encode()

    def whole(self) -> bytes:
        return self.message([e for e in self.entries.values() if e["status"] != "gone"], True)

    def tell(self, entry: dict[str, Any]) -> None:
        self.index += 1
        self.entries[entry["name"]] = entry
        text = self.message([entry], False)
        for watcher in list(self.watchers):
            watcher.line(text)

    def beat(self) -> None:
        for watcher in list(self.watchers):
            watcher.line(b"")


class _Collector(asyncio.Protocol):
    """Takes fronts' log lines, or for a while does not."""

    def __init__(self, play: "Sockets") -> None:
        self.play, self.rest = play, b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.play.collectors.append(self)

    def data_received(self, data: bytes) -> None:
        self.rest += data  # each line behind its count of octets (RFC 6587)
        while (count := re.match(rb"([0-9]{1,7}) ", self.rest)) is not None:
            end = count.end() + int(count[1])
            if len(self.rest) < end:
                return
            self.play.line(self.rest[count.end() : end].decode("utf-8", "replace"))
            self.rest = self.rest[end:]


class _Client(asyncio.Protocol):
    """A client's connection to a front: one request at a time."""

    def __init__(self, play: "Sockets", front: "FrontProcess") -> None:
        self.play, self.front = play, front
        self.transport: asyncio.Transport | None = None
        self.of: Try | None = None
        self.words: Callable[[], bytes] = bytes
        self.reused = self.begun = False
        self._fresh()

    def _fresh(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.body = list[bytes]()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def ask(self, of: Try, words: Callable[[], bytes], reused: bool) -> None:
        self.of, self.words, self.reused, self.begun = of, words, reused, False
        assert self.transport is not None
        self.transport.write(words())  # the time that is left counts from now

    def data_received(self, data: bytes) -> None:
        self.begun = True
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.play.strange.append("an answer that is no HTTP")
            self.abort()

    def on_body(self, body: bytes) -> None:
        self.body.append(body)

    def on_message_complete(self) -> None:
        status, keep = self.parser.get_status_code(), self.parser.should_keep_alive()
        body, of, self.of = b"".join(self.body), self.of, None
        self._fresh()
        if keep:
            self.front.idle.append(self)
        elif self.transport is not None:
            self.transport.close()
        if of is not None:
            kind = KINDS.get(status, "failed")
            self.play.answered(of, kind, body.decode("latin-1") if kind == "served" else "")

    def connection_lost(self, exc: Exception | None) -> None:
        if self in self.front.idle:
            self.front.idle.remove(self)
        of, self.of = self.of, None
        if of is not None:
            # The front's close crossed a request that it had not read: once more, on a new connection.
            again = self.reused and not self.begun
            self.play.once_more(of, self.words) if again else self.play.broke(of)

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()


@dataclass
class FrontProcess:
    number: int
    process: asyncio.subprocess.Process | None = None
    agent: Agent = field(default_factory=Agent)
    address: tuple[str, int] = ("", 0)
    door: int = 0
    idle: list[_Client] = field(default_factory=list)
    reader: asyncio.Task[None] | None = None


class Sockets:
    """One rehearsal."""

    def __init__(self, plan: Plan, python: str = sys.executable, root: Path | None = None) -> None:
        """`root` is where the program's package lies that fronts run: another version's, for comparisons."""
        self.plan, self.stage = plan, Stage(plan)
        self.python, self.root = python, root or Path(__file__).parents[2]
        self.fronts = [FrontProcess(n) for n in range(plan.fleet.fronts)]
        self.links: dict[str, set[_AtNode]] = {}
        self.servers: dict[tuple[str, int], asyncio.Server] = {}
        self.ports: dict[tuple[str, int], int] = {}
        self.holes: dict[tuple[str, int], Blackhole] = {}
        self.stage_room = {b.name: b.room for b in plan.births}
        self.collectors: list[_Collector] = []
        self.strange: list[str] = []
        self.lines: list[str] = []
        self.dials: Counter[int] = Counter()  # connections to servers by second of the day
        self.verdicts: dict[int, float] = {}  # fronts' first word that a room is lost: s of the day
        self.late = 0.0  # s at most that this process was behind with its own timers
        self.begin = 0.0
        self._armed: dict[str, int] = {}
        self._asking: dict[str, _Client] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    # Time

    def now(self) -> int:
        return int((self.loop.time() - self.begin) * SECOND)

    def at(self, when: int, what: Callable[[], Any]) -> None:
        def fire() -> None:
            self.late = max(self.late, self.loop.time() - self.begin - when / SECOND)
            what()

        self.loop.call_at(self.begin + when / SECOND, fire)

    def after(self, wait: int, what: Callable[[], Any]) -> None:
        self.loop.call_later(wait / SECOND, what)

    def cut(self, front: int, node: Node) -> bool:
        return self.plan.cut_off(self.now(), front, int(node.room))

    # The course

    async def play(self, progress: Callable[[float], None] | None = None) -> Records:
        self.loop = asyncio.get_running_loop()
        self.lateness = Lateness(self.loop)
        with tempfile.TemporaryDirectory(dir="/dev/shm" if os.path.isdir("/dev/shm") else None) as folder:
            try:
                await self._start(Path(folder))
                await self._day(progress)
            finally:
                await self._end()
        self.stage.records.sort()
        return self.stage.records

    async def _start(self, folder: Path) -> None:
        for birth in self.plan.births:
            for front in self.fronts:
                await self._listen(birth.name, front.number, 0)
        collector = ""
        if self.plan.stops:
            taker = await self.loop.create_server(lambda: _Collector(self), "127.0.0.1", 0)
            self.servers["collector", 0] = taker
            collector = f"tcp://127.0.0.1:{_port(taker)}"
        for front in self.fronts:
            for birth in self.plan.births:
                if not birth.at:
                    front.agent.entries[birth.name] = self._entry(
                        front.number, birth.name, birth.shard, "up", 0
                    )
            await self._spawn(front, folder, collector)
        end = time.monotonic() + START_UP
        while not all(front.address[1] and front.door and front.agent.watchers for front in self.fronts):
            for front in self.fronts:
                if front.process is not None and front.process.returncode is not None:
                    raise NoStart(f"front {front.number} ended at its start: {' | '.join(self.lines[-5:])}")
            if time.monotonic() > end:
                raise NoStart(f"not all fronts listen after {START_UP:g} s: {' | '.join(self.lines[-5:])}")
            for front in self.fronts:
                front.agent.beat()
            await asyncio.sleep(0.1)

    async def _listen(self, name: str, front: int, port: int) -> None:
        sock = _bound(("127.0.0.1", port))
        server = await self.loop.create_server(lambda: _AtNode(self, name, front), sock=sock, backlog=256)
        self.servers[name, front], self.ports[name, front] = server, _port(server)

    def _entry(self, front: int, name: str, shard: int, state: str, started: int) -> dict[str, Any]:
        since = int(self.unix * 1000 + started / 1000) if started else 0
        return {
            "name": name,
            "address": f"127.0.0.1:{self.ports[name, front]}",
            "zone": str(self.stage_room[name]),
            "type": "node",
            "group": shard,
            "status": STATUS[state],
            "weight": 1.0,
            "since_ms": since,
        }

    unix = 0.0  # of the day's start

    async def _spawn(self, front: FrontProcess, folder: Path, collector: str) -> None:
        agent = await self.loop.create_server(lambda: _AtDiscovery(front.agent), "127.0.0.1", 0)
        self.servers["discovery", front.number] = agent
        conf: dict[str, Any] = {
            "name": f"f{front.number}",
            "listen": "127.0.0.1:0",
            "management": "127.0.0.1:0",
            "discovery": f"127.0.0.1:{_port(agent)}",
            "seed": f"{self.plan.seed * 1000 + front.number:x}",
            "log": {"level": "info"} | ({"collector": collector} if collector else {}),
            "settings": {k: v for k, v in self.plan.told.items() if k not in BESIDE},
        }
        if "rooms" in self.plan.told:
            conf["rooms"] = rooms_told(self.plan, front.number)
        path = folder / f"front-{front.number}.toml"
        path.write_text(tomli_w.dumps(conf))
        front.process = await asyncio.create_subprocess_exec(
            self.python,
            "-B",
            "-m",
            "umberlead",
            cwd=self.root,
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.PIPE,
            env=os.environ | {"UMBERLEAD_CONFIG": str(path)},
        )
        front.reader = self.loop.create_task(self._read(front))

    async def _read(self, front: FrontProcess) -> None:
        assert front.process is not None and front.process.stderr is not None
        while line := await front.process.stderr.readline():
            self.line(line.decode("utf-8", "replace"))

    def line(self, text: str) -> None:
        """A front's log line: where it listens, and what it did not expect."""
        self.lines.append(text.strip())
        del self.lines[:-200]
        found = re.search(r" (listening|door) .*address=\"127.0.0.1:(\d+)\"", text)
        name = re.search(r'front="f([0-9]+)"', text)
        if found is not None and name is not None:
            front = self.fronts[int(name[1])]
            if found[1] == "listening":
                front.address = ("127.0.0.1", int(found[2]))
            else:
                front.door = int(found[2])
        if " room_verdict " in text and 'state="lost"' in text and name is not None:
            self.verdicts.setdefault(int(name[1]), self.now() / SECOND)
        if " module_error " in text or " unexpected_error " in text:
            self.strange.append(text.strip()[:500])

    async def _day(self, progress: Callable[[float], None] | None) -> None:
        plan = self.plan
        self.begin, self.unix = self.loop.time() + 0.5, time.time() + 0.5
        for birth in plan.births:
            if birth.at:
                self.at(birth.at, lambda b=birth: self.stage.birth(b))  # type: ignore[misc]
            else:
                self.stage.birth(birth)
        for front in self.fronts:
            for birth in plan.births:
                if not birth.at:
                    self.stage.told(0, front.number, birth.name, "up")
        news: dict[tuple[int, str], int] = {}
        for notice in plan.notices:
            self.at(notice.at, lambda n=notice: self._tell(n, news))  # type: ignore[misc]
        for turn in plan.turns:
            self.at(turn.at, lambda t=turn: self._turn(t))  # type: ignore[misc]
        for hand in plan.hands:
            self.at(hand.at, lambda h=hand: self._hand(h))  # type: ignore[misc]
        for cut in plan.cuts:
            self.at(cut.begin, lambda: self._spawned(self._holes()))
            self.at(cut.end, lambda: self._spawned(self._holes()))
        for begin, end in plan.stops:
            self.at(begin, lambda: self._collect(False))
            self.at(end, lambda: self._collect(True))
        beat, whole = 0.0, plan.length + RUN_ON
        requests, k = plan.day.requests, 0
        while (now := self.now()) < whole:
            while k < len(requests) and requests[k].at < now + SECOND // 2:
                of = self.stage.clients.first(requests[k])
                self.at(of.at, lambda t=of: self._ask(t))  # type: ignore[misc]
                k += 1
            if now / SECOND >= beat:
                beat += BEAT
                for front in self.fronts:
                    front.agent.beat()
            if progress is not None:
                progress(now / whole)
            if k == len(requests) and not self.stage.open and now > plan.length:
                break
            await asyncio.sleep(0.1)

    async def _end(self) -> None:
        for task in list(self._tasks):
            task.cancel()
        for client in list(self._asking.values()):
            client.of = None
        running = [f for f in self.fronts if f.process is not None and f.process.returncode is None]
        for front in running:
            assert front.process is not None
            front.process.terminate()
        for front in self.fronts:
            if front.process is None:
                continue
            try:
                code = await asyncio.wait_for(front.process.wait(), END)
            except TimeoutError:
                front.process.kill()
                code = await front.process.wait()
            if code != 0:
                self.strange.append(f"front {front.number} ended with {code}")
            if front.reader is not None:
                await front.reader
        for hole in self.holes.values():
            hole.close()
        for server in self.servers.values():
            server.close()
        for links in self.links.values():
            for link in list(links):
                link.abort()

    def _spawned(self, call: Any) -> None:
        task = self.loop.create_task(call)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # The list, servers and operators

    def _tell(self, notice: Notice, news: dict[tuple[int, str], int]) -> None:
        """Older news than what is known is none: lists carry versions."""
        key = (notice.front, notice.server)
        if notice.since < news.get(key, 0):
            return
        news[key] = notice.since
        self.stage.told(self.now(), notice.front, notice.server, notice.state)
        shard = self.stage.nodes[notice.server].shard
        entry = self._entry(notice.front, notice.server, shard, notice.state, notice.started)
        self.fronts[notice.front].agent.tell(entry)

    def _turn(self, turn: Turn) -> None:
        lost = self.stage.turn(self.now(), turn)
        del lost  # their connections break with all others of the process
        if turn.state in ("gone", "cold"):
            self._break(turn.server)
        if turn.state == "gone":
            for front in self.fronts:
                self.servers[turn.server, front.number].close()

    def _break(self, name: str) -> None:
        for link in list(self.links.get(name, ())):
            link.job = None
            if not (link.node is not None and self.cut(link.front, link.node)):
                link.abort()

    def fall(self, node: Node) -> None:
        self.stage.lose(self.now(), node)
        self._break(node.name)
        for front in self.fronts:
            self.servers[node.name, front.number].close()

    def _collect(self, on: bool) -> None:
        for one in self.collectors:
            if on:
                one.transport.resume_reading()
            else:
                one.transport.pause_reading()

    async def _holes(self) -> None:
        """Cuts begin or end: addresses across them stop to answer, or answer again."""
        for birth in self.plan.births:
            node = self.stage.nodes.get(birth.name)
            if node is None or node.state in ("gone", "fallen"):
                continue
            for front in self.fronts:
                key = (birth.name, front.number)
                cut = self.plan.cut_off(self.now() + 1, front.number, birth.room)
                if cut and key not in self.holes:
                    self.servers[key].close()
                    await asyncio.sleep(0)
                    self.holes[key] = Blackhole(("127.0.0.1", self.ports[key]))
                elif not cut and key in self.holes:
                    self.holes.pop(key).close()
                    await self._listen(birth.name, front.number, self.ports[key])

    def _hand(self, hand: Hand) -> None:
        for front in self.fronts:
            word = "offline" if hand.out else "online"
            url = f"http://127.0.0.1:{front.door}/control/chunk-servers/{hand.server}/{word}"
            self._spawned(asyncio.to_thread(_put, url))

    def arm(self, node: Node) -> None:
        due = node.due()
        if due < self._armed.get(node.name, FOREVER):
            self._armed[node.name] = due
            self.at(due, lambda: self._advance(node))

    def _advance(self, node: Node) -> None:
        self._armed[node.name] = FOREVER
        for job in node.advance(self.now()):
            body = f"{node.name}:{job.id}"
            self.stage.done(node, job, body)
            job.token.done(job, body)
        self.arm(node)

    # Clients

    def _ask(self, of: Try) -> None:
        block, shard = self.stage.ask(self.now(), of)
        r = of.of
        body = r.block.encode() if r.write else b""

        def words() -> bytes:
            left = max(of.until - self.now(), 1000) / SECOND
            head = (
                f"{'PUT' if r.write else 'GET'} /{r.class_name}?block={block} HTTP/1.1\r\nHost: service\r\n"
                f"X-Call-Id: {of.id}\r\nX-Plan: {r.plan}\r\nX-Budget: {left:.3f}\r\n"
                f"X-IO: volume={r.volume},units={r.units},shard={shard},hosts={r.hosts}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n"
            )
            return head.encode() + body

        # Where this process was held up, an answer that came in time is here and not read yet: one turn of
        # the loop reads it.
        leave = lambda: self.loop.call_soon(self._leave, of)  # noqa: E731
        self.at(of.until + SLACK, lambda: self.loop.call_soon(leave))
        front = self.fronts[r.front]
        if front.idle:
            client = front.idle.pop()
            self._asking[of.id] = client
            return client.ask(of, words, True)
        self._spawned(self._connect(of, words))

    async def _connect(self, of: Try, words: Callable[[], bytes]) -> None:
        front = self.fronts[of.of.front]
        try:
            _, client = await self.loop.create_connection(lambda: _Client(self, front), *front.address)
        except OSError:
            return self.broke(of)
        if of.id not in self.stage.open:
            return client.abort()
        self._asking[of.id] = client
        client.ask(of, words, False)

    def once_more(self, of: Try, words: Callable[[], bytes]) -> None:
        if of.id in self.stage.open:
            self._spawned(self._connect(of, words))

    def answered(self, of: Try, kind: str, body: str) -> None:
        self._asking.pop(of.id, None)
        self._again(self.stage.answer(self.now(), of, kind, body, self.lateness.us()))

    def broke(self, of: Try) -> None:
        """Its front ended the connection without an answer."""
        self._asking.pop(of.id, None)
        self.strange.append(f"request {of.id}: its connection ended without an answer")
        self._again(self.stage.leave(self.now(), of))

    def _leave(self, of: Try) -> None:
        client = self._asking.pop(of.id, None)
        if client is not None and client.of is of:
            client.of = None
            client.abort()
        self._again(self.stage.leave(self.now(), of))

    def _again(self, of: Try | None) -> None:
        if of is not None:
            self.at(of.at, lambda: self._ask(of))


def _port(server: asyncio.Server) -> int:
    return int(server.sockets[0].getsockname()[1])


def _put(url: str) -> None:
    request = urllib.request.Request(url, method="PUT")
    with urllib.request.build_opener(urllib.request.ProxyHandler({})).open(request, timeout=5) as answer:
        answer.read()


def play(
    plan: Plan, progress: Callable[[float], None] | None = None, root: Path | None = None
) -> tuple[Records, list[str], float]:
    """The records, what was strange, and how far (s) the rehearsal's own process was behind at most."""
    import uvloop

    made = Sockets(plan, root=root)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(made.play(progress)), made.strange, made.late
