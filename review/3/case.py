"""Some answers of chunk servers, of no told length, never end."""

import asyncio
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import rig  # noqa: E402
import settings as deployment_settings  # noqa: E402

SHARDS = 10
FRONTS = 3
SPOILT_SHARE = 0.05  # of the answers
PIECE_SECONDS = 0.1  # between two pieces of an answer
PIECE = b"0123456789abcdef"
WHOLE_PIECES = 3  # of an answer that ends
BUDGET_SECONDS = 2.0
GRACE_SECONDS = 0.55  # half a second after a request's time, and 50 ms on sockets
LEAVE_SECONDS = 10.0  # the client gives up this long after its request
READS_PER_SECOND = 20.0
PLAY_SECONDS = 25.0


class Case:
    """The state of one run."""

    def __init__(self, record: rig.Record) -> None:
        """Start without requests."""
        self.record = record
        self.outcomes: dict[str, int] = {}
        self.late: list[tuple[str, float]] = []
        self._numbers = random.Random(13)
        self._ports: list[int] = []
        self._reads: set[asyncio.Task[None]] = set()

    async def play(self, folder: Path, fronts: list[rig.Front]) -> bool:
        """Play the case; return whether each request got its final answer in time."""
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
        self._ports = [front.port for front in fronts]
        end = self.record.now() + PLAY_SECONDS
        while self.record.now() < end:
            read = asyncio.ensure_future(self._read())
            self._reads.add(read)
            read.add_done_callback(self._reads.discard)
            await asyncio.sleep(self._numbers.expovariate(READS_PER_SECOND))
        await asyncio.gather(*self._reads)
        return self._verdict()

    async def _serve(self, link: rig.ServerLink, call: rig.Call) -> None:
        spoilt = rig.trouble() and self._numbers.random() < SPOILT_SHARE
        self.record.add("run", id=call.call_id, spoilt=spoilt)
        await asyncio.sleep(0.01)
        assert link.transport is not None
        link.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        pieces = 0
        while link.is_open and (spoilt or pieces < WHOLE_PIECES):
            link.transport.write(b"%x\r\n%s\r\n" % (len(PIECE), PIECE))
            pieces += 1
            await asyncio.sleep(PIECE_SECONDS)
        if link.is_open:
            link.transport.write(b"0\r\n\r\n")
        self.record.add("server ended", id=call.call_id, pieces=pieces, left=not link.is_open)

    async def _read(self) -> None:
        call_id = f"{self._numbers.getrandbits(64):016x}"
        shard = self._numbers.randrange(SHARDS)
        headers = {
            "X-Call-Id": call_id,
            "X-Plan": "standard",
            "X-Budget": f"{BUDGET_SECONDS:.3f}",
            "X-IO": f"volume={shard + 1:016x},units=1,shard={shard},hosts={FRONTS}",
        }
        client = rig.Client(self._numbers.choice(self._ports))
        began = self.record.now()
        self.record.add("sent", id=call_id, shard=shard)
        try:
            status, body = await client.call(
                "GET", f"/image-read?block={call_id}", headers, b"", LEAVE_SECONDS
            )
            whole = status != 200 or body == PIECE * WHOLE_PIECES
            outcome = f"{status}" if whole else "spoilt body"
        except TimeoutError:
            outcome = "no end"
        except (OSError, asyncio.IncompleteReadError):
            outcome = "broken off"
        client.close()
        took = self.record.now() - began
        self.record.add("ended", id=call_id, outcome=outcome, took=round(took, 3))
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1
        if took > BUDGET_SECONDS + GRACE_SECONDS:
            self.late.append((call_id, took))

    def _verdict(self) -> bool:
        summary = {"outcomes": self.outcomes, "without a final answer in time": len(self.late)}
        self.record.add("verdict", **summary)
        print(summary)
        if self.outcomes.get("200", 0) < sum(self.outcomes.values()) / 2:
            raise rig.CaseError("too few requests were served")
        for call_id, took in self.late[:10]:
            print(f"{call_id} had no final answer {took:.2f} s after it was sent")
        return not self.late


async def play(record: rig.Record, folder: Path, fronts: list[rig.Front]) -> bool:
    """Play the case."""
    return await Case(record).play(folder, fronts)


if __name__ == "__main__":
    sys.exit(rig.run_case(FOLDER, play))
