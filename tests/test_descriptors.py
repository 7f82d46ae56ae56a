"""Descriptors: what is dealt out, that it is kept to in the worst moment, and what happens when none is left.
Whole fronts are processes under RLIMIT_NOFILE, filled by idle clients while discovery says nothing."""

import asyncio
import contextlib
import errno
import os
import re
import resource
import signal
import socket
import stat
import subprocess
import sys
import time
from collections.abc import AsyncIterator, Callable, Iterator
from pathlib import Path
from typing import Any
from unittest import mock

import pytest
import uvloop
from hypothesis import given
from hypothesis import strategies as st

from tests.helpers import T0
from umberlead import resource_limits as limits
from umberlead.common.counters import Counters
from umberlead.handover.shared_state import SharedState
from umberlead.net.client_connections import ClientGroup
from umberlead.net.endpoint_connection import EndpointConnection
from umberlead.net.endpoint_pool import EndpointPool
from umberlead.net.listener import ACCEPT_BATCH_SIZE, Listener
from umberlead.net.server_connection import ServerConnection

ROOT = Path(__file__).resolve().parent.parent
PATIENCE = 30.0  # s until what never comes fails
KINDS = ("silent", "half", "kept", "trickle")


# What is dealt


@given(st.integers(32, 100_000), st.integers(0, 64), st.integers(1, 2))
def test_all_descriptors_are_dealt_and_none_twice(sockets: int, held: int, fronts: int) -> None:
    of = limits.divide_resources(sockets, 64 << 20, held, 20 << 20, fronts)
    clients, doors = (
        most + limits.surplus_connections(most) for most in (of.client_connections, of.admin_connections)
    )
    least = held + limits.RESERVED_DESCRIPTORS_COUNT + 4 + 2 * fronts
    assert (
        held + limits.RESERVED_DESCRIPTORS_COUNT + doors + fronts * clients + of.endpoint_connections
        == max(sockets, least)
    )
    assert (
        of.client_connections
        and of.admin_connections
        and of.endpoint_connections >= limits.MIN_ENDPOINT_CONNECTIONS_COUNT
    )
    assert sockets < 128 or held > 16 or fronts * clients > sockets / 3


# What is taken


def _listener(clients: ClientGroup) -> tuple[Listener, list[int]]:
    """A listener, and the descriptors that its connections held as it took each."""
    handler = mock.Mock(max_body_bytes=0, sends_date=False, singleton_headers=frozenset())
    handler.handle_request = lambda conn, _: conn.send_response(200, (), b"x")
    handler.reject = lambda conn, status, why: conn.send_response(status, (), b"x")
    made = Listener(handler, clients, ("127.0.0.1", 0), asyncio.get_running_loop())
    peak, take = list[int](), made._connect

    def taken(sock: socket.socket) -> None:
        take(sock)
        peak.append([_port(int(fd)) for fd in os.listdir("/proc/self/fd")].count(made.address[1]) - 1)

    made._connect = taken  # type: ignore[method-assign]
    return made, peak


def _port(fd: int) -> int:
    """The local port of one of this process's sockets."""
    with contextlib.suppress(OSError):
        if stat.S_ISSOCK(os.fstat(fd).st_mode):
            with socket.socket(fileno=os.dup(fd)) as sock:
                return int(sock.getsockname()[1]) if sock.family == socket.AF_INET else 0
    return 0


def _asks(address: Any, text: bytes = b"GET /a HTTP/1.1\r\n\r\n") -> socket.socket:
    sock = socket.create_connection(address)
    sock.sendall(text)
    sock.setblocking(False)
    return sock


async def _until(done: Callable[[], object], why: Callable[[], object] = str) -> None:
    end = time.monotonic() + PATIENCE
    while not done():
        assert time.monotonic() < end, why()
        await asyncio.sleep(0.005)


def _run(test: Any) -> None:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(test)


def test_a_crowd_takes_no_more_than_the_cap_and_its_surplus() -> None:
    """Those that gave their place up hold a descriptor for one more turn, those that are taken already have
    one: with neither counted a crowd of 64 held 21 where the cap is 16."""

    async def test() -> None:
        now = [T0]
        clients = ClientGroup(16, lambda: now[0], Counters(), 0, 1 << 20, print)
        clients.stopping = True  # answers end no connection
        listener, peak = _listener(clients)
        came = [_asks(listener.address) for _ in range(16)]
        await _until(lambda: sum(conn.served_count for conn in clients.slots) == 16)
        now[0] += 1_000_000
        came += [_asks(listener.address, b"G") for _ in range(64)]
        await _until(lambda: listener.paused)
        assert clients.counters["clients_evicted"] == 16
        now[0] += 1_000_000
        assert (
            clients.ensure_capacity() and clients.ensure_capacity()
        )  # for requests that were read in this turn
        listener._accept_batch()
        assert max(peak) == 16 + limits.surplus_connections(16)
        for sock in came:
            sock.close()
        listener.close()

    _run(test())


def test_a_crowd_that_waits_as_the_listener_closes_is_answered_within_the_cap() -> None:
    """All of it was taken at once, whatever the cap: up to 1024 connections, and no descriptor was left."""

    async def test() -> None:
        clients = ClientGroup(16, lambda: time.monotonic_ns() // 1000, Counters(), 0, 1 << 20, print)
        clients.stopping = clients.close_after_reply = True
        listener, peak = _listener(clients)
        listener.disable_deferred_accept()
        came, loop = [_asks(listener.address) for _ in range(64)], asyncio.get_running_loop()
        listener.close()
        for sock in came:
            got = b""
            while piece := await asyncio.wait_for(loop.sock_recv(sock, 1000), PATIENCE):
                got += piece
            assert re.match(rb"HTTP/1.1 (200|503) .*\r\n\r\nx$", got, re.S), got
            sock.close()
        assert max(peak) <= 16 + limits.surplus_connections(16)

    _run(test())


def test_a_flood_costs_one_search_a_turn_and_a_bounded_share_of_it() -> None:
    """An eighth of the cap was taken in one turn, and one place made for all of them."""

    async def test() -> None:
        now, looked = [T0], list[ServerConnection]()
        clients = ClientGroup(800, lambda: now[0], Counters(), 0, 1 << 20, print)
        listener, _ = _listener(clients)
        for _ in range(800):
            ServerConnection(listener.handler, clients).connection_made(mock.Mock(is_closing=lambda: False))
        now[0] += 1_000_000
        came = [_asks(listener.address) for _ in range(40)]
        spare = ServerConnection.is_evictable

        def look(conn: ServerConnection, old: int) -> bool:
            looked.append(conn)
            return spare(conn, old)

        with mock.patch.object(ServerConnection, "is_evictable", look):
            listener._accept_batch()
        assert (len(looked), listener.accepting_count, clients.evicting_count) == (
            800,
            ACCEPT_BATCH_SIZE,
            ACCEPT_BATCH_SIZE,
        )
        await _until(lambda: not listener.accept_tasks)
        for sock in came:
            sock.close()
        listener.close()

    _run(test())


def test_silent_newcomers_keep_no_request_out_and_only_requests_do() -> None:
    """In their grace they can't be told to go, and a client that asked was told that there is no room."""
    clients = ClientGroup(4, lambda: T0, Counters(), 0, 1 << 20, print)
    handler = mock.Mock(max_body_bytes=0, sends_date=False, singleton_headers=frozenset())
    conns = [ServerConnection(handler, clients) for _ in range(6)]
    for conn in conns:
        conn.connection_made(mock.Mock(is_closing=lambda: False))
    for conn in conns[:5]:
        conn.data_received(b"GET /a HTTP/1.1\r\n\r\n")
    assert [call.args[0] for call in handler.handle_request.call_args_list] == conns[:4]
    assert [call.args[0] for call in handler.reject.call_args_list] == conns[4:5]


def test_an_upload_that_hardly_moves_gives_way_at_the_cap_and_another_does_not() -> None:
    """Where a body may take long each byte made its connection new, and a crowd of them kept all places."""
    now = [T0]
    clients = ClientGroup(1, lambda: now[0], Counters(), 0, 1 << 20, print)
    conn = ServerConnection(
        mock.Mock(max_body_bytes=1 << 20, singleton_headers=frozenset(), allows_slow_bodies=True), clients
    )
    conn.connection_made(mock.Mock(is_closing=lambda: False))
    conn.data_received(b"PUT /a HTTP/1.1\r\nContent-Length: 1000000\r\n\r\n")
    for pieces, size, pause in ((40, 5_000, 2_000_000), (40, 1, 50_000)):  # 2.5 kB/s, and then hardly
        for _ in range(pieces):
            now[0] += pause
            conn.data_received(b"x" * size)
        assert not clients.ensure_capacity() and not conn.evicted
    now[0] += 200_000_000
    conn.data_received(b"x")
    assert clients.ensure_capacity() and conn.evicted


def test_where_the_cap_to_chunk_servers_comes_down_only_what_is_over_it_goes() -> None:
    """A slot is free a turn after its connection was closed: all that rested went."""
    pool = EndpointPool(
        mock.Mock(), mock.Mock(), mock.Mock(), lambda: T0, Counters(), 6, 0, 1 << 40, "s", print
    )
    rest = [EndpointConnection(pool, ("127.0.0.1", n)) for n in range(6)]
    for conn in rest:
        conn.slot, conn.transport = pool.slots.add(conn), mock.Mock()
        pool.put_idle(conn)
    pool.max_connections = 4
    pool.close_expired()
    assert [conn.closed for conn in rest] == [True] * 2 + [False] * 4


def test_without_a_descriptor_to_look_what_was_seen_of_the_others_stands(tmp_path: Path) -> None:
    """Chunk servers out by hand came back, and each of two processes took all limits for itself."""
    one, other = SharedState(tmp_path), SharedState(tmp_path)
    one.set_drain_override("n0", True)
    seen = one.count_siblings(), one.drain_overrides()
    for name in ("os.listdir", "builtins.open"):
        with mock.patch(name, side_effect=OSError(errno.EMFILE, "")):
            assert (one.count_siblings(), one.drain_overrides()) == seen
    other.deregister()
    assert (one.count_siblings(), list(one.drain_overrides())) == (0, ["n0"])
    one.deregister()


# Whole processes

TEXT = """
name = "f"
listen = "127.0.0.1:0"
management = "127.0.0.1:0"
state = "../state"
{discovery}
[limits]
sockets = {sockets}
memory_mb = 64
[known]
endpoints = [{endpoints}]
[settings]
bounds = {{ maxAttempts = 3, dialTimeout = 250000 }}
extra = {{ nShards = 1, maxUnits = 6, meanUnits = 2 }}
plans = [{{ name = "gold" }}]
[[settings.grades]]
name = "read"
aim = 60000000
hardLimit = 60000000
effect = "idempotent"
"""
LIST = b'{"index":1,"snapshot":true,"endpoints":[%s]}\n'
ENTRY = '{name = "n%d", address = "127.0.0.1:%d", group = 0}'


class Process:
    """A front under RLIMIT_NOFILE; what it logs, and calls at it."""

    def __init__(self, folder: Path, text: str, most: int) -> None:
        (folder / "front.toml").write_text(text)
        self.log = folder / "log"
        with open(self.log, "wb") as log:
            self.of = subprocess.Popen(
                [sys.executable, "-B", "-m", "umberlead"],
                cwd=ROOT,
                stderr=log,
                env=os.environ | {"UMBERLEAD_CONFIG": str(folder / "front.toml")},
                preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (most, most)),
            )

    def told(self, event: str) -> list[dict[str, str]]:
        rows = [line for line in self.log.read_text().splitlines() if line.endswith(f"] {event}")]
        return [dict(re.findall(r'(\w+)="([^"]*)"', row)) for row in rows]

    async def until(self, event: str, times: int = 1) -> dict[str, str]:
        await _until(lambda: len(self.told(event)) >= times or self.of.poll() is not None, self.log.read_text)
        return self.told(event)[times - 1]

    async def count(self, name: str, least: int = 1) -> dict[str, int]:
        """The counters, once this one has come so far."""
        end = time.monotonic() + PATIENCE
        while (got := await self.counters()).get(name, 0) < least:
            assert time.monotonic() < end, self.log.read_text()
        return got

    async def counters(self) -> dict[str, int]:
        before = len(self.told("counters"))
        self.of.send_signal(signal.SIGUSR1)
        got = await self.until("counters", before + 1)
        return {name: int(n) for name, n in got.items() if n.isdigit()}

    async def reload(self) -> None:
        before = len(self.told("reloaded"))
        self.of.send_signal(signal.SIGHUP)
        await self.until("reloaded", before + 1)

    def address(self, event: str) -> tuple[str, int]:
        host, port = self.told(event)[0]["address"].split(":")
        return host, int(port)

    def descriptors(self) -> list[int]:
        return sorted(map(int, os.listdir(f"/proc/{self.of.pid}/fd")))


async def _call(address: tuple[str, int], line: str, *headers: str) -> bytes:
    """All of the answer, up to the connection's end; empty where it ends without one."""
    with contextlib.suppress(ConnectionError):
        reader, writer = await asyncio.open_connection(*address)
        try:
            text = "\r\n".join([f"{line} HTTP/1.1", "Connection: close", *headers, "", ""])
            writer.write(text.encode())
            return await asyncio.wait_for(reader.read(), PATIENCE)
        finally:
            writer.close()
    return b""


async def _served(address: tuple[str, int], line: str, *headers: str) -> None:
    answer = await _call(address, line, *headers)
    assert answer.startswith(b"HTTP/1.1 200"), answer


def _read(name: str) -> tuple[str, ...]:
    io = "X-IO: volume=b4,units=1,shard=0"
    return "GET /read?block=7f3a9c21e0b4d655", f"X-Call-Id: {name}", "X-Plan: gold", io


TEXTS = {
    "silent": b"",
    "half": b"GET /read?block=",
    "kept": b"GET /healthz HTTP/1.1\r\n\r\n",
    "trickle": b"PUT /read?block=7f3a9c21e0b4d655 HTTP/1.1\r\nContent-Length: 60000\r\n\r\n",
}


async def _idles(kind: str, address: tuple[str, int]) -> None:
    """A client that does nothing, and comes anew once the front has ended its connection."""
    loop = asyncio.get_running_loop()
    while True:
        with contextlib.suppress(OSError), socket.socket() as sock:
            sock.setblocking(False)
            await loop.sock_connect(sock, address)
            await loop.sock_sendall(sock, TEXTS[kind])
            while kind == "trickle":
                await asyncio.sleep(0.1)
                await loop.sock_sendall(sock, b"x")
            while await loop.sock_recv(sock, 1000):
                pass
            if kind == "kept":  # it does not look at its answer, or at its end
                await asyncio.sleep(0.5)
        await asyncio.sleep(0.3)


class Servers:
    """A chunk server, which answers or holds, and a discovery that takes calls and answers once told to."""

    def __init__(self) -> None:
        self.held, self.go, self.back = 0, asyncio.Event(), asyncio.Event()

    async def node(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            if b"hold" in await reader.readuntil(b"\r\n\r\n"):
                self.held += 1
                await self.go.wait()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nConnection: close\r\n\r\nx")
        writer.close()

    async def discovery(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            await self.back.wait()
            writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + LIST % self.entries.encode())
            await reader.read()
        writer.close()

    @contextlib.asynccontextmanager
    async def listen(self) -> AsyncIterator[tuple[int, int]]:
        node = await asyncio.start_server(self.node, "127.0.0.1", 0)
        discovery = await asyncio.start_server(self.discovery, "127.0.0.1", 0)
        ports = [server.sockets[0].getsockname()[1] for server in (node, discovery)]
        entry = '{"name":"n%d","address":"127.0.0.1:%d","group":0,"status":"ready"}'
        self.entries = ",".join(entry % (n, ports[0]) for n in range(40))
        try:
            yield ports[0], ports[1]
        finally:
            self.go.set()
            self.back.set()
            node.close()
            discovery.close()


@contextlib.contextmanager
def _process(folder: Path, sockets: int, most: int, node: int, discovery: int = 0) -> Iterator[Process]:
    endpoints = ",".join(ENTRY % (n, node) for n in range(40))
    line = f'discovery = "127.0.0.1:{discovery}"' if discovery else ""
    folder.mkdir()
    made = Process(folder, TEXT.format(sockets=sockets, discovery=line, endpoints=endpoints), most)
    try:
        yield made
    finally:
        made.of.kill()
        made.of.wait()


async def _filled(folder: Path, sockets: int, configured: int, kinds: tuple[str, ...]) -> None:
    servers = Servers()
    async with servers.listen() as (node, discovery):
        with _process(folder, configured, sockets, node, discovery) as front:
            dealt = await front.until("limits")
            clients, door = front.address("listening"), front.address("door")
            # All connections to chunk servers but one are in use, as far as clients have places for that.
            number = min(int(dealt["nodes"]), int(dealt["clients"])) - 1
            calls = [asyncio.create_task(_call(clients, *_read(f"hold{n}"))) for n in range(number)]
            await _until(lambda: servers.held == number, front.log.read_text)
            idle = [kinds[n % len(kinds)] for n in range(sockets)]
            crowd = [asyncio.create_task(_idles(kind, clients)) for kind in idle]
            crowd += [asyncio.create_task(_idles("silent", door)) for _ in range(3)]
            peak = list[int]()
            watcher = asyncio.create_task(_watched(peak, front))
            got = await front.count("clients_evicted")  # it is full
            await front.reload()
            await _served(door, "GET /control/counters")
            await _served(clients, *_read("new"))
            await front.count("discovery_breaks", got.get("discovery_breaks", 0) + 1)
            servers.back.set()
            await front.count("discovery_updates")
            await _served(clients, *_read("newer"))
            await front.reload()
            for task in (watcher, *crowd):
                task.cancel()
            servers.go.set()
            assert all([(await call).endswith(b"x") for call in calls])
            got, log = await front.counters(), front.log.read_text()
            print(f"{sockets}: {dealt}, {number} in use, peak {max(peak)}, {got}")
            failed = (
                "accepts_failed",
                "node_connections_failed",
                "node_connections_over_cap",
                "reloads_refused",
            )
            assert max(peak) <= sockets and not any(got.get(name) for name in failed), log
            assert 'why="refused"' not in log  # all calls at discovery came up


async def _watched(peak: list[int], *fronts: Process) -> None:
    while True:
        peak.append(_sum(*fronts))
        await asyncio.sleep(0.005)


@pytest.mark.parametrize("sockets", [32, 64, 256])
def test_filled_by_idle_clients_all_others_find_theirs(tmp_path: Path, sockets: int) -> None:
    _run(_filled(tmp_path / "a", sockets, sockets, KINDS))


@pytest.mark.parametrize("kind", KINDS)
def test_filled_by_one_kind_of_idle_clients(tmp_path: Path, kind: str) -> None:
    _run(_filled(tmp_path / "a", 64, 64, (kind,)))


def test_the_system_s_limit_holds_where_it_is_below_the_configured_one(tmp_path: Path) -> None:
    """All of the configured ones were dealt, and the system refused what was over its own."""
    _run(_filled(tmp_path / "a", 64, 4096, ("half",)))


def test_with_no_descriptor_left_an_operator_s_word_holds_and_a_client_finds_a_place(tmp_path: Path) -> None:
    """The limit comes down on what is held, idle clients among it. A new client waited until an idle one's
    time was over, marks were lost and new ones not kept, and SIGHUP was refused."""

    async def test() -> None:
        servers = Servers()
        async with servers.listen() as (node, _):
            with _process(tmp_path / "a", 64, 64, node) as front:
                await front.until("limits")
                clients, door = front.address("listening"), front.address("door")
                idle = [_asks(clients, TEXTS["kept"]) for _ in range(5)]
                await front.count("clients_accepted", 5)
                await _served(door, "PUT /control/chunk-servers/n0/offline")
                # The lowest number that is free for good: what looks into a folder has one for a moment.
                free = []
                for _ in range(50):
                    held = front.descriptors()
                    free.append(next(n for n in range(1000) if n not in held))
                    await asyncio.sleep(0.003)
                resource.prlimit(front.of.pid, resource.RLIMIT_NOFILE, (min(free), 64))
                assert (await _call(clients, "GET /healthz")).endswith(b"ok\n")  # an idle one goes for it
                got = await front.counters()
                assert got["clients_evicted"] == 1 <= got["accepts_failed"]
                await _served(door, "PUT /control/chunk-servers/n1/offline")
                idle += [_asks(clients, TEXTS["kept"]) for _ in range(3)]  # each has what another let go
                await front.count("clients_accepted", got["clients_accepted"] + 4)
                await front.reload()
                marks = [(row["node"], row["state"]) for row in front.told("by_hand")]
                assert marks == [("n0", "offline"), ("n1", "offline")] and not front.told("reload_refused")
                for sock in idle:
                    sock.close()

    _run(test())


def test_two_processes_of_a_front_hold_the_descriptors_of_one(tmp_path: Path) -> None:
    """The older one is full as the other starts, and has to let go of half."""

    async def test() -> None:
        servers = Servers()
        async with servers.listen() as (node, discovery):
            with _process(tmp_path / "a", 128, 128, node, discovery) as old:
                await old.until("limits")
                crowd = [asyncio.create_task(_idles("half", old.address("listening"))) for _ in range(256)]
                await old.count("clients_evicted")
                with _process(tmp_path / "b", 128, 128, node, discovery) as new:
                    await new.until("limits")
                    address = new.address("listening")
                    crowd += [asyncio.create_task(_idles("half", address)) for _ in range(256)]
                    await old.until("processes")
                    seen, after = list[int](), list[int]()
                    watcher = asyncio.create_task(_watched(seen, old, new))
                    await _until(lambda: seen and seen[-1] <= 128)
                    watcher.cancel()
                    watcher = asyncio.create_task(_watched(after, old, new))
                    await new.count("clients_evicted")
                    await _until(lambda: len(after) > 50)
                    watcher.cancel()
                    print(f"of 128 in the moment of the change {max(seen)}, after it {max(after)}")
                    assert max(after) <= 128
                for task in crowd:
                    task.cancel()

    _run(test())


def _sum(*fronts: Process) -> int:
    return sum(len(front.descriptors()) for front in fronts)
