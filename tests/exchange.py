"""Plays a scripted exchange against a complete front on loopback, with test doubles for chunk servers,
discovery and clients. A text file holds one exchange, one step per line:

    set KEY VALUE          sets a key of tests/exchanges/base.toml, before the front starts or before a reload
    patch MODULE NAME N    sets a constant of a module before the front starts
    node NAME SHARD        starts a chunk server that stores blocks; with SHARD:script, one whose responses
                           the script sends; with SHARD:down, one whose port no process listens on
    discovery              replaces the list of known endpoints by a discovery whose messages the script
                           sends; `moves NAME` starts another, which the configuration names from then on
    client NAME FRONT      connects to the `platform` or `objects` front, or to the admin API (`control`)
    NAME >  /  NAME <      sends, or expects, the lines below the step
    NAME next WORD ...     sets how a storing chunk server ends its next requests: ok, full, error, reset,
                           stall, missing, hold or half (of the block; the rest is held); the request is
                           executed in all cases but full
    NAME close, NAME eof   aborts the connection, or expects its end; `NAME finish` closes it after all
                           data was sent, `NAME reset` resets it, `NAME half` closes only its sending side
    NAME breaks            aborts all connections to the chunk server or discovery
    NAME release N         a storing chunk server answers N of the requests that it holds, the oldest first
    dials hold, dials go   new connections to chunk servers are delayed; they are established
    started NAME           the chunk server's start time is now, so that it is in slow start
    memory N               limits the bytes that are buffered for clients of the platform front to N
    beside                 a second process of this front is running
    lastword               the process's shutdown deadline is reached: all open requests are answered
    clock US               advances the front's clock by US microseconds and fires the timers that are due
    NAME ran PREFIX N      like `writes`, for requests of any method that contain PREFIX
    NAME fresh             waits for the next connection to the chunk server or discovery
    writes NAME PREFIX N   N different requests with this prefix were executed there, none of them twice
    counter NAME N         checks a counter of the front; `until NAME N` waits until it is at least N
    signal NAME, ends      sends a signal to the process; waits until the front has stopped

Below a step, `| text` is a line with CRLF, `~ text` a line with LF alone, `= text` text without a line end,
and `@ BEGIN END` the bytes of CONTENT from BEGIN to END; `% N LINE` repeats a line N times, and
`& NAME first / second` inserts the lines that base.defs has under that name. In expected lines, {name}
matches one word, the same one wherever the name occurs, and {~} matches the rest of a line."""

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
PATIENCE = 5.0  # seconds until a step that waits fails
CONTENT = bytes((i * 131 + (i >> 8) * 17 + (i >> 16)) & 0xFF for i in range(1 << 18))


def _expand_definition(line: str) -> list[str]:
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
    return [line for inner in block.splitlines() for line in _expand_definition(inner)]


class Peer(asyncio.Protocol):
    """The test's end of a connection; keeps the received bytes until a step consumes them."""

    def __init__(self) -> None:
        self.got, self.ended, self.state_changed = b"", False, asyncio.Event()
        self.fault: Exception | None = None  # the error that ended the connection

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        transport.set_write_buffer_limits(high=0)  # written bytes are passed to the system at once

    def data_received(self, data: bytes) -> None:
        self.got += data
        self.state_changed.set()

    def connection_lost(self, exc: Exception | None) -> None:
        self.ended, self.fault = True, exc
        self.state_changed.set()

    async def more(self, expected: str) -> None:
        self.state_changed.clear()
        try:
            await asyncio.wait_for(self.state_changed.wait(), PATIENCE)
        except TimeoutError:
            raise AssertionError(f"{expected}\nwas not received in time; received: {self.got!r}") from None


class StorageConnection(Peer):
    """A connection to a chunk server that stores blocks and ends requests as `NAME next` says."""

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
        outcome = self.node.next_outcomes.pop(0) if self.node.next_outcomes else "ok"
        if outcome == "full":
            return self.answer(503, b"", b"X-Rejected: 1\r\n")
        self.node.execution_counts[line] += 1
        if method == "PUT":
            self.node.blocks[target.partition("?")[2]] = body
        if outcome == "reset":
            self.transport.abort()
        elif outcome == "error":
            self.answer(500, b"")
        elif outcome == "half":
            content = self.node.blocks[target.partition("?")[2]]
            middle = len(content) // 2
            self.transport.write(b"HTTP/1.1 200 -\r\nContent-Length: %d\r\n\r\n" % len(content))
            self.transport.write(content[:middle])
            self.node.held_responses.append(lambda: self.transport.write(content[middle:]))
        elif outcome == "hold":
            self.node.held_responses.append(lambda: self.answer(200, b"" if method == "PUT" else b"x"))
        elif outcome != "stall":
            block = self.node.blocks.get(target.partition("?")[2]) if outcome == "ok" else None
            self.answer(404 if block is None else 200, b"" if method == "PUT" else block or b"")

    def answer(self, status: int, body: bytes, extra_headers: bytes = b"") -> None:
        head = b"HTTP/1.1 %d -\r\nContent-Length: %d\r\n%s\r\n" % (status, len(body), extra_headers)
        self.transport.writelines([head, body])


class Node:
    """A chunk server or discovery: its connections and, if it stores blocks, its blocks and outcomes."""

    def __init__(self) -> None:
        self.blocks: dict[str, bytes] = {}
        self.execution_counts: Counter[str] = Counter()
        self.next_outcomes: list[str] = []
        self.held_responses: list[Callable[[], None]] = []
        self.peers: list[Peer] = []
        self.arrived = asyncio.Event()

    def accept(self, scripted: bool) -> Peer:
        peer = Peer() if scripted else StorageConnection(self)
        self.peers.append(peer)
        self.arrived.set()
        return peer

    async def peer(self) -> Peer:
        await asyncio.wait_for(self.arrived.wait(), PATIENCE)
        return self.peers[-1]


class Clock:
    """Real time in microseconds since the epoch, plus the time that the script's steps added."""

    def __init__(self) -> None:
        self.added_us = 0
        self.epoch_offset_ns = time.time_ns() - time.monotonic_ns()

    def __call__(self) -> int:
        return (time.monotonic_ns() + self.epoch_offset_ns) // 1000 + self.added_us


class ConnectionGate:
    """The event loop for the endpoint pool: connections are established only while the gate is open."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop, self.open = loop, asyncio.Event()
        self.create_task = loop.create_task
        self.open.set()

    async def create_connection(self, *arguments: Any) -> Any:
        await self.open.wait()
        return await self.loop.create_connection(*arguments)


class Exchange:
    def __init__(self, script: Path | str) -> None:
        self.steps: list[tuple[list[str], list[str]]] = []
        self.clock, self.connection_gate = Clock(), cast(ConnectionGate, None)
        for line in (script if isinstance(script, str) else script.read_text()).splitlines():
            if line.startswith("% "):  # repeats the line behind the number
                number, repeated_line = line[2:].split(" ", 1)
                self.steps[-1][1].extend([repeated_line] * int(number))
            elif line.startswith("& "):
                self.steps[-1][1].extend(_expand_definition(line))
            elif line[:2] in ("| ", "= ", "~ ", "@ ") or line == "|":
                self.steps[-1][1].append(line)
            elif line.strip() and not line.startswith("#"):
                self.steps.append((line.split(maxsplit=2) if line.startswith("set ") else line.split(), []))
        self.names: dict[str, bytes] = {}
        self.nodes: dict[str, Node] = {}
        self.peers: dict[str, Peer] = {}
        self.servers: list[Any] = []
        self.patches = ExitStack()
        self.awaited_connections: Counter[str] = Counter()
        self.config_data = tomllib.loads((FOLDER / "base.toml").read_text())
        self.front: FrontProcess | None = None

    def play(self) -> None:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(self._play())

    async def _play(self) -> None:
        try:
            for words, lines in self.steps:
                try:
                    await self._step(words, lines)
                except AssertionError as error:
                    raise AssertionError(f"step {' '.join(words)}: {error}") from None
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
            mock.patch.object(tomllib, "loads", lambda _: self.config_data),
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
            self.connection_gate = ConnectionGate(asyncio.get_running_loop())
            self.front.pool.loop = cast(asyncio.AbstractEventLoop, self.connection_gate)
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
                table: Any = self.config_data
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
                self.config_data["known"]["endpoints"].append(entry)
            case ["discovery"]:
                self.config_data["discovery"] = await self._listen("discovery", True)
            case ["client", name, which]:
                front = await self._start()
                listener = (
                    front.admin_listeners[0][0] if which == "control" else front.listeners[which == "objects"]
                )
                port = listener.address[1]
                loop = asyncio.get_running_loop()
                _, self.peers[name] = await loop.create_connection(Peer, "127.0.0.1", port)
            case ["moves", name]:
                self.config_data["discovery"] = await self._listen(name, True)
            case ["dials", word]:
                await self._start()
                self.connection_gate.open.clear() if word == "hold" else self.connection_gate.open.set()
            case ["memory", number]:
                (await self._start()).client_groups[0].buffer_limit_bytes = int(number)
            case ["beside"]:
                front = await self._start()
                self.patches.enter_context(mock.patch.object(front.shared_state, "count_siblings", lambda: 1))
                self.patches.enter_context(mock.patch.object(front.shared_state, "share", lambda: 0.5))
                front.state_sync.sync()
            case ["lastword"]:  # as at the shutdown deadline, with the clock unchanged
                (await self._start()).shutdown.answer_open_requests()
            case ["clock", number]:
                front = await self._start()
                self.clock.added_us += int(number)
                front.wheel.fire_due()
                for _ in range(3):  # callbacks of the timers run in the loop's next iterations
                    await asyncio.sleep(0)
            case [name, "release", number]:
                end = asyncio.get_running_loop().time() + PATIENCE
                while len(self.nodes[name].held_responses) < int(number):
                    assert (
                        asyncio.get_running_loop().time() < end
                    ), f"{len(self.nodes[name].held_responses)} held requests"
                    await asyncio.sleep(0.001)
                for _ in range(int(number)):
                    self.nodes[name].held_responses.pop(0)()
            case [name, "breaks"]:
                for each in self.nodes[name].peers:
                    each.transport.abort()
            case ["started", name]:  # started just now: in slow start
                entry = next(e for e in self.config_data["known"]["endpoints"] if e["name"] == name)
                entry["since_ms"] = time.time_ns() // 1_000_000
            case [name, "next", *outcomes]:
                self.nodes[name].next_outcomes = outcomes
            case ["writes", name, prefix, number]:
                ran = {k: n for k, n in self.nodes[name].execution_counts.items() if k.startswith(prefix)}
                assert len(ran) == int(number) and set(ran.values()) <= {1}, ran
            case [name, "ran", prefix, number]:
                ran = {k: n for k, n in self.nodes[name].execution_counts.items() if prefix in k}
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
                while len(node.peers) < 2 + self.awaited_connections[name]:
                    await asyncio.wait_for(node.arrived.wait(), PATIENCE)
                    node.arrived.clear()
                self.awaited_connections[name] += 1
                node.arrived.set()
            case [name, action]:
                await self._start()
                peer = self.peers.get(name) or await self.nodes[name].peer()
                await self._io(peer, action, lines)
            case _:
                raise AssertionError("unknown step")

    async def _io(self, peer: Peer, action: str, lines: list[str]) -> None:
        if action == ">":
            peer.transport.write(b"".join(self._bytes(line, False) for line in lines))
        elif action == "finish":
            peer.transport.close()
        elif action == "close":
            peer.transport.abort()
        elif action == "half":
            peer.transport.write_eof()
        elif action == "reset":
            sock = peer.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            peer.transport.abort()
        elif action == "eof":
            while not peer.ended:
                await peer.more("the end of the connection")
            assert peer.got == b"", peer.got
        else:
            self.new_names: set[str] = set()
            pattern = re.compile(b"".join(self._bytes(line, True) for line in lines), re.S)
            while (match := pattern.match(peer.got)) is None:
                assert not peer.ended, f"ended with {peer.got[:2000]!r}, expected {pattern.pattern[:2000]!r}"
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
            elif name in self.new_names:
                out += b"(?P=%s)" % name.encode()
            elif name:
                self.new_names.add(name)
                out += rb"(?P<%s>[^\r\n<\" ]+)" % name.encode()
            else:
                out += re.escape(word)
        return out
