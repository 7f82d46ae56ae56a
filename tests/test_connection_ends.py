"""Input that is in the receive buffer when a response ends or reading is resumed, on real sockets.

The client is a blocking socket in the same thread: what it has sent is in the kernel's buffers, and the event
loop has not run meanwhile.
"""

import asyncio
import errno
import socket
from collections.abc import Awaitable, Callable
from contextlib import contextmanager
from typing import Any
from unittest import mock

import pytest
import uvloop

from umberlead.common.counters import Counters
from umberlead.net.client_connections import ClientGroup
from umberlead.net.close_reason import CloseReason
from umberlead.net.http_message import HttpRequest
from umberlead.net.listener import Listener
from umberlead.net.server_connection import ServerConnection
from umberlead.net.socket_state import SocketState

MEMORY = 1 << 20
PATIENCE_SECONDS = 5.0


class Handler:
    max_body_bytes = 1 << 16
    sends_date = False
    singleton_headers = frozenset[bytes]()
    retry_after_us = 0
    allows_slow_bodies = False

    def __init__(self) -> None:
        self.requests: list[tuple[ServerConnection, HttpRequest]] = []

    def handle_request(self, conn: ServerConnection, message: HttpRequest) -> None:
        self.requests.append((conn, message))

    def client_disconnected(self, conn: ServerConnection) -> None:
        pass

    def reject(self, conn: ServerConnection, status: int, reason: str) -> None:
        conn.send_response(status, (), reason.encode())


class Setting:
    """A listener and one client connection to it; `now` is the front's clock in microseconds."""

    def __init__(self) -> None:
        self.now, self.handler, self.ends = 1_000_000, Handler(), list[tuple[bool, str, str]]()
        self.clients = ClientGroup(100, lambda: self.now, Counters(), 0, MEMORY, print)
        self.clients.on_close = lambda *told: self.ends.append(told)
        self.listener = Listener(self.handler, self.clients, ("127.0.0.1", 0), asyncio.get_running_loop())
        self.client = socket.create_connection(self.listener.address)
        self.client.settimeout(PATIENCE_SECONDS)

    async def until(self, holds: Callable[[], Any]) -> None:
        async with asyncio.timeout(PATIENCE_SECONDS):
            while not holds():
                await asyncio.sleep(0)

    async def requested(self, count: int) -> ServerConnection:
        await self.until(lambda: len(self.handler.requests) >= count)
        return self.handler.requests[count - 1][0]

    async def read(self, end: bytes) -> bytes:
        got = b""
        self.client.setblocking(False)
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(PATIENCE_SECONDS):
            while not got.endswith(end):
                piece = await loop.sock_recv(self.client, 1 << 16)
                assert piece, got
                got += piece
        return got

    def close(self) -> None:
        self.client.close()
        self.listener.close()


def play(steps: Callable[[Setting], Awaitable[None]]) -> None:
    async def whole() -> None:
        setting = Setting()
        try:
            await steps(setting)
        finally:
            setting.close()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(whole())


def get(name: str, more: str = "") -> bytes:
    return f"GET /{name} HTTP/1.1\r\n{more}\r\n".encode()


def test_a_request_that_crosses_the_end_of_a_streamed_response_is_served_though_the_process_drains() -> None:
    """The response did not announce the close, but a request sent meanwhile was read and dropped."""

    async def steps(setting: Setting) -> None:
        setting.client.sendall(get("long"))
        conn = await setting.requested(1)
        source = mock.Mock()
        conn.stream_response(200, 6, b"abc", source, lambda whole: None)
        setting.clients.drain()
        setting.client.sendall(get("next"))
        source.sink.write(b"def")
        source.sink.finish()
        again = await setting.requested(2)
        assert again is conn
        conn.send_response(200, (), b"x")
        got = await setting.read(b"\r\n\r\nx")
        assert b"abcdef" in got and got.count(b"Connection: close") == 1
        assert setting.ends == [(False, CloseReason.CONNECTION_CLOSE_SENT.value, "")]

    play(steps)


def test_a_streamed_response_that_ends_as_the_process_drains_closes_its_idle_connection_unread() -> None:
    async def steps(setting: Setting) -> None:
        setting.client.sendall(get("long"))
        conn = await setting.requested(1)
        source = mock.Mock()
        conn.stream_response(200, 6, b"abc", source, lambda whole: None)
        setting.clients.drain()
        source.sink.write(b"def")
        source.sink.finish()
        assert setting.ends == [(False, CloseReason.DRAIN.value, "")] and not conn.transport.is_reading()
        await setting.read(b"abcdef")

    play(steps)


def test_a_response_does_not_end_its_connection_while_a_request_on_it_is_unread() -> None:
    async def steps(setting: Setting) -> None:
        setting.client.sendall(get("a"))
        conn = await setting.requested(1)
        setting.clients.close_after_response = True
        setting.client.sendall(get("b"))
        conn.send_response(200, (), b"x")
        await setting.requested(2)
        conn.send_response(200, (), b"y")
        got = await setting.read(b"\r\n\r\ny")
        assert got.count(b"HTTP/1.1 200 OK") == 2 and got.count(b"Connection: close") == 1

    play(steps)


def test_the_time_of_what_waited_while_nothing_was_read_runs_from_the_pause() -> None:
    """Requests that waited in the receive buffer had their time budget extended by that wait, and the
    endpoint was sent the longer budget."""

    async def steps(setting: Setting) -> None:
        setting.clients.max_header_bytes = 500
        setting.client.sendall(get("a"))
        conn = await setting.requested(1)
        setting.client.sendall(get("b"))
        await setting.until(lambda: conn.pipelined_requests)
        setting.now += 100
        setting.client.sendall(get("c", f"X-Long: {'x' * 400}\r\n") + get("d", f"X-Long: {'x' * 400}\r\n"))
        await setting.until(conn.is_reading_paused)
        paused_us = setting.now
        setting.now += 2_000_000
        setting.client.sendall(get("e"))
        for number in range(2, 6):
            conn.send_response(200, (), b"x")
            await setting.requested(number)
        times = [message.received_us for _, message in setting.handler.requests]
        assert times == [paused_us - 100, paused_us - 100, paused_us, paused_us, paused_us]
        setting.now += 1_000_000
        conn.send_response(200, (), b"x")
        setting.client.sendall(get("f"))
        await setting.requested(6)
        assert setting.handler.requests[5][1].received_us == setting.now

    play(steps)


@pytest.mark.parametrize(
    ("fault", "broken"),
    [
        (OSError(errno.ECONNRESET, ""), True),
        (OSError(errno.ETIMEDOUT, ""), True),
        (OSError(errno.EHOSTUNREACH, ""), True),
        (BlockingIOError(errno.EAGAIN, ""), False),
        (None, False),
    ],
)
def test_a_broken_connection_is_no_end_whatever_the_system_calls_the_break(
    fault: OSError | None, broken: bool
) -> None:
    """Only a reset counted as a break: a response without a length that ended with another error was taken
    for complete."""
    sock = mock.Mock(recv=mock.Mock(side_effect=fault, return_value=b""))

    @contextmanager
    def duplicate() -> Any:
        yield sock

    state = SocketState(mock.Mock())
    with mock.patch.object(state, "_duplicate", duplicate):
        assert state.was_reset() is broken
