"""A front's process is replaced while a client repeats the ids of other clients' open requests."""

import asyncio
import random
import signal
import sys
from collections import Counter
from collections.abc import Coroutine
from pathlib import Path
from typing import Any, NamedTuple

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import rig  # noqa: E402
import settings as deployment_settings  # noqa: E402

SHARDS = 10
FRONTS = 3
REPLACED = 3  # fronts, one after the other
UPLOADS_PER_SECOND = 40.0
COPIES_PER_SECOND = 60.0
WORK_SECONDS = (0.05, 0.2)
QUIET_SECONDS = 4.0
AFTER_SECONDS = 3.0
READY_SECONDS = 20.0
KILL_SECONDS = 3.7  # after SIGTERM: the longest deadline, counted as 3 s, and 0.7 s
PATIENCE_SECONDS = 5.0
BODY = b"an image"


class Upload(NamedTuple):
    """An open request.

    Attributes:
        front: the number of the front that it was sent to.
        target: its path and query.
        headers: its headers.
    """

    front: int
    target: str
    headers: dict[str, str]


class Case:
    """The state of one run."""

    def __init__(self, record: rig.Record) -> None:
        """Start without requests."""
        self.record = record
        self.runs: Counter[str] = Counter()
        self.statuses: Counter[int] = Counter()
        self.copy_statuses: Counter[int] = Counter()
        self._open: dict[str, Upload] = {}
        self._numbers = random.Random(3)
        self._tasks: set[asyncio.Task[None]] = set()

    async def play(self, folder: Path, fronts: list[rig.Front]) -> bool:
        """Play the case; return whether no id ran twice."""
        servers = [rig.Server(f"s-{shard}", shard, self._serve) for shard in range(SHARDS)]
        for server in servers:
            await server.listen()
        for number in range(FRONTS):
            agent = rig.Agent(self.record)
            await agent.listen()
            for server in servers:
                agent.set(server.entry())
            config = deployment_settings.configuration(
                deployment_settings.deployment(FRONTS, SHARDS), agent.snapshot()
            )
            fronts.append(rig.Front(f"n{number}", folder, config, agent.port))
            fronts[-1].start()
        for front in fronts:
            await front.until_ready()
        loads = [
            asyncio.ensure_future(self._upload_all([rig.ClientPool(front.port) for front in fronts])),
            asyncio.ensure_future(self._copy_all([front.port for front in fronts])),
        ]
        await asyncio.sleep(QUIET_SECONDS)
        for old in fronts[:REPLACED]:
            if rig.trouble():
                await self._replace(old, fronts)
            await asyncio.sleep(AFTER_SECONDS)
        for load in loads:
            load.cancel()
        await asyncio.gather(*self._tasks)
        return self._verdict()

    async def _replace(self, old: rig.Front, fronts: list[rig.Front]) -> None:
        management = rig.free_port()
        self.record.add("successor started")
        fronts.append(old.successor(management))
        end = self.record.now() + READY_SECONDS
        status = 0
        while status != 200:
            if self.record.now() > end:
                raise rig.CaseError("the successor did not become ready")
            try:
                status, _ = await rig.Client(management).call("GET", "/control/ready", {}, b"", 1.0)
            except (OSError, asyncio.IncompleteReadError):
                await asyncio.sleep(0.02)
        self.record.add("successor ready")
        assert old.child is not None
        old.child.send_signal(signal.SIGTERM)
        await asyncio.sleep(KILL_SECONDS)
        old.kill()
        self.record.add("old process gone")

    async def _serve(self, link: rig.ServerLink, call: rig.Call) -> None:
        self.runs[call.call_id] += 1
        self.record.add("run", id=call.call_id, times=self.runs[call.call_id])
        await asyncio.sleep(self._numbers.uniform(*WORK_SECONDS))
        link.answer(200, b"stored")

    async def _upload_all(self, pools: list[rig.ClientPool]) -> None:
        while True:
            await asyncio.sleep(self._numbers.expovariate(UPLOADS_PER_SECOND))
            front = self._numbers.randrange(FRONTS)
            self._start(self._upload(pools[front], front))

    async def _copy_all(self, ports: list[int]) -> None:
        """Send requests with ids of open requests of a front to that front, each on a new connection."""
        while True:
            await asyncio.sleep(self._numbers.expovariate(COPIES_PER_SECOND))
            if self._open:
                call_id = self._numbers.choice(list(self._open))
                self._start(self._copy(ports[self._open[call_id].front], call_id))

    def _start(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _upload(self, pool: rig.ClientPool, front: int) -> None:
        call_id = f"{self._numbers.getrandbits(64):016x}"
        shard = self._numbers.randrange(SHARDS)
        headers = {
            "X-Call-Id": call_id,
            "X-Plan": "standard",
            "X-Budget": "3.000",
            "X-IO": f"volume={shard + 1:016x},units=1,shard={shard},hosts=1",
        }
        target = f"/image-upload?block={call_id}"
        self._open[call_id] = Upload(front, target, headers)
        self.record.add("sent", id=call_id)
        try:
            status, _ = await pool.call("PUT", target, headers, BODY, PATIENCE_SECONDS)
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            self.record.add("no answer", id=call_id, error=repr(error))
            status = 0
        del self._open[call_id]
        self.record.add("answered", id=call_id, status=status)
        self.statuses[status] += 1

    async def _copy(self, port: int, call_id: str) -> None:
        upload = self._open[call_id]
        self.record.add("bad client sent", id=call_id)
        client = rig.Client(port)
        try:
            status, _ = await client.call("PUT", upload.target, upload.headers, BODY, PATIENCE_SECONDS)
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            status = 0
        client.close()
        self.record.add("bad client answered", id=call_id, status=status)
        self.copy_statuses[status] += 1

    def _verdict(self) -> bool:
        twice = [call_id for call_id, times in self.runs.items() if times > 1]
        summary = {
            "uploads": dict(self.statuses),
            "bad client": dict(self.copy_statuses),
            "run": len(self.runs),
            "run twice": len(twice),
        }
        self.record.add("verdict", **summary)
        print(summary)
        if self.statuses[200] < sum(self.statuses.values()) / 2:
            raise rig.CaseError("too few uploads were served")
        for call_id in twice[:10]:
            print(f"{call_id} ran {self.runs[call_id]} times")
        return not twice


async def play(record: rig.Record, folder: Path, fronts: list[rig.Front]) -> bool:
    """Play the case."""
    return await Case(record).play(folder, fronts)


if __name__ == "__main__":
    sys.exit(rig.run_case(FOLDER, play))
