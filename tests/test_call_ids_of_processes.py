"""An upload's call id is reserved at all processes of a front, whatever happens to them; real processes."""

import asyncio
import contextlib
import re
import signal
from collections import Counter
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.front_processes import (
    CONFIG_TEXT,
    ENDPOINT_ENTRY,
    FrontUnderLimit,
    call,
    run_on_uvloop,
    wait_until,
)

MAX_DESCRIPTORS = 384
COPIES = 24  # on new connections, which the system spreads over the processes
COPY_TIMEOUT_SECONDS = 2.0  # for copies that a stopped process is to read
CALL_ID_PATTERN = re.compile("x-call-id: (.+)\r\n", re.IGNORECASE)
CONFIG_WITH_UPLOADS = (
    CONFIG_TEXT
    + """
[[settings.grades]]
name = "store"
aim = 60000000
hardLimit = 60000000
effect = "at_most_once"
"""
)


class CountingEndpoint:
    """An endpoint that counts how often each call id was read, and answers once it is released."""

    def __init__(self) -> None:
        self.runs = Counter[str]()
        self.released = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            self.runs.update(CALL_ID_PATTERN.findall(head))
            await self.released.wait()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nConnection: close\r\n\r\nx")
        writer.close()


def upload(call_id: str) -> tuple[str, ...]:
    return (
        "PUT /store?block=7f3a9c21e0b4d655",
        f"X-Call-Id: {call_id}",
        "X-Plan: gold",
        "X-IO: volume=b4,units=1,shard=0",
        "Content-Length: 0",
    )


class Front:
    """The processes of one front, at one address and with one state folder."""

    def __init__(self, root: Path, node_port: int) -> None:
        self.root = root
        self.processes: list[FrontUnderLimit] = []
        endpoints = ",".join(ENDPOINT_ENTRY % (n, node_port) for n in range(4))
        self.config_text = CONFIG_WITH_UPLOADS.format(
            sockets=MAX_DESCRIPTORS, discovery="", endpoints=endpoints
        )
        self.address = ("", 0)

    async def start_process(self) -> FrontUnderLimit:
        folder = self.root / f"process-{len(self.processes)}"
        folder.mkdir()
        process = FrontUnderLimit(folder, self.config_text, MAX_DESCRIPTORS)
        self.processes.append(process)
        await process.until("limits")
        if len(self.processes) == 1:
            self.address = process.address("listening")
            self.config_text = self.config_text.replace("127.0.0.1:0", f"127.0.0.1:{self.address[1]}", 1)
        return process

    async def copy_statuses(self, call_id: str) -> Counter[bytes]:
        """Send copies of an upload; return their statuses, with no bytes for those without a response."""
        copies = (
            asyncio.wait_for(call(self.address, *upload(call_id)), COPY_TIMEOUT_SECONDS)
            for _ in range(COPIES)
        )
        responses = await asyncio.gather(*copies, return_exceptions=True)
        return Counter(response[9:12] if isinstance(response, bytes) else b"" for response in responses)


@contextlib.contextmanager
def ended(front: Front) -> Iterator[None]:
    try:
        yield
    finally:
        for process in front.processes:
            process.child.send_signal(signal.SIGCONT)
            process.child.kill()
            process.child.wait()


async def let_happen(happening: str, front: Front) -> None:
    """Let something happen to the old process, the first one, or to the new one."""
    old, new = front.processes
    if happening == "third process":
        await front.start_process()
    elif happening == "successor is killed":
        new.child.kill()
        new.child.wait()
        await front.start_process()
    elif happening == "reload":
        await old.reload()
        await new.reload()
    elif happening == "old process stops":
        old.child.send_signal(signal.SIGTERM)
        await old.until("stopping")
    elif happening == "old process is killed":
        old.child.kill()
        old.child.wait()
    elif happening == "old process is suspended":
        old.child.send_signal(signal.SIGSTOP)


def play(tmp_path: Path, happening: str) -> None:
    """Open an upload at one process, let `happening` happen, and send copies of it to the front."""

    async def test() -> None:
        endpoint = CountingEndpoint()
        server = await asyncio.start_server(endpoint.serve, "127.0.0.1", 0)
        front = Front(tmp_path, server.sockets[0].getsockname()[1])
        with ended(front):
            old = await front.start_process()
            original = asyncio.create_task(call(front.address, *upload("u1")))
            await wait_until(lambda: endpoint.runs["u1"], old.log.read_text)
            await front.start_process()
            await let_happen(happening, front)
            statuses = await front.copy_statuses("u1")
            assert statuses[b"409"] >= 1 and not statuses[b"200"], statuses
            assert happening == "old process is suspended" or statuses == {b"409": COPIES}
            assert endpoint.runs == {"u1": 1}
            endpoint.released.set()
            if happening == "old process is suspended":
                old.child.send_signal(signal.SIGCONT)
            if happening != "old process is killed":
                assert (await original).startswith(b"HTTP/1.1 200")
            assert (await call(front.address, *upload("u2"))).startswith(b"HTTP/1.1 200")
            assert (await front.copy_statuses("u2"))[b"409"] >= 1  # it is recent, and no longer open
            assert endpoint.runs == {"u1": 1, "u2": 1}
        server.close()

    run_on_uvloop(test())


@pytest.mark.parametrize(
    "happening",
    [
        "nothing",
        "third process",
        "successor is killed",
        "reload",
        "old process stops",
        "old process is killed",
        "old process is suspended",
    ],
)
def test_copy_of_an_upload_is_rejected_at_every_process_of_its_front(tmp_path: Path, happening: str) -> None:
    """An id that only one process knew let the upload run a second time at another process."""
    play(tmp_path, happening)
