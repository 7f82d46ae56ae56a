"""An emulated node that keeps what it is given: the model's times and turns, real bytes."""

import asyncio
import random
from collections.abc import Callable
from typing import Any

from umberlead.emulator.figures import Figures
from umberlead.emulator.node import FOREVER_US, SECOND_US, Job, Node, traits
from umberlead.testing.chunkserver import ChunkServer, Model, Record

UNIT_WORK_US = 25_000.0  # us of work of a unit, near the middle of the operators' days
WORK_NOISE_SIGMA = 0.45  # sigma of the factor on it
DONE = {"ok": "ok", "lag": "ok", "surplus": "ok", "error": "error"}


class StoringNode(ChunkServer):
    """A chunk server with an emulated node's times; it is to be made within a running event loop."""

    def __init__(self, name: str, shard: int, model: Model, record: Record, seed: int) -> None:
        """Draw the node's traits from the published figures, by `seed` and the name."""
        super().__init__(name, shard, model, record, seed)
        of = traits(Figures(), random.Random(f"{seed}/{name}/traits"))
        self._loop = asyncio.get_event_loop()
        self._begin = self._loop.time()
        self.node = Node(name, shard, of, seed, 0)
        self._armed = FOREVER_US

    def _now(self) -> int:
        return int((self._loop.time() - self._begin) * SECOND_US)

    def admit(self) -> bool:
        """Tell whether one more connection may be made."""
        return self.node.connect()

    def released(self) -> None:
        """Note that a connection has ended."""
        self.node.disconnect()

    def figures(self, volume: str) -> bytes:
        """Return the load report that every answer has."""
        load = ",".join(f"{k}={v}" for k, v in self.node.report(self._now()).items())
        return f"X-Load-Report: {load}\r\n".encode()

    def serve(self, row: dict[str, Any], units: float, done: Callable[[str], None]) -> bool:
        """Work as the emulated node does; return False where it rejects the request."""
        work = UNIT_WORK_US * units * self.chance.lognormvariate(-(WORK_NOISE_SIGMA**2) / 2, WORK_NOISE_SIGMA)
        write = row["method"] == "PUT"
        job = Job(row["id"], row["class"], "", row["block"], row["shard"], units, work, write, 0, done)
        if self.node.offer(self._now(), job) != "taken":
            return False
        self._arm()
        return True

    def _arm(self) -> None:
        due = self.node.due()
        if due < self._armed:
            self._armed = due
            self._loop.call_at(self._begin + due / SECOND_US, self._advance)

    def _advance(self) -> None:
        self._armed = FOREVER_US
        for job in self.node.advance(self._now()):
            job.token(self.force or DONE.get(job.end, "reset"))
        self._arm()
