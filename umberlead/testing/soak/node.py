"""A chunk server of the soak test: `python -m umberlead.testing.soak.node ADDRESS NAME FILE`."""

import asyncio
import random
import sys
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import uvloop

from umberlead.testing.soak.load_clients import HELD_BLOCK, LONG_BLOCK
from umberlead.testing.soak.processes import Lateness, Orders, RequestReader
from umberlead.testing.soak.records import NodeRecord, Writer
from umberlead.testing.soak.slow_answers import SlowAnswer, answer_in_lumps, slow_answer

WORK_SECONDS = 0.004  # mean work of a unit
IDLE_CLOSE_SECONDS = 3.0  # equals the keepalive of the settings
LONG_ANSWER_BYTES = 1_000_000
MIN_SLOW_BUDGET_SECONDS = 0.5  # with less time left, an answer is not sent slowly
SLOW_SHARE = 0.6  # of the time that is left
LUMPS_SHARE = 0.5  # of the slow answers, which take longer than that
BODY_PADDING_BYTES = 64  # in an answer, after the request's id
FLAWS = ("error", "spoilt", "unsized", "surplus", "interim", "full", "half")


@dataclass(slots=True)
class Behaviour:
    """Current behaviour of the server; orders from the run change it."""

    hangs: bool = False
    flaw_rate: float = 0.0
    slow_rate: float = 0.0
    work_seconds: float = WORK_SECONDS


class Node:
    """The chunk server: its behaviour and its record."""

    def __init__(self, name: str, path: Path) -> None:
        """Create the server `name`; its requests are recorded in the file `path`."""
        self.name = name
        self.record = Writer(path)
        self.behaviour = Behaviour()
        self.lateness = Lateness()
        self.chance = random.Random(name)

    def order(self, order: dict[str, Any]) -> None:
        """Change the behaviour."""
        for key, value in order.items():
            setattr(self.behaviour, key, value)


class NodeConnection(RequestReader):
    """A connection to the server."""

    def __init__(self, node: Node) -> None:
        """Create a connection that `node` serves."""
        super().__init__(node.lateness)
        self.node = node
        self.open: NodeRecord | None = None
        self._idle: asyncio.TimerHandle | None = None
        self._slow_task: asyncio.Task[None] | None = None
        self._slow_answer: SlowAnswer | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the idle timer, which closes the connection after the keepalive."""
        super().connection_made(transport)
        self._start_idle_timer()

    def _start_idle_timer(self) -> None:
        loop = asyncio.get_running_loop()
        self._idle = loop.call_later(IDLE_CLOSE_SECONDS, self.transport.close)

    def connection_lost(self, exc: Exception | None) -> None:
        """Record the request that the end of the connection cut short."""
        if self._idle is not None:
            self._idle.cancel()
        is_cut = self._slow_task is not None and not self._slow_task.done()
        if self._slow_task is not None:
            self._slow_task.cancel()
        if self.open is not None:
            self._close_record(is_cut)
        elif self.first_ns and self.headers.get(b"x-call-id"):
            self.node.record.add(self._record(self.headers, self.target, self.first_ns, 0, False))

    def _close_record(self, is_cut: bool = False) -> None:
        row = self.open
        is_long = self._slow_answer is not None and self._slow_answer.may_be_long
        self.open = None
        self._slow_answer = None
        assert row is not None
        closed = NodeRecord(
            row.id,
            row.node,
            row.class_name,
            row.units,
            row.budget,
            row.first,
            row.last,
            row.late,
            row.ran,
            time.monotonic_ns(),
            is_cut,
            is_long,
        )
        self.node.record.add(closed)

    def _record(
        self, headers: dict[bytes, bytes], target: bytes, first_ns: int, last_ns: int, ran: bool
    ) -> NodeRecord:
        io = dict(p.partition("=")[::2] for p in headers.get(b"x-io", b"").decode("latin-1").split(","))
        return NodeRecord(
            headers.get(b"x-call-id", b"").decode("latin-1"),
            self.node.name,
            target.partition(b"?")[0].strip(b"/").decode("latin-1"),
            float(io.get("units", "1")),
            float(headers.get(b"x-budget", b"0")),
            first_ns,
            last_ns,
            self.late_ns,
            ran,
        )

    def request(
        self, method: bytes, target: bytes, headers: dict[bytes, bytes], body: bytes, first_ns: int
    ) -> None:
        """Run a request and answer it according to the current behaviour."""
        if self._idle is not None:
            self._idle.cancel()
        node = self.node
        flawed = node.chance.random() < node.behaviour.flaw_rate
        flaw = node.chance.choice(FLAWS) if flawed else ""
        ran = flaw != "full"
        row = self._record(headers, target, first_ns, time.monotonic_ns(), ran)
        node.record.add(row)  # recorded at its start, in case this process is killed
        self.open = row
        block = target.partition(b"block=")[2].decode("latin-1")
        if node.behaviour.hangs or block.startswith(HELD_BLOCK):
            return
        work = node.chance.expovariate(1 / (node.behaviour.work_seconds * row.units))
        if block.startswith(LONG_BLOCK):
            flaw = "long"
        elif node.chance.random() < node.behaviour.slow_rate:
            answer = self._draw_slow_answer(row)
            if answer is not None:
                self._slow_task = asyncio.get_running_loop().create_task(self._answer_slowly(row, answer))
                return
        asyncio.get_running_loop().call_later(work, self._answer, row, flaw)

    def _draw_slow_answer(self, row: NodeRecord) -> SlowAnswer | None:
        """Return a sound answer that comes slowly; None if there is too little time for one that is in time.

        One in lumps takes as long as it takes; any other is complete within `SLOW_SHARE` of the time left.
        """
        if self.node.chance.random() < LUMPS_SHARE:
            return answer_in_lumps(self.node.chance, row.id)
        if row.budget > MIN_SLOW_BUDGET_SECONDS:
            return slow_answer(self.node.chance, row.id, row.budget * SLOW_SHARE)
        return None

    async def _answer_slowly(self, row: NodeRecord, answer: SlowAnswer) -> None:
        """Send a sound answer in pieces, or its body late."""
        self._slow_answer = answer
        self.transport.write(answer.head)
        for pause_seconds, piece in answer.pieces:
            await asyncio.sleep(pause_seconds)
            self.transport.write(piece)
        if self.open is row:
            self._close_record()
        if answer.closes:
            self.transport.close()
        else:
            self._start_idle_timer()

    def _answer(self, row: NodeRecord, flaw: str) -> None:
        if self.open is not row or self.transport.is_closing() or self.node.behaviour.hangs:
            return
        self._close_record()
        self._write_answer(row, flaw)
        if not self.transport.is_closing():
            self._start_idle_timer()

    def _write_answer(self, row: NodeRecord, flaw: str) -> None:
        body = row.id.encode() + b"." * BODY_PADDING_BYTES
        whole = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
        match flaw:
            case "error":
                self.transport.write(b"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n")
            case "full":
                self.transport.write(b"HTTP/1.1 503 Full\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n")
            case "spoilt":
                self.transport.write(b"HTTP/1.1 2OO Not quite\r\nContent-Length: x\r\n\r\n")
            case "unsized":
                self.transport.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body)
                self.transport.close()
            case "surplus":
                self.transport.write(whole + whole)
            case "interim":
                self.transport.write(b"HTTP/1.1 102 Processing\r\n\r\n" + whole)
            case "half":
                self.transport.write(whole[:-BODY_PADDING_BYTES])
                self.transport.abort()
            case "long":
                head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LONG_ANSWER_BYTES
                self.transport.write(head + row.id.encode() + bytes(LONG_ANSWER_BYTES - len(row.id)))
            case _:
                self.transport.write(whole)


async def run(address: str, name: str, path: Path) -> None:
    """Serve at `address` until standard input is closed."""
    host, _, port = address.partition(":")
    node = Node(name, path)
    loop = asyncio.get_running_loop()
    await loop.create_server(lambda: NodeConnection(node), host, int(port), backlog=512)
    print("ready", flush=True)
    orders = Orders(node.order)
    await orders.follow()


if __name__ == "__main__":
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run(sys.argv[1], sys.argv[2], Path(sys.argv[3])))
