"""Connections from fronts to emulated servers."""

import asyncio

from umberlead.emulator.http_messages import HttpMessages
from umberlead.emulator.node import Job, Node
from umberlead.emulator.outcomes import KEEPS_CONNECTION, NEVER_RAN, RESULT_AFTER_RUN
from umberlead.emulator.scenario_driver import ScenarioDriver
from umberlead.load_generator.day import SECOND_US

STATUS_LINES = {
    "full": b"503 Full",
    "draining": b"503 Draining",
    "astray": b"504 Astray",
    "error": b"500 Error",
}


class ServerConnection(HttpMessages):
    """A front's connection to an emulated server."""

    def __init__(self, play: ScenarioDriver, name: str, front: int) -> None:
        """Create a connection from the front of this number to the server `name`."""
        super().__init__()
        self.play = play
        self.name = name
        self.front = front
        self.node: Node | None = None
        self.job: Job | None = None
        self.silent = False  # set by a partition or a silent server; nothing more is read or sent
        self.used = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Accept the connection, or abort it if the server does not accept it."""
        super().connection_made(transport)
        node = self.play.state.nodes.get(self.name)
        if node is None or not node.connect():
            return self.abort()
        self.node = node
        self.play.dials[self.play.now() // SECOND_US] += 1
        self.play.links.setdefault(self.name, set()).add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Record that the front closed the connection before the answer to its request."""
        if self.node is not None:
            self.node.disconnect()
            self.play.links[self.name].discard(self)
        if self.job is not None and self.node is not None:
            self.play.state.record_leave(self.play.now(), self.node, self.job.id)
            self.job = None

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, unless a partition separates the front from the server."""
        if self.node is not None and self.play.cut(self.front, self.node):
            self.silent = True
        if not self.silent:
            super().data_received(data)

    def on_message_complete(self) -> None:
        """Deliver a complete request to the server after the network delay."""
        assert self.node is not None
        target = self.target.decode("latin-1")
        headers = self.headers
        body = b"".join(self.body)
        self.fresh()
        way = self.play.plan.one_way_delay_us(self.front, int(self.node.zone))
        wait = way if self.used else way + int(2 * way * self.node.traits.handshake_round_trips)
        self.used = True
        self.play.after(wait, lambda: self._offer(target, headers, body))

    def _offer(self, target: str, headers: dict[bytes, bytes], body: bytes) -> None:
        """Offer the request to the server, even if the front has closed the connection."""
        node = self.node
        play = self.play
        assert node is not None
        path, _, query = target.partition("?")
        io = dict(p.partition("=")[::2] for p in headers.get(b"x-io", b"").decode("latin-1").split(","))
        block = query.removeprefix("block=")
        shard = int(io.get("shard", "-1"))
        id_ = headers.get(b"x-call-id", b"").decode("latin-1")
        word, job = play.state.record_arrival(
            play.now(), node, self.front, id_, path.strip("/"), block, shard, body.decode("latin-1")
        )
        job.token = self
        if word == "taken":
            self.job = job
            if self.transport is not None and self.transport.is_closing():
                self.job = None
                play.state.record_leave(play.now(), node, id_)
            return play.arm(node)
        if word == "fallen":
            return play.fall(node)
        if word not in STATUS_LINES:
            return self.abort()
        assert word in NEVER_RAN
        play.after(self.way, lambda: self._reply(STATUS_LINES[word], b"", b"X-Rejected: 1\r\n"))

    @property
    def way(self) -> int:
        """Return the one-way delay from the server to the front, in microseconds."""
        assert self.node is not None
        return self.play.plan.one_way_delay_us(self.front, int(self.node.zone))

    def done(self, job: Job, body: str) -> None:
        """Send the answer to a finished job after the network delay."""
        if self.job is job:
            wait = max(job.answer_at_us - self.play.now(), 0) + self.way
            self.play.after(wait, lambda: self._answer(job, body.encode()))

    def _answer(self, job: Job, body: bytes) -> None:
        if self.job is not job or self.node is None:
            return
        if self.silent or RESULT_AFTER_RUN[job.end] is None or self.play.cut(self.front, self.node):
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
            self._reply(STATUS_LINES["error"], b"failed\n", b"")
        else:
            self._reply(b"200 OK", body, self._meter_headers(job))
            if word == "surplus":
                self.send(b"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nsurplus")
        if word not in KEEPS_CONNECTION and self.transport is not None:
            self.transport.close()

    def _meter_headers(self, job: Job) -> bytes:
        play = self.play
        node = self.node
        assert node is not None
        percent = play.state.meter.percent(play.now(), job.volume)
        made = b"X-Volume-Use: %d\r\n" % percent if percent >= 0 else b""
        if elsewhere := node.elsewhere(job.volume, job.front, job.units):
            made += b"X-Served-Elsewhere: %d\r\n" % elsewhere
        return made

    def _reply(self, status: bytes, body: bytes, more: bytes) -> None:
        assert self.node is not None
        load = ",".join(f"{k}={v}" for k, v in self.node.report(self.play.now()).items()).encode()
        head = b"HTTP/1.1 %s\r\nContent-Length: %d\r\nX-Load-Report: %s\r\n" % (status, len(body), load)
        self.send(head + more + b"\r\n" + body)
