"""Several heads through legal event sequences drawn at random, judged by a checker apart from the module.
No speeds of servers are modelled: outcomes and delays are drawn."""

import heapq
import random
from collections import defaultdict
from typing import Any

import pytest

from umberlead.scheduling.interface import (
    Action,
    Cancel,
    ClientGone,
    Effect,
    Event,
    Fail,
    Node,
    NodeList,
    NodeState,
    Outcome,
    Plan,
    Refuse,
    Request,
    RequestClass,
    Result,
    Send,
    SetTimer,
    Settings,
    Wake,
)
from umberlead.scheduling.scheduler import Head

CLASSES = (
    RequestClass("read", 200_000, 900_000, worth=2.0),
    RequestClass("turn", 200_000, 900_000, Effect.KEYED, "cell", 400_000, ordered=True, worth=2.0),
    RequestClass("once", 300_000, 1_200_000, Effect.UNSAFE),
)
PLANS = (Plan("a", 1.0, limit_rate=30.0, limit_burst=48.0, limit_slack=8.0), Plan("b", 2.0, reserve=10.0))
HEADS, REST, GRACE = 3, 50_000, 100_000
SET = Settings(
    classes=CLASSES, plans=PLANS, heads=HEADS, mean_units=2.0, max_units=8.0, max_attempts=3, may_cancel=True,
    retry_after_max=500_000, cold_units=40.0, cold_share=0.2, cold_multiple=3.0, cold_window=1_000_000,
    warm_up=8_000_000, order_rest=REST, budget_window=2_000_000, budget_free=2, budget_share=0.1,
)  # fmt: skip
UNRUN = (Result.FULL, Result.NO_LINK, Result.MOOT)


class Checker:
    """The seven rules over what was told and what was done."""

    def __init__(self) -> None:
        self.req: dict[str, tuple[int, Request]] = {}
        self.answer: dict[str, int] = {}
        self.tries: dict[str, list[dict[str, Any]]] = defaultdict(list)
        self.state: dict[tuple[int, str], Node] = {}
        self.spent: dict[str, list[float]] = {}
        self.resent: dict[int, list[int]] = defaultdict(list)
        self.taken: dict[int, list[int]] = defaultdict(list)
        self.keys: dict[tuple[int, str], list[str]] = defaultdict(list)
        self.rest: dict[tuple[int, str], int] = {}
        self.cold: dict[str, list[tuple[int, float]]] = defaultdict(list)

    def action(self, h: int, now: int, a: Action) -> None:
        if isinstance(a, Refuse | Fail):
            at, req = self.req[a.request]
            assert a.request not in self.answer and now <= req.give_up, "answered twice or late"
            self.answer[a.request] = now
            ran = [t for t in self.tries[a.request] if t["end"] not in UNRUN]
            effect = next(c.effect for c in CLASSES if c.name == req.class_name)
            assert not (
                isinstance(a, Refuse) and ran and effect is not Effect.SAFE
            ), "refused what may have run"
        if isinstance(a, Send):
            self.send(h, now, a)

    def send(self, h: int, now: int, a: Send) -> None:
        _, req = self.req[a.request]
        cls = next(c for c in CLASSES if c.name == req.class_name)
        tries, node = self.tries[a.request], self.state[h, a.node]
        assert a.request not in self.answer, "sent after the end"
        assert node.state is NodeState.UP and node.shard == req.shard, "sent to a draining or wrong node"
        assert all(t["end"] for t in tries) and len(tries) < 3, "two at once, or too many"
        ran = [t["at"] for t in tries if t["end"] not in UNRUN]
        if ran:
            assert cls.effect is not Effect.UNSAFE
            assert cls.effect is Effect.SAFE or now - ran[0] < cls.memory, "after the memory"
        if tries:
            mine = [t for t in self.resent[h] if t > now - 2_000_000] + [now]
            took = [t for t in self.taken[h] if t > now - 2_000_000]
            assert len(mine) <= 2 + 0.1 * len(took), "over the budget"
            self.resent[h].append(now)
        elif req.plan == "a":
            store = self.spent.setdefault(req.volume, [48.0, 0.0])
            store[0] = min(48.0, store[0] + 30.0 * (now - store[1]) / 1e6) - req.units
            store[1] = now
            assert store[0] >= -8.0, "over the limit"
        if cls.ordered and req.key:
            line = self.keys[h, req.key]
            before = line[: line.index(a.request)]
            busy = [r for r in before if r not in self.answer or any(not t["end"] for t in self.tries[r])]
            assert not busy, "out of turn"
            again = any(t["end"] in (Result.TIMEOUT, Result.RESET, Result.CANCELLED) for t in tries)
            assert again or now >= self.rest.get((h, req.key), 0), "the key had to rest"
        if node.started and now - node.started < 8_000_000:
            log = self.cold[a.node]
            log.append((now, req.units))
            grown = 1 + 4 * (now - node.started) / 8_000_000
            # a served unit is proof of capacity, but here all is drawn: the whole multiple is the bound
            assert sum(u for t, u in log if t > now - 1_000_000) <= 3 * 40.0 * grown, "cold node pushed"
        tries.append({"at": now, "end": None})

    def ended(self, h: int, now: int, e: Outcome) -> None:
        self.tries[e.request][e.attempt]["end"] = e.result
        if e.final:
            self.answer.setdefault(e.request, now)
        _, req = self.req[e.request]
        if (
            req.key
            and req.class_name == "turn"
            and e.result in (Result.TIMEOUT, Result.RESET, Result.CANCELLED)
        ):
            self.rest[h, req.key] = now + REST


@pytest.mark.parametrize("seed", range(12))
def test_rules_hold_through_random_days(seed: int) -> None:
    rng, check = random.Random(seed), Checker()
    now, serial = 1_000_000, 0
    heads: dict[int, Head] = {}
    queue: list[tuple[int, int, int, Any]] = []
    sent: dict[str, list[int]] = defaultdict(list)
    cancels: set[tuple[str, int]] = set()
    fleet = {f"n{k}": Node(f"n{k}", NodeState.UP, k) for k in range(3)}

    def put(when: int, h: int, what: Any) -> None:
        nonlocal serial
        serial += 1
        heapq.heappush(queue, (when, serial, h, what))

    def start(h: int) -> list[Event]:
        heads[h] = Head(SET, rng.randrange(2**40), now)
        check.taken[h], check.resent[h] = [], []
        for key in [k for k in check.keys if k[0] == h]:
            del check.keys[key]
        check.rest = {k: v for k, v in check.rest.items() if k[0] != h}
        for n in fleet.values():
            check.state[h, n.node] = n
        return [NodeList(True, tuple(fleet.values()))]

    for h in range(HEADS):
        put(now, h, "start")
    for k in range(900):
        at, h = now + rng.randrange(6_000_000), rng.randrange(HEADS)
        volume = f"v{rng.randrange(4)}"
        cls = rng.choice(CLASSES)
        left = rng.choice([cls.deadline, cls.deadline, cls.deadline // 2, 1])
        key = rng.choice([None, "k1", "k2"])
        plan = "a" if volume in ("v0", "v1") else "b"
        put(at, h, Request(f"r{k}", key, volume, at + left, rng.randrange(4), rng.choice([1, 2, 2, 8]),
                           cls.name, plan, HEADS))  # fmt: skip
    for at in (2_000_000, 4_000_000):
        put(at, rng.randrange(HEADS), "restart")
        put(at + 300_000, -1, Node("n0", NodeState.DRAINING, 0))
        put(at + 700_000, -1, Node(f"m{at}", NodeState.UP, 0, at + 600_000))
    while queue:
        now, _, h, what = heapq.heappop(queue)
        if h < 0:
            fleet[what.node] = what
            for other in range(HEADS):
                put(now + rng.randrange(200_000), other, NodeList(False, (what,)))
            continue
        events: list[Event] = []
        if what in ("start", "restart"):
            if what == "restart":  # what it held is the client's to retry
                for name in [r for r, (g, _) in check.req.items() if g == h]:
                    check.answer.setdefault(name, now)
                queue = [q for q in queue if q[2] != h or isinstance(q[3], Request | NodeList)]
                heapq.heapify(queue)
            events = start(h)
        elif isinstance(what, Outcome):
            tried = check.tries[what.request][what.attempt]
            if tried["end"]:
                continue
            over = what.request in check.answer
            what = Outcome(what.request, what.node, what.attempt, what.result, what.elapsed,
                           over or what.result is Result.OK)  # fmt: skip
            check.ended(h, now, what)
            events = [what]
            if rng.random() < 0.05 and what.final:
                events.append(ClientGone(what.request))
        else:
            events = [what]
            if isinstance(what, Request):
                check.req[what.request] = (h, what)
                check.taken[h].append(now)
                if what.class_name == "turn" and what.key:
                    check.keys[h, what.key].append(what.request)
            if isinstance(what, NodeList):
                for n in what.nodes:
                    check.state[h, n.node] = n
        for a in heads[h].handle(now, events):
            check.action(h, now, a)
            if isinstance(a, SetTimer):
                put(now + a.delay, h, Wake(a.label))
            elif isinstance(a, Send):
                number = len(sent[a.request])
                sent[a.request].append(now)
                limit = check.req[a.request][1].give_up
                result = rng.choices(
                    list(Result), weights=[70, 5, 5, 6, 4, 5, 0, 2], k=1
                )[0]  # fmt: skip
                done = min(now + int(rng.expovariate(1 / 60_000)) + 1, limit)
                put(done if result is not Result.TIMEOUT else limit, h,
                    Outcome(a.request, a.node, number, result if done < limit else Result.TIMEOUT,
                            done - now, False))  # fmt: skip
            elif isinstance(a, Cancel) and (a.request, a.attempt) not in cancels:
                cancels.add((a.request, a.attempt))
                put(now, h, Outcome(a.request, "", a.attempt, Result.CANCELLED, 0, False))
        if now > 12_000_000:
            break
    assert set(check.req) == set(check.answer)
    assert sum(len(t) for t in check.tries.values()) > 150
