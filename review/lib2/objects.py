"""What the cases of the object API share: the front's configuration, and steady uploads and reads."""

import asyncio
import hashlib
from dataclasses import dataclass, field

from rig import HOST, Answer, Case, ask, configuration, free_port

SHARD_COUNT = 3


@dataclass
class ObjectFront:
    """The ports of a front with an object API.

    Attributes:
        objects: the object API's port.
        management: the operators' port.
    """

    objects: int = field(default_factory=free_port)
    management: int = field(default_factory=free_port)

    def replacements(self, shard_count: int = SHARD_COUNT) -> dict[str, str]:
        """Return the lines of a configuration of deploy/ that differ here."""
        return {
            r'^(# )?management = "127\.0\.0\.1:9001"': f'management = "{HOST}:{self.management}"',
            r'^listen = "127\.0\.0\.1:9000"': f'listen = "{HOST}:{self.objects}"',
            r"^nShards = \d+": f"nShards = {shard_count}",
        }

    def text(self, discovery_port: int, shard_count: int = SHARD_COUNT) -> str:
        """Return deploy/objects.toml with this front's ports and a discovery."""
        discovery = {r'^discovery = "127\.0\.0\.1:8500"': f'discovery = "{HOST}:{discovery_port}"'}
        return configuration("objects.toml", discovery | self.replacements(shard_count))


def shard_of(bucket: str, key: str, shard_count: int = SHARD_COUNT) -> int:
    """Return the shard of an object, as the README has it: the one that its key hashes to."""
    digest = hashlib.blake2b("\0".join(("shard", bucket, key)).encode(), digest_size=8).hexdigest()
    return int(digest, 16) % shard_count


class SteadyClient:
    """A client that uploads small objects one after the other, some a second, and reads each once.

    Attributes:
        uploads: the answer to each upload, with when it was sent.
        wrong_reads: objects whose read gave other bytes than their upload had.
    """

    def __init__(self, case: Case, port: int, interval_seconds: float) -> None:
        """Prepare a client of the object API at `port`."""
        self.uploads: list[tuple[float, Answer]] = []
        self.wrong_reads: list[str] = []
        self._case = case
        self._port = port
        self._interval_seconds = interval_seconds
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, seconds: float) -> None:
        """Upload and read for some seconds, and wait for all answers."""
        record = self._case.record
        end = record.now() + seconds
        number = 0
        while record.now() < end:
            number += 1
            task = asyncio.get_running_loop().create_task(self._put_and_get(f"steady/{number}"))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(self._interval_seconds)
        await asyncio.gather(*self._tasks)

    async def _put_and_get(self, key: str) -> None:
        record = self._case.record
        body = f"{key} ".encode() * 100
        sent = record.now()
        stored = await ask(record, self._port, "PUT", f"/scans/{key}", {}, body)
        self.uploads.append((sent, stored))
        if stored.status == 200:
            read = await ask(record, self._port, "GET", f"/scans/{key}", {})
            if read.status == 200 and read.body != body:
                self.wrong_reads.append(key)
