"""Measures the load that cold chunk servers get from all front processes: `make bench-cold-ramp`.

Real `Scheduler`s run in virtual time, without I/O. The load is a day of the emulator: volumes are spread over
few shards and few fronts, skewed, with surges and a changing busiest volume. Some fronts learn of the start
of a server seconds late, and some are restarted while it warms up; the old process may then run beside the
new one for a while. The servers are the emulator's; they fail or reject some requests, so that there are
further attempts, and clients retry once. Settings are drawn from the ranges of two deployments. After each
start of a server, windows of the configured length slide over the work sent to it, in requests of mean work;
attempts count whatever their result. N is the number that the settings allow in one window: `coldUnits` at
the start, growing to that of a warm server."""

import argparse
import copy
import json
import math
import random
import subprocess
import sys
import tarfile
import tempfile
import time
from bisect import bisect_right
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from io import BytesIO
from itertools import count
from pathlib import Path
from typing import Any

from umberlead import configuration
from umberlead.emulator.figures import Figures
from umberlead.emulator.node import FOREVER_US, Job, Node, Traits
from umberlead.emulator.settings import settings as emulator_settings
from umberlead.load_generator.day import Day, Request, draw
from umberlead.scheduling import events
from umberlead.scheduling.actions import Cancel, Fail, Reject, Send, SetTimer
from umberlead.scheduling.events import AttemptResult, Endpoint, EndpointList, EndpointStatus, Event, Outcome
from umberlead.scheduling.scheduler import Scheduler
from umberlead.scheduling.settings import Settings

ROOT = Path(__file__).parent.parent
OUT = ROOT / "docs" / "measurements" / "cold-ramp.md"
BASE_REVISION = "602e568"
SECOND = 1_000_000
PROCESSES = (1, 2, 5, 10, 30, 40, 100, 200)
# Number of server starts over all seeds, by number of processes.
STARTS = {1: 30, 2: 30, 5: 30, 10: 50, 30: 90, 40: 60, 100: 40, 200: 20}
LARGE_FLEET_SERVER_UNITS = 18.0  # units a second of a server in a large fleet; drawn in smaller ones
HISTORY_US = 12 * SECOND  # time for the schedulers to learn their traffic
NETWORK_DELAY_US = 300  # us, one-way network delay
WINDOW_STEP_US = 25_000  # us between two evaluated windows
REJECTED_FRACTION = 0.02  # fraction of requests that a server rejects at once
WARM_SERVERS = "rest"  # represents all warm servers: takes new objects and answers at once
WARM_SHARD = 1 << 20  # shard of WARM_SERVERS
SITES: tuple[dict[str, Any], ...] = (
    {},  # defaults of the emulator
    {
        "cold": {"from": [0.2, 0.44], "warm_s": [9.9, 17.0], "least": 0.2, "longest_s": 17.0},
        "node": {"speed": [0.85, 1.7]},
        "class": [
            {"work_ms": [40, 64], "aim_ms": 500, "deadline_ms": 2500},
            {"work_ms": [51, 82], "aim_ms": 500, "deadline_ms": 4000},
            {"work_ms": [120, 190], "aim_ms": 2500, "deadline_ms": 7500},
        ],
    },
)


def figures(site: int) -> Figures:
    made, other = copy.deepcopy(Figures()), SITES[site]
    rows = zip(made.classes, other.get("class", [{}] * 3), strict=True)
    for group, got in [(made.cold, other.get("cold", {})), (made.node, other.get("node", {})), *rows]:
        for key, value in got.items():
            group.got[key]["is"] = value
    return made


@dataclass
class Start:
    """A starting server, the work sent to it and the work that it completed. Work is in us."""

    node: Node
    at: int
    sent: list[tuple[int, float]] = field(default_factory=list)
    offered: dict[int, float] = field(default_factory=dict)  # by second after the start: reads of its shard
    in_time: float = 0.0
    served: float = 0.0


@dataclass
class Windows:
    """Counts and sums over server starts."""

    starts: int = 0
    windows: int = 0
    past: list[int] = field(default_factory=lambda: [0, 0, 0])  # N; N + 2 root N + 2; N + 3 root N + 3
    fell: list[int] = field(default_factory=lambda: [0, 0, 0])  # starts over each limit at some arrival
    most: float = 0.0  # highest ratio of a window to N + 2 root N + 2
    offered: float = 0.0
    bearable: float = 0.0
    capacity: float = 0.0
    done: float = 0.0  # all work that the servers completed
    in_time: float = 0.0

    def add(self, other: "Windows") -> None:
        for key in ("starts", "windows", "offered", "bearable", "capacity", "done", "in_time"):
            setattr(self, key, getattr(self, key) + getattr(other, key))
        self.past = [a + b for a, b in zip(self.past, other.past, strict=True)]
        self.fell = [a + b for a, b in zip(self.fell, other.fell, strict=True)]
        self.most = max(self.most, other.most)


def bounds(n: float) -> tuple[float, float, float]:
    """Returns N and two limits that allow for random variation: the current one and the former one."""
    return n, n + 2 * math.sqrt(n) + 2, n + 3 * math.sqrt(n) + 3


def evaluate_windows(of: Start, s: Settings, mean: float) -> Windows:
    """Evaluates the windows of one start; `mean` is the mean work of a request in us."""
    made, times = Windows(starts=1), [t for t, _ in of.sent]
    sums = [0.0]
    for _, work in of.sent:
        sums.append(sums[-1] + work / mean)

    def window(at: int) -> tuple[float, tuple[float, float, float]]:
        got = sums[bisect_right(times, at)] - sums[bisect_right(times, at - s.slow_start_window_us)]
        grown = s.initial_capacity_ratio + (1 - s.initial_capacity_ratio) * min(
            (at - of.at) / s.warm_up_us, 1.0
        )
        return got, bounds(s.slow_start_units / s.mean_request_units * grown / s.initial_capacity_ratio)

    for at in range(of.at, of.at + s.warm_up_us, WINDOW_STEP_US):
        got, limits = window(at)
        made.windows += 1
        made.past = [p + (got > limit) for p, limit in zip(made.past, limits, strict=True)]
    hit = [False] * 3
    for at in times:
        if at < of.at + s.warm_up_us:
            got, limits = window(at)
            hit = [h or got > limit for h, limit in zip(hit, limits, strict=True)]
            made.most = max(made.most, got / limits[1])
    made.fell = [int(h) for h in hit]
    power = of.node.traits.cores * of.node.traits.speed * SECOND
    for second in range(s.warm_up_us // SECOND):
        can = power * of.node.warmth(of.at + second * SECOND + SECOND // 2)
        asked = of.offered.get(second, 0.0)
        made.offered += asked
        made.capacity += can
        made.bearable += min(can, asked)
    made.done, made.in_time = of.served, of.in_time
    return made


class Process:
    """A front process with its scheduler and its open requests."""

    def __init__(self, world: "World", number: int, seed: int) -> None:
        self.head = Scheduler(world.settings, seed, world.now)
        self.number = number
        self.open: dict[str, tuple[Request, int, int]] = {}  # request, arrival, client's try
        self.tries: dict[str, int] = {}
        self.out: dict[str, tuple[int, str, int]] = {}  # attempt, node, time of sending
        self.alive = True


class World:
    """One random day with `heads` fronts; the same seed always gives the same day."""

    def __init__(self, heads: int, seed: int, starts: int) -> None:
        self.chance = chance = random.Random(f"{heads}/{seed}")
        self.heads, self.of = heads, figures(seed % 2)
        shards = max(heads, 4) if heads > 10 else max(2 * heads, 4)
        self.cold = chance.sample(range(shards), min(starts, max(shards // 2, 1)))
        longest = int(self.of.cold.one("longest_s"))
        self.length = HISTORY_US + (longest + 4) * SECOND
        speed = self.of.node.draw("speed", chance)
        if heads > 10:  # large fleets have small servers
            base = draw(self.of, seconds=0.001, load=0.5, shards=shards, fronts=heads, speed=speed, seed=seed)
            speed *= LARGE_FLEET_SERVER_UNITS / base.power
        self.day: Day = draw(
            self.of,
            seconds=self.length / SECOND,
            load=chance.uniform(0.4, 0.65),
            shards=shards,
            fronts=heads,
            speed=speed,
            seed=seed,
            excess=chance.uniform(0.3, 1.0),
        )
        self.mean = sum(r.work for r in self.day.requests) / len(self.day.requests)
        told = emulator_settings(self.of, self.day, heads, shards)
        told["extra"]["coldUnits"] *= chance.uniform(
            0.38, 1.0
        )  # 0.19 to 0.5 of the slowest server's capacity
        self.settings = configuration.parse_settings(configuration.flatten(told))
        self.kinds = {k.name: k for k in self.day.kinds}
        self.heap: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self.order, self.now = count(), 0
        self.starts = {shard: self._start(shard, speed) for shard in self.cold}
        self.by_node = {of.node.name: of for of in self.starts.values()}
        self.armed: dict[str, int] = defaultdict(lambda: FOREVER_US)
        self.jobs: dict[str, tuple[Process, str, int]] = {}
        self.seed = seed
        self.fronts = [Process(self, n, seed * 1000 + n) for n in range(heads)]
        self.told: list[list[Endpoint]] = [[] for _ in self.fronts]
        self.number = count()

    def _start(self, shard: int, speed: float) -> Start:
        chance, cold = self.chance, self.of.cold
        at = HISTORY_US + int(chance.uniform(0, 2) * SECOND)
        of = Traits(
            cores=2,
            speed=speed * chance.uniform(0.9, 1.1),
            queue_capacity=100,
            errors=0.02,
            initial_warmth=cold.draw("from", chance),
            warm_up_us=cold.draw("warm_s", chance) * SECOND,
            overload_multiple=1e9,
            thrash=self.of.node.draw("thrash", chance),
            thrash_at=self.of.node.draw("thrash_at", chance),
        )
        return Start(Node(f"n{shard}", shard, of, 1, at, cold=True), at)

    def at(self, when: int, what: Callable[..., None], *args: Any) -> None:
        heappush(self.heap, (when, next(self.order), what, args))

    # Fronts

    def feed(self, of: Process, *events: Event) -> None:
        if not of.alive:
            return
        for act in of.head.handle(self.now, list(events)):
            if isinstance(act, Send):
                self.send(of, act)
            elif isinstance(act, SetTimer):
                self.at(self.now + act.delay_us, self.feed, of)
            elif isinstance(act, Reject | Fail):
                self.finish_unserved(of, act.request_id, isinstance(act, Reject))
            elif isinstance(act, Cancel):
                attempt, node, since = of.out.get(act.request_id, (-1, "", 0))
                if attempt == act.attempt:
                    self.at(self.now, self.ended, of, act.request_id, attempt, AttemptResult.CANCELLED)

    def send(self, of: Process, act: Send) -> None:
        attempt = of.tries.get(act.request_id, 0)
        of.tries[act.request_id] = attempt + 1
        of.out[act.request_id] = attempt, act.endpoint, self.now
        if act.endpoint == WARM_SERVERS:
            return self.at(
                self.now + 2 * NETWORK_DELAY_US, self.ended, of, act.request_id, attempt, AttemptResult.OK
            )
        return self.at(self.now + NETWORK_DELAY_US, self.receive_attempt, of, act, attempt)

    def receive_attempt(self, of: Process, act: Send, attempt: int) -> None:
        start = self.by_node[act.endpoint]
        if act.request_id not in of.open:
            return  # the front process has ended, and its connection with it
        r = of.open[act.request_id][0]
        start.sent.append((self.now, r.work))
        name = f"{act.request_id}/{attempt}"
        job = Job(name, r.class_name, r.volume, r.block, r.shard, r.units, r.work, r.write, of.number)
        word = "full" if self.chance.random() < REJECTED_FRACTION else start.node.offer(self.now, job)
        if word != "taken":
            return self.at(
                self.now + NETWORK_DELAY_US, self.ended, of, act.request_id, attempt, AttemptResult.REJECTED
            )
        self.jobs[name] = of, act.request_id, attempt
        return self.schedule_advance(start)

    def schedule_advance(self, start: Start) -> None:
        due = start.node.due()
        if due < self.armed[start.node.name]:
            self.armed[start.node.name] = due
            self.at(due, self.advance, start)

    def advance(self, start: Start) -> None:
        self.armed[start.node.name] = FOREVER_US
        for job in start.node.advance(self.now):
            of, request, attempt = self.jobs.pop(job.id)
            if self.now < start.at + self.settings.warm_up_us:
                start.served += job.work
            result = AttemptResult.OK if job.end == "ok" else AttemptResult.ERROR
            self.at(self.now + NETWORK_DELAY_US, self.ended, of, request, attempt, result)
        self.schedule_advance(start)

    def ended(self, of: Process, request: str, attempt: int, result: AttemptResult) -> None:
        if request not in of.open or of.out.get(request, (-1,))[0] != attempt:
            return
        _, node, since = of.out.pop(request)
        r, came, _ = of.open[request]
        final = result is AttemptResult.OK or self.now >= came + self.kinds[r.class_name].timeout_us
        start = self.starts.get(r.shard)
        if (
            start is not None
            and result is AttemptResult.OK
            and self.now - r.at <= self.kinds[r.class_name].latency_objective_us
        ):
            start.in_time += r.work * (start.at <= self.now < start.at + self.settings.warm_up_us)
        if final:
            of.open.pop(request)
        elapsed = self.now - since if node != WARM_SERVERS else 20_000
        self.feed(of, Outcome(request, node, attempt, result, elapsed, final))

    def finish_unserved(self, of: Process, request: str, harmless: bool) -> None:
        r, came, number = of.open.pop(request)
        of.out.pop(request, None)
        kind = self.kinds[r.class_name]
        again = number == 0 and self.day.retries and (harmless or not r.write)
        if again and self.now < r.at + kind.timeout_us:
            self.at(self.now + self.day.retry_wait, self.ask, r, 1)

    def expire(self, of: Process, request: str) -> None:
        """Ends a request at its deadline: an attempt in progress times out."""
        if request in of.open and request in of.out:
            self.ended(of, request, of.out[request][0], AttemptResult.TIMEOUT)

    # Clients

    def ask(self, r: Request, number: int = 0) -> None:
        of, kind = self.fronts[r.front], self.kinds[r.class_name]
        shard = -1 if r.write else r.shard
        name, until = f"q{next(self.number)}", r.at + kind.timeout_us
        if until <= self.now:
            return
        if number == 0 and (start := self.starts.get(shard)) and self.now >= start.at:
            second = (self.now - start.at) // SECOND
            start.offered[second] = start.offered.get(second, 0.0) + r.work
        of.open[name] = r, r.at, number
        self.at(until, self.expire, of, name)
        self.feed(of, self.request(r, name, shard, until))

    def request(self, r: Request, name: str, shard: int, until: int) -> events.Request:
        return events.Request(
            name, r.block, r.volume, until, shard, float(r.units), r.class_name, r.plan, r.hosts
        )

    def feed_unmeasured(self, front: int, rows: list[Request]) -> None:
        """Feeds requests for shards that are not measured to the scheduler; they expire 1 us later."""
        of, made = self.fronts[front], []
        for r in rows:
            name = f"q{next(self.number)}"
            of.open[name] = r, r.at, 1
            made.append(self.request(r, name, r.shard, self.now + 1))
        self.feed(of, *made)

    # Events of fronts

    def update_endpoint(self, front: int, node: Endpoint) -> None:
        self.told[front].append(node)
        self.feed(self.fronts[front], EndpointList(False, (node,)))

    def restart(self, front: int, beside: bool) -> None:
        old = self.fronts[front]
        if beside:  # the new process takes all new requests; the old one has 3 s for its open ones
            self.at(self.now + 3 * SECOND, self.end, old)
        else:
            self.end(old)
        new = self.fronts[front] = Process(self, front, self.seed * 1000 + 500 + front)
        self.feed(new, EndpointList(True, tuple(self.told[front])))

    def end(self, of: Process) -> None:
        of.alive = False
        of.open.clear()

    def play(self) -> Windows:
        chance = self.chance
        others = Endpoint(
            WARM_SERVERS,
            EndpointStatus.UP,
            WARM_SHARD,
            0,
            float(max(self.settings.shard_count - len(self.cold), 1)),
        )
        late = chance.random() < 0.5
        for n in range(self.heads):
            self.update_endpoint(n, others)
            behind = chance.uniform(2, 7.5) if late and chance.random() < 0.33 else 0.0
            spread = chance.uniform(0.27, 2.4) + behind
            for start in self.starts.values():
                node = Endpoint(start.node.name, EndpointStatus.UP, start.node.shard, start.at, 1.0)
                self.at(
                    start.at + int((spread + chance.uniform(0, 0.3)) * SECOND), self.update_endpoint, n, node
                )
        struck = chance.choice([0.0, 0.3, 0.7])
        moment = HISTORY_US + int(chance.uniform(1, 8) * SECOND)
        for n in range(self.heads):
            if chance.random() < struck:
                back = moment + int(chance.uniform(0, 1) * SECOND)
                self.at(back, self.restart, n, chance.random() < 0.3)
        lumps: dict[tuple[int, int], list[Request]] = defaultdict(list)
        for r in self.day.requests:
            if r.at >= HISTORY_US - 2 * SECOND and (r.write or r.shard in self.starts):
                self.at(r.at, self.ask, r)
            elif not r.write:
                lumps[r.front, r.at // (SECOND // 2)].append(r)
        for (n, half), rows in lumps.items():
            self.at((half + 1) * (SECOND // 2), self.feed_unmeasured, n, rows)
        while self.heap and self.heap[0][0] < self.length:
            self.now, _, what, args = heappop(self.heap)
            what(*args)
        made = Windows()
        for start in self.starts.values():
            made.add(evaluate_windows(start, self.settings, self.mean))
        return made


def play(heads: int, starts: int, seed: int = 0) -> Windows:
    """Plays random days until at least `starts` server starts are measured."""
    made = Windows()
    while made.starts < starts:
        made.add(World(heads, seed, starts - made.starts).play())
        seed += 1
    return made


def run(processes: list[int]) -> list[dict[str, Any]]:
    rows = []
    for heads in processes:
        began = time.process_time()
        got = play(heads, STARTS[heads])
        rows.append({"processes": heads, "took": time.process_time() - began} | vars(got))
        print(json.dumps(rows[-1]), file=sys.stderr, flush=True)
    return rows


def at_revision(rev: str, processes: list[int]) -> list[dict[str, Any]]:
    """Runs the current version of this file with the program of an earlier revision."""
    packed = subprocess.run(["git", "archive", rev, "umberlead"], cwd=ROOT, capture_output=True, check=True)
    with tempfile.TemporaryDirectory() as folder:
        with tarfile.open(fileobj=BytesIO(packed.stdout)) as tar:
            tar.extractall(folder, filter="data")
        (Path(folder) / "benchmarks").mkdir()
        (Path(folder) / "benchmarks" / "__init__.py").touch()
        (Path(folder) / "benchmarks" / "cold_ramp.py").write_bytes(Path(__file__).read_bytes())
        words = ["--json", *(str(p) for p in processes)]
        got = subprocess.run(
            [sys.executable, "-B", "-m", "benchmarks.cold_ramp", *words],
            cwd=folder,
            stdout=subprocess.PIPE,
            check=True,
        )
    return list(json.loads(got.stdout))


def table(rows: list[dict[str, Any]]) -> list[str]:
    lines = [
        "| processes | starts | windows past N | past N + 2 root N + 2 | past N + 3 root N + 3 "
        "| starts past the second, the third | highest over the second "
        "| in time, of offered | of bearable | run, of capacity |",
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    for r in rows:
        shares = " | ".join(f"{p / r['windows']:.3%}" for p in r["past"])
        served = [r["in_time"] / r["offered"], r["in_time"] / r["bearable"], r["done"] / r["capacity"]]
        past = f"{r['fell'][1]}, {r['fell'][2]} | {r['most']:.2f}"
        lines.append(
            f"| {r['processes']} | {r['starts']} | {shares} | {past} | "
            + " | ".join(f"{v:.1%}" for v in served)
            + " |"
        )
    return lines


def main() -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument("processes", nargs="*", type=int, default=list(PROCESSES))
    parser.add_argument("--keep", action="store_true")
    parser.add_argument("--json", action="store_true", help="figures alone")
    parser.add_argument("--against", default=BASE_REVISION, help="revision to compare with; - for none")
    args = parser.parse_args()
    if args.json:
        print(json.dumps(run(args.processes)))
        return 0
    parts = [("Now", run(args.processes))]
    if args.against != "-":
        parts.insert(0, (f"Before ({args.against})", at_revision(args.against, args.processes)))
    text = "\n\n".join(f"## {title}\n\n" + "\n".join(table(rows)) for title, rows in parts)
    print(text)
    if args.keep:
        said = OUT.read_text().split("## Before")[0] if OUT.exists() else "# Cold servers by processes\n\n"
        OUT.write_text(f"{said}{text}\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
