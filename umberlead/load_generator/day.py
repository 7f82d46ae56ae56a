"""Draws the requests of a simulated day in advance from the operators' figures and a seed (open loop).

Each volume belongs to a plan and sends requests at its plan's rate. Some volumes exceed that rate all day;
others send a multiple of it in surges. A volume's requests arrive through a few fronts, unevenly, and the
busiest of these fronts changes over the day. A read may request an object written a few seconds earlier; its
shard is known only when the day is played, because the write is placed then.
"""

import math
import random
from bisect import bisect_right
from collections.abc import Iterator
from dataclasses import dataclass, field

from umberlead.common.errors import UmberleadError
from umberlead.emulator.figures import Figures

SECOND_US = 1_000_000
FRESH_OBJECT_US = 8 * SECOND_US  # greatest age of a write that a read of a fresh object refers to
MAX_FRESH_OBJECT_COUNT = 400


class InvalidDayError(UmberleadError, ValueError):
    """A day's length, its load, or its number of shards or fronts is out of range."""


@dataclass(slots=True)
class Request:
    """A drawn request; clients may retry it."""

    number: int
    at: int  # us after the day's start
    class_name: str
    plan: str
    volume: str
    hosts: int
    front: int
    block: str
    shard: int  # -1 for a write of a new object
    units: int
    work: float  # us
    write: bool
    of: int = -1  # number of the write whose object this request reads; -1 for none

    @property
    def id(self) -> str:
        """The request's identifier, 16 hexadecimal digits."""
        return f"{self.number:016x}"


@dataclass(frozen=True, slots=True)
class Kind:
    """A request class, as drawn for the day; times in us."""

    name: str
    share: float
    work: float
    cv: float
    noise: float
    latency_objective_us: int
    timeout_us: int
    priority_weight: float
    late_priority_weight: float
    effect: str
    write: bool


@dataclass(slots=True)
class Volume:
    """A client volume and the load that it sends."""

    name: str
    plan: str
    rate: float  # units a second, the usual rate of the volume's plan
    rate_ratio: float  # the volume's rate outside surges, as a multiple of `rate`
    surges: list[tuple[int, int, float]]  # begin and end in us, multiple of `rate` added
    shards: tuple[int, ...]
    fronts: tuple[int, ...]
    skew: tuple[float, ...]
    shifts: list[int]  # times in us at which the busiest front changes
    blocks: list[str] = field(default_factory=list)

    def times(self, at: int) -> float:
        """Return the factor on the plan's rate at `at` microseconds."""
        return self.rate_ratio + sum(x for begin, end, x in self.surges if begin <= at < end)

    def front(self, at: int, rng: random.Random) -> int:
        """Draw the front that a request at `at` microseconds is sent to."""
        turn = bisect_right(self.shifts, at) % len(self.fronts)
        order = self.fronts[turn:] + self.fronts[:turn]
        return rng.choices(order, self.skew)[0]


@dataclass(frozen=True, slots=True)
class Wave:
    """A change of the traffic that a script sets between two times.

    Without a class, the rate of all traffic is multiplied by `by`. With one, the work of a `share` of that
    class's requests is multiplied by `by`.
    """

    begin: int
    end: int
    by: float
    class_name: str = ""
    share: float = 0.0


@dataclass(slots=True)
class Day:
    """The requests of a day and the classes, volumes and client settings that they are drawn from."""

    seconds: float
    seed: int
    kinds: list[Kind]
    volumes: list[Volume]
    unit: float  # us of work in a unit
    power: float  # units a second that an endpoint of mean speed serves
    requests: list[Request] = field(default_factory=list)
    max_units: int = 6
    retries: int = 0
    retry_wait: int = 0

    def kind(self, name: str) -> Kind:
        """Return the request class called `name`."""
        return next(k for k in self.kinds if k.name == name)


def _draw_kinds(figures: Figures, rng: random.Random) -> list[Kind]:
    kinds = [
        Kind(
            group.name,
            group.draw("share", rng),
            group.draw("work_ms", rng) * 1000,
            group.draw("cv", rng),
            group.draw("noise", rng),
            int(group.one("aim_ms") * 1000),
            int(group.one("deadline_ms") * 1000),
            group.one("worth"),
            group.one("late_worth"),
            group.text("effect"),
            group.flag("write"),
        )
        for group in figures.classes
    ]
    return kinds


def draw(
    of: Figures,
    *,
    seconds: float,
    load: float,
    shards: int,
    fronts: int,
    speed: float,
    seed: int,
    waves: tuple[Wave, ...] = (),
    excess: float = 1.0,
    copies: int = 1,
) -> Day:
    """Draw a day.

    `load` is the traffic outside surges as a part of nine tenths of the capacity of `shards` endpoints of
    mean `speed`; `excess` scales the surges, which come on top; each shard has `copies` endpoints.

    Raises:
        InvalidDayError: The length, the load or a count is out of range.
    """
    if not (seconds > 0 and 0 < load <= 10 and shards > 0 and fronts > 0):
        raise InvalidDayError(
            "a day needs a length above 0 s, a load above 0 and up to 10, at least one shard and one front"
        )
    rng = random.Random(f"{seed}/day")
    length = int(seconds * SECOND_US)
    kinds = _draw_kinds(of, rng)
    cores = of.node.one("cores")
    share_sum = sum(k.share for k in kinds)
    mean_work = sum(k.share * k.work for k in kinds) / share_sum
    unit = mean_work / 2
    power = cores * speed * SECOND_US / (mean_work / 2)
    capacity = of.traffic.one("capacity_part") * power * shards * copies
    day = Day(seconds, seed, kinds, [], unit, power, max_units=int(of.traffic.one("most_units")))
    day.retries = of.clients.draw_int("retries", rng)
    day.retry_wait = int(of.clients.draw("wait_ms", rng) * 1000)
    count = of.traffic.draw("volumes_per_node", rng) * shards
    # The number of volumes of a plan is proportional to the plan's share of the traffic divided by its size.
    # All plans have one base rate, which is scaled to the load once the volumes' rate ratios are drawn.
    weight = {g.name: g.one("share") / g.one("size") for g in of.plans}
    base = (
        load
        * capacity
        / (count * sum(weight[g.name] / sum(weight.values()) * g.one("size") for g in of.plans))
    )
    for g in of.plans:
        volume_count = max(round(count * weight[g.name] / sum(weight.values())), 1)
        usage = of.traffic.draw("usage", rng)
        busy = g.draw("busy", rng)
        heavy = g.draw("heavy", rng)
        for _ in range(volume_count):
            volume_rate_ratio = usage
            if rng.random() < busy:
                volume_rate_ratio *= of.traffic.draw("busy_x", rng)
            hosts = min(g.draw_int("hosts", rng), fronts)
            nodes = min(g.draw_int("nodes", rng), shards)
            skew = of.traffic.draw("skew", rng)
            shifts = []
            at = 0.0
            while at < length:
                at += of.traffic.draw("shift_s", rng) * SECOND_US
                shifts.append(int(at))
            surges = list(_surges(of, rng, length)) if rng.random() < heavy else []
            name = f"{len(day.volumes):04x}{rng.getrandbits(48):012x}"
            day.volumes.append(
                Volume(
                    name,
                    g.name,
                    g.one("size") * base,
                    volume_rate_ratio,
                    surges,
                    tuple(rng.sample(range(shards), nodes)),
                    tuple(rng.sample(range(fronts), hosts)),
                    tuple((k + 1) ** -skew for k in range(hosts)),
                    shifts,
                    [f"{rng.getrandbits(64):016x}" for _ in range(200)],
                )
            )
    rate_factor = load * capacity / sum(v.rate * v.rate_ratio for v in day.volumes)
    for v in day.volumes:
        v.rate *= rate_factor
    _scale_surges(day, of.traffic.draw("excess", rng) * capacity * excess, length)
    day.requests = list(_requests(day, of, rng, length, share_sum, waves))
    return day


def _surges(figures: Figures, rng: random.Random, length: int) -> Iterator[tuple[int, int, float]]:
    mean_interval_s = figures.traffic.one("surge_every_s")
    at = 0.0
    while True:
        at += rng.expovariate(1 / mean_interval_s) * SECOND_US
        if at >= length:
            return
        duration = figures.traffic.draw("surge_s", rng) * SECOND_US
        yield int(at), min(int(at + duration), length), figures.traffic.draw("surge_x", rng)
        at += duration


def _scale_surges(day: Day, target: float, length: int) -> None:
    """Scale the surges so that their sum, averaged over the day, is `target` units a second.

    The factor is at most 3.
    """
    drawn = sum(v.rate * x * (end - begin) for v in day.volumes for begin, end, x in v.surges) / length
    if not drawn:
        return
    factor = min(target / drawn, 3.0)
    for v in day.volumes:
        v.surges = [(begin, end, x * factor) for begin, end, x in v.surges]


def _requests(
    day: Day, figures: Figures, rng: random.Random, length: int, share_sum: float, waves: tuple[Wave, ...]
) -> Iterator[Request]:
    """Yield the requests in order of time; arrivals of each volume are drawn by thinning, then merged."""
    mean_units = sum(k.share * _mean_units(day, k) for k in day.kinds) / share_sum
    reread = figures.traffic.draw("reread", rng)
    rate_waves = [w for w in waves if not w.class_name]
    peak_factor = max([1.0] + [w.by for w in rate_waves]) if rate_waves else 1.0
    arrivals: list[tuple[int, int]] = []
    for volume_number, v in enumerate(day.volumes):
        peak_ratio = (v.rate_ratio + sum(x for _, _, x in v.surges)) * peak_factor
        step = v.rate * peak_ratio / mean_units / SECOND_US
        at = 0.0
        while step and (at := at + rng.expovariate(step)) < length:
            now = int(at)
            factor = math.prod(w.by for w in rate_waves if w.begin <= now < w.end)
            if rng.random() * peak_ratio < v.times(now) * factor:
                arrivals.append((now, volume_number))
    arrivals.sort()
    weights = [k.share for k in day.kinds]
    written = dict[int, list[Request]]()
    for number, (at, volume_number) in enumerate(arrivals):
        v = day.volumes[volume_number]
        kind = rng.choices(day.kinds, weights)[0]
        work = _work(rng, kind)
        for w in waves:
            if w.class_name == kind.name and w.begin <= at < w.end and rng.random() < w.share:
                work *= w.by
        units = min(max(round(work / day.unit), 1), day.max_units)
        request = Request(
            number,
            at,
            kind.name,
            v.plan,
            v.name,
            len(v.fronts),
            v.front(at, rng),
            rng.choice(v.blocks),
            rng.choice(v.shards),
            units,
            work,
            kind.write,
        )
        if kind.write:
            request.shard = -1
            request.block = f"{rng.getrandbits(64):016x}"
            latest = written.setdefault(volume_number, [])
            latest.append(request)
            del latest[:-MAX_FRESH_OBJECT_COUNT]
        elif rng.random() < reread and written.get(volume_number):
            fresh = [w for w in written[volume_number] if w.at >= at - FRESH_OBJECT_US]
            if fresh:
                object_ = rng.choice(fresh)
                request.of = object_.number
                request.block = object_.block
        yield request


def _work(rng: random.Random, kind: Kind) -> float:
    sigma = math.sqrt(math.log(1 + kind.cv**2))
    return kind.work * rng.lognormvariate(-(sigma**2) / 2, sigma)


def _mean_units(day: Day, kind: Kind) -> float:
    """Estimate the mean by sampling, because rounding and the cap leave no simple closed form."""
    rng = random.Random(1)
    drawn = [min(max(round(_work(rng, kind) / day.unit), 1), day.max_units) for _ in range(4000)]
    return sum(drawn) / len(drawn)


def noise(seed: int, id_: str, attempt: int, kind: Kind) -> float:
    """Return an attempt's factor on the work.

    It depends only on the seed, the request's id and the attempt, so that both drivers draw the same factor.
    """
    sigma = math.sqrt(math.log(1 + kind.noise**2))
    return random.Random(f"{seed}/{id_}/{attempt}").lognormvariate(-(sigma**2) / 2, sigma)
