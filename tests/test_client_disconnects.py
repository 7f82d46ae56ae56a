"""Requests whose client disconnects are not sent to an endpoint, whatever they wait for and however the
client disconnects. The tests check the requests that chunk servers received; none depends on real time
passing."""

import asyncio
import contextlib
import os
import re
import socket
import struct
import time
from collections.abc import Callable
from dataclasses import replace
from typing import Any, cast
from unittest import mock

import pytest

from tests.exchange import PATIENCE, Exchange, Peer
from tests.helpers import T0, handle_events, new_outcome, new_request, new_scheduler, up_endpoint
from umberlead.daemon.process import FrontProcess
from umberlead.net.endpoint_connection import EndpointConnection
from umberlead.net.server_connection import ServerConnection
from umberlead.net.socket_state import DISCONNECT_POLL_EVENTS
from umberlead.scheduling.actions import Action, Send
from umberlead.scheduling.events import AttemptResult, ClientDisconnected, Event
from umberlead.scheduling.settings import Plan

DISCONNECT_KINDS = ["close", "half", "reset"]


class DisconnectExchange(Exchange):
    """An exchange whose clients can disconnect within one iteration of the front's event loop: the kernel has
    received the FIN or RST, and the front has not been notified of it.

    WAY is `close`, `half` (only the sending side is closed) or `reset`. Further steps:

    plain NAME FRONT    connects such a client; the test owns its socket, and reads nothing from it
    NAME slow           makes the send buffer of the front's connection to the client small
    NAME WAY at send N  the client disconnects once the scheduler has decided the Nth Send for it, before the
                        front carries that out
    NAME WAY at dial    the client disconnects once the next connection to a chunk server is established,
                        before the front writes to it
    NAME WAY still US   the client disconnects while the front does not run for US microseconds; the timers
                        that are due then run before the disconnect is read
    NAME WAY unread     the client reads a part of a response, and disconnects while the rest is buffered
    NAME WAY            the client disconnects now
    NAME behind, paused waits until a request of the client is queued behind another on its connection; until
                        the front has paused reading from the client
    NAME deaf, hears    a chunk server does not read from new connections, whose buffers are small; it reads
                        all of their input
    NAME WAY as NODE reads  the client disconnects, and a deaf chunk server reads everything, in one iteration
                        of the loop: the rest of the request could be written now, and must not be
    partly              waits until a request is partly written
    clean               once half-closed clients are closed, waits until no request is left in the front or
                        its scheduler, and no units in flight are counted for an endpoint"""

    def __init__(self, of: str) -> None:
        super().__init__(of)
        self.raw_clients: dict[str, socket.socket] = {}
        self.half_closed: list[socket.socket] = []  # half-closed; stay open until the end of the test
        self.paused_servers = set[str]()  # names of chunk servers

    async def _step(self, words: list[str], lines: list[str]) -> None:
        match words:
            case ["plain", name, which]:
                self.raw_clients[name] = sock = socket.socket()
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
                sock.connect((await self._start()).listeners[which == "objects"].address)
            case [name, ">"] if name in self.raw_clients:
                self.raw_clients[name].sendall(b"".join(self._bytes(line, False) for line in lines))
            case [name, "slow"]:
                conn = await self._wait_for_connection(name)
                _set_buffer_size(conn.transport.get_extra_info("socket").fileno(), socket.SO_SNDBUF)
            case [name, way, "at", "send", number]:
                self._disconnect_at_send(await self._start(), name, way, int(number))
            case [name, way, "at", "dial"]:
                unpatched_connection_made = EndpointConnection.connection_made

                def leave_then_connect(conn: EndpointConnection, transport: Any) -> None:
                    if name in self.raw_clients:
                        self._disconnect(name, way)
                    unpatched_connection_made(conn, transport)

                self.patches.enter_context(
                    mock.patch.object(EndpointConnection, "connection_made", leave_then_connect)
                )
            case [name, way, "still", us]:
                front, loop = await self._start(), asyncio.get_running_loop()
                front_ran = loop.create_future()

                def suspend_front() -> None:  # runs as a timer: the loop runs timers before it polls sockets
                    self._disconnect(name, way)
                    self.clock.added_us += int(us)
                    front.wheel.fire_due()
                    front_ran.set_result(None)

                loop.call_later(0.002, suspend_front)
                await front_ran
            case [name, "behind" | "paused" as condition]:
                conn = await self._wait_for_connection(name)
                await self._until(
                    conn.is_reading_paused if condition == "paused" else lambda: bool(conn.pipelined_requests)
                )
            case [name, way] if name in self.raw_clients and way in DISCONNECT_KINDS:
                self._disconnect(name, way)
            case [name, way, "unread"]:
                conn = await self._wait_for_connection(name)
                await self._until(lambda: conn.write_blocked and bool(conn.pipelined_requests))
                self.raw_clients[name].recv(1 << 20)
                self._disconnect(name, way)
            case [name, "deaf"]:
                node, accept = self.nodes[name], self.nodes[name].accept
                self.paused_servers.add(name)
                _set_buffer_size(self.servers[-1].sockets[0].fileno(), socket.SO_RCVBUF)
                original_connection_made = EndpointConnection.connection_made

                def shrink_send_buffer(conn: EndpointConnection, transport: Any) -> None:
                    _set_buffer_size(transport.get_extra_info("socket").fileno(), socket.SO_SNDBUF, 65536)
                    original_connection_made(conn, transport)

                self.patches.enter_context(
                    mock.patch.object(EndpointConnection, "connection_made", shrink_send_buffer)
                )

                def accept_paused(scripted: bool) -> Peer:
                    peer = accept(scripted)
                    if name in self.paused_servers:
                        begin = peer.connection_made
                        # The transport starts reading after connection_made.
                        schedule = asyncio.get_running_loop().call_soon
                        peer.connection_made = lambda t: (begin(t), schedule(t.pause_reading))  # type: ignore
                    return peer

                self.patches.enter_context(mock.patch.object(node, "accept", accept_paused))
            case [name, "hears"]:
                self.paused_servers.discard(name)
                for peer in self.nodes[name].peers:
                    peer.transport.resume_reading()
            case ["partly"]:
                front = await self._start()
                await self._until(lambda: any(c.write_paused and not c.written for c in front.pool.slots))
            case [name, way, "as", node, "reads"]:
                front, peer = await self._start(), self.nodes[node].peers[-1]
                fd = peer.transport.get_extra_info("socket").fileno()
                endpoint_connection, done = (
                    next(c for c in front.pool.slots if c.write_paused),
                    asyncio.Event(),
                )
                endpoint_transport = cast(asyncio.Transport, endpoint_connection.transport)
                with socket.socket(fileno=os.dup(fd)) as sock:

                    def read(max_bytes: int) -> None:
                        with contextlib.suppress(BlockingIOError, ConnectionResetError):
                            while max_bytes > 0 and (data := sock.recv(min(max_bytes, 4096))):
                                peer.got += data
                                max_bytes -= len(data)

                    def disconnect_and_read() -> None:
                        self._disconnect(name, way)
                        read(1 << 30)
                        done.set()

                    while endpoint_transport.get_write_buffer_size() > 50_000:
                        read(4096)
                        await asyncio.sleep(0)
                    assert not endpoint_connection.written
                    asyncio.get_running_loop().call_later(0.002, disconnect_and_read)
                    await done.wait()
                    await self._until(lambda: endpoint_connection.finished)
                    read(1 << 30)
                head, _, body = peer.got.partition(b"\r\n\r\n")
                assert len(body) < int(re.findall(rb"Content-Length: (\d+)", head)[0])
            case ["clean"]:
                front = await self._start()
                for sock in self.half_closed:
                    sock.close()
                await self._until(lambda: not self._open_state(front), lambda: str(self._open_state(front)))
            case _:
                await super()._step(words, lines)

    @staticmethod
    def _open_state(front: FrontProcess) -> dict[str, Any]:
        engine = front.lifecycle
        open_state = {
            "active": engine.answer_counts.unanswered_count,
            "tickets": len(engine.open_requests),
            "items": list(engine.scheduler.requests),
            "held": sum(group.buffered_bytes for group in front.client_groups),
            "out": sum(v.units_in_flight for v in engine.scheduler.directory.endpoints.values()),
            "tasks": sum(len(getattr(h, "tasks", ())) for h in front.handlers),
        }
        return {name: value for name, value in open_state.items() if value}

    @staticmethod
    async def _until(ready: Callable[[], bool], describe: Callable[[], str] = str) -> None:
        end = time.monotonic() + PATIENCE
        while not ready():
            assert time.monotonic() < end, describe()
            await asyncio.sleep(0.001)

    async def _wait_for_connection(self, name: str) -> ServerConnection:
        await self._until(lambda: self._find_connection(name) is not None)
        return self._find_connection(name)  # type: ignore[return-value]

    def _find_connection(self, name: str) -> ServerConnection | None:
        if name in self.raw_clients:
            client_address = self.raw_clients[name].getsockname()
        else:
            client_address = self.peers[name].transport.get_extra_info("sockname")
        server_connections = (
            conn for group in (self.front.client_groups if self.front else []) for conn in group.slots
        )
        found = next(
            (c for c in server_connections if c.transport.get_extra_info("peername") == client_address), None
        )
        assert found is None or isinstance(found, ServerConnection)
        return found

    def _disconnect_at_send(self, front: FrontProcess, name: str, way: str, number: int) -> None:
        handle, send_count = front.lifecycle.scheduler.handle, 0

        def counted(now: int, events: list[Event]) -> list[Action]:
            nonlocal send_count
            actions = handle(now, events)
            for action in actions:
                if isinstance(action, Send):
                    request = front.lifecycle.open_requests.find(action.request_id)
                    assert request is not None
                    # Requests for an object's blocks have no call id.
                    send_count += request.incoming.call_id[:1] in (b"", name.encode())
                    if send_count == number and name in self.raw_clients:
                        self._disconnect(name, way)
            return actions

        self.patches.enter_context(mock.patch.object(front.lifecycle.scheduler, "handle", counted))

    def _disconnect(self, name: str, way: str) -> None:
        """Disconnect the client, and block the loop until the kernel reports it on the front's socket."""
        conn, sock = self._find_connection(name), self.raw_clients.pop(name)
        assert conn is not None
        if way == "half":
            sock.shutdown(socket.SHUT_WR)
            self.half_closed.append(sock)
        else:
            if way == "reset":
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            sock.close()
        end = time.monotonic() + PATIENCE
        while not conn.pending_events() & DISCONNECT_POLL_EVENTS:
            assert time.monotonic() < end
        assert not conn.client_disconnected  # the front was not notified


def _set_buffer_size(fd: int, buffer: int, size: int = 8192) -> None:
    with socket.socket(fileno=os.dup(fd)) as sock:
        sock.setsockopt(socket.SOL_SOCKET, buffer, size)


def block(n: int) -> str:
    return f"{n:016x}"


def asks(name: str, n: int, units: int = 1, method: str = "PUT /write") -> str:
    return f"{name} >\n& block {name}{n} / {method} / {block(n)} / {units}\n"


DONE = "{} <\n& done\n"


def play(*parts: str) -> None:
    exchange = DisconnectExchange("".join(parts))
    try:
        exchange.play()
    finally:
        for sock in (*exchange.raw_clients.values(), *exchange.half_closed):
            sock.close()


@pytest.mark.parametrize("way", DISCONNECT_KINDS)
def test_disconnect_in_the_fair_queue(way: str) -> None:
    """Two requests use up the endpoint's concurrency limit, and a third is queued. When its client
    disconnects, a small request behind it is sent at once, and not only with the next response."""
    play(
        "node n0 0\nn0 next hold hold\nclient a platform\nclient b platform\n",
        "client c platform\nclient d platform\n",
        asks("a", 1, 6),
        asks("b", 2, 6),
        "until attempts_written 2\n",
        asks("c", 3, 6),
        "until requests_taken 3\n",
        asks("d", 4, 1),
        "until requests_taken 4\n",
        f"c {way}\nuntil clients_gone 1\n",
        DONE.format("d"),
        "n0 release 2\n",
        DONE.format("a"),
        DONE.format("b"),
        asks("d", 5, 6),
        DONE.format("d"),
        f"n0 ran {block(3)} 0\nwrites n0 PUT 4\ncounter attempts_sent 4\n",
    )


@pytest.mark.parametrize("way", DISCONNECT_KINDS)
def test_disconnect_while_a_connection_is_established(way: str) -> None:
    play(
        "node n0 0\nclient a platform\nclient b platform\ndials hold\n",
        asks("a", 1),
        "until attempts_sent 1\n",
        f"a {way}\nuntil clients_gone 1\nuntil attempts_moot 1\ndials go\n",
        asks("b", 2),
        DONE.format("b"),
        f"n0 ran {block(1)} 0\nwrites n0 PUT 1\ncounter attempts_no_link 0\n",  # no failure is counted
    )


@pytest.mark.parametrize("way", DISCONNECT_KINDS)
@pytest.mark.parametrize("again", ["own", "other's"])
def test_disconnect_between_attempts_or_at_a_paused_endpoint(way: str, again: str) -> None:
    """An endpoint that rejected a request as full is paused. The client that disconnects waits for the retry
    of its own request, or has sent another request meanwhile."""
    play(
        "node n0 0\nn0 next full\nclient a platform\nclient b platform\nclient c platform\n",
        asks("a", 1),
        "until attempts_full 1\n",
        "" if again == "own" else asks("c", 3) + "until requests_taken 2\n",
        f"{'a' if again == 'own' else 'c'} {way}\nuntil clients_gone 1\nclock 2000000\n",
        asks("b", 2),
        DONE.format("b"),
        f"n0 ran {block(3)} 0\nn0 ran {block(1)} {0 if again == 'own' else 1}\n",
    )


@pytest.mark.parametrize("way", DISCONNECT_KINDS)
def test_disconnect_at_an_endpoint_in_slow_start(way: str) -> None:
    play(
        "set settings.extra.coldUnits 1\nset settings.guarantees.coldShare 0.2\n"
        "set settings.guarantees.fallMultiple 4\nset settings.guarantees.overloadFor 1000000\n"
        "set settings.guarantees.warmUp 4000000\n"
        "node n0 0\nstarted n0\nclient a platform\nclient b platform\n",
        asks("a", 1, 6),
        "until requests_taken 1\ncounter attempts_sent 0\n",
        f"a {way}\nuntil clients_gone 1\nclock 5000000\n",
        asks("b", 2),
        DONE.format("b"),
        f"n0 ran {block(1)} 0\nwrites n0 PUT 1\n",
    )


@pytest.mark.parametrize("way", DISCONNECT_KINDS)
@pytest.mark.parametrize("more", [1, 60], ids=["read on", "reading paused"])
def test_disconnect_with_pipelined_requests(way: str, more: int) -> None:
    """One request is in flight and others are pipelined behind it. With many of them, reading from the client
    is paused, and the front has to poll the socket for the disconnect."""
    behind = "".join(f"& block x{k} / PUT /write / {block(100 + k)} / 1\n" for k in range(more))
    play(
        "node n0 0\nn0 next hold\nclient a platform\nclient b platform\n",
        asks("a", 1),
        "until attempts_written 1\na >\n",
        f"& block y / PUT /write / {block(99)} / 1\n",
        f"a behind\na >\n{behind}| X-Pad: {'p' * (0 if more == 1 else 20_000)}\n",
        "" if more == 1 else "a paused\n",
        f"a {way}\nuntil clients_gone 1\nn0 release 1\nuntil attempts_ok 1\n",
        asks("b", 2),
        DONE.format("b"),
        "writes n0 PUT 2\ncounter requests_taken 2\nclean\n",
    )


@pytest.mark.parametrize("way", DISCONNECT_KINDS)
def test_disconnect_after_malformed_input(way: str) -> None:
    """Reading ends at the malformed input, while the request before it is still queued."""
    play(
        "node n0 0\nn0 next hold hold\nclient a platform\nclient b platform\nclient c platform\n",
        asks("a", 1, 6),
        asks("b", 2, 6),
        "until attempts_written 2\n",
        asks("c", 3, 6),
        "c >\n" + "| noise\n" * 4 + f"| {'x' * 40_000}\nuntil bad_requests_400 1\n",
        f"c {way}\nuntil clients_gone 1\nn0 release 2\n",
        DONE.format("a"),
        DONE.format("b"),
        asks("a", 4, 6),
        DONE.format("a"),
        f"n0 ran {block(3)} 0\nwrites n0 PUT 3\n",
    )


@pytest.mark.parametrize("way", DISCONNECT_KINDS)
def test_disconnect_stops_the_remaining_blocks_of_an_object(way: str) -> None:
    """One of an object's four blocks is in flight: it completes; the others and the manifest are not sent."""
    play(
        "node n0 0\nn0 next hold\nclient o objects\nclient b platform\n",
        "o >\n| PUT /scans/k HTTP/1.1\n| Content-Length: 4096\n|\n@ 0 4096\nuntil attempts_written 1\n",
        f"o {way}\nuntil clients_gone 1\nn0 release 1\nuntil attempts_ok 1\n",
        asks("b", 2),
        DONE.format("b"),
        "writes n0 PUT 2\ncounter attempts_sent 2\nclean\n",
    )


@pytest.mark.parametrize("way", DISCONNECT_KINDS)
@pytest.mark.parametrize("method", ["PUT", "GET"])
def test_disconnect_while_an_object_waits_for_a_connection(way: str, method: str) -> None:
    """The object's first block, or the read of its manifest, waits for a connection, and is not sent.
    A part of an upload whose client disconnected can be retried."""
    body = "| Content-Length: 8\n|\n= abcdefgh\n" if method == "PUT" else "|\n"
    play(
        "node n0 0\nclient o objects\nclient b platform\ndials hold\n",
        f"o >\n| {method} /scans/k HTTP/1.1\n{body}until attempts_sent 1\n",
        f"o {way}\nuntil clients_gone 1\nuntil attempts_moot 1\ndials go\n",
        asks("b", 2),
        DONE.format("b"),
        "writes n0 PUT 1\nn0 ran GET 0\n",
    )


@pytest.mark.parametrize("way", DISCONNECT_KINDS)
def test_retried_part_sends_only_the_missing_blocks(way: str) -> None:
    """The client's retry of a part sends the blocks that were not sent before, and none twice."""
    part = "PUT /scans/big?partNumber=1&uploadId={id} HTTP/1.1\n| Content-Length: 4096\n|\n@ 0 4096\n"
    play(
        "node n0 0\nn0 next hold\nclient o objects\nclient b objects\n",
        "o >\n| POST /scans/big?uploads HTTP/1.1\n|\no <\n& created big / id\n",
        f"o >\n| {part}until attempts_written 1\n",
        f"o {way}\nuntil clients_gone 1\nb >\n| {part}until objects_requests 3\nn0 release 1\n",
        "b <\n& stored etag\nwrites n0 PUT 4\ncounter attempts_sent 4\n",
    )


@pytest.mark.parametrize("way", DISCONNECT_KINDS)
def test_written_attempt_counts_against_the_limit_after_a_disconnect(way: str) -> None:
    """An attempt that was written before its client disconnected counts against the concurrency limit until
    it ends."""
    play(
        "node n0 0\nn0 next hold hold\nclient a platform\nclient b platform\nclient c platform\n",
        asks("a", 1, 6),
        asks("b", 2, 6),
        "until attempts_written 2\n",
        f"a {way}\nuntil clients_gone 1\n",
        asks("c", 3, 6),
        "until requests_taken 3\nclock 1000\ncounter attempts_sent 2\n",
        "n0 release 1\n",
        DONE.format("c"),
        "counter attempts_ok 2\n",
    )


# The client disconnects in the loop iteration in which the front decides to send its request or the
# connection to the endpoint is established, before the front is notified. Each entry of DISCONNECTS has three
# parts of a script: the steps up to the wait; the disconnect and what allows an attempt to start; the steps
# that follow. With an idle connection to the endpoint, an attempt is written as soon as it is decided.

REUSE_AT_ONCE = "patch umberlead.net.endpoint_pool REUSE_DELAY_US 0\nnode n0 0\n"
FULL_ENDPOINT = (
    REUSE_AT_ONCE
    + "n0 next hold hold\nclient a platform\nclient b platform\nplain c platform\n"
    + asks("a", 1, 6)
    + asks("b", 2, 6)
    + "until attempts_written 2\n"
)
RELEASE_FIRST, RELEASE_SECOND = "n0 release 1\n", "n0 release 1\n" + DONE.format("a") + DONE.format("b")
NO_SWEEPS = "patch umberlead.daemon.process SWEEP_INTERVAL_US 600000000\n"
REJECTED_ONCE = REUSE_AT_ONCE + "n0 next full\nplain c platform\n" + asks("c", 3) + "until attempts_full 1\n"
PAUSED_ENDPOINT = REUSE_AT_ONCE + "n0 next full\nclient a platform\nplain c platform\n" + asks("a", 1)
PAUSED_ENDPOINT += "until attempts_full 1\n" + asks("c", 3) + "until requests_taken 2\n"
SLOW_START = (
    "set settings.extra.coldUnits 5\nset settings.guarantees.coldShare 0.2\n"
    "set settings.guarantees.fallMultiple 4\nset settings.guarantees.overloadFor 1000000\n"
    "set settings.guarantees.warmUp 4000000\nnode n0 0\nstarted n0\nplain c platform\n"
    + asks("c", 3, 6)
    + "until requests_taken 1\ncounter attempts_sent 0\n"
)
PIPELINED = f"c >\n& block y / PUT /write / {block(99)} / 1\nc behind\nc >\n"
PIPELINED += "".join(f"& block x{k} / PUT /write / {block(100 + k)} / 1\n" for k in range(60))
PIPELINED += f"| X-Pad: {'p' * 20_000}\n"
MALFORMED = f"c >\n| noise\nuntil bad_requests_400 1\nc >\n| {'x' * 40_000}\n"
QUEUED = asks("c", 3, 6) + "until requests_taken 3\n"
DISCONNECTS = {
    "in the fair queue": (FULL_ENDPOINT + QUEUED, "c {} at send 1\n" + RELEASE_FIRST, RELEASE_SECOND),
    "in the queue, reading paused": (
        NO_SWEEPS + FULL_ENDPOINT + QUEUED + PIPELINED,
        "c paused\nc {}\n" + RELEASE_FIRST,
        RELEASE_SECOND,
    ),
    "in the queue, behind malformed input": (
        NO_SWEEPS + FULL_ENDPOINT + QUEUED + MALFORMED,
        "c paused\nc {}\n" + RELEASE_FIRST,
        RELEASE_SECOND,
    ),
    "between attempts": (REJECTED_ONCE, "c {} at send 1\nclock 2000000\n", ""),
    "between attempts, the front suspended": (REJECTED_ONCE, "c {} still 2000000\n", ""),
    "at a paused endpoint": (PAUSED_ENDPOINT, "c {} at send 1\nclock 2000000\n", DONE.format("a")),
    "at a paused endpoint, the front suspended": (PAUSED_ENDPOINT, "c {} still 2000000\n", DONE.format("a")),
    "at an endpoint in slow start": (SLOW_START, "c {} at send 1\nclock 5000000\n", ""),
    "at an endpoint in slow start, the front suspended": (SLOW_START, "c {} still 5000000\n", ""),
    "behind another on its connection": (
        REUSE_AT_ONCE
        + "n0 next hold\nplain c platform\n"
        + asks("c", 1)
        + "until attempts_written 1\n"
        + asks("c", 3),
        "c {} at send 1\n" + RELEASE_FIRST,
        "",
    ),
    "for an idle connection": (
        REUSE_AT_ONCE
        + "client b platform\nplain c platform\n"
        + asks("b", 1)
        + DONE.format("b")
        + "c {} at send 1\n",
        asks("c", 3),
        "",
    ),
    "for a new connection": (
        "node n0 0\nplain c platform\ndials hold\n" + asks("c", 3) + "until attempts_sent 1\n",
        "c {} at dial\ndials go\n",
        "until attempts_moot 1\ncounter attempts_no_link 0\n",
    ),
}


@pytest.mark.parametrize("way", DISCONNECT_KINDS)
@pytest.mark.parametrize("wait", DISCONNECTS)
def test_nothing_is_sent_for_a_client_that_disconnects_in_the_same_iteration(wait: str, way: str) -> None:
    """The request is not sent, and later requests of other clients are served as usual."""
    begin, disconnects, after = (part.format(way) for part in DISCONNECTS[wait])
    play(
        begin,
        disconnects,
        "until clients_gone 1\n",
        after,
        "client d platform\n",
        asks("d", 4, 6),
        DONE.format("d"),
        f"n0 ran {block(3)} 0\nclean\ncounter clients_gone 1\n",
    )


@pytest.mark.parametrize("way", DISCONNECT_KINDS)
def test_nothing_is_sent_for_a_client_that_disconnects_during_a_hand_over(way: str) -> None:
    play(
        FULL_ENDPOINT,
        QUEUED,
        "client d platform\nbeside\nsignal TERM\n",
        "d >\n| GET /healthz HTTP/1.1\n|\nd <\n| HTTP/1.1 {~}\n",
        f"c {way} at send 1\n",
        RELEASE_FIRST,
        f"until clients_gone 1\nn0 release 1\nn0 ran {block(3)} 0\nclean\n",
    )


@pytest.mark.parametrize("way", DISCONNECT_KINDS)
def test_nothing_is_sent_behind_a_response_that_its_client_never_read(way: str) -> None:
    """The front can write the rest of the response in the loop iteration in which it detects the disconnect;
    the next pipelined request must not start then."""
    big = f"{{}} >\n| {{}} /{{}}?block={block(9)} HTTP/1.1\n| X-Call-Id: {{}}9\n| X-Plan: gold\n"
    big += "| X-IO: volume=b4,units=1,shard=0\n"
    well = "c >\n| GET /healthz HTTP/1.1\n|\n"
    play(
        "node n0 0\nclient b platform\nplain c platform\n",
        big.format("b", "PUT", "write", "b"),
        "| Content-Length: 60000\n|\n@ 0 60000\n",
        DONE.format("b"),
        well,
        "c slow\n",
        big.format("c", "GET", "read", "c"),
        "|\nuntil attempts_ok 2\n",
        asks("c", 3),
        f"c {way} unread\n",
        asks("b", 4),
        DONE.format("b"),
        f"n0 ran {block(3)} 0\nclean\ncounter requests_taken 3\n",
    )


LARGE_REQUEST = (
    f"{{}} >\n| PUT /write?block={block(1)} HTTP/1.1\n& ask {{}}1 / 0\n| Content-Length: 786432\n|\n"
)
LARGE_REQUEST += "% 3 @ 0 262144\n"


@pytest.mark.parametrize("way", DISCONNECT_KINDS)
def test_partly_written_request_is_not_continued(way: str) -> None:
    """The endpoint does not read for now; the rest of the request must not be written once it does."""
    play(
        "node n0 0\nn0 deaf\nclient a platform\nclient b platform\n",
        LARGE_REQUEST.format("a", "a"),
        f"partly\ncounter attempts_written 0\na {way}\nuntil clients_gone 1\n",
        "until attempts_moot 1\nn0 hears\n",
        asks("b", 2),
        DONE.format("b"),
        f"n0 ran {block(1)} 0\nwrites n0 PUT 1\nclean\n",
    )


# The front is notified of a reset one iteration later, when the whole request is written.
@pytest.mark.parametrize("way", DISCONNECT_KINDS[:2])
def test_rest_of_a_request_is_not_written_in_the_iteration_that_cancels_it(way: str) -> None:
    """The request counts as not executed, so a part of an upload would be sent again."""
    play(
        "node n0 0\nn0 deaf\nplain c platform\nclient b platform\n",
        LARGE_REQUEST.format("c", "c"),
        "partly\n",
        f"c {way} as n0 reads\nuntil attempts_moot 1\nn0 hears\n",
        asks("b", 2),
        DONE.format("b"),
        f"n0 ran {block(1)} 0\nclean\n",
    )


PUT = "{} >\n& put /scans/k / {}\n@ 0 {}\n"
PART = "{} >\n& put /scans/big?partNumber=1&uploadId={{id}} / {}\n@ 0 {}\n"
CREATE = "p >\n| POST /scans/big?uploads HTTP/1.1\n|\np <\n& created big / id\n"
OBJECTS = (
    REUSE_AT_ONCE + "plain o objects\nclient p objects\n" + PUT.format("p", 4096, 4096) + "p <\n& stored e0\n"
)


@pytest.mark.parametrize("way", DISCONNECT_KINDS)
@pytest.mark.parametrize("begun", [0, 1, 3], ids=["first block", "next block", "manifest"])
def test_no_block_is_written_for_a_client_that_disconnects_in_the_same_iteration(
    begun: int, way: str
) -> None:
    play(
        OBJECTS,
        f"o {way} at send {begun + 1}\n",
        PUT.format("o", 3072, 3072),
        "until clients_gone 1\n",
        f"clean\nwrites n0 PUT {5 + begun}\n",
    )


@pytest.mark.parametrize("way", DISCONNECT_KINDS)
@pytest.mark.parametrize("method", ["PUT", "GET"])
def test_blocks_decided_in_one_batch_each_get_a_result(method: str, way: str) -> None:
    """The first of the blocks detects the disconnect. The others must also end, so that no endpoint keeps
    their units in flight."""
    get = method == "GET"
    play(
        "set objects.parallel 4\n",
        OBJECTS,
        f"o {way} at send {1 + get}\n",
        "o >\n| GET /scans/k HTTP/1.1\n|\n" if get else PUT.format("o", 4096, 4096),
        f"until clients_gone 4\nclean\nn0 ran GET {int(get)}\nwrites n0 PUT 5\n",
    )


@pytest.mark.parametrize("way", DISCONNECT_KINDS)
@pytest.mark.parametrize("begun", [0, 2, 6], ids=["manifest", "block", "window after the headers"])
def test_no_block_is_read_for_a_client_that_disconnects_in_the_same_iteration(begun: int, way: str) -> None:
    play(
        OBJECTS,
        PUT.format("p", 8192, 8192),
        "p <\n& stored e\n",
        f"o {way} at send {begun + 1}\n",
        "o >\n| GET /scans/k HTTP/1.1\n|\nuntil clients_gone 1\nclean\n",
        f"n0 ran GET {begun}\n",
    )


@pytest.mark.parametrize("way", DISCONNECT_KINDS)
def test_upload_parts_and_completion_that_were_not_sent_can_be_retried(way: str) -> None:
    """It is known which blocks the disconnected client's request stored, if any: its retry by another client
    sends the others, and no block is written twice."""
    done = "| POST /scans/big?uploadId={id} HTTP/1.1\n| Content-Length: 135\n|\n"
    done += "= <CompleteMultipartUpload><Part><PartNumber>1</PartNumber><ETag>{e}</ETag></Part>"
    done += "</CompleteMultipartUpload>\n"
    play(
        OBJECTS,
        CREATE,
        f"o {way} at send 3\n",
        PART.format("o", 4096, 4096),
        "until clients_gone 1\n",
        "clean\nwrites n0 PUT 7\n",
        PART.format("p", 4096, 4096),
        "p <\n& stored e\nwrites n0 PUT 9\n",
        f"plain q objects\nq {way} at send 1\nq >\n{done}until clients_gone 2\nclean\nwrites n0 PUT 9\n",
        f"p >\n{done}p <\n| HTTP/1.1 200 OK\nwrites n0 PUT 10\n",
    )


@pytest.mark.parametrize("order", ["disconnect first", "result first"])
def test_plan_s_limit_is_not_charged_for_a_request_that_was_not_sent(order: str) -> None:
    """The disconnect and the attempt's result come in one batch, in both orders. The units are returned if
    the request was not sent; if it may have been executed, they stay charged."""
    limited = (Plan("gold", limit_units_per_second=1.0, limit_burst_units=16.0, limit_slack_units=16.0),)
    for result in (AttemptResult.NOT_SENT, AttemptResult.RESET):
        h = new_scheduler(T0, up_endpoint(), plans=limited)
        handle_events(h, T0, new_request("a"))
        before = h.rate_limits["v"].limit.available_units
        events: list[Event] = [ClientDisconnected("a"), replace(new_outcome("a", result), final=True)]
        handle_events(h, T0, *(events if order == "disconnect first" else events[::-1]))
        returned_units = 2.0 if result is AttemptResult.NOT_SENT else 0.0
        assert h.rate_limits["v"].limit.available_units == before + returned_units and not h.requests
        assert h.directory.endpoints["n0"].units_in_flight == 0
