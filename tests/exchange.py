"""Plays a recorded exchange against a whole front on loopback, with stand-ins for chunk servers, discovery
and clients. A text file holds one exchange, a step a line:

    set KEY VALUE          a key of tests/exchanges/base.toml, before the front starts or before a reload
    patch MODULE NAME N    a constant of a module, before the front starts
    node NAME SHARD        a chunk server that stores blocks; SHARD:script, one that plays what the file says;
                           SHARD:down, one that nobody listens for
    discovery              a scripted discovery in place of the known list; moves NAME, another, which the
                           configuration names from here on
    client NAME FRONT      a connection to the `platform` or `objects` front, or to `control`
    NAME >  /  NAME <      sends, or expects, the lines below it
    NAME next WORD ...     how a storing chunk server ends its next requests: ok, full, error, reset, stall,
                           missing, hold; one that stalls, resets or holds has run the request
    NAME close, NAME eof   breaks the connection, or expects its end; NAME finish ends it in order, NAME reset
                           resets it, NAME half ends its sending alone
    NAME release N         a storing chunk server answers N requests that it holds, the oldest first
    dials hold, dials go   connections to chunk servers wait to be made; they are made
    started NAME           the chunk server counts as just started
    memory N               clients of the platform front may have N bytes held for them
    beside                 another process of this front stands beside it
    lastword               the process's end is due: what is open is answered
    clock US               the front's clock moves on by so many us, and what is due then is done
    NAME ran PREFIX N      like writes, whatever was asked
    NAME fresh             waits for the chunk server's, or discovery's, next connection
    writes NAME PREFIX N   N requests in all of that start have run there, none of them twice
    counter NAME N         a counter of the front now; until NAME N waits for it
    signal NAME, ends      a signal to the process; the front comes to its end

Below a step, `| text` is a line with its CRLF, `~ text` one with LF alone, `= text` one with
neither, and `@ BEGIN END` those bytes of the test's content; `% N LINE` is N such lines, and
`& NAME first / second` the lines that base.defs has under that name. In what is
expected {name} stands for any word, the same in all places, and {~} for the rest of a line."""

import asyncio
import os
import re
import signal
import socket
import struct
import time
import tomllib
from collections import Counter
from collections.abc import Callable
from contextlib import ExitStack
from pathlib import Path
from typing import Any, cast
from unittest import mock

import uvloop

from umberlead import configuration
from umberlead.daemon.process import FrontProcess

FOLDER = Path(__file__).parent / "exchanges"
PATIENCE = 5.0  # s until a step that never comes fails
CONTENT = bytes((i * 131 + (i >> 8) * 17 + (i >> 16)) & 0xFF for i in range(1 << 18))


def _defined(line: str) -> list[str]:
    """The lines that base.defs gives for `& NAME first / second ...`."""
    if not line.startswith("& "):
        return [line]
    name, _, rest = line[2:].partition(" ")
    text = (FOLDER / "base.defs").read_text()
    found = re.search(rf"^{name}\n((?:[|=~@&].*\n)+)", text, re.M)
    assert found is not None, f"base.defs has no {name}"
    block = found[1]
    for number, value in enumerate(rest.split(" / "), 1):
        block = block.replace(f"${number}", value)
    return [line for inner in block.splitlines() for line in _defined(inner)]


class Peer(asyncio.Protocol):
    """One end of a connection, read as the exchange goes."""

    def __init__(self) -> None:
        self.got, self.ended, self.news = b"", False, asyncio.Event()
        self.fault: Exception | None = None  # it ended with

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        transport.set_write_buffer_limits(high=0)  # what is written is on its way at once

    def data_received(self, data: bytes) -> None:
        self.got += data
        self.news.set()

    def connection_lost(self, exc: Exception | None) -> None:
        self.ended, self.fault = True, exc
        self.news.set()

    async def more(self, what: str) -> None:
        self.news.clear()
        try:
            await asyncio.wait_for(self.news.wait(), PATIENCE)
        except TimeoutError:
            raise AssertionError(f"{what}\nnever came; there is {self.got!r}") from None


class Store(Peer):
    """A chunk server that stores blocks and ends requests as it is told."""

    def __init__(self, node: "Node") -> None:
        super().__init__()
        self.node = node

    def data_received(self, data: bytes) -> None:
        self.got += data
        head, found, body = self.got.partition(b"\r\n\r\n")
        size = re.search(rb"(?i)content-length: (\d+)", head)
        if not found or len(body) < int(size[1] if size else 0):
            return
        self.got = b""
        line = head.split(b" HTTP")[0].decode()
        method, target = line.split(" ")
        how = self.node.next.pop(0) if self.node.next else "ok"
        if how == "full":
            return self.answer(503, b"", b"X-Rejected: 1\r\n")
        self.node.ran[line] += 1
        if method == "PUT":
            self.node.blocks[target.partition("?")[2]] = body
        if how == "reset":
            self.transport.abort()
        elif how == "error":
            self.answer(500, b"")
        elif how == "hold":
            self.node.held.append(lambda: self.answer(200, b"" if method == "PUT" else b"x"))
        elif how != "stall":
            block = self.node.blocks.get(target.partition("?")[2]) if how == "ok" else None
            self.answer(404 if block is None else 200, b"" if method == "PUT" else block or b"")

    def answer(self, status: int, body: bytes, more: bytes = b"") -> None:
        head = b"HTTP/1.1 %d -\r\nContent-Length: %d\r\n%s\r\n" % (status, len(body), more)
        self.transport.writelines([head, body])


class Node:
    def __init__(self) -> None:
        self.blocks: dict[str, bytes] = {}
        self.ran: Counter[str] = Counter()
        self.next: list[str] = []
        self.held: list[Callable[[], None]] = []
        self.peers: list[Peer] = []
        self.arrived = asyncio.Event()

    def accept(self, scripted: bool) -> Peer:
        peer = Peer() if scripted else Store(self)
        self.peers.append(peer)
        self.arrived.set()
        return peer

    async def peer(self) -> Peer:
        await asyncio.wait_for(self.arrived.wait(), PATIENCE)
        return self.peers[-1]


class Clock:
    """Real time and what is added to it by hand."""

    def __init__(self) -> None:
        self.added = 0
        self.anchor = time.time_ns() - time.monotonic_ns()

    def __call__(self) -> int:
        return (time.monotonic_ns() + self.anchor) // 1000 + self.added


class Gate:
    """The loop as the pool sees it: connections are made once the gate is open."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop, self.open = loop, asyncio.Event()
        self.create_task = loop.create_task
        self.open.set()

    async def create_connection(self, *words: Any) -> Any:
        await self.open.wait()
        return await self.loop.create_connection(*words)


class Exchange:
    def __init__(self, of: Path | str) -> None:
        self.steps: list[tuple[list[str], list[str]]] = []
        self.clock, self.gate = Clock(), cast(Gate, None)
        for line in (of if isinstance(of, str) else of.read_text()).splitlines():
            if line.startswith("% "):  # so many times the line behind it
                number, again = line[2:].split(" ", 1)
                self.steps[-1][1].extend([again] * int(number))
            elif line.startswith("& "):
                self.steps[-1][1].extend(_defined(line))
            elif line[:2] in ("| ", "= ", "~ ", "@ ") or line == "|":
                self.steps[-1][1].append(line)
            elif line.strip() and not line.startswith("#"):
                self.steps.append((line.split(maxsplit=2) if line.startswith("set ") else line.split(), []))
        self.names: dict[str, bytes] = {}
        self.nodes: dict[str, Node] = {}
        self.peers: dict[str, Peer] = {}
        self.servers: list[Any] = []
        self.patches = ExitStack()
        self.fresh: Counter[str] = Counter()
        self.conf = tomllib.loads((FOLDER / "base.toml").read_text())
        self.front: FrontProcess | None = None

    def play(self) -> None:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(self._play())

    async def _play(self) -> None:
        try:
            for words, lines in self.steps:
                try:
                    await self._step(words, lines)
                except AssertionError as fault:
                    raise AssertionError(f"step {' '.join(words)}: {fault}") from None
        finally:
            self.patches.close()
            if self.front is not None:
                self.task.cancel()
                self.front.release_resources()
            for server in self.servers:
                server.close()

    async def _listen(self, name: str, scripted: bool) -> str:
        node = self.nodes[name] = Node()
        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: node.accept(scripted), "127.0.0.1", 0)
        self.servers.append(server)
        self.names[f"{name}.address"] = address = b"127.0.0.1:%d" % server.sockets[0].getsockname()[1]
        return address.decode()

    def _load(self) -> configuration.Config:
        with (
            mock.patch.object(Path, "read_text", lambda _: ""),
            mock.patch.object(tomllib, "loads", lambda _: self.conf),
        ):
            return configuration.load_operator_file(str(FOLDER / "base.toml"))

    async def _start(self) -> FrontProcess:
        if self.front is None:
            self.patches.enter_context(mock.patch.object(configuration, "load", self._load))
            self.patches.enter_context(
                mock.patch("umberlead.daemon.assembly.descriptors_and_memory_in_use", lambda: (4, 0))
            )
            self.patches.enter_context(
                mock.patch("umberlead.daemon.assembly.unix_anchored_clock", lambda: self.clock)
            )
            self.front = FrontProcess(self._load(), asyncio.get_running_loop())
            self.gate = Gate(asyncio.get_running_loop())
            self.front.pool.loop = cast(asyncio.AbstractEventLoop, self.gate)
            self.task = asyncio.create_task(self.front.run())
            while len(self.front.listeners) < 2:
                await asyncio.sleep(0)
                if self.task.done():
                    self.task.result()
        return self.front

    async def _step(self, words: list[str], lines: list[str]) -> None:
        match words:
            case ["set", key, value]:
                *path, last = key.split(".")
                table: Any = self.conf
                for name in path:
                    table = table[int(name)] if isinstance(table, list) else table.setdefault(name, {})
                table[last] = tomllib.loads(f"v = {value}")["v"]
            case ["patch", module, name, value]:
                self.patches.enter_context(mock.patch(f"{module}.{name}", int(value)))
            case ["node", name, shard]:
                address = await self._listen(name, ":script" in shard)
                if ":down" in shard:
                    self.servers.pop().close()
                    await asyncio.sleep(0)
                entry = {"name": name, "address": address, "group": int(shard.split(":")[0])}
                self.conf["known"]["endpoints"].append(entry)
            case ["discovery"]:
                self.conf["discovery"] = await self._listen("discovery", True)
            case ["client", name, which]:
                front = await self._start()
                listener = (
                    front.admin_listeners[0][0] if which == "control" else front.listeners[which == "objects"]
                )
                port = listener.address[1]
                loop = asyncio.get_running_loop()
                _, self.peers[name] = await loop.create_connection(Peer, "127.0.0.1", port)
            case ["moves", name]:
                self.conf["discovery"] = await self._listen(name, True)
            case ["dials", word]:
                await self._start()
                self.gate.open.clear() if word == "hold" else self.gate.open.set()
            case ["memory", number]:
                (await self._start()).client_groups[0].buffer_limit_bytes = int(number)
            case ["beside"]:
                front = await self._start()
                self.patches.enter_context(mock.patch.object(front.shared_state, "count_siblings", lambda: 1))
                self.patches.enter_context(mock.patch.object(front.shared_state, "share", lambda: 0.5))
                front.state_sync.sync()
            case ["lastword"]:  # what is due at the process's end, with no time gone by
                (await self._start()).shutdown.answer_open_requests()
            case ["clock", number]:
                front = await self._start()
                self.clock.added += int(number)
                front.wheel.fire_due()
                for _ in range(3):  # what that sets in motion comes one turn later
                    await asyncio.sleep(0)
            case [name, "release", number]:
                end = asyncio.get_running_loop().time() + PATIENCE
                while len(self.nodes[name].held) < int(number):
                    assert asyncio.get_running_loop().time() < end, f"{len(self.nodes[name].held)} are held"
                    await asyncio.sleep(0.001)
                for _ in range(int(number)):
                    self.nodes[name].held.pop(0)()
            case [name, "breaks"]:
                for each in self.nodes[name].peers:
                    each.transport.abort()
            case ["started", name]:  # a moment ago, and so it is cold
                entry = next(e for e in self.conf["known"]["endpoints"] if e["name"] == name)
                entry["since_ms"] = time.time_ns() // 1_000_000
            case [name, "next", *how]:
                self.nodes[name].next = how
            case ["writes", name, prefix, number]:
                ran = {k: n for k, n in self.nodes[name].ran.items() if k.startswith(prefix)}
                assert len(ran) == int(number) and set(ran.values()) <= {1}, ran
            case [name, "ran", prefix, number]:
                ran = {k: n for k, n in self.nodes[name].ran.items() if prefix in k}
                assert len(ran) == int(number) and set(ran.values()) <= {1}, ran
            case ["counter", name, number]:
                front = await self._start()
                assert front.counters[name] == int(number), front.counters.report()
            case ["until", name, number]:
                front = await self._start()
                end = asyncio.get_running_loop().time() + PATIENCE
                while front.counters[name] < int(number):
                    assert asyncio.get_running_loop().time() < end, front.counters.report()
                    await asyncio.sleep(0.001)
            case ["signal", name]:
                os.kill(os.getpid(), signal.Signals[f"SIG{name}"])
            case ["ends"]:
                await asyncio.wait_for(self.task, PATIENCE)
            case [name, "fresh"]:
                node = self.nodes[name]
                node.arrived.clear()
                while len(node.peers) < 2 + self.fresh[name]:
                    await asyncio.wait_for(node.arrived.wait(), PATIENCE)
                    node.arrived.clear()
                self.fresh[name] += 1
                node.arrived.set()
            case [name, what]:
                await self._start()
                peer = self.peers.get(name) or await self.nodes[name].peer()
                await self._io(peer, what, lines)
            case _:
                raise AssertionError("no such step")

    async def _io(self, peer: Peer, what: str, lines: list[str]) -> None:
        if what == ">":
            peer.transport.write(b"".join(self._bytes(line, False) for line in lines))
        elif what == "finish":
            peer.transport.close()
        elif what == "close":
            peer.transport.abort()
        elif what == "half":
            peer.transport.write_eof()
        elif what == "reset":
            sock = peer.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            peer.transport.abort()
        elif what == "eof":
            while not peer.ended:
                await peer.more("the end")
            assert peer.got == b"", peer.got
        else:
            self.new: set[str] = set()
            pattern = re.compile(b"".join(self._bytes(line, True) for line in lines), re.S)
            while (match := pattern.match(peer.got)) is None:
                assert not peer.ended, f"ended with {peer.got[:2000]!r}, not {pattern.pattern[:2000]!r}"
                await peer.more(f"{pattern.pattern[:2000]!r}")
            self.names |= match.groupdict()
            peer.got = peer.got[match.end() :]

    def _bytes(self, line: str, expected: bool) -> bytes:
        if line.startswith("@ "):
            raw = CONTENT[slice(*map(int, line[2:].split()))]
            return re.escape(raw) if expected else raw
        raw = line[2:].encode() + {"|": b"\r\n", "~": b"\n"}.get(line[0], b"")
        out = b""
        for word in re.split(rb"(\{[\w.]+\}|\{~\})", raw):
            name = word[1:-1].decode() if word[:1] == b"{" and len(word) > 2 else ""
            if name and name in self.names:
                word, name = self.names[name], ""
            if not expected:
                out += word
            elif name == "~":
                out += rb"[^\r\n]+"
            elif name in self.new:
                out += b"(?P=%s)" % name.encode()
            elif name:
                self.new.add(name)
                out += rb"(?P<%s>[^\r\n<\" ]+)" % name.encode()
            else:
                out += re.escape(word)
        return out
