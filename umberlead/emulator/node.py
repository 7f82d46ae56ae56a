"""A storage node, free of I/O: what it takes, when that is done, and how it ends.

Times are microseconds of the driver's clock; work is the microseconds that a core of speed 1 takes. Two
cores serve in the order of arrival; a queue holds more, and what finds it full is rejected. The speed of a
piece of work is that at its start (warming up, slow, a neighbour, many in flight); pauses stretch whatever
they meet. A cancel stops nothing: the model knows of none.
"""

import math
import random
from collections import Counter, deque
from dataclasses import dataclass, field
from heapq import heappop, heappush
from typing import Any

from umberlead.emulator.figures import Figures

SECOND_US = 1_000_000
FOREVER_US = 1 << 62


@dataclass(frozen=True, slots=True)
class Traits:
    """What a node is like, drawn once."""

    cores: int = 2
    speed: float = 1.0
    queue_capacity: int = 100  # requests that wait
    thrash: float = 0.0  # work more with each doubling of what is held beyond `thrash_at` a core
    thrash_at: float = 6.0
    pause_us: tuple[float, float] = (0.0, 0.0)  # us, shortest and longest
    pause_interval_us: tuple[float, float] = (0.0, 0.0)  # us; 0: never
    errors: float = 0.0
    seek: float = 0.0  # part of the work that a repeat saves
    remembers: int = 0
    defer: float = 0.0  # part of a write's work that is put off
    flush_interval_us: float = 2.0 * SECOND_US
    initial_warmth: float = 1.0
    warm_up_us: float = 16.0 * SECOND_US
    overload_multiple: float = 4.0
    overload_window_us: int = 3 * SECOND_US
    handshake_us: float = 0.0  # us of work
    handshake_round_trips: float = 1.0
    max_connections: int = 1200  # connections at most
    full_tax: float = 0.0  # of the capacity, with the table full
    report_interval_us: float = 400_000.0
    report_delay_us: float = 200_000.0
    report_noise: float = 0.0


def traits(of: Figures, chance: random.Random) -> Traits:
    """Draw a node's traits from the operators' figures."""
    node = of.node
    cold = of.cold
    links = of.links
    reports = of.reports
    cores = int(node.one("cores"))
    pause = node.range("pause_ms")
    every = node.range("pause_every_s")
    return Traits(
        cores,
        node.draw("speed", chance),
        round(node.draw("queue_per_core", chance) * cores),
        node.draw("thrash", chance),
        node.draw("thrash_at", chance),
        (pause[0] * 1000, pause[1] * 1000),
        (every[0] * SECOND_US, every[1] * SECOND_US),
        node.draw("error_rate", chance),
        node.draw("seek", chance),
        node.draw_int("remembers", chance),
        node.draw("defer", chance),
        node.draw("flush_s", chance) * SECOND_US,
        cold.draw("from", chance),
        cold.draw("warm_s", chance) * SECOND_US,
        cold.one("multiple"),
        int(cold.one("window_s") * SECOND_US),
        links.draw("handshake_us", chance),
        links.draw("handshake_rtts", chance),
        round(links.draw("cap_per_core", chance) * cores),
        links.draw("full_tax", chance),
        reports.draw("period_ms", chance) * 1000,
        reports.draw("delay_ms", chance) * 1000,
        reports.draw("noise", chance),
    )


@dataclass(slots=True)
class Job:
    """A request that has come whole."""

    id: str
    class_name: str
    volume: str
    block: str
    shard: int
    units: float
    work: float
    write: bool
    front: int
    token: Any = None  # the driver's own
    arrived_us: int = 0
    started_us: int = 0
    end: str = "ok"
    answer_at_us: int = 0  # slow answers leave later than the work's end


@dataclass(slots=True)
class Impairment:
    """Something that holds from a time to a time."""

    begin: int
    end: int
    kind: str  # slow, neighbour, or how requests end
    value: float  # slower by, part of the machine, part of the requests


@dataclass(slots=True)
class _Load:
    held: float = 0.0
    latency: float = 0.0


ENDS = ("error", "reset", "silence", "half", "spoilt", "surplus", "lag", "full", "astray", "early")
BEFORE = ("full", "astray", "early")  # turned away or broken before it runs


class Node:
    """One storage node from its start to its end.

    Attributes:
        name: its name.
        shard: the data that it holds.
        traits: what it is like.
        zone: its failure domain.
        started_us: when it started.
        chance: of how requests end.
        slow_start_since_us: when it began to warm up; far in the past for a warm one.
        state: "up", "draining", "gone" or "fallen".
        impairments: what slows it down or spoils its answers, by time.
        waiting: requests in its queue.
        busy: by end of work: when, an order, and the request; None for work put off before.
        deferred_work_us: of writes, that is put off.
        handshake_work_us: of new connections, done with the next request.
        recent: blocks that are cheaper to read again.
        seen: call ids that came before: only a first attempt is cheaper.
        connections: how many are open.
        served: units by volume.
        done_work: begun so far.
    """

    def __init__(
        self, name: str, shard: int, of: Traits, seed: int, born: int, cold: bool = False, room: str = ""
    ) -> None:
        """Start a node at `born`; all that is left to chance is drawn from `seed` and the name."""
        self.name = name
        self.shard = shard
        self.traits = of
        self.zone = room
        self.started_us = born
        self.chance = random.Random(f"{seed}/{name}/ends")
        self._quiet = random.Random(f"{seed}/{name}/pauses")
        self._noise = random.Random(f"{seed}/{name}/reports")
        self.slow_start_since_us = born if cold else -FOREVER_US
        self.state = "up"
        self.impairments: list[Impairment] = []
        self.waiting: deque[Job] = deque()
        self.busy: list[tuple[int, int, Job | None]] = []
        self._order = 0
        self._pauses: list[tuple[int, int]] = []
        self._last_pause = born
        self.deferred_work_us = 0.0
        self._flush_at = born + int(of.flush_interval_us)
        self.handshake_work_us = 0.0
        self.recent: deque[str] = deque(maxlen=of.remembers or None)
        self.seen: set[str] = set()
        self.connections = 0
        self.served: Counter[str] = Counter()
        self._through: dict[tuple[str, int], int] = {}  # what was told, by volume and front
        self._sent: deque[tuple[int, float]] = deque()  # work in the window of the cold rule
        self._sum = 0.0
        self._reports: deque[tuple[int, _Load]] = deque([(born, _Load())])
        self._took: deque[float] = deque(maxlen=20)
        self.done_work = 0.0

    # What it is like at a time

    def warmth(self, now: int) -> float:
        """Return the part of its capacity, to 1, that it has now."""
        if self.slow_start_since_us < 0:
            return 1.0
        part = (now - self.slow_start_since_us) / self.traits.warm_up_us
        return min(self.traits.initial_warmth + (1 - self.traits.initial_warmth) * max(part, 0.0), 1.0)

    def _value(self, now: int, kind: str) -> float:
        return max(
            (s.value for s in self.impairments if s.kind == kind and s.begin <= now < s.end), default=0.0
        )

    def rate(self, now: int) -> float:
        """Return the speed of one core now, against one of speed 1."""
        of = self.traits
        held = self.in_flight
        made = of.speed * self.warmth(now) / max(self._value(now, "slow"), 1.0)
        made *= 1 - min(self._value(now, "neighbour"), 0.95)
        made *= 1 - of.full_tax * min(self.connections / of.max_connections, 1.0)
        over = held / (of.thrash_at * of.cores)
        return made / (1 + of.thrash * math.log2(over)) if over > 1 else made

    @property
    def in_flight(self) -> int:
        """Return how many requests it has, those that wait included."""
        return len(self.waiting) + len(self.busy)

    def _pause_after(self, at: int) -> tuple[int, int]:
        """Return the first pause that ends after `at`; pauses are drawn as time goes on."""
        if not self.traits.pause_interval_us[1]:
            return FOREVER_US, FOREVER_US
        while not self._pauses or self._pauses[-1][1] <= at:
            begin = self._last_pause + int(self._quiet.uniform(*self.traits.pause_interval_us))
            self._last_pause = begin + int(self._quiet.uniform(*self.traits.pause_us))
            self._pauses.append((begin, self._last_pause))
            if len(self._pauses) > 64:
                del self._pauses[:32]
        return next(p for p in self._pauses if p[1] > at)

    def finish_of(self, start: int, work: float) -> int:
        """Return when work begun at `start` is done."""
        left = work / self.rate(start)
        at = float(start)
        while True:
            begin, end = self._pause_after(int(at))
            if at + left <= begin:
                return int(at + left)
            left -= max(begin - at, 0.0)
            at = float(end)

    # Connections

    def connect(self) -> bool:
        """Make another connection; return False where the table is full, or nobody listens."""
        if self.state in ("gone", "fallen") or self.connections >= self.traits.max_connections:
            return False
        self.connections += 1
        self.handshake_work_us += self.traits.handshake_us
        return True

    def disconnect(self) -> None:
        """End a connection."""
        self.connections -= 1

    # Requests

    def offer(self, now: int, job: Job) -> str:
        """Take a request, or not.

        Returns:
            "taken", or why not: "full", "draining", "astray", "early" (its connection breaks), "gone". A
            server that is pushed over takes what pushed it, and ends it with all else: "fallen".
        """
        if self.state in ("gone", "fallen"):
            return "gone"
        job.arrived_us = now
        end = self._drawn(now)
        if end in BEFORE:
            return end
        if self.state == "draining":
            return "draining"
        if job.shard not in (-1, self.shard):
            return "astray"
        if self._pushed(now, job.work):
            return "fallen"
        if len(self.busy) >= self.traits.cores and len(self.waiting) >= self.traits.queue_capacity:
            return "full"
        job.end = end
        if self.traits.remembers:
            if job.block in self.recent and job.id not in self.seen:
                job.work *= 1 - self.traits.seek
            self.recent.append(job.block)
        self.seen.add(job.id)
        if len(self.busy) < self.traits.cores:
            self._begin(now, job)
        else:
            self.waiting.append(job)
        return "taken"

    def _drawn(self, now: int) -> str:
        draw = self.chance.random()
        for spell in self.impairments:
            if spell.kind in ENDS and spell.begin <= now < spell.end:
                if draw < spell.value:
                    return spell.kind
                draw -= spell.value
        return "error" if draw < self.traits.errors else "ok"

    def _pushed(self, now: int, work: float) -> bool:
        """Tell whether it falls: the window has more than the multiple of what it can do at this moment."""
        if self.warmth(now) >= 1.0:
            return False
        since = now - self.traits.overload_window_us
        while self._sent and self._sent[0][0] <= since:
            self._sum -= self._sent.popleft()[1]
        self._sent.append((now, work))
        self._sum += work
        can = self.traits.cores * self.traits.speed * self.warmth(now) * self.traits.overload_window_us
        return self._sum > self.traits.overload_multiple * can

    def fall(self) -> list[Job]:
        """Fall; return the requests that are lost with it."""
        lost = [job for _, _, job in self.busy if job is not None] + list(self.waiting)
        self.state = "fallen"
        self.busy.clear()
        self.waiting.clear()
        return lost

    def _begin(self, now: int, job: Job) -> None:
        work = job.work + self.handshake_work_us
        self.handshake_work_us = 0.0
        if job.write:
            self.deferred_work_us += job.work * self.traits.defer
            work -= job.work * self.traits.defer
        self._start(now, work, job)

    def _start(self, now: int, work: float, job: Job | None) -> None:
        if job is not None:
            job.started_us = now
        self.done_work += work
        self._order += 1
        heappush(self.busy, (self.finish_of(now, work), self._order, job))

    def due(self) -> int:
        """Return when to call `advance` next; `FOREVER_US` where nothing is in work."""
        return self.busy[0][0] if self.busy else FOREVER_US

    def advance(self, now: int) -> list[Job]:
        """Return what is done by `now`, in order; the cores go on with what waits."""
        made = []
        while self.busy and self.busy[0][0] <= now:
            at, _, job = heappop(self.busy)
            if job is not None:
                self._ended(at, job)
                made.append(job)
            self._next(at)
        return made

    def _next(self, at: int) -> None:
        if self.deferred_work_us and at >= self._flush_at:
            work = self.deferred_work_us
            self.deferred_work_us = 0.0
            self._flush_at = at + int(self.traits.flush_interval_us)
            self._start(at, work, None)
        elif self.waiting:
            self._begin(at, self.waiting.popleft())

    def _ended(self, at: int, job: Job) -> None:
        job.answer_at_us = at + int(self._value(at, "lag-ms") * 1000) if job.end == "lag" else at
        self._took.append(float(at - job.started_us))
        self.served[job.volume] += int(job.units)

    # What its answers tell

    def elsewhere(self, volume: str, front: int, units: float) -> int:
        """Return units served for a volume through other fronts since the last answer to this front.

        `units` are this answer's own.
        """
        total = self.served[volume]
        told = self._through.get((volume, front), 0)
        self._through[volume, front] = total
        return max(total - told - int(units), 0)

    def report(self, now: int) -> dict[str, float]:
        """Return `inflight` and `latency_ms` as they were some time ago."""
        of = self.traits
        if now - self._reports[-1][0] >= of.report_interval_us:
            took = sum(self._took) / len(self._took) / 1000 if self._took else 0.0
            factor = max(1 + self._noise.gauss(0, of.report_noise), 0.0)
            self._reports.append((now, _Load(self.in_flight * factor, took * factor)))
        while len(self._reports) > 1 and self._reports[1][0] <= now - of.report_delay_us:
            self._reports.popleft()
        load = self._reports[0][1]
        return {"inflight": round(load.held), "latency_ms": round(load.latency, 1)}


@dataclass(slots=True)
class Meter:
    """What a volume was served everywhere in a finished period, told late."""

    period_us: int
    delay_us: int
    rates: dict[str, float]  # units a second of each volume's plan
    counts: dict[tuple[str, int], float] = field(default_factory=dict)
    _oldest: int = 0

    def add(self, now: int, volume: str, units: float) -> None:
        """Note that units were served for a volume."""
        key = (volume, now // self.period_us)
        self.counts[key] = self.counts.get(key, 0.0) + units
        if len(self.counts) > 50_000:
            old = (now - self.delay_us) // self.period_us - 4
            self.counts = {k: v for k, v in self.counts.items() if k[1] >= old}

    def percent(self, now: int, volume: str) -> int:
        """Return a volume's use in percent of its plan's rate; -1 before the first period is told."""
        finished = (now - self.delay_us) // self.period_us - 1
        rate = self.rates.get(volume, 0.0)
        if finished < 0 or not rate:
            return -1
        return round(100 * self.counts.get((volume, finished), 0.0) * SECOND_US / self.period_us / rate)
