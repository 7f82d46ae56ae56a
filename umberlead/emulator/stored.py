"""A chunk server that stores real bytes and takes its timing and outcomes from the node model."""

import asyncio
import random
from collections.abc import Callable
from typing import Any

from umberlead.emulator.figures import Figures
from umberlead.emulator.node import FOREVER_US, SECOND_US, Job, Node, traits
from umberlead.testing.chunkserver import ChunkServer, Model, Record

UNIT_WORK_US = 25_000.0  # mean work of a unit, near the middle of the operators' range
WORK_NOISE_SIGMA = 0.45  # sigma of the log-normal factor on the work
DONE = {"ok": "ok", "lag": "ok", "surplus": "ok", "error": "error"}


class StoringNode(ChunkServer):
    """A chunk server with the timing of an emulated node; create it within a running event loop."""

    def __init__(self, name: str, shard: int, model: Model, record: Record, seed: int) -> None:
        """Draw the node's traits from the published figures, seeded with `seed` and the name."""
        super().__init__(name, shard, model, record, seed)
        of = traits(Figures(), random.Random(f"{seed}/{name}/traits"))
        self._loop = asyncio.get_event_loop()
        self._start_s = self._loop.time()
        self.node = Node(name, shard, of, seed, 0)
        self._timer_due = FOREVER_US

    def _now(self) -> int:
        return int((self._loop.time() - self._start_s) * SECOND_US)

    def admit(self) -> bool:
        """Return whether the node accepts one more connection."""
        return self.node.connect()

    def released(self) -> None:
        """Count a closed connection."""
        self.node.disconnect()

    def figures(self, volume: str) -> bytes:
        """Return the header line of the load report, which every answer carries."""
        load = ",".join(f"{k}={v}" for k, v in self.node.report(self._now()).items())
        return f"X-Load-Report: {load}\r\n".encode()

    def serve(self, row: dict[str, Any], units: float, done: Callable[[str], None]) -> bool:
        """Offer a request to the node model; return False if the model does not accept it."""
        work = UNIT_WORK_US * units * self.chance.lognormvariate(-(WORK_NOISE_SIGMA**2) / 2, WORK_NOISE_SIGMA)
        write = row["method"] == "PUT"
        job = Job(row["id"], row["class"], "", row["block"], row["shard"], units, work, write, 0, done)
        if self.node.offer(self._now(), job) != "taken":
            return False
        self._set_timer()
        return True

    def _set_timer(self) -> None:
        due = self.node.due()
        if due < self._timer_due:
            self._timer_due = due
            self._loop.call_at(self._start_s + due / SECOND_US, self._advance)

    def _advance(self) -> None:
        self._timer_due = FOREVER_US
        for job in self.node.advance(self._now()):
            job.token(self.force or DONE.get(job.end, "reset"))
        self._set_timer()
