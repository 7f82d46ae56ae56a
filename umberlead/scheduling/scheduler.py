"""Every decision of a head. The types it speaks are in interface.py, beside this file.

Requests leave their shard's lane by start tag under a bound of units out at the node; the plan shares behind
the tags come from the paper's estimator and law (14), in controller.py. The rest guards the rules."""

import heapq
import random
from collections import deque
from collections.abc import Callable
from dataclasses import replace
from itertools import count

from umberlead.scheduling import interface as api
from umberlead.scheduling.client_retries import ClientRetries
from umberlead.scheduling.controller import MIN_SHARE, Controller
from umberlead.scheduling.interface import Effect, NodeState, Reason, Result
from umberlead.scheduling.load_shedding import WaitingBound
from umberlead.scheduling.moving_average import Level
from umberlead.scheduling.pending_request import Item, Try
from umberlead.scheduling.rate_limits import Volumes
from umberlead.scheduling.send_window import SendWindow, window_units
from umberlead.scheduling.slow_start import rest, warm
from umberlead.scheduling.token_bucket import NEVER
from umberlead.scheduling.weighted_round_robin import Smooth

INTERVAL = 500_000  # us between control steps: the paper's interval for its file server
BOUND = 8.0  # mean-size requests: most that one head has out at a node
TARGET = 0.33  # wanted time at a node, in the smallest class aim: the rest is left for waiting here
CUT = 0.5  # share of its own units by which a late answer lowers the bound
SMOOTH = 0.2  # weight of a new answer in a node's mean time
REST_LINK = 2  # link time-outs a node rests after a failed connection or a full queue
OVERDUE = 4.0  # an attempt is overdue after so many mean times of its node, or the wanted time if longer
MEMORY = 2_000_000  # us after which a node's own mean has lost most of its weight against the fleet's
SMALL = 0.5  # least part of a mean-size request's time that a smaller one is counted with
MOSTLY = 0.9  # most of its aim that a request is thought to take at a node: on arrival all have a chance
MOST = 3.0  # most targets that one answer counts for
KEPT = 10_000_000  # us that a silent volume is kept: longer than its due store takes to fill
PRIOR = 0.1  # units that a head counts as asked of every shard before it has seen any
SICK = 0.3  # part of errors from which a node gets no new objects while others can take them
CALM = 0.5  # targets that answers take at most where there is room for who can wait
PATIENT = 6  # targets before its aim until which a request can wait: for others there is no later
PART = 1 / 3  # most of a shard's traffic that a head takes for its own


class NodeView:
    """What this head knows of one node: bound, health, cold window."""

    def __init__(self, node: api.Node, head: "Head") -> None:
        s, now = head.s, head.now
        self.s, self.info, self.part, self.by = s, node, head.part, head.chance.random()
        self.bound = max(self.cap() / s.heads, s.mean_units)  # all heads may begin at once
        self.level, self.out, self.rest_until = Level(now, SMOOTH, MEMORY, MOST, head.fleet), 0.0, 0
        self.faults = Level(now, 2 * SMOOTH, 2 * MEMORY, 1.0)  # part of answers that are errors
        self.slow_start = SendWindow(s.cold_window)
        self.passed = 0  # when the latest sent of those served was sent
        self.cold_until: float = max(now, head.born + s.cold_window)  # what our last life sent is not known
        self.target = int(TARGET * min(c.aim for c in s.classes))

    def cap(self) -> float:
        return min(BOUND * self.s.mean_units, self.info.units or NEVER)

    def cold_cost(self, now: int, units: float) -> float:
        """How long `units` take of this head's part of a warming node; in the mean if below a request."""
        return rest(self.s, self.info, now, units, self.part(self.info.shard))

    def ready(self, now: int, units: float) -> float:
        """When the node may take `units` more."""
        if self.info.state is not NodeState.UP or (
            self.out and self.out + units > min(self.bound, self.cap())
        ):
            return NEVER
        if not (cost := self.cold_cost(now, units)):
            return max(self.rest_until, now)
        first = self.by * max(cost - self.s.cold_window, 0.0)  # before the first one, by chance: heads differ
        most = window_units(self.s, self.info, now, self.part(self.info.shard))
        return max(self.rest_until, self.cold_until + first, self.slow_start.free_at(now, units, most))

    def sick(self, now: int) -> bool:
        """Who has a choice goes elsewhere: who fails quickly looks idle. What only it has is still asked."""
        return self.faults.read(now) >= SICK

    def overdue(self, now: int, units: float) -> float:
        mean = self.level.read(now) * self.target * max(units / self.s.mean_units, 1.0)
        return now + max(OVERDUE * mean, self.target)

    def send(self, now: int, units: float) -> Try:
        """What is served can't pass a cold node's capacity: one of the multiple is set aside for it, the
        rest is charged for what is not served. Service gives that back, but for one in the multiple where
        the part is below a request: many heads may be waiting for the same. The window keeps all."""
        self.out, self.by = self.out + units, 0.0
        cost, one = self.cold_cost(now, units), 1 / max(self.s.cold_multiple, 1.01)
        self.cold_until = max(self.cold_until, now) + int(cost / (1 - one))
        if cost:
            self.slow_start.add(now, units)
        return Try(self, now, units, cost / (1 - one) - (0 if cost < self.s.cold_window else one * cost))

    def answer(self, now: int, tried: Try, result: Result, elapsed: int, pressed: bool) -> None:
        """Bound and health follow each outcome."""
        units, one = tried.units, self.s.mean_units
        if result is Result.OK:
            self.passed, self.cold_until = max(self.passed, tried.at), self.cold_until - tried.cold
        self.out = max(self.out - units, 0.0)
        if result in (Result.OK, Result.ERROR):
            self.faults.learn(now, result is Result.ERROR)
        if result in (Result.OK, Result.TIMEOUT) or elapsed > self.target:  # a quick error is none
            self.level.learn(now, elapsed / self.target / max(tried.size / one, 1.0))  # see overdue
            if elapsed > self.target:
                self.bound = max(self.bound - CUT * min(elapsed / self.target - 1, 1.0) * units, one)
            elif pressed:
                self.bound = min(self.bound + units * one / self.bound, self.cap())
        if result in (Result.FULL, Result.NO_LINK):  # a break rests none: a peer may drop links
            self.bound, self.rest_until = one, now + self.s.link_timeout * REST_LINK


class Lane:
    """One shard's fair queue of volumes; within one, the class of most worth, then the nearest aim."""

    def __init__(self, plans: int) -> None:
        self.virtual = 0.0
        self.last: dict[str, float] = {}  # finish tag by volume
        self.items: dict[str, list[tuple[float, int, int, Item]]] = {}
        self.tags: list[tuple[float, int, str]] = []
        self.live: dict[str, int] = {}  # the volume's valid entry among the tags
        self.busy, self.order = [0] * plans, count()  # volumes waiting; numbers of tags

    def push(self, item: Item) -> None:
        waiting = self.items.setdefault(item.req.volume, [])
        self.busy[item.plan] += not waiting
        heapq.heappush(waiting, (-item.cls.worth, item.aim_at, item.seq, item))
        item.held = True

    def head(self, volume: str) -> Item | None:
        """The volume's most urgent live request; an emptied volume leaves the lane."""
        waiting = self.items.get(volume, [])
        while waiting and not waiting[0][3].held:
            item = heapq.heappop(waiting)[3]
            if not waiting:
                self.busy[item.plan] -= 1
                del self.items[volume]
        return waiting[0][3] if waiting else None

    def tag(self, volume: str) -> None:
        """A volume's start tag, replacing an earlier one."""
        self.live[volume] = next(self.order)
        start = max(self.virtual, self.last.get(volume, 0.0))
        heapq.heappush(self.tags, (start, self.live[volume], volume))

    def prune(self, known: Volumes) -> None:
        """Tags that no longer count go: of ever new volumes the tables would grow for ever."""
        self.last = {v: tag for v, tag in self.last.items() if tag > self.virtual and v in known}
        self.live = {v: number for v, number in self.live.items() if v in self.items}

    def take(self, item: Item, weight: float) -> None:
        """`item` leaves: virtual time moves on, its units over `weight` advance the volume's tag."""
        self.virtual = start = heapq.heappop(self.tags)[0]
        item.held = False
        self.last[item.req.volume] = start + item.req.units * self.busy[item.plan] / weight


class Head:
    """One head: hand it its events batch by batch, do what it says."""

    def __init__(self, settings: api.Settings, seed: int, now: int) -> None:
        api.check(settings)
        s = self.s = settings
        self.now, self.born, self.armed, self.chance = now, now, 0, random.Random(seed)
        self.classes = {c.name: c for c in s.classes}
        self.best = max(c.worth for c in s.classes) * max(p.price for p in s.plans) or 1.0
        self.plans = {p.name: k for k, p in enumerate(s.plans)}
        self.fleet = Level(now, SMOOTH, MEMORY, MOST)  # mean time of answers, all nodes together
        self.control = Controller([p.weight for p in s.plans])
        self.sums, self.counts = [0.0] * len(s.plans), [0] * len(s.plans)
        self.items: dict[str, Item] = {}
        self.nodes: dict[str, NodeView] = {}
        self.by_shard: dict[int, dict[str, None]] = {}
        self.taken_out: dict[str, int] = {}  # by hand, and when
        self.put_back: dict[str, tuple[int, int]] = {}  # taken out, and back again: restarted in between
        self.smooth, self.offered = Smooth(), dict[str, float]()
        self.asked: dict[int, float] = {}  # units by shard, of late
        self.lanes, self.volumes = dict[int, Lane](), Volumes(s, now)
        self.chains: dict[str, deque[Item]] = {}  # ordered classes: requests of a key, as taken
        self.key_rests: dict[str, int] = {}
        self.stored = dict[str, int](), dict[str, int]()  # where new objects went; this span, last
        self.patience: dict[str, int] = {}  # most time a client of the class has left on arrival
        self.taken, self.resent = deque[int](), deque[int]()  # when: the budget's two counts
        self.bound, self.open_requests = WaitingBound(), 0
        self.client_retries = ClientRetries()
        self.due: list[tuple[int, int, Callable[..., None], tuple[object, ...]]] = []
        self.seq = count()
        self.dirty: dict[int, None] = {}  # shards to look at before this batch ends
        self.acts: list[api.Action] = [api.Follow()] if s.ask_for_nodes else []
        self.at(now + INTERVAL, self.step)
        self.at(now + KEPT, self.prune)

    def at(self, when: float, what: Callable[..., None], *args: object) -> None:
        heapq.heappush(self.due, (max(int(when), self.now + 1), next(self.seq), what, args))

    def handle(self, now: int, events: list[api.Event]) -> list[api.Action]:
        """One batch of events, all at `now`; the actions to carry out in order."""
        self.now = now
        for event in events:
            if isinstance(event, api.Request):
                self.take(event)
            elif isinstance(event, api.Outcome):
                self.outcome(event)
            elif isinstance(event, api.NodeList):
                self.listed(event)
            elif isinstance(event, api.ListFailed):
                self.at(now + INTERVAL, lambda: self.acts.append(api.Follow()))
            elif isinstance(event, api.ClientGone) and event.request in self.items:
                self.conclude(item := self.items[event.request])
                self.dirty[item.shard] = None  # what it stood before may go
            elif isinstance(event, api.ByHand):
                self.by_hand(event)
            elif isinstance(event, api.ProcessShare):
                self.volumes.share(now, event.share)
            elif isinstance(event, api.OpenLimit):
                self.bound.limit = event.requests
        while self.due and self.due[0][0] <= now:
            _, _, what, args = heapq.heappop(self.due)
            what(*args)
        while self.dirty:
            self.pump(self.dirty.popitem()[0])
        self.shed()  # what could go has gone
        if self.due and (self.armed <= now or self.due[0][0] < self.armed):
            self.armed = self.due[0][0]
            self.acts.append(api.SetTimer(self.armed - now, "due"))
        acts, self.acts = self.acts, []
        return acts

    def step(self) -> None:
        self.control.step(self.sums, self.counts)
        self.at(self.now + INTERVAL, self.step)

    def prune(self) -> None:
        """Forget volumes whose stores are full again."""
        self.volumes.forget(self.now, self.now - KEPT - max(c.deadline for c in self.s.classes))
        for lane in self.lanes.values():
            lane.prune(self.volumes)
        self.stored = ({}, self.stored[0])
        self.asked = {k: units / 2 for k, units in self.asked.items() if units > PRIOR}
        self.at(self.now + KEPT, self.prune)

    def listed(self, news: api.NodeList) -> None:
        """A node with a new start is new, one that is gone is forgotten: where all are replaced again and
        again the list would grow. A lane outlives its node and waits for the shard's next one."""
        named = {n.node: n for n in news.nodes}
        for old in [v.info for v in self.nodes.values()] if news.whole else []:
            named.setdefault(old.node, api.Node(old.node, NodeState.GONE, old.shard, old.started))
        for name, node in named.items():
            view = self.nodes.get(name)
            if node.state is NodeState.GONE:
                if view is not None:
                    self.by_shard[view.info.shard].pop(name)
                    self.nodes.pop(name).info = node
                self.put_back.pop(name, None)
                continue
            if name in self.put_back and node.started < self.put_back[name][0]:
                node = replace(node, started=self.put_back[name][1])  # of before its restart
            if view is not None and node.started <= view.info.started:
                view.info = node
            else:
                self.nodes[name] = NodeView(node, self)
            self.by_shard.setdefault(node.shard, {})[name] = None
            self.dirty |= {node.shard: None, -1: None}

    def by_hand(self, e: api.ByHand) -> None:
        """Out, it gets nothing whatever the list says. It is restarted in that time and comes back cold,
        which the list may tell late: until it does, it counts as started when it was put back."""
        if e.out:
            self.taken_out.setdefault(e.node, e.at)
        elif (since := self.taken_out.pop(e.node, None)) is not None and (view := self.nodes.get(e.node)):
            if view.info.started < since:
                self.put_back[e.node] = (since, self.now)
                info = replace(view.info, started=self.now)
                self.nodes[e.node] = NodeView(info, self)
            self.dirty |= {view.info.shard: None, -1: None}

    def part(self, shard: int) -> float:
        """This head's part of a shard's traffic: its own share of units that go there, over the even share,
        is the head's even part in the mean of all. Who seldom asks leaves its part to others. Each of two
        processes of a head has its share of that."""
        s, own, known = self.s, self.asked.get(shard, 0.0) + PRIOR, sum(self.asked.values())
        share = own / (known + PRIOR * s.shards) * s.shards if s.shards > 0 <= shard else 1.0
        return max(min(share, PART * s.heads), 1.0) / s.heads * (self.volumes.part or 1.0)

    def pick(self, shard: int, units: float) -> tuple[float, NodeView | None]:
        """The shard's node that can take `units` soonest; of those, where an answer comes soonest. So new
        objects leave what the fullest and the slowest have to reads, which can go nowhere else. Where the
        list gives weights, new objects go by these among the nodes that can take them now."""
        names = self.by_shard.get(shard, {}) if shard >= 0 else self.nodes
        views = [self.nodes[n] for n in names if n not in self.taken_out]
        views = [v for v in views if shard >= 0 or v.info.weight != 0]
        now = self.now
        ready = [
            (
                v.ready(now, units),
                v.sick(now),
                v.level.read(now) * (v.out + units) * v.info.far / warm(self.s, v.info, now),
                k,
            )
            for k, v in enumerate(views)
        ]
        given = [w for v in views if (w := v.info.weight) is not None] if shard < 0 else []
        able = [views[k] for when, _, _, k in ready if when <= now] if given else []
        free = [v.info for v in able if not v.sick(now)] or [v.info for v in able]
        self.offered = {n.node: 1.0 if n.weight is None else n.weight for n in free}
        if self.offered:
            return now, self.nodes[self.smooth.best(self.offered)]
        when, _, _, k = min(ready, default=(NEVER, False, 0.0, -1))
        return (when, views[k]) if when < NEVER else (NEVER, None)

    def take(self, req: api.Request) -> None:
        """A new request. A client's second try has less time left than the longest seen for its class: its
        aim is counted from where its first try must have begun. Where clients mark their repeats, any other
        is a first try however impatient its client (ib57330); where not, impatience looks late unless those
        that were refused are seen not to come again."""
        now, cls = self.now, self.classes[req.class_name]
        self.taken.append(now)
        patience = self.patience[cls.name] = max(self.patience.get(cls.name, 0), req.give_up - now)
        again = self.client_retries.arrived((req.volume, req.key, req.class_name), now)
        first = not req.repeat if self.s.marked else not again and self.client_retries.rare()
        aim_at = min(cls.aim + (now if first else req.give_up - patience), req.give_up)
        item = self.items[req.request] = Item(req, cls, self.plans[req.plan], now, aim_at, next(self.seq))
        item.again = again
        self.volumes.asked(req, self.s.plans[item.plan], now)
        if req.shard >= 0:
            self.asked[req.shard] = self.asked.get(req.shard, 0.0) + req.units
        if cls.ordered and req.key is not None:
            self.chains.setdefault(req.key, deque()).append(item)
            self.turn(req.key)
        else:
            self.hold(item)
        self.at(aim_at, self.give_up, item)
        self.open_requests += 1

    def shed(self) -> None:
        """Refuse of those that wait the least valuable, while more are open than there are places for."""
        while (item := self.bound.excess(self.open_requests)) is not None:
            self.give_up(item, Reason.OVERLOAD)

    def hold(self, item: Item) -> None:
        owed = self.volumes[item.req.volume].due
        due = not owed.wait(self.now, min(item.req.units, owed.most))
        self.bound.add(item, self.value(item, due))
        shard, volume = item.shard, item.req.volume
        lane = self.lanes.get(shard) or self.lanes.setdefault(shard, Lane(len(self.plans)))
        lane.push(item)
        if lane.head(volume) is item:
            self.tag(shard, volume)

    def tag(self, shard: int, volume: str, number: int | None = None) -> None:
        """Tag a waiting volume; by timer, if tag `number` is still its latest."""
        lane = self.lanes[shard]
        if lane.head(volume) is not None and number in (None, lane.live.get(volume)):
            lane.tag(volume)
            self.dirty[shard] = None

    def turn(self, key: str) -> None:
        """The key's first request may go once the key has rested."""
        chain, rest = self.chains.get(key), self.key_rests.get(key, 0)
        if self.now < rest:
            self.at(rest, self.turn, key)
        elif not chain:
            self.key_rests.pop(key, None)
            self.chains.pop(key, None)
        elif not (chain[0].held or chain[0].out or chain[0].done):
            self.hold(chain[0])

    def give_up(self, item: Item, reason: Reason = Reason.AIM_OVER) -> None:
        """The final answer at once: a refusal wherever it is harmless to try again, else a failure."""
        if item.done or item.out:
            return
        keyed_for_all = item.cls.effect is Effect.KEYED and item.cls.group == "all"
        if item.ran_at is None or keyed_for_all or item.cls.effect is Effect.SAFE:
            self.acts.append(api.Refuse(item.req.request, self.s.retry_after_max, reason))
            if not item.again:
                self.client_retries.refused((item.req.volume, item.req.key, item.req.class_name), self.now)
        else:
            self.acts.append(api.Fail(item.req.request, reason))
        self.conclude(item)

    def conclude(self, item: Item) -> None:
        """Over for the client, and measured; forgotten, and out of its key's way, with no attempt out."""
        if not item.done:
            self.sums[item.plan] += (self.now - item.came) / item.cls.aim
            self.counts[item.plan] += 1
            self.open_requests -= 1
        item.done, item.held = True, False
        if item.out:
            return
        self.items.pop(item.req.request, None)
        if item.cls.ordered and item.req.key in self.chains and item in self.chains[item.req.key]:
            self.chains[item.req.key].remove(item)
            self.turn(item.req.key)

    def may_send(self, item: Item) -> bool:
        """Whether the class, the count and the budget let this request go out once more."""
        forgets = {Effect.SAFE: NEVER, Effect.KEYED: item.cls.memory, Effect.UNSAFE: 0}[item.cls.effect]
        known = item.ran_at is None or self.now - item.ran_at < forgets
        if not known or item.tries >= self.s.max_attempts:
            return False
        for log in (self.taken, self.resent):
            while log and log[0] <= self.now - self.s.budget_window:
                log.popleft()
        most = self.s.budget_free + self.s.budget_share * len(self.taken)
        return item.tries == 0 or self.s.budget_window <= 0 or len(self.resent) + 1 <= most

    def value(self, item: Item, due: bool) -> float:
        """What a unit of this request earns, against the best; what is not due, by its plan's share."""
        part = self.control.share[item.plan] / self.control.rest[item.plan]
        earns = 1.0 if due else (self.s.fair_worth + self.s.idle_worth) / 2 * part
        return earns * item.cls.worth * self.s.plans[item.plan].price / self.best

    def pump(self, shard: int) -> None:
        """Send what may go, lowest start tag first."""
        lane = self.lanes.get(shard)
        while lane is not None and lane.tags:
            _, number, volume = lane.tags[0]
            item = lane.head(volume) if lane.live.get(volume) == number else None
            if item is None:
                heapq.heappop(lane.tags)
                continue
            units, owed = item.req.units, self.volumes[volume].due
            when, view = self.pick(shard, units)
            press = view.level.read(self.now) if view else 0.0
            takes = press * (view.target if view else 0) * max(units / self.s.mean_units, SMALL)
            hopeless = view and self.now + min(takes, MOSTLY * item.cls.aim) > item.aim_at
            if hopeless or not self.may_send(item):
                # A late answer would take the place of one in time.
                self.give_up(item, Reason.HOPELESS if hopeless else Reason.NO_FURTHER_ATTEMPT)
                self.tag(shard, volume)
                continue
            if view is None or when > self.now:
                return self.at(when, self.dirty.update, {shard: None}) if view else None
            wait = self.volumes.wait(item, self.now)
            due = not owed.wait(self.now, min(units, owed.most))
            value = self.value(item, due)
            early = press > CALM and self.now + PATIENT * view.target < item.aim_at
            if wait or early or value < press - 1:
                heapq.heappop(lane.tags)
                self.at(self.now + (wait or view.target // 4), self.tag, shard, volume, number)
                continue
            if item.tries:
                self.resent.append(self.now)
            else:
                owed.have -= units * due
            self.volumes.charge(item)
            lane.take(item, self.control.share[item.plan] * max(value, MIN_SHARE))
            self.tag(shard, volume)
            item.out[item.tries] = view.send(self.now, units)
            self.at(view.overdue(self.now, units), self.overdue, item, item.tries)
            if self.offered:
                self.smooth.took(view.info.node, self.offered)
            item.shard = view.info.shard  # a new object stays with the shard that may have taken it
            item.tries += 1
            self.acts.append(api.Send(item.req.request, view.info.node))

    def moved(self, item: Item) -> bool:
        """A client may name a shard of old. Where this head stored the object itself, it knows better."""
        new, old = self.stored
        key = item.req.key or ""
        shard = new.get(key, old.get(key, item.shard))
        known, item.shard = shard != item.shard, shard
        return known

    def overdue(self, item: Item, attempt: int) -> None:
        """Out much longer than its node takes, while later ones came back: lost, or enormous. Its units are
        written off, so they block nothing; with leave and time it is withdrawn, and sent again."""
        if (tried := item.out.get(attempt)) is None:
            return
        view: NodeView = tried.view
        if view.passed <= tried.at:
            return self.at(view.overdue(self.now, item.req.units), self.overdue, item, attempt)
        view.out, tried.units = max(view.out - tried.units, 0.0), 0.0
        self.dirty[view.info.shard] = None
        again = item.cls.effect is not Effect.UNSAFE and not item.done and self.may_send(item)
        if again and self.s.may_cancel and self.now + view.level.read(self.now) * view.target < item.aim_at:
            self.acts.append(api.Cancel(item.req.request, attempt))

    def outcome(self, e: api.Outcome) -> None:
        item = self.items.get(e.request)
        if item is None or (tried := item.out.pop(e.attempt, None)) is None:
            return
        view, lane = tried.view, self.lanes.get(item.shard)
        if tried.units or e.result is Result.OK:  # what was written off has been judged
            view.answer(self.now, tried, e.result, e.elapsed, bool(lane and lane.items))
        self.dirty[item.shard] = None
        self.volumes.ended(item, e)
        if e.result is Result.OK and item.req.shard < 0 and item.req.key is not None:
            self.stored[0][item.req.key] = item.shard
        unsure = e.result in (Result.TIMEOUT, Result.RESET, Result.CANCELLED)
        if (unsure or e.result is Result.ERROR) and item.ran_at is None:
            item.ran_at = tried.at
        if unsure and item.cls.ordered and item.req.key is not None:
            self.key_rests[item.req.key] = self.now + self.s.order_rest
        if e.final or item.done:
            self.conclude(item)
        elif e.astray and self.moved(item) and self.may_send(item):
            self.hold(item)
        elif self.now >= item.aim_at:
            self.give_up(item)
        elif e.astray or not self.may_send(item):
            self.give_up(item, Reason.NO_FURTHER_ATTEMPT)
        else:
            self.hold(item)
