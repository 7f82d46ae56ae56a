"""A process of a front replaces another one that has open requests; both are real processes."""

import asyncio
import contextlib
import signal
import time
from collections import deque
from pathlib import Path

from tests.front_processes import (
    CONFIG_TEXT,
    ENDPOINT_ENTRY,
    FakeServers,
    FrontUnderLimit,
    call,
    read_request,
    run_on_uvloop,
    wait_until,
    watch_descriptors,
)

MAX_DESCRIPTORS = 384


class StepwiseServers(FakeServers):
    """An endpoint that answers a request only when the test releases it, the oldest one first."""

    def __init__(self) -> None:
        super().__init__()
        self.releases = deque[asyncio.Event]()

    async def node(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            self.held += 1
            self.releases.append(release := asyncio.Event())
            await release.wait()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nConnection: close\r\n\r\nx")
        writer.close()


MAX_ANSWER_RATE = 300  # maximum of both processes together, in requests per second
OPEN_REQUESTS = 120  # constant number, below a third of the descriptors


class Handover:
    """A process of a front with OPEN_REQUESTS open requests, and the process that replaces it.

    Each client sends its next request, on a new connection, once its previous one is answered.
    """

    def __init__(self, root: Path, node: int) -> None:
        for name in ("old", "new"):
            (root / name).mkdir()
        endpoints = ",".join(ENDPOINT_ENTRY % (n, node) for n in range(40))
        self.root, self.config_text = (
            root,
            CONFIG_TEXT.format(sockets=MAX_DESCRIPTORS, discovery="", endpoints=endpoints),
        )
        self.servers: StepwiseServers
        self.old = FrontUnderLimit(root / "old", self.config_text, MAX_DESCRIPTORS)
        self.new: FrontUnderLimit | None = None
        self.responses, self.descriptor_counts = list[bytes](), list[int]()
        self.tasks = list[asyncio.Task[None]]()

    async def start(self, servers: StepwiseServers) -> None:
        """Open all requests at the old process, then start the new one."""
        self.servers = servers
        await self.old.until("limits")
        address = self.old.address("listening")
        self.tasks = [
            asyncio.create_task(self._run_client(address, client)) for client in range(OPEN_REQUESTS)
        ]
        await wait_until(lambda: servers.held == OPEN_REQUESTS, self.old.log.read_text)
        config_text = self.config_text.replace("127.0.0.1:0", f"127.0.0.1:{address[1]}", 1)
        self.new = FrontUnderLimit(self.root / "new", config_text, MAX_DESCRIPTORS)
        await self.new.until("limits")

    async def _run_client(self, address: tuple[str, int], client: int) -> None:
        for number in range(1_000_000):
            self.responses.append(await call(address, *read_request(f"r{client}-{number}")))
            if not self.responses[-1].startswith(b"HTTP/1.1 200"):
                return

    async def run_handover(self) -> int:
        """Stop the old process, answer requests one by one, and return how many were answered."""
        assert self.new is not None
        watcher = asyncio.create_task(watch_descriptors(self.descriptor_counts, self.old, self.new))
        self.old.child.send_signal(signal.SIGTERM)
        due_s, answered_count = time.monotonic(), 0
        while self.old.child.poll() is None or answered_count < 3 * OPEN_REQUESTS:
            due_s = max(due_s + 1 / MAX_ANSWER_RATE, time.monotonic())
            await asyncio.sleep(due_s - time.monotonic())
            self.servers.releases.popleft().set()
            answered_count += 1
            await wait_until(lambda: self._next_request_arrived(answered_count), self.new.log.read_text)  # noqa: B023
            assert not _rejected(self.responses), (
                answered_count,
                _rejected(self.responses),
                await self.new.counters(),
            )
            if self.old.child.poll() is not None:
                watcher.cancel()  # the old process has ended
        watcher.cancel()
        return answered_count

    def _next_request_arrived(self, answered_count: int) -> bool:
        return self.servers.held >= OPEN_REQUESTS + answered_count or bool(_rejected(self.responses))

    def end(self) -> None:
        for release in self.servers.releases:
            release.set()
        for task in self.tasks:
            task.cancel()
        for process in (self.old, self.new):
            if process is not None:
                process.child.kill()
                process.child.wait()


def test_open_requests_are_handed_over_to_the_new_process_and_none_is_rejected(tmp_path: Path) -> None:
    """If each process had half of the descriptors whatever is in use, the new one would reject some."""

    async def test() -> None:
        servers = StepwiseServers()
        async with servers.listen() as (node, _):
            front = Handover(tmp_path, node)
            try:
                await front.start(servers)
                assert await front.run_handover() >= 3 * OPEN_REQUESTS
                assert front.new is not None
                assert front.descriptor_counts and max(front.descriptor_counts) <= MAX_DESCRIPTORS
                for counters in (front.old.logged("counters")[-1], await front.new.counters()):
                    assert "bad_requests_503" not in counters  # so all were answered
            finally:
                front.end()

    run_on_uvloop(test())


def _rejected(responses: list[bytes]) -> list[bytes]:
    return [response for response in responses if not response.startswith(b"HTTP/1.1 200")]
