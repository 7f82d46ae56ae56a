"""Compiles a script's scenario into a plan.

A plan has the nodes, their impairments, state changes and replacements, and the notices to each front.

All random values are drawn here from the seed. Both drivers play the same plan and draw none of them again.
"""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from typing import Any

from umberlead.emulator.figures import Figures
from umberlead.emulator.node import FOREVER_US, Impairment, Node, Traits, traits
from umberlead.emulator.settings import settings
from umberlead.load_generator.day import SECOND_US, Day, Wave, draw
from umberlead.membership.model import ListProblem
from umberlead.routing_tests.model import Fleet, Happening, Scenario
from umberlead.scheduling.settings import Settings

TABLES_BESIDE_SETTINGS = ("rooms", "gossip")  # configuration tables outside the fronts' `settings`
RUN_ON_US = 8 * SECOND_US  # after the end of the day, for requests still in flight
MAX_SHUFFLE_DELAY_US = 3 * SECOND_US  # longest extra delay of a notice while lists are shuffled


class ScriptError(ValueError):
    """The scenario can't be played; `problems` name the lines at fault."""

    def __init__(self, problems: list[ListProblem]) -> None:
        super().__init__("\n".join(map(str, problems)))
        self.problems = problems


@dataclass(frozen=True, slots=True)
class NodeStart:
    name: str
    shard: int
    zone: int
    at_us: int
    slow_start: bool
    traits: Traits


@dataclass(frozen=True, slots=True)
class StateChange:
    """A server changes its state: draining, gone, up."""

    at: int
    server: str
    state: str


@dataclass(frozen=True, slots=True)
class Notice:
    """A notice to a front of a server's state and start time (us; 0: before the scenario)."""

    at: int
    front: int
    server: str
    state: str
    started: int = 0
    since: int = 0  # when the server entered that state


@dataclass(frozen=True, slots=True)
class ZonePartition:
    begin: int
    end: int
    zone: int
    powered_off: bool = False  # the zone's servers are off: its own fronts can't reach them either


@dataclass(frozen=True, slots=True)
class ManualDrain:
    at: int
    server: str
    drained: bool


@dataclass(slots=True)
class Plan:
    """Everything that a rehearsal plays, apart from the decisions of the fronts."""

    name: str
    seed: int
    figures: Figures
    fleet: Fleet
    day: Day
    front_settings: dict[str, Any]  # the `settings` table, and `rooms` and `gossip` where present
    node_starts: list[NodeStart]
    front_zones: list[int]  # the zone of each front
    one_way_delays_us: dict[tuple[int, int], int] = field(default_factory=dict)  # by the zones of both ends
    client_delay_us: int = 50
    state_changes: list[StateChange] = field(default_factory=list)
    notices: list[Notice] = field(default_factory=list)
    impairments: dict[str, list[Impairment]] = field(default_factory=dict)
    partitions: list[ZonePartition] = field(default_factory=list)
    manual_drains: list[ManualDrain] = field(default_factory=list)
    collector_stops: list[tuple[int, int]] = field(default_factory=list)  # begin and end of each stop, in us
    rates: dict[str, float] = field(default_factory=dict)  # units per second of each volume's plan
    meter: tuple[int, int] = (500_000, 800_000)  # period and delay of the meter, us

    @property
    def length_us(self) -> int:
        return int(self.day.seconds * SECOND_US)

    def node(self, birth: NodeStart, start: int) -> Node:
        """Make a node; `start` is the time of the driver's clock at the scenario's start."""
        made = Node(
            birth.name,
            birth.shard,
            birth.traits,
            self.seed,
            start + birth.at_us,
            birth.slow_start,
            str(birth.zone),
        )
        made.impairments = [
            replace(s, begin=start + s.begin, end=start + s.end) for s in self.impairments.get(birth.name, [])
        ]
        return made

    def one_way_delay_us(self, front: int, server_room: int) -> int:
        return self.one_way_delays_us[self.front_zones[front], server_room]

    def is_partitioned(self, at: int, front: int, room: int) -> bool:
        """Return whether a front can't reach the servers of a zone at a time."""
        mine = self.front_zones[front]
        return any(
            c.begin <= at < c.end
            and (c.zone == room if c.powered_off else (c.zone == room) != (c.zone == mine))
            for c in self.partitions
        )


def node_name(n: int) -> str:
    return f"n{n:02d}"


def plan(
    of: Scenario,
    figures: Figures,
    seed: int | None = None,
    alter: Callable[[dict[str, Any]], None] | None = None,
) -> Plan:
    """Compile a scenario.

    Args:
        of: the scenario.
        figures: the operators' figures.
        seed: replaces the script's seed.
        alter: changes the fronts' settings, and nothing else of the plan.

    Raises:
        ScriptError: the scenario is inconsistent; it lists every problem.
    """
    fleet, problems = of.fleet, list[ListProblem]()
    if fleet is None or not fleet.seconds:
        raise ScriptError(
            [ListProblem("E120", of.place, f"scenario {of.name} has no fleet, or no day for it")]
        )
    seed = of.seed if seed is None else seed
    chance = random.Random(f"{seed}/fleet")
    traits_of_nodes = [traits(figures, chance) for _ in range(fleet.servers)]
    shards = fleet.servers // fleet.copies
    starts_of_nodes = [
        NodeStart(node_name(n), n % shards, (n % shards + n // shards) % fleet.zones, 0, False, t)
        for n, t in enumerate(traits_of_nodes)
    ]
    waves = [Wave(h.at_us, h.until_us, h.value) for h in of.happenings if h.kind == "surge"]
    classes = {g.name for g in figures.classes}
    for h in of.happenings:
        if h.kind == "costly":
            waves.append(Wave(h.at_us, h.until_us, h.parameters[0], h.label, h.value))
            if h.label not in classes:
                known = ", ".join(sorted(classes))
                problems.append(
                    ListProblem("E121", h.place, f"there is no class {h.label}; known are {known}")
                )
        if h.at_us >= fleet.seconds * SECOND_US:
            problems.append(ListProblem("E122", h.place, f"the day ends after {fleet.seconds:g} s"))
        for name in h.servers:
            if name not in {b.name for b in starts_of_nodes}:
                last = starts_of_nodes[-1].name
                problems.append(
                    ListProblem("E123", h.place, f"there is no server {name}; known are n00 to {last}")
                )
        if h.kind in ("cut", "dark") and h.value >= fleet.zones:
            problems.append(ListProblem("E124", h.place, f"there is no room {h.value:g}; rooms count from 0"))
    if problems:
        raise ScriptError(problems)
    speed = sum(t.speed for t in traits_of_nodes) / len(traits_of_nodes)
    day = draw(
        figures,
        seconds=fleet.seconds,
        load=fleet.load,
        shards=shards,
        fronts=fleet.fronts,
        speed=speed,
        seed=seed,
        waves=tuple(waves),
        excess=fleet.excess,
        copies=fleet.copies,
    )
    if fleet.retries is not None:
        day.retries = fleet.retries
    links = figures.links
    made = Plan(
        of.name,
        seed,
        figures,
        fleet,
        day,
        settings(figures, day, fleet.fronts, shards),
        starts_of_nodes,
        [n % fleet.zones for n in range(fleet.fronts)],
    )
    for a in range(fleet.zones):
        for b in range(a, fleet.zones):
            way = links.draw("same_room_ms" if a == b else "cross_room_ms", chance)
            made.one_way_delays_us[a, b] = made.one_way_delays_us[b, a] = int(way * 1000)
    made.client_delay_us = int(links.draw("client_ms", chance) * 1000)
    made.rates = {v.name: v.rate for v in day.volumes}
    late = figures.reports.draw("meter_late_ms", chance) * 1000
    made.meter = (int(figures.reports.one("meter_s") * SECOND_US), int(late))
    if alter is not None:
        alter(made.front_settings)
    _HappeningCompiler(made, of.happenings, chance).all()
    return made


class _HappeningCompiler:
    """Compiles a script's happenings into state changes, notices, impairments and replacement nodes."""

    def __init__(self, made: Plan, happenings: Iterable[Happening], chance: random.Random) -> None:
        self.made, self.of, self.chance = made, sorted(happenings, key=lambda h: h.at_us), chance
        rows = made.figures.list
        self.notice = rows.draw("notice_s", chance) * SECOND_US
        self.add = rows.draw("add_s", chance) * SECOND_US
        low, high = rows.range("spread_ms")
        self.spread = [chance.uniform(0, chance.uniform(low, high)) * 1000 for _ in made.front_zones]
        self.clock = [(h.at_us, h.until_us, int(h.value)) for h in self.of if h.kind == "clock"]
        self.lists = [h for h in self.of if h.kind == "lists"]
        self.shard = {b.name: b for b in made.node_starts}
        self.ended: dict[str, int] = {}
        self.count = len(made.node_starts)

    def all(self) -> None:
        for h in self.of:
            getattr(self, f"on_{h.kind}", self.on_nothing)(h)
        made = self.made
        made.node_starts.sort(key=lambda b: (b.at_us, b.name))
        made.state_changes.sort(key=lambda t: (t.at, t.server, t.state))
        made.notices.sort(key=lambda n: (n.at, n.front, n.server, n.state))
        made.manual_drains.sort(key=lambda h: (h.at, h.server))

    def tell(self, at: int, server: str, state: str, wait: float, started: int = 0) -> None:
        """Schedule a notice to each front after `wait` and the front's own spread.

        Scripts can delay notices further or shuffle them.
        """
        if started:  # a server whose clock is wrong reports its start by that clock
            started += sum(by for begin, end, by in self.clock if begin <= at < end)
        for front in range(len(self.made.front_zones)):
            late = wait + self.spread[front]
            for h in self.lists:
                if h.at_us <= at < h.until_us:
                    late += h.value if h.label == "late" else self.chance.uniform(0, MAX_SHUFFLE_DELAY_US)
            self.made.notices.append(Notice(int(at + late), front, server, state, started, at))

    def add_impairment(self, h: Happening, kind: str, value: float) -> None:
        for name in h.servers:
            impairments_of_node = self.made.impairments.setdefault(name, [])
            impairments_of_node.append(Impairment(h.at_us, h.until_us or FOREVER_US, kind, value))

    def on_nothing(self, h: Happening) -> None:
        """Surges and costly requests are part of the day; `tell` reads happenings of lists and clocks."""

    def on_slow(self, h: Happening) -> None:
        self.add_impairment(h, "slow", h.value)

    def on_neighbour(self, h: Happening) -> None:
        """Another program on the machine runs and stops by turns."""
        for name in h.servers:
            at, impairments_of_node = float(h.at_us), self.made.impairments.setdefault(name, [])
            while at < h.until_us:
                end = min(at + self.chance.uniform(1.2, 4.4) * SECOND_US, h.until_us)
                impairments_of_node.append(Impairment(int(at), int(end), "neighbour", h.value))
                at = end + self.chance.uniform(1.2, 4.4) * SECOND_US

    def on_lag(self, h: Happening) -> None:
        self.add_impairment(h, "lag", h.value)
        self.add_impairment(h, "lag-ms", h.parameters[0] / 1000)

    def on_outcome(self, h: Happening) -> None:
        words = {"timeout": "silence", "no-link": "early"}
        self.add_impairment(h, words.get(h.label, h.label), h.value)

    def on_cut(self, h: Happening) -> None:
        self.made.partitions.append(ZonePartition(h.at_us, h.until_us, int(h.value)))

    def on_dark(self, h: Happening) -> None:
        """The zone's servers stop without draining and restart cold.

        The endpoint list reports both with a delay, and the silent stop only after `silent_notice_s`.
        """
        room = int(h.value)
        self.made.partitions.append(ZonePartition(h.at_us, h.until_us, room, True))
        silent = self.made.figures.list.draw("silent_notice_s", self.chance) * SECOND_US
        for b in self.made.node_starts:
            if b.zone != room or b.at_us > h.at_us or b.name in self.ended:
                continue
            self.made.state_changes.append(StateChange(h.until_us, b.name, "cold"))
            if silent < h.until_us - h.at_us:
                self.tell(h.at_us, b.name, "gone", silent)
            self.tell(h.until_us, b.name, "up", self.add, h.until_us)

    def on_collector(self, h: Happening) -> None:
        self.made.collector_stops.append((h.at_us, h.until_us))

    def on_out(self, h: Happening) -> None:
        self.made.manual_drains += [ManualDrain(h.at_us, name, True) for name in h.servers]

    def on_in(self, h: Happening) -> None:
        self.made.manual_drains += [ManualDrain(h.at_us, name, False) for name in h.servers]

    def on_drain(self, h: Happening) -> None:
        for name in h.servers:
            self.made.state_changes.append(StateChange(h.at_us, name, "draining"))
            self.tell(h.at_us, name, "draining", self.notice)

    def on_back(self, h: Happening) -> None:
        for name in h.servers:
            self.made.state_changes.append(StateChange(h.at_us, name, "up"))
            self.tell(h.at_us, name, "up", self.add)

    def on_leave(self, h: Happening) -> None:
        for name in h.servers:
            self.made.state_changes.append(StateChange(h.at_us, name, "gone"))
            self.tell(h.at_us, name, "gone", self.notice)
            self.ended[name] = h.at_us

    on_kill = on_leave

    def on_cold(self, h: Happening) -> None:
        """The server's process restarts under the same name: its requests are lost and it is cold."""
        for name in h.servers:
            self.made.state_changes.append(StateChange(h.at_us, name, "cold"))
            self.tell(h.at_us, name, "up", self.add, h.at_us or 1)

    def on_deploy(self, h: Happening) -> None:
        """Servers drain and end in batches; a cold server of the same shard replaces each of them."""
        batch, drain, over = h.parameters
        live = [b for b in self.made.node_starts if b.name not in self.ended]
        chosen = self.chance.sample(live, max(round(h.value * len(live)), 1))
        size = max(round(batch * len(live)), 1)
        groups = [chosen[k : k + size] for k in range(0, len(chosen), size)]
        step = max(over - drain, 0) / max(len(groups) - 1, 1)
        for k, group in enumerate(groups):
            at = h.at_us + int(k * step)
            for old in group:
                end = at + int(drain)
                self.made.state_changes += [
                    StateChange(at, old.name, "draining"),
                    StateChange(end, old.name, "gone"),
                ]
                self.ended[old.name] = end
                self.tell(at, old.name, "draining", self.notice)
                self.tell(end, old.name, "gone", self.notice)
                name, self.count = node_name(self.count), self.count + 1
                of = traits(self.made.figures, self.chance)
                self.made.node_starts.append(NodeStart(name, old.shard, old.zone, end, True, of))
                self.tell(end, name, "up", self.add, end or 1)


def zones_table(made: Plan, front: int) -> dict[str, Any]:
    """Return a front's table [rooms]: the common settings, its own zone, and the others by distance."""
    own = made.front_zones[front]
    others = sorted(
        (r for r in range(made.fleet.zones) if r != own), key=lambda r: made.one_way_delays_us[own, r]
    )
    return {"own": str(own), "near": [str(r) for r in others]} | made.front_settings["rooms"]


def parsed_settings(made: Plan) -> Settings:
    """Return the fronts' settings, parsed as those of a configuration file."""
    from umberlead import configuration

    told = {k: v for k, v in made.front_settings.items() if k not in TABLES_BESIDE_SETTINGS}
    settings = configuration.parse_settings(configuration.flatten(told))
    if "rooms" in made.front_settings:
        from umberlead.zones.integration import with_retry_budget

        settings = with_retry_budget(
            settings,
            configuration.parse_zones(
                configuration.Keys(made.front_settings["rooms"], "rooms")
            ).retry_budget_ratio,
        )
    return settings
