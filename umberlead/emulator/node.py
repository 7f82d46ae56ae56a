"""Model of a storage node without I/O: which requests it accepts, when they finish, and how they end.

Times are microseconds of the driver's clock. Work is measured in microseconds on a core of speed 1. The cores
(two in the published figures) serve requests in order of arrival; a queue holds further requests, and a
request that finds the queue full is rejected. A request runs at the speed that the node has when the request
starts; warming up, an impairment, a noisy neighbour and many requests in flight reduce that speed. A pause
delays all work that it overlaps. The model has no cancellation: work that was accepted always runs.
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
    """Fixed properties of a node, drawn once from the figures."""

    cores: int = 2
    speed: float = 1.0
    queue_capacity: int = 100  # queued requests at most
    thrash: float = 0.0  # slowdown per doubling of the requests in flight beyond `thrash_at` per core
    thrash_at: float = 6.0
    pause_us: tuple[float, float] = (0.0, 0.0)  # shortest and longest pause
    pause_interval_us: tuple[float, float] = (0.0, 0.0)  # time between pauses; 0: no pauses
    errors: float = 0.0  # fraction of requests that end with an error
    seek: float = 0.0  # fraction of the work that a read of a recently read block saves
    remembers: int = 0  # recently read blocks that are cheaper to read again
    defer: float = 0.0  # fraction of a write's work that is deferred to the next flush
    flush_interval_us: float = 2.0 * SECOND_US
    initial_warmth: float = 1.0
    warm_up_us: float = 16.0 * SECOND_US
    overload_multiple: float = 4.0
    overload_window_us: int = 3 * SECOND_US
    handshake_us: float = 0.0  # work that one new connection costs
    handshake_round_trips: float = 1.0
    max_connections: int = 1200  # open connections at most
    full_tax: float = 0.0  # fraction of the capacity that is lost when the connection table is full
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
    """A request that the node has received completely."""

    id: str
    class_name: str
    volume: str
    block: str
    shard: int
    units: float
    work: float
    write: bool
    front: int
    token: Any = None  # set and used by the driver alone
    arrived_us: int = 0
    started_us: int = 0
    end: str = "ok"
    answer_at_us: int = 0  # later than the end of the work for a delayed answer


@dataclass(slots=True)
class Impairment:
    """A fault of a node that is active from `begin` until `end`."""

    begin: int
    end: int
    kind: str  # slow, neighbour, or how requests end
    value: float  # slowdown factor, fraction of the machine, or fraction of the requests


@dataclass(slots=True)
class _Load:
    held: float = 0.0
    latency: float = 0.0


OUTCOMES = ("error", "reset", "silence", "half", "spoilt", "surplus", "lag", "full", "astray", "early")
# Rejected, or the connection is reset, before the request runs.
REJECTED_OUTCOMES = ("full", "astray", "early")


class Node:
    """One storage node from its start to its end.

    Attributes:
        name: its name.
        shard: the data that it holds.
        traits: its fixed properties.
        zone: its failure domain.
        started_us: when it started.
        chance: random source for how requests end.
        slow_start_since_us: when it began to warm up; negative for a node that started warm.
        state: "up", "draining", "gone" or "fallen".
        impairments: faults that slow it down or change how its requests end.
        waiting: queued requests.
        busy: heap of running work: its end, a sequence number, and the request; None for a flush of deferred
            work.
        deferred_work_us: work of writes that the next flush does.
        handshake_work_us: work of new connections, added to the next request that starts.
        recent: recently requested blocks; reading one of them again is cheaper.
        seen: call ids of earlier attempts; only the first attempt of a call benefits from `recent`.
        connections: number of open connections.
        served: units served, by volume.
        done_work: work started so far, in microseconds.
    """

    def __init__(
        self, name: str, shard: int, of: Traits, seed: int, born: int, cold: bool = False, room: str = ""
    ) -> None:
        """Start a node at the time `born`; its random sources are seeded with `seed` and the name."""
        self.name = name
        self.shard = shard
        self.traits = of
        self.zone = room
        self.started_us = born
        self.chance = random.Random(f"{seed}/{name}/ends")
        self._pause_chance = random.Random(f"{seed}/{name}/pauses")
        self._report_chance = random.Random(f"{seed}/{name}/reports")
        self.slow_start_since_us = born if cold else -FOREVER_US
        self.state = "up"
        self.impairments: list[Impairment] = []
        self.waiting: deque[Job] = deque()
        self.busy: list[tuple[int, int, Job | None]] = []
        self._order = 0
        self._pauses: list[tuple[int, int]] = []
        self._last_pause_end = born
        self.deferred_work_us = 0.0
        self._flush_at = born + int(of.flush_interval_us)
        self.handshake_work_us = 0.0
        self.recent: deque[str] = deque(maxlen=of.remembers or None)
        self.seen: set[str] = set()
        self.connections = 0
        self.served: Counter[str] = Counter()
        self._reported_units: dict[tuple[str, int], int] = {}  # units reported so far, by volume and front
        self._recent_work: deque[tuple[int, float]] = (
            deque()
        )  # arrival time and work within the overload window
        self._recent_work_sum = 0.0
        self._reports: deque[tuple[int, _Load]] = deque([(born, _Load())])
        self._recent_durations: deque[float] = deque(maxlen=20)
        self.done_work = 0.0

    # Speed at a given time

    def warmth(self, now: int) -> float:
        """Return the fraction of the full capacity that the node has at `now`; 1 once it is warm."""
        if self.slow_start_since_us < 0:
            return 1.0
        part = (now - self.slow_start_since_us) / self.traits.warm_up_us
        return min(self.traits.initial_warmth + (1 - self.traits.initial_warmth) * max(part, 0.0), 1.0)

    def _impairment_value(self, now: int, kind: str) -> float:
        return max(
            (s.value for s in self.impairments if s.kind == kind and s.begin <= now < s.end), default=0.0
        )

    def rate(self, now: int) -> float:
        """Return the speed of one core at `now`, relative to a core of speed 1."""
        of = self.traits
        held = self.in_flight
        made = of.speed * self.warmth(now) / max(self._impairment_value(now, "slow"), 1.0)
        made *= 1 - min(self._impairment_value(now, "neighbour"), 0.95)
        made *= 1 - of.full_tax * min(self.connections / of.max_connections, 1.0)
        over = held / (of.thrash_at * of.cores)
        return made / (1 + of.thrash * math.log2(over)) if over > 1 else made

    @property
    def in_flight(self) -> int:
        """Return the number of requests in flight, queued ones included."""
        return len(self.waiting) + len(self.busy)

    def _pause_after(self, at: int) -> tuple[int, int]:
        """Return begin and end of the first pause that ends after `at`; pauses are drawn when needed."""
        if not self.traits.pause_interval_us[1]:
            return FOREVER_US, FOREVER_US
        while not self._pauses or self._pauses[-1][1] <= at:
            begin = self._last_pause_end + int(self._pause_chance.uniform(*self.traits.pause_interval_us))
            self._last_pause_end = begin + int(self._pause_chance.uniform(*self.traits.pause_us))
            self._pauses.append((begin, self._last_pause_end))
            if len(self._pauses) > 64:
                del self._pauses[:32]
        return next(p for p in self._pauses if p[1] > at)

    def finish_of(self, start: int, work: float) -> int:
        """Return when work that starts at `start` is done."""
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
        """Accept a connection; return False if the connection table is full or the node does not run."""
        if self.state in ("gone", "fallen") or self.connections >= self.traits.max_connections:
            return False
        self.connections += 1
        self.handshake_work_us += self.traits.handshake_us
        return True

    def disconnect(self) -> None:
        """Close one connection."""
        self.connections -= 1

    # Requests

    def offer(self, now: int, job: Job) -> str:
        """Accept or reject a request.

        Returns:
            "taken", or why the request is not accepted: "full" (the queue is full), "draining", "astray" (the
            node does not hold the shard), "early" (the connection is reset), "gone" (the node does not run),
            or "fallen": this request overloads a node that warms up, which ends with all of its requests.
        """
        if self.state in ("gone", "fallen"):
            return "gone"
        job.arrived_us = now
        end = self._draw_outcome(now)
        if end in REJECTED_OUTCOMES:
            return end
        if self.state == "draining":
            return "draining"
        if job.shard not in (-1, self.shard):
            return "astray"
        if self._is_overloaded_by(now, job.work):
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

    def _draw_outcome(self, now: int) -> str:
        draw = self.chance.random()
        for spell in self.impairments:
            if spell.kind in OUTCOMES and spell.begin <= now < spell.end:
                if draw < spell.value:
                    return spell.kind
                draw -= spell.value
        return "error" if draw < self.traits.errors else "ok"

    def _is_overloaded_by(self, now: int, work: float) -> bool:
        """Return whether this work overloads a node that warms up.

        That is so when the work offered within the overload window exceeds `overload_multiple` times the work
        that the node can do in such a window at its present speed.
        """
        if self.warmth(now) >= 1.0:
            return False
        since = now - self.traits.overload_window_us
        while self._recent_work and self._recent_work[0][0] <= since:
            self._recent_work_sum -= self._recent_work.popleft()[1]
        self._recent_work.append((now, work))
        self._recent_work_sum += work
        can = self.traits.cores * self.traits.speed * self.warmth(now) * self.traits.overload_window_us
        return self._recent_work_sum > self.traits.overload_multiple * can

    def fall(self) -> list[Job]:
        """End the overloaded node; return its running and queued requests, which are lost."""
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
        """Return when to call `advance` next; `FOREVER_US` if no work is running."""
        return self.busy[0][0] if self.busy else FOREVER_US

    def advance(self, now: int) -> list[Job]:
        """Return the requests that finish up to `now`, in order, and start queued work on the free cores."""
        made = []
        while self.busy and self.busy[0][0] <= now:
            at, _, job = heappop(self.busy)
            if job is not None:
                self._finish(at, job)
                made.append(job)
            self._start_next(at)
        return made

    def _start_next(self, at: int) -> None:
        if self.deferred_work_us and at >= self._flush_at:
            work = self.deferred_work_us
            self.deferred_work_us = 0.0
            self._flush_at = at + int(self.traits.flush_interval_us)
            self._start(at, work, None)
        elif self.waiting:
            self._begin(at, self.waiting.popleft())

    def _finish(self, at: int, job: Job) -> None:
        job.answer_at_us = at + int(self._impairment_value(at, "lag-ms") * 1000) if job.end == "lag" else at
        self._recent_durations.append(float(at - job.started_us))
        self.served[job.volume] += int(job.units)

    # Figures in the node's answers

    def elsewhere(self, volume: str, front: int, units: float) -> int:
        """Return the units served for a volume through other fronts since the last answer to this front.

        `units` are those of the present answer; they are not counted.
        """
        total = self.served[volume]
        told = self._reported_units.get((volume, front), 0)
        self._reported_units[volume, front] = total
        return max(total - told - int(units), 0)

    def report(self, now: int) -> dict[str, float]:
        """Return `inflight` and `latency_ms` of a load report, which is `report_delay_us` old or older."""
        of = self.traits
        if now - self._reports[-1][0] >= of.report_interval_us:
            took = (
                sum(self._recent_durations) / len(self._recent_durations) / 1000
                if self._recent_durations
                else 0.0
            )
            factor = max(1 + self._report_chance.gauss(0, of.report_noise), 0.0)
            self._reports.append((now, _Load(self.in_flight * factor, took * factor)))
        while len(self._reports) > 1 and self._reports[1][0] <= now - of.report_delay_us:
            self._reports.popleft()
        load = self._reports[0][1]
        return {"inflight": round(load.held), "latency_ms": round(load.latency, 1)}


@dataclass(slots=True)
class Meter:
    """Meter of the units that all nodes served per volume and period; a period is reported after a delay."""

    period_us: int
    delay_us: int
    rates: dict[str, float]  # units per second of each volume's plan
    counts: dict[tuple[str, int], float] = field(default_factory=dict)
    _oldest: int = 0

    def add(self, now: int, volume: str, units: float) -> None:
        """Count units served for a volume."""
        key = (volume, now // self.period_us)
        self.counts[key] = self.counts.get(key, 0.0) + units
        if len(self.counts) > 50_000:
            old = (now - self.delay_us) // self.period_us - 4
            self.counts = {k: v for k, v in self.counts.items() if k[1] >= old}

    def percent(self, now: int, volume: str) -> int:
        """Return a volume's use in percent of its plan's rate; -1 before the first period is reported."""
        finished = (now - self.delay_us) // self.period_us - 1
        rate = self.rates.get(volume, 0.0)
        if finished < 0 or not rate:
            return -1
        return round(100 * self.counts.get((volume, finished), 0.0) * SECOND_US / self.period_us / rate)
