"""Computes the service as the operators define it.

Service is the value of the requests that were served divided by the value of all requests, by volume and
second of arrival. Units within a volume's reservation have their full value. The capacity of each node (nine
tenths of its power) beyond the reservations is divided among the volumes by weight; units within that share
have the value `share`, all others `spare`. A request served within its latency objective takes the most
valuable units that its volume has left in that second; a late one takes the least valuable, multiplied by its
class's late priority weight. A client's retries count as part of its first try.
"""

from collections import defaultdict
from dataclasses import dataclass, field
from typing import Any

from umberlead.emulator.plan import Plan
from umberlead.emulator.records import Records
from umberlead.load_generator.day import SECOND_US, Request

WORST_STRETCH_SECONDS = 10


@dataclass(slots=True)
class Tiers:
    """Units of one volume and second that are left, grouped by value, the most valuable first."""

    left: list[float]
    worths: tuple[float, ...]

    def take(self, units: float, best: bool) -> float:
        """Take units, the most or the least valuable first; return their value."""
        made = 0.0
        order = range(len(self.left))
        for k in order if best else reversed(order):
            part = min(units, self.left[k])
            self.left[k] -= part
            units -= part
            made += part * self.worths[k]
            if units <= 0:
                break
        return made


@dataclass(slots=True)
class Service:
    """Service as fractions of the value due.

    A class that takes more than its even part of a volume's value has a fraction above 1.
    """

    figure: float
    whole: float
    worst_10s: float
    worst_class: float
    waste: float
    classes: dict[str, float] = field(default_factory=dict)
    plans: dict[str, float] = field(default_factory=dict)
    seconds: list[float] = field(default_factory=list)  # by second of arrival
    counts: dict[str, int] = field(default_factory=dict)  # first tries: asked, in time, late, unserved
    held_back: int = 0  # refused after more than half of their time, without an attempt at a server

    def rows(self) -> dict[str, Any]:
        """Return all values by name."""
        made: dict[str, Any] = {
            "service": self.figure,
            "whole": self.whole,
            "worst_10s": self.worst_10s,
            "worst_class": self.worst_class,
            "waste": self.waste,
        }
        made |= {f"class.{k}": v for k, v in self.classes.items()}
        made |= {f"plan.{k}": v for k, v in self.plans.items()}
        made |= {f"count.{k}": float(v) for k, v in self.counts.items()}
        return made | {"held_back": float(self.held_back)}


def allocate_by_weight(
    want: dict[tuple[str, int], float], room: dict[int, float], weights: dict[str, float]
) -> dict[str, float]:
    """Divide each node's capacity by weight among the volumes that have requests there.

    Args:
        want: units asked for, by volume and node.
        room: capacity in units, by node.
        weights: weight of each volume.

    Returns:
        Units by volume; no volume gets more than it asked for.
    """
    made: dict[str, float] = defaultdict(float)
    at: dict[int, dict[str, float]] = defaultdict(dict)
    for (volume, node), units in want.items():
        if units > 0:
            at[node][volume] = units
    for node, wants in at.items():
        left = room.get(node, 0.0)
        unsatisfied = dict(wants)
        while unsatisfied and left > 1e-9:
            total = sum(weights[v] for v in unsatisfied)
            done = {v: u for v, u in unsatisfied.items() if u <= left * weights[v] / total + 1e-12}
            if not done:
                for v in unsatisfied:
                    made[v] += left * weights[v] / total
                break
            for v, units in done.items():
                made[v] += units
                left -= units
                del unsatisfied[v]
    return made


class Pricing:
    """Computes the service from the records of one plan."""

    def __init__(self, plan: Plan) -> None:
        """Read values, weights and capacities from `plan`."""
        self.plan = plan
        day = plan.day
        figures = plan.figures
        self.plans = {g.name: g for g in figures.plans}
        self.of_volume = {v.name: v for v in day.volumes}
        self.worths = (1.0, figures.worth.one("share"), figures.worth.one("spare"))
        part = figures.traffic.one("capacity_part")
        self.room: dict[int, float] = defaultdict(float)
        for b in plan.node_starts:
            if not b.at_us:
                self.room[b.shard] += part * b.traits.speed * b.traits.cores * SECOND_US / day.unit
        self.weights = {v.name: self.plans[v.plan].one("weight") for v in day.volumes}

    def tiers(self) -> dict[tuple[str, int], Tiers]:
        """Return the units due, by volume and second of arrival."""
        day = self.plan.day
        seconds = int(day.seconds) + 1
        by_second: list[list[Request]] = [[] for _ in range(seconds)]
        for r in day.requests:
            by_second[r.at // SECOND_US].append(r)
        store = {v.name: self._burst(v.name) for v in day.volumes}
        made: dict[tuple[str, int], Tiers] = {}
        nodes = len(self.room)
        for second, requests in enumerate(by_second):
            asked: dict[str, float] = defaultdict(float)
            at: dict[tuple[str, int], float] = defaultdict(float)
            units_per_node: dict[str, float] = defaultdict(float)
            for r in requests:
                asked[r.volume] += r.units
                if r.shard < 0:
                    units_per_node[r.volume] += r.units / nodes
                else:
                    at[r.volume, r.shard] += r.units
            for volume, units in units_per_node.items():
                for node in self.room:
                    at[volume, node] += units
            inside = {v: min(units, store[v]) for v, units in asked.items()}
            room = dict(self.room)
            want = {}
            for (v, node), units in at.items():
                part = inside[v] / asked[v]
                room[node] -= units * part
                want[v, node] = units * (1 - part)
            got = allocate_by_weight(want, {n: max(r, 0.0) for n, r in room.items()}, self.weights)
            for v, units in asked.items():
                fair = min(got.get(v, 0.0), units - inside[v])
                made[v, second] = Tiers([inside[v], fair, units - inside[v] - fair], self.worths)
            for v in store:
                store[v] = min(store[v] - inside.get(v, 0.0) + self._reserve(v), self._burst(v))
        return made

    def _reserve(self, volume: str) -> float:
        v = self.of_volume[volume]
        return self.plans[v.plan].one("reserve") * v.rate

    def _burst(self, volume: str) -> float:
        """Return the burst of a reservation: one second of it, and one request of the largest size."""
        reserve = self._reserve(volume)
        return reserve + self.plan.day.max_units if reserve else 0.0

    def service(self, records: Records) -> Service:
        """Return the service according to the records."""
        day = self.plan.day
        kinds = {k.name: k for k in day.kinds}
        first = {a.id: a.first for a in records.asked}
        served: dict[int, int] = {}
        for answer in records.answered:
            if answer.kind == "served" and answer.id in first:
                served.setdefault(first[answer.id], answer.at)

        def price(r: Request) -> float:
            return kinds[r.class_name].priority_weight * self.plans[r.plan].one("price")

        # The value that a volume takes in a second is divided evenly among its requests by units: the order
        # of their answers must not favour a class. (The operators' reports show classes above 1, which only
        # this rule produces.)
        tiers = self.tiers()
        seconds = defaultdict[tuple[str, int], list[Request]](list)
        for r in day.requests:
            seconds[r.volume, r.at // SECOND_US].append(r)
        due: dict[int, float] = {}
        earned: dict[int, float] = {}
        late = 0
        for key, requests in seconds.items():
            of = tiers[key]
            whole = sum(left * worth for left, worth in zip(of.left, of.worths, strict=True))
            even = whole / sum(r.units for r in requests)
            in_time: list[Request] = []
            after: list[Request] = []
            for r in requests:
                due[r.number] = even * r.units * price(r)
                if r.number in served:
                    slow = served[r.number] - r.at > kinds[r.class_name].latency_objective_us
                    (after if slow else in_time).append(r)
            for rows, best in ((in_time, True), (after, False)):
                units = sum(r.units for r in rows)
                taken = of.take(units, best)
                for r in rows:
                    worth = 1.0 if best else kinds[r.class_name].late_priority_weight
                    earned[r.number] = taken * r.units / units * price(r) * worth
            late += len(after)
        return self._summarize(records, due, earned, served, late)

    def _summarize(
        self,
        records: Records,
        due: dict[int, float],
        earned: dict[int, float],
        served: dict[int, int],
        late: int,
    ) -> Service:
        day = self.plan.day
        worth = self.plan.figures.worth

        def part(key: Any) -> dict[Any, float]:
            a = defaultdict[Any, float](float)
            b = defaultdict[Any, float](float)
            for r in day.requests:
                a[key(r)] += earned.get(r.number, 0.0)
                b[key(r)] += due[r.number]
            return {k: a[k] / b[k] for k in sorted(b) if b[k] > 0}

        seconds = max(int(day.seconds), 1)
        got = [0.0] * (seconds + 1)
        want = [0.0] * (seconds + 1)
        for r in day.requests:
            got[r.at // SECOND_US] += earned.get(r.number, 0.0)
            want[r.at // SECOND_US] += due[r.number]
        stretches = [
            sum(got[k : k + WORST_STRETCH_SECONDS]) / sum(want[k : k + WORST_STRETCH_SECONDS])
            for k in range(max(seconds - WORST_STRETCH_SECONDS, 0) + 1)
            if sum(want[k : k + WORST_STRETCH_SECONDS])
        ]
        whole = sum(got) / sum(want) if sum(want) else 0.0
        worst = min(stretches, default=0.0)
        classes = part(lambda r: r.class_name)
        asked = sum(r.work for r in day.requests)
        first = {a.id: a.first for a in records.asked}
        wasted = sum(e.work for e in records.ended if first.get(e.id) not in served)
        waste = min(wasted / asked, 1.0) if asked else 0.0
        least = min(classes.values(), default=0.0)
        figure = (
            worth.one("whole") * whole + worth.one("worst_10s") * worst + worth.one("worst_class") * least
        )
        made = Service(
            figure - worth.one("waste") * waste, whole, worst, least, waste, classes, part(lambda r: r.plan)
        )
        made.seconds = [g / w if w else 1.0 for g, w in zip(got, want, strict=True)][:seconds]
        count = len(day.requests)
        made.counts = {
            "asked": count,
            "in-time": len(served) - late,
            "late": late,
            "unserved": count - len(served),
        }
        made.held_back = self._held_back(records)
        return made

    def _held_back(self, records: Records) -> int:
        reached = {c.id for c in records.came}
        begun = {a.id: a for a in records.asked}
        late = 0
        for answer in records.answered:
            asked = begun.get(answer.id)
            if asked is not None and answer.kind != "served" and answer.id not in reached:
                late += answer.at - asked.at > (asked.until - asked.at) / 2
        return late


def service(plan: Plan, records: Records) -> Service:
    """Return the service according to the records of a plan."""
    return Pricing(plan).service(records)
