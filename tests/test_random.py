"""Several schedulers under random valid event sequences, checked by an independent implementation of the
rules. The speed of endpoints is not modelled: outcomes and delays are random."""

import heapq
import random
from collections import defaultdict
from typing import Any

import pytest

from umberlead.scheduling.actions import Action, Cancel, Fail, Reject, Send, SetTimer
from umberlead.scheduling.events import (
    AttemptResult,
    ClientDisconnected,
    Endpoint,
    EndpointList,
    EndpointStatus,
    Event,
    Outcome,
    Request,
    TimerExpired,
)
from umberlead.scheduling.scheduler import Scheduler
from umberlead.scheduling.settings import Plan, Repeatability, RequestClass, Settings

CLASSES = (
    RequestClass("read", 200_000, 900_000, priority_weight=2.0),
    RequestClass(
        "turn",
        200_000,
        900_000,
        Repeatability.IDEMPOTENT_BY_KEY,
        "cell",
        400_000,
        ordered=True,
        priority_weight=2.0,
    ),
    RequestClass("once", 300_000, 1_200_000, Repeatability.AT_MOST_ONCE),
)
PLANS = (
    Plan("a", 1.0, limit_units_per_second=30.0, limit_burst_units=48.0, limit_slack_units=8.0),
    Plan("b", 2.0, reserved_units_per_second=10.0),
)
HEADS, REST, GRACE = 3, 50_000, 100_000
SET = Settings(
    classes=CLASSES,
    plans=PLANS,
    front_count=HEADS,
    mean_request_units=2.0,
    max_request_units=8.0,
    max_attempts=3,
    cancellation_allowed=True,
    max_retry_after_us=500_000,
    slow_start_units=40.0,
    initial_capacity_ratio=0.2,
    slow_start_overload_factor=3.0,
    slow_start_window_us=1_000_000,
    warm_up_us=8_000_000,
    ordering_pause_us=REST,
    retry_budget_window_us=2_000_000,
    retry_budget_min_retries=2,
    retry_budget_ratio=0.1,
)
UNRUN = (AttemptResult.REJECTED, AttemptResult.CONNECT_FAILED, AttemptResult.NOT_SENT)


class Checker:
    """Checks the scheduler's rules over its events and actions."""

    def __init__(self) -> None:
        self.req: dict[str, tuple[int, Request]] = {}
        self.answer: dict[str, int] = {}
        self.tries: dict[str, list[dict[str, Any]]] = defaultdict(list)
        self.state: dict[tuple[int, str], Endpoint] = {}
        self.spent: dict[str, list[float]] = {}
        self.resent: dict[int, list[int]] = defaultdict(list)
        self.taken: dict[int, list[int]] = defaultdict(list)
        self.keys: dict[tuple[int, str], list[str]] = defaultdict(list)
        self.rest: dict[tuple[int, str], int] = {}
        self.cold: dict[str, list[tuple[int, float]]] = defaultdict(list)

    def action(self, h: int, now: int, a: Action) -> None:
        if isinstance(a, Reject | Fail):
            at, req = self.req[a.request_id]
            assert a.request_id not in self.answer and now <= req.deadline_us, "answered twice or late"
            self.answer[a.request_id] = now
            ran = [t for t in self.tries[a.request_id] if t["end"] not in UNRUN]
            effect = next(c.repeatability for c in CLASSES if c.name == req.class_name)
            assert not (
                isinstance(a, Reject) and ran and effect is not Repeatability.IDEMPOTENT
            ), "refused what may have run"
        if isinstance(a, Send):
            self.send(h, now, a)

    def send(self, h: int, now: int, a: Send) -> None:
        _, req = self.req[a.request_id]
        cls = next(c for c in CLASSES if c.name == req.class_name)
        tries, node = self.tries[a.request_id], self.state[h, a.endpoint]
        assert a.request_id not in self.answer, "sent after the end"
        assert (
            node.status is EndpointStatus.UP and node.shard == req.shard
        ), "sent to a draining or wrong node"
        assert all(t["end"] for t in tries) and len(tries) < 3, "two at once, or too many"
        ran = [t["at"] for t in tries if t["end"] not in UNRUN]
        if ran:
            assert cls.repeatability is not Repeatability.AT_MOST_ONCE
            assert (
                cls.repeatability is Repeatability.IDEMPOTENT or now - ran[0] < cls.deduplication_window_us
            ), "after the memory"
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
            before = line[: line.index(a.request_id)]
            busy = [r for r in before if r not in self.answer or any(not t["end"] for t in self.tries[r])]
            assert not busy, "out of turn"
            again = any(
                t["end"] in (AttemptResult.TIMEOUT, AttemptResult.RESET, AttemptResult.CANCELLED)
                for t in tries
            )
            assert again or now >= self.rest.get((h, req.key), 0), "the key had to rest"
        if node.started_us and now - node.started_us < 8_000_000:
            log = self.cold[a.endpoint]
            log.append((now, req.units))
            grown = 1 + 4 * (now - node.started_us) / 8_000_000
            # Outcomes are random, so serving proves no capacity: the bound is the whole overload factor.
            assert sum(u for t, u in log if t > now - 1_000_000) <= 3 * 40.0 * grown, "cold node pushed"
        tries.append({"at": now, "end": None})

    def ended(self, h: int, now: int, e: Outcome) -> None:
        self.tries[e.request_id][e.attempt]["end"] = e.result
        if e.final:
            self.answer.setdefault(e.request_id, now)
        _, req = self.req[e.request_id]
        if (
            req.key
            and req.class_name == "turn"
            and e.result in (AttemptResult.TIMEOUT, AttemptResult.RESET, AttemptResult.CANCELLED)
        ):
            self.rest[h, req.key] = now + REST


@pytest.mark.parametrize("seed", range(12))
def test_rules_hold_through_random_days(seed: int) -> None:
    rng, check = random.Random(seed), Checker()
    now, serial = 1_000_000, 0
    heads: dict[int, Scheduler] = {}
    queue: list[tuple[int, int, int, Any]] = []
    sent: dict[str, list[int]] = defaultdict(list)
    cancels: set[tuple[str, int]] = set()
    fleet = {f"n{k}": Endpoint(f"n{k}", EndpointStatus.UP, k) for k in range(3)}

    def put(when: int, h: int, what: Any) -> None:
        nonlocal serial
        serial += 1
        heapq.heappush(queue, (when, serial, h, what))

    def start(h: int) -> list[Event]:
        heads[h] = Scheduler(SET, rng.randrange(2**40), now)
        check.taken[h], check.resent[h] = [], []
        for key in [k for k in check.keys if k[0] == h]:
            del check.keys[key]
        check.rest = {k: v for k, v in check.rest.items() if k[0] != h}
        for n in fleet.values():
            check.state[h, n.name] = n
        return [EndpointList(True, tuple(fleet.values()))]

    for h in range(HEADS):
        put(now, h, "start")
    for k in range(900):
        at, h = now + rng.randrange(6_000_000), rng.randrange(HEADS)
        volume = f"v{rng.randrange(4)}"
        cls = rng.choice(CLASSES)
        left = rng.choice([cls.timeout_us, cls.timeout_us, cls.timeout_us // 2, 1])
        key = rng.choice([None, "k1", "k2"])
        plan = "a" if volume in ("v0", "v1") else "b"
        put(
            at,
            h,
            Request(
                f"r{k}",
                key,
                volume,
                at + left,
                rng.randrange(4),
                rng.choice([1, 2, 2, 8]),
                cls.name,
                plan,
                HEADS,
            ),
        )
    for at in (2_000_000, 4_000_000):
        put(at, rng.randrange(HEADS), "restart")
        put(at + 300_000, -1, Endpoint("n0", EndpointStatus.DRAINING, 0))
        put(at + 700_000, -1, Endpoint(f"m{at}", EndpointStatus.UP, 0, at + 600_000))
    while queue:
        now, _, h, what = heapq.heappop(queue)
        if h < 0:
            fleet[what.name] = what
            for other in range(HEADS):
                put(now + rng.randrange(200_000), other, EndpointList(False, (what,)))
            continue
        events: list[Event] = []
        if what in ("start", "restart"):
            if what == "restart":  # clients retry the requests that the old process held
                for name in [r for r, (g, _) in check.req.items() if g == h]:
                    check.answer.setdefault(name, now)
                queue = [q for q in queue if q[2] != h or isinstance(q[3], Request | EndpointList)]
                heapq.heapify(queue)
            events = start(h)
        elif isinstance(what, Outcome):
            tried = check.tries[what.request_id][what.attempt]
            if tried["end"]:
                continue
            over = what.request_id in check.answer
            what = Outcome(
                what.request_id,
                what.endpoint,
                what.attempt,
                what.result,
                what.elapsed_us,
                over or what.result is AttemptResult.OK,
            )
            check.ended(h, now, what)
            events = [what]
            if rng.random() < 0.05 and what.final:
                events.append(ClientDisconnected(what.request_id))
        else:
            events = [what]
            if isinstance(what, Request):
                check.req[what.request_id] = (h, what)
                check.taken[h].append(now)
                if what.class_name == "turn" and what.key:
                    check.keys[h, what.key].append(what.request_id)
            if isinstance(what, EndpointList):
                for n in what.endpoints:
                    check.state[h, n.name] = n
        for a in heads[h].handle(now, events):
            check.action(h, now, a)
            if isinstance(a, SetTimer):
                put(now + a.delay_us, h, TimerExpired(a.label))
            elif isinstance(a, Send):
                number = len(sent[a.request_id])
                sent[a.request_id].append(now)
                limit = check.req[a.request_id][1].deadline_us
                result = rng.choices(list(AttemptResult), weights=[70, 5, 5, 6, 4, 5, 0, 2], k=1)[0]
                done = min(now + int(rng.expovariate(1 / 60_000)) + 1, limit)
                put(
                    done if result is not AttemptResult.TIMEOUT else limit,
                    h,
                    Outcome(
                        a.request_id,
                        a.endpoint,
                        number,
                        result if done < limit else AttemptResult.TIMEOUT,
                        done - now,
                        False,
                    ),
                )
            elif isinstance(a, Cancel) and (a.request_id, a.attempt) not in cancels:
                cancels.add((a.request_id, a.attempt))
                put(now, h, Outcome(a.request_id, "", a.attempt, AttemptResult.CANCELLED, 0, False))
        if now > 12_000_000:
            break
    assert set(check.req) == set(check.answer)
    assert sum(len(t) for t in check.tries.values()) > 150
