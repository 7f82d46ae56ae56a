"""From what is held of rooms to what the decision module is told of each server, and to what a request gets
before it reaches the module. Pure, times in us.

The module knows nothing of rooms: a lost room's servers stand there as draining, a grey one's and a further
one's as dearer in each choice, a returning one's as just started, so that it is fed as any cold server
is."""

import random
from collections.abc import Callable
from dataclasses import dataclass, replace

from umberlead.scheduling import interface as api
from umberlead.scheduling.interface import Effect, NodeState, Result
from umberlead.zones.model import SECOND, Member, Met, Rules, State, Verdict, tier_of
from umberlead.zones.spillover import Budget
from umberlead.zones.zone_health import Rooms

PATIENT = 3  # times the link time-out that an aim must leave
TRIED = 1e-6  # how dear an answer of one counts that is tried
GREY = 4.0  # how much dearer an answer of a grey room counts
MET = {
    Result.OK: Met.ANSWERED, Result.ERROR: Met.ANSWERED, Result.FULL: Met.ANSWERED, Result.MOOT: Met.NOTHING,
    Result.NO_LINK: Met.BROKEN, Result.RESET: Met.BROKEN, Result.TIMEOUT: Met.BROKEN,
    Result.CANCELLED: Met.NOTHING,
}  # fmt: skip


@dataclass(frozen=True, slots=True)
class Refusal:
    """At once, and when to come back (us)."""

    reason: str
    retry_after: int


@dataclass(frozen=True, slots=True)
class Pass:
    """A request that goes on; `spill` where it counts against the budget, `trial` the lost server it
    tries."""

    spill: bool = False
    trial: str = ""


class Director:
    """One front's rooms, its spill and its trials."""

    def __init__(self, rules: Rules, settings: api.Settings, seed: int, now: int) -> None:
        self.rules, self.settings = rules, settings
        self.chance = random.Random(f"{seed}/director")
        self.rooms = Rooms(rules, seed, now)
        self.classes = {c.name: c for c in settings.classes}
        usual = sum(p.rate for p in settings.plans) or 20.0
        self.budget = Budget(settings, usual * rules.spill, now)
        self.nodes: dict[str, api.Node] = {}  # as the list has them
        self.told: dict[str, api.Node] = {}  # as the module has them
        self.by_shard: dict[int, set[str]] = {}
        self.flashed: set[str] = set()  # lost servers that stand open for one trial
        self.spilled: set[str] = set()  # requests that count against the budget
        self.orphans: dict[
            int, str
        ] = {}  # shards whose last server left the list out of a lost room, and that room
        self.log: Callable[[Verdict], None] = lambda verdict: None

    # The list

    def listed(self, now: int, news: api.NodeList) -> api.NodeList:
        """What the module is told in place of `news`. The whole of what changes with it comes along: rooms
        may stand otherwise with other servers in them."""
        if news.whole:
            gone = set(self.nodes) - {n.node for n in news.nodes}
            for name in gone:
                self._forget(name)
        for node in news.nodes:
            if node.state is NodeState.GONE:
                self._forget(node.node)
                continue
            self.orphans.pop(node.shard, None)
            old = self.nodes.get(node.node)
            if old is not None and old.shard != node.shard:
                self._forget(node.node)
            self.nodes[node.node] = node
            self.by_shard.setdefault(node.shard, set()).add(node.node)
        self.rooms.listed(now, [
            Member(n.node, n.room, n.shard, n.state, n.started) for n in self.nodes.values()
        ])  # fmt: skip
        gone_nodes = tuple(n for n in news.nodes if n.state is NodeState.GONE)
        made = {n.node: self._terms(now, n) for n in self.nodes.values()}
        changed = tuple(n for name, n in made.items() if self.told.get(name) != n)
        self.told = made
        return api.NodeList(news.whole, tuple(made.values()) if news.whole else (*gone_nodes, *changed))

    def _forget(self, name: str) -> None:
        node = self.nodes.pop(name, None)
        if node is not None:
            left = self.by_shard.get(node.shard, set())
            left.discard(name)
            if not left and self.rooms.state(node.room) is State.LOST:
                self.orphans[node.shard] = node.room
        self.flashed.discard(name)

    def _terms(self, now: int, node: api.Node) -> api.Node:
        """One server as the module is to see it."""
        member = self.rooms.members.get(node.node)
        if member is None:
            return node
        room = self.rooms.rooms[member.room]
        state = self.rooms.state(member.room)
        far = self.rules.far ** tier_of(self.rules, member.room)
        if state is State.GREY:
            far *= GREY
        if room.hand == "forbid" and tier_of(self.rules, member.room):
            return replace(node, far=far, weight=0.0)
        back = self.rooms.back.get(node.node, 0)
        if state is State.LOST and not (back and room.hand != "evacuate"):
            shut = NodeState.UP if node.node in self.flashed else NodeState.DRAINING
            if node.state is NodeState.UP:
                if (
                    shut is NodeState.UP
                ):  # the next request takes it, whoever else is free, and no further one
                    return replace(node, weight=0.0, far=TRIED, units=self.settings.max_units)
                return replace(node, state=shut, weight=0.0, far=far)
            return node
        if back and now - back < self.rules.back:
            return replace(node, far=far, started=max(node.started, back))
        return replace(node, far=far)

    def changes(self, now: int) -> api.NodeList | None:
        """What the module must be told anew since the last call, and the verdicts to the log."""
        for verdict in self.rooms.taken():
            self.log(verdict)
        made = {name: self._terms(now, node) for name, node in self.nodes.items()}
        news = tuple(n for name, n in made.items() if self.told.get(name) != n)
        self.told = made
        return api.NodeList(False, news) if news else None

    # Requests

    def taken(
        self,
        now: int,
        request: str,
        class_name: str,
        plan: str,
        volume: str,
        hosts: int,
        shard: int,
        units: float,
    ) -> Refusal | Pass:
        """What a request gets before the module sees it."""
        names = self.by_shard.get(shard, set()) if shard >= 0 else set(self.nodes)
        up = [n for n in sorted(names) if self.nodes[n].state is NodeState.UP]
        if not up and shard in self.orphans:  # it comes back with its room
            return self._refused(self.orphans[shard], self.rules.come_back)
        if not up:
            return Pass()  # the list's own doing: the module has its own way with that
        open_ = [n for n in up if self.told[n].state is NodeState.UP and n not in self.flashed]
        if not open_:
            return self._dark(now, up, class_name)
        if shard >= 0 and len(open_) < len(up) and (trial := self._trial(now, up, class_name)):
            return Pass(trial=trial)
        if not self._spills(up, open_):
            return Pass()
        mode = self.rules.mode
        if mode == "all" or (mode == "learnt" and self.budget.take(now, volume, plan, hosts, units)):
            self.spilled.add(request)
            return Pass(spill=True)
        wait = self.rules.come_back * self.chance.uniform(0.5, 1.5)
        return Refusal("the rooms that are left have no more room for it", int(wait))

    def _dark(self, now: int, names: list[str], class_name: str) -> Refusal | Pass:
        """Every server that has it is in a lost room. Such a request may be the trial that finds it back, if
        it may be repeated; else it is refused at once."""
        if trial := self._trial(now, names, class_name):
            return Pass(trial=trial)
        wait = min(self.rooms.next_try(now, name) for name in names)
        return self._refused(self.rooms.members[names[0]].room, wait)

    def _refused(self, room: str, wait: int) -> Refusal:
        spread = self.chance.uniform(1.0, 2.0)
        return Refusal(f"room {room or '-'} is lost", int(max(wait, self.rules.come_back) * spread))

    def _trial(self, now: int, names: list[str], class_name: str) -> str:
        """A lost server that this request may find back, if it may be repeated; it stands open for it
        alone."""
        of = self.classes[class_name]
        if of.effect is not Effect.SAFE:
            return ""
        # A trial that finds nobody costs a dial's time: requests that bear it go first, others after two
        # turns more.
        patient = of.aim >= PATIENT * (self.settings.link_timeout or 250_000)
        wait = 0 if patient else 2 * self.rules.trial
        for name in names:
            lost = self.rooms.state(self.rooms.members[name].room) is State.LOST
            if lost and name not in self.rooms.back and self.rooms.may_try(now, name, wait):
                self.flashed.add(name)
                return name
        return ""

    def _spills(self, up: list[str], open_: list[str]) -> bool:
        """Whether a nearer tier, well, would have taken it."""
        tiers = {n: tier_of(self.rules, self.rooms.members[n].room) for n in up}
        nearest = min(tiers.values())
        shut = any(tiers[n] == nearest and n not in open_ for n in up)
        return shut and all(tiers[n] > nearest for n in open_)

    def sent(self, now: int, request: str, server: str) -> bool:
        """An attempt has gone out; True where it was a trial, whose server is to be shut again."""
        self.rooms.sent(now, server, request)
        trial = server in self.flashed
        self.flashed.discard(server)
        return trial

    def ended(
        self, now: int, request: str, server: str, result: Result, elapsed: int, class_name: str, astray: bool
    ) -> None:
        """An attempt's outcome."""
        met = Met.ANSWERED if astray else MET[result]
        self.rooms.ended(now, server, request, met, elapsed)

    def answered(self, now: int, request: str, began: int, served: bool, class_name: str) -> None:
        """A request's final answer; `began` is when it was taken."""
        if request in self.spilled:
            self.spilled.discard(request)
            self.budget.ended(now, served and now - began <= self.rules.late * self.classes[class_name].aim)

    def tick(self, now: int) -> None:
        """At least every 100 ms."""
        self.rooms.tick(now)
        self.budget.step(now)
        if now % SECOND < 100_000:  # a trial that found no taker leaves its server shut
            self.flashed.clear()

    def dark(self, shard: int) -> bool:
        """Whether all that hold a shard are in lost rooms: what waits for them is better told so now."""
        up = [n for n in self.by_shard.get(shard, ()) if self.nodes[n].state is NodeState.UP]
        return bool(up) and all(self.told[n].state is not NodeState.UP for n in up)
