"""Connections to chunk servers come up late while a deduplicated request is tried again."""

import asyncio
import contextlib
import random
import socket
import sys
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import rig  # noqa: E402
import settings as deployment_settings  # noqa: E402

SHARDS = 10
FRONTS = 3
WINDOW_SECONDS = 1.0  # memorySpan of `bulk-export`
SLACK_SECONDS = 0.05  # every time limit on sockets is 50 ms longer
# From the moment at which a server has read an export:
LATE_FROM_SECONDS = 0.05  # no connection to it comes up from here
READ_AT_SECONDS = 0.15  # a client sends a read for the same shard
ERROR_AT_SECONDS = 0.2  # the server answers the export with 500
LATE_UNTIL_SECONDS = 1.12  # connections come up again
TRIALS = 24
TRIAL_SECONDS = 1.8
QUIET_SECONDS = 0.2  # without reads at a server before its export
READS_PER_SECOND = 40.0
PATIENCE_SECONDS = 8.0


class LateServer(rig.Server):
    """A chunk server to which connections come up late for a while.

    Its accept queue is full meanwhile, so the system drops the packets that ask for a connection. They are
    sent again after a second.
    """

    def __init__(self, name: str, shard: int, case: "Case") -> None:
        """Create a server that does not listen yet."""
        super().__init__(name, shard, self._serve)
        self._case = case
        self._socket = socket.socket()
        self._fillers: list[socket.socket] = []
        self._first_run: dict[str, float] = {}
        self._accepting: set[asyncio.Task[Any]] = set()
        self._late_until = 0.0

    async def listen(self) -> None:
        """Listen on a free port."""
        self._socket.setblocking(False)
        self._socket.bind((rig.HOST, 0))
        self._socket.listen(512)
        self.port = self._socket.getsockname()[1]
        asyncio.get_running_loop().add_reader(self._socket, self._accept)

    def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        with contextlib.suppress(BlockingIOError):
            while True:
                sock, peer = self._socket.accept()
                if any(filler.getsockname() == peer for filler in self._fillers):
                    sock.close()
                    continue
                sock.setblocking(False)
                self._case.connections += 1
                late = self._case.record.now() < self._late_until
                self._case.late_connections += late
                self._case.record.add("connection up", server=self.name, late=late)
                task = asyncio.ensure_future(
                    loop.connect_accepted_socket(lambda: rig.ServerLink(self._serve, self.links), sock)
                )
                self._accepting.add(task)
                task.add_done_callback(self._accepting.discard)

    def be_late(self) -> None:
        """Let no connection come up from now on."""
        asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.listen(0)
        filler = socket.create_connection((rig.HOST, self.port))
        self._fillers.append(filler)

    def be_in_time(self) -> None:
        """Let connections come up again."""
        self._late_until = self._case.record.now() + 1.0
        self._socket.listen(512)
        self._accept()
        asyncio.get_running_loop().add_reader(self._socket, self._accept)
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()

    async def _serve(self, link: rig.ServerLink, call: rig.Call) -> None:
        record = self._case.record
        now = record.now()
        is_export = call.target.startswith("/bulk-export")
        record.add("got", server=self.name, id=call.call_id, budget=call.headers.get("x-budget"))
        if call.shard != self.shard:
            link.answer(504, b"", "X-Rejected: 1")
            return
        if not is_export:
            await asyncio.sleep(0.01)
            link.answer(200, call.target.encode(), "Connection: close")
            link.close()
            return
        first = self._first_run.get(call.call_id)
        if first is not None and now - first <= WINDOW_SECONDS + SLACK_SECONDS:
            record.add("dropped as a repeat", id=call.call_id, after=round(now - first, 4))
            link.answer(200, call.target.encode(), "Connection: close")
            link.close()
            return
        record.add("run", server=self.name, id=call.call_id, after=None if first is None else now - first)
        if first is not None:
            self._case.run_twice.append((call.call_id, now - first))
            link.answer(200, call.target.encode())
            return
        self._first_run[call.call_id] = now
        self._case.send_read(self.shard, READ_AT_SECONDS)
        if rig.trouble():
            loop = asyncio.get_running_loop()
            loop.call_later(LATE_FROM_SECONDS, self.be_late)
            loop.call_later(LATE_UNTIL_SECONDS, self.be_in_time)
        await asyncio.sleep(ERROR_AT_SECONDS)
        record.add("error answered", server=self.name, id=call.call_id)
        link.answer(500, b"failed")


class Case:
    """The state of one run."""

    def __init__(self, record: rig.Record) -> None:
        """Start without requests."""
        self.record = record
        self.run_twice: list[tuple[str, float]] = []
        self.connections = 0
        self.late_connections = 0
        self.busy: set[int] = set()  # shards that an export waits for
        self._numbers = random.Random(7)
        self._pools: list[rig.ClientPool] = []
        self._export_pool: rig.ClientPool | None = None
        self._reads: set[asyncio.Task[int]] = set()

    def send_read(self, shard: int, delay: float) -> None:
        """Send a read through the front that sent the present export, after a delay."""
        pool = self._export_pool
        assert pool is not None
        asyncio.get_running_loop().call_later(delay, self._start_read, pool, shard)

    def _start_read(self, pool: rig.ClientPool, shard: int) -> None:
        read = asyncio.ensure_future(self._send(pool, "image-read", shard))
        self._reads.add(read)
        read.add_done_callback(self._reads.discard)

    async def play(self, folder: Path, fronts: list[rig.Front]) -> bool:
        """Play the case; return whether no request ran twice."""
        agents = [rig.Agent(self.record) for _ in range(FRONTS)]
        servers = [LateServer(f"s-{shard}", shard, self) for shard in range(SHARDS)]
        for server in servers:
            await server.listen()
        for number, agent in enumerate(agents):
            await agent.listen()
            for server in servers:
                agent.set(server.entry())
            fronts.append(
                rig.Front(
                    f"n{number}",
                    folder,
                    deployment_settings.configuration(self._settings(), agent.snapshot()),
                    agent.port,
                )
            )
            fronts[-1].start()
        for front in fronts:
            await front.until_ready()
        self._pools = [rig.ClientPool(front.port) for front in fronts]
        reads = asyncio.ensure_future(self._read())
        exports = []
        for trial in range(TRIALS):
            shard = trial % SHARDS
            self.busy = {(shard - 1) % SHARDS, shard}
            await asyncio.sleep(QUIET_SECONDS)
            self._export_pool = self._pools[trial % FRONTS]
            exports.append(asyncio.ensure_future(self._send(self._export_pool, "bulk-export", shard)))
            await asyncio.sleep(TRIAL_SECONDS)
        statuses = await asyncio.gather(*exports)
        reads.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await reads
        return self._verdict(statuses)

    @staticmethod
    def _settings() -> dict[str, Any]:
        settings = deployment_settings.deployment(FRONTS, SHARDS)
        settings["grades"][2] |= {
            "aim": 1_400_000,
            "effect": "deduplicated",
            "memorySpan": int(WINDOW_SECONDS * 1e6),
        }
        return settings

    async def _read(self) -> None:
        """Read from the servers that no export waits for."""
        while True:
            shard = self._numbers.choice([number for number in range(SHARDS) if number not in self.busy])
            self._start_read(self._numbers.choice(self._pools), shard)
            await asyncio.sleep(1 / READS_PER_SECOND)

    async def _send(self, pool: rig.ClientPool, class_name: str, shard: int) -> int:
        call_id = f"{self._numbers.getrandbits(64):016x}"
        limit = "6.000" if class_name == "bulk-export" else "2.000"
        headers = {
            "X-Call-Id": call_id,
            "X-Plan": "standard",
            "X-Budget": limit,
            "X-IO": f"volume={shard + 1:016x},units=2,shard={shard},hosts=1",
        }
        self.record.add("sent", id=call_id, request=class_name, shard=shard)
        try:
            status, _ = await pool.call(
                "GET", f"/{class_name}?block={call_id}", headers, b"", PATIENCE_SECONDS
            )
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            self.record.add("no answer", id=call_id, error=repr(error))
            return 0
        self.record.add("answered", id=call_id, status=status)
        return status

    def _verdict(self, statuses: list[int]) -> bool:
        share = self.late_connections / max(self.connections, 1)
        summary = {
            "exports": len(statuses),
            "served": statuses.count(200),
            "connections": self.connections,
            "late_connections": self.late_connections,
            "run_twice": len(self.run_twice),
        }
        self.record.add("verdict", **summary)
        print(summary)
        if share > 1 / 3:
            raise rig.CaseError("more than a third of the connections came up late")
        if len(statuses) < TRIALS or not self.connections:
            raise rig.CaseError("too few requests were sent")
        for call_id, after in self.run_twice:
            print(f"{call_id} ran again {after:.3f} s after its first attempt")
        return not self.run_twice


async def play(record: rig.Record, folder: Path, fronts: list[rig.Front]) -> bool:
    """Play the case."""
    return await Case(record).play(folder, fronts)


if __name__ == "__main__":
    sys.exit(rig.run_case(FOLDER, play))
