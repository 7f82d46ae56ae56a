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
from tests.helpers import T0, settings, up_endpoint
from tests.test_dialing import FakeEventLoop, FakeTransport
from umberlead.common.counters import Counters
from umberlead.common.timer_wheel import TimerWheel
from umberlead.net.endpoint_pool import EndpointPool
from umberlead.net.endpoint_protocol import OutgoingRequest
from umberlead.requests.lifecycle import RequestLifecycle
from umberlead.requests.types import IncomingRequest
from umberlead.scheduling.events import EndpointList

FRONTS = 24


def test_process_that_takes_over_from_a_killed_one_serves_retried_requests(tmp_path: Path) -> None:
    """The old process is killed after the kernel has accepted connections whose requests are not read, while
    a new process runs beside it. The clients see their connections close and retry, and the new process gets
    the front's whole share."""

    async def test() -> None:
        servers, loop = FakeServers(), asyncio.get_running_loop()
        async with servers.listen() as (endpoint_port, _):
            config_text = CONFIG_TEXT.format(
                sockets=128, discovery="", endpoints=ENDPOINT_ENTRY % (0, endpoint_port)
            )
            (tmp_path / "old").mkdir()
            old_process = FrontUnderLimit(tmp_path / "old", config_text, 128)
            new_process = None
            try:
                await old_process.until("limits")
                address = old_process.address("listening")
                await call_served(address, *read_request("before"))
                # From here on, only the kernel accepts connections.
                os.kill(old_process.child.pid, signal.SIGSTOP)
                clients = [socket.create_connection(address) for _ in range(5)]
                for number, client in enumerate(clients):
                    client.setblocking(False)
                    line, *headers = read_request(f"crossing{number}")
                    request_text = "\r\n".join([f"{line} HTTP/1.1", *headers, "", ""])
                    await loop.sock_sendall(client, request_text.encode())
                (tmp_path / "new").mkdir()
                config_text = config_text.replace('"127.0.0.1:0"', f'"127.0.0.1:{address[1]}"', 1)
                new_process = FrontUnderLimit(tmp_path / "new", config_text, 128)
                await new_process.until("limits")
                assert [row["now"] for row in new_process.logged("processes")] == ["2"]
                old_process.child.kill()
                for client in clients:
                    with pytest.raises(ConnectionResetError):
                        assert not await asyncio.wait_for(loop.sock_recv(client, 1000), 5)
                        raise ConnectionResetError
                    client.close()
                for number in range(5):
                    await call_served(address, *read_request(f"crossing{number}"))
                await new_process.until("processes", 2)
                assert [row["now"] for row in new_process.logged("processes")] == ["2", "1"]
            finally:
                for process in (old_process, new_process):
                    if process is not None:
                        process.child.kill()
                        process.child.wait()

    run_on_uvloop(test())


class Fleet:
    """Request lifecycles and endpoint pools of all fronts over pending dials, with one manual clock."""

    def __init__(self) -> None:
        self.event_loop = FakeEventLoop(False)
        self.fronts: list[tuple[RequestLifecycle, EndpointPool]] = []
        self.answers: list[Any] = []
        self.pending_calls: list[Any] = []
        clock = lambda: self.event_loop.now_us  # noqa: E731
        for number in range(FRONTS):
            wheel, counters = TimerWheel(clock, self.event_loop.alarm, 2000), Counters()
            front_settings = settings(front_count=FRONTS, max_attempts=3)
            lifecycle = RequestLifecycle(
                front_settings, number, clock, wheel, self.pending_calls.append, counters, print
            )
            loop: Any = self.event_loop
            pool = EndpointPool(lifecycle, loop, wheel, clock, counters, 100, 250_000, 15_000_000, "s", print)
            lifecycle.transport, pool.write_denial = pool, lifecycle.guard.may_write
            self.fronts.append((lifecycle, pool))

    async def run_pending_calls(self) -> None:
        for _ in range(5):
            while self.pending_calls:
                self.pending_calls.pop(0)()
            await asyncio.sleep(0)

    def list_endpoints(self, names: list[str]) -> None:
        for lifecycle, pool in self.fronts:
            pool.addresses |= {name: (name, 1) for name in names}
            lifecycle.apply_endpoint_list(EndpointList(False, tuple(up_endpoint(name) for name in names)))

    def send_request(self, lifecycle: RequestLifecycle, name: str) -> None:
        payload = OutgoingRequest(b"GET", b"/read", [])
        lifecycle.accept(
            IncomingRequest(
                "read",
                "gold",
                "v",
                None,
                0,
                2.0,
                self.event_loop.now_us + 2_000_000,
                payload,
                call_id=name.encode(),
            ),
            self.answers.append,
        )

    def complete_connections(self) -> int:
        """Complete all pending connections; return their number."""
        completed = 0
        for connection in self.event_loop.conns:
            if connection.transport is None and not connection.closed:
                completed, connection.has_no_unread_bytes = completed + 1, lambda: True
                connection.connection_made(FakeTransport())
        return completed

    def answer_requests(self) -> None:
        for connection in self.event_loop.conns:
            if connection.attempt is not None and connection.written:
                connection.data_received(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx")


def test_joining_endpoints_are_neither_probed_nor_connected_in_advance() -> None:
    """When endpoints join, the whole fleet opens one connection for each request that finds none, and the
    next burst opens none. Connections that each front opens alone would add up."""

    async def test() -> None:
        fleet = Fleet()
        fleet.list_endpoints([f"n{k}" for k in range(8)])
        await fleet.run_pending_calls()
        fleet.event_loop.run_until(fleet.event_loop.now_us + 3_000_000)
        await fleet.run_pending_calls()
        assert fleet.event_loop.now_us > T0 and not fleet.event_loop.conns
        for wave in range(3):
            for number, (lifecycle, _) in enumerate(fleet.fronts):
                fleet.send_request(lifecycle, f"w{wave}f{number}")
            await fleet.run_pending_calls()
            assert fleet.complete_connections() == (FRONTS if wave == 0 else 0)
            fleet.answer_requests()
            await fleet.run_pending_calls()
            assert len(fleet.answers) == FRONTS * (wave + 1)
            fleet.event_loop.run_until(fleet.event_loop.now_us + 100_000)
            await fleet.run_pending_calls()
        assert len(fleet.event_loop.conns) == FRONTS
        for _, pool in fleet.fronts:
            pool.close()

    asyncio.run(test())
