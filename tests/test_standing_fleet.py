"""Processes that are killed while connections wait to be accepted, and the connections that a whole fleet
opens when endpoints join."""

import asyncio
import os
import signal
import socket
from pathlib import Path
from typing import Any

import pytest

from tests.front_processes import (
    CONFIG_TEXT,
    ENDPOINT_ENTRY,
    FakeServers,
    FrontUnderLimit,
    call_served,
    read_request,
    run_on_uvloop,
)
from tests.helpers import T0, settings, up
from tests.test_dialing import Dials, Wire
from umberlead.common.counters import Counters
from umberlead.common.timer_wheel import TimerWheel
from umberlead.net.endpoint_pool import EndpointPool
from umberlead.net.endpoint_protocol import OutgoingRequest
from umberlead.requests.lifecycle import RequestLifecycle
from umberlead.requests.types import IncomingRequest
from umberlead.scheduling.events import EndpointList

FRONTS = 24


def test_a_process_that_takes_over_from_a_killed_one_serves_what_comes_again(tmp_path: Path) -> None:
    """The old process is killed after the kernel has accepted connections whose requests are not read, while
    a new process runs beside it. The clients see their connections close and retry, and the new process gets
    the front's whole share."""

    async def test() -> None:
        servers, loop = FakeServers(), asyncio.get_running_loop()
        async with servers.listen() as (node, _):
            text = CONFIG_TEXT.format(sockets=128, discovery="", endpoints=ENDPOINT_ENTRY % (0, node))
            (tmp_path / "old").mkdir()
            old = FrontUnderLimit(tmp_path / "old", text, 128)
            new = None
            try:
                await old.until("limits")
                address = old.address("listening")
                await call_served(address, *read_request("before"))
                os.kill(old.child.pid, signal.SIGSTOP)  # from here on only the kernel accepts connections
                clients = [socket.create_connection(address) for _ in range(5)]
                for n, sock in enumerate(clients):
                    sock.setblocking(False)
                    line, *headers = read_request(f"crossing{n}")
                    text_ = "\r\n".join([f"{line} HTTP/1.1", *headers, "", ""])
                    await loop.sock_sendall(sock, text_.encode())
                (tmp_path / "new").mkdir()
                text = text.replace('"127.0.0.1:0"', f'"127.0.0.1:{address[1]}"', 1)
                new = FrontUnderLimit(tmp_path / "new", text, 128)
                await new.until("limits")
                assert [row["now"] for row in new.logged("processes")] == ["2"]
                old.child.kill()
                for sock in clients:
                    with pytest.raises(ConnectionResetError):
                        assert not await asyncio.wait_for(loop.sock_recv(sock, 1000), 5)
                        raise ConnectionResetError
                    sock.close()
                for n in range(5):
                    await call_served(address, *read_request(f"crossing{n}"))
                await new.until("processes", 2)
                assert [row["now"] for row in new.logged("processes")] == ["2", "1"]
            finally:
                for each in (old, new):
                    if each is not None:
                        each.child.kill()
                        each.child.wait()

    run_on_uvloop(test())


class Fleet:
    """Request lifecycles and endpoint pools of all fronts over pending dials, with one manual clock."""

    def __init__(self) -> None:
        self.dials = Dials(False)
        self.fronts: list[tuple[RequestLifecycle, EndpointPool]] = []
        self.answers: list[Any] = []
        self.soon: list[Any] = []
        now = lambda: self.dials.now  # noqa: E731
        for number in range(FRONTS):
            wheel, counters = TimerWheel(now, self.dials.alarm, 2000), Counters()
            of = settings(front_count=FRONTS, max_attempts=3)
            engine = RequestLifecycle(of, number, now, wheel, self.soon.append, counters, print)
            loop: Any = self.dials
            pool = EndpointPool(engine, loop, wheel, now, counters, 100, 250_000, 15_000_000, "s", print)
            engine.transport, pool.write_denial = pool, engine.guard.may_write
            self.fronts.append((engine, pool))

    async def turns(self) -> None:
        for _ in range(5):
            while self.soon:
                self.soon.pop(0)()
            await asyncio.sleep(0)

    def listed(self, names: list[str]) -> None:
        for engine, pool in self.fronts:
            pool.addresses |= {name: (name, 1) for name in names}
            engine.apply_endpoint_list(EndpointList(False, tuple(up(name) for name in names)))

    def ask(self, engine: RequestLifecycle, name: str) -> None:
        payload = OutgoingRequest(b"GET", b"/read", [])
        engine.accept(
            IncomingRequest(
                "read", "gold", "v", None, 0, 2.0, self.dials.now + 2_000_000, payload, call_id=name.encode()
            ),
            self.answers.append,
        )

    def up(self) -> int:
        """Complete all pending connections; return their number."""
        made = 0
        for conn in self.dials.conns:
            if conn.transport is None and not conn.closed:
                made, conn.has_no_unread_bytes = made + 1, lambda: True
                conn.connection_made(Wire())
        return made

    def answer(self) -> None:
        for conn in self.dials.conns:
            if conn.attempt is not None and conn.written:
                conn.data_received(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx")


def test_servers_that_join_are_neither_probed_nor_dialled_ahead_by_any_front() -> None:
    """When endpoints join, the whole fleet opens one connection for each request that finds none, and the
    next burst opens none. Connections that each front opens alone would add up."""

    async def test() -> None:
        fleet = Fleet()
        fleet.listed([f"n{k}" for k in range(8)])
        await fleet.turns()
        fleet.dials.until(fleet.dials.now + 3_000_000)
        await fleet.turns()
        assert fleet.dials.now > T0 and not fleet.dials.conns
        for wave in range(3):
            for number, (engine, _) in enumerate(fleet.fronts):
                fleet.ask(engine, f"w{wave}f{number}")
            await fleet.turns()
            assert fleet.up() == (FRONTS if wave == 0 else 0)
            fleet.answer()
            await fleet.turns()
            assert len(fleet.answers) == FRONTS * (wave + 1)
            fleet.dials.until(fleet.dials.now + 100_000)
            await fleet.turns()
        assert len(fleet.dials.conns) == FRONTS
        for _, pool in fleet.fronts:
            pool.close()

    asyncio.run(test())
