"""The platform's configuration: random valid ones are served, and invalid ones are rejected.

Under a random valid configuration, requests of all classes and plans are served without breaking a rule.
With one invalid key, the error names that key, and a reload changes nothing.
"""

import asyncio
import copy
import json
import os
import random
import tempfile
from collections import Counter as Counts
from collections import defaultdict
from collections.abc import Iterator
from itertools import product
from pathlib import Path
from typing import Any
from unittest import mock
from urllib.parse import quote

import pytest
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import seed as with_seed
from hypothesis import strategies as st

from umberlead import configuration
from umberlead.common.counters import Counters
from umberlead.common.timer_wheel import TimerWheel
from umberlead.daemon.process import FrontProcess
from umberlead.emulator.loop import Alarm, Loop
from umberlead.frontends.admin_api import format_counters
from umberlead.frontends.platform import parse_request
from umberlead.net.http_message import HttpRequest
from umberlead.requests.lifecycle import RequestLifecycle
from umberlead.requests.types import RESULTS_WITHOUT_EFFECT, Answer, AnswerKind, Attempt, InFlightRequest
from umberlead.scheduling.events import AttemptResult, Endpoint, EndpointList, EndpointStatus
from umberlead.scheduling.settings import Repeatability

ROOT = Path(__file__).parent.parent
SEGMENT = "-._~!$&'()*+,;=:@"  # allowed unescaped in a path segment, besides letters and digits (RFC 3986)
NAMES = st.text("abXY019 %/?é|" + SEGMENT, min_size=1, max_size=9)
MARGIN = 15_000
SECOND = 1_000_000

# The smallest and the largest number drawn, by path. `*` stands for each item of a list.
FIGURES: dict[str, tuple[float, float]] = {
    "settings.instances": (1, 200),
    "settings.tick": (1, 250_000),
    "settings.bounds.maxAttempts": (1, 5),
    "settings.bounds.dialTimeout": (0, 2 * SECOND),
    "settings.bounds.keepalive": (50_000, 120 * SECOND),
    "settings.bounds.maxRetryAfter": (0, 30 * SECOND),
    "settings.extra.meanUnits": (0.5, 9.0),
    "settings.extra.maxUnits": (1, 64),
    "settings.extra.nShards": (0, 40),
    "settings.extra.fairWorth": (0.0, 1.0),
    "settings.extra.idleWorth": (0.0, 1.0),
    "settings.extra.coldUnits": (0.0, 300.0),
    "settings.guarantees.graceToAnswer": (0, SECOND),
    "settings.guarantees.coldShare": (0.0, 1.0),
    "settings.guarantees.fallMultiple": (1.0, 9.0),
    "settings.guarantees.overloadFor": (0, 5 * SECOND),
    "settings.guarantees.warmUp": (0, 30 * SECOND),
    "settings.guarantees.orderPause": (0, SECOND),
    "settings.guarantees.resendSpan": (0, 10 * SECOND),
    "settings.guarantees.freeResends": (0, 10),
    "settings.guarantees.resendRatio": (0.0, 0.5),
    "settings.grades.*.aim": (50_000, 60 * SECOND),
    "settings.grades.*.hardLimit": (50_000, 60 * SECOND),
    "settings.grades.*.memorySpan": (0, 9 * SECOND),
    "settings.grades.*.credit": (0.0, 9.0),
    "settings.grades.*.lateWorth": (0.0, 1.0),
    "settings.plans.*.weight": (0.01, 99.0),
    "settings.plans.*.usualRate": (0.0, 90.0),
    "settings.plans.*.reservation": (0.0, 90.0),
    "settings.plans.*.valueFactor": (0.0, 3.0),
    "settings.plans.*.neverOver": (1e-9, 90.0),
    "settings.plans.*.mostAtOnce": (20.0, 180.0),
    "settings.plans.*.capSlack": (0.0, 20.0),
    "limits.sockets": (32, 4096),
    "limits.memory_mb": (16, 2048),
    "limits.cores": (0.1, 4.0),
    "known.index": (0, 10**9),
    "known.endpoints.*.since_ms": (0, 2 * 10**12),
    "known.endpoints.*.group": (-1, 9),
}
ABOVE = {  # numbers that must not be 0
    "settings.instances",
    "settings.tick",
    "settings.bounds.maxAttempts",
    "settings.bounds.keepalive",
    "settings.extra.meanUnits",
    "settings.extra.maxUnits",
    "settings.grades.*.aim",
    "limits.cores",
    "settings.grades.*.hardLimit",
    "settings.plans.*.weight",
    "limits.sockets",
    "limits.memory_mb",
}
MUST = {"settings.grades.*.aim", "settings.grades.*.hardLimit"}
WORDS = {
    "settings.discovery": ("push", "ask"),
    "settings.grades.*.group": ("all", "zone", "cell"),
    "settings.grades.*.effect": ("idempotent", "deduplicated", "at_most_once"),
    "known.endpoints.*.status": ("ready", "draining"),
    "settings.loadReport.how": ("answers", "probe", "none"),
}
FLAGS = (
    "settings.bounds.cancel",
    "settings.bounds.retryAfter",
    "settings.callers.marksRetry",
    "settings.grades.*.sequential",
    "known.snapshot",
)
UNREAD = {  # keys that the platform sends and the program ignores
    "settings.bounds.probes": True,
    "settings.bounds.peers": True,
    "settings.bounds.secondCopies": True,
    "settings.extra.tellsElsewhere": True,
    "settings.extra.classWrites": [False, True, False],
    "settings.zone": "one",
    "settings.shapes": ["box-fast"],
    "settings.slotNo": 0,
    "settings.guarantees.drainGrace": 2_000_000,
    "settings.new": {"key": [1, {"a": None}]},
    "peers": {"n1": "127.0.0.1:9"},
    "peers_all": "127.0.0.1:8",
    "peer_listen": "127.0.0.1:7",
}


def places(path: str, counts: dict[str, int]) -> Iterator[list[str | int]]:
    parts = path.split(".")
    if "*" not in parts:
        yield [*parts]
        return
    at = parts.index("*")
    for n in range(counts[parts[at - 1]]):
        yield [*parts[:at], n, *parts[at + 1 :]]


def put(conf: Any, at: list[str | int], value: Any) -> None:
    for part in at[:-1]:
        conf = conf.setdefault(part, {}) if isinstance(conf, dict) else conf[part]
    conf[at[-1]] = value


def spelt(figures: st.SearchStrategy[Any]) -> st.SearchStrategy[Any]:
    return st.tuples(st.sampled_from((lambda v: v, float, str)), figures).map(lambda t: t[0](t[1]))


def figure(low: float, high: float) -> st.SearchStrategy[Any]:
    whole = isinstance(low, int) and isinstance(high, int)
    return spelt(st.integers(int(low), int(high)) if whole else st.floats(low, high))


DRAWN = {path: figure(*span) for path, span in FIGURES.items()}


@st.composite
def platforms(draw: st.DrawFn) -> dict[str, Any]:
    """A random valid configuration, with some of the optional keys missing."""
    counts = {"grades": draw(st.integers(1, 6)), "plans": draw(st.integers(1, 8)), "endpoints": 2}
    conf: dict[str, Any] = {
        "name": "n3",
        "listen": "127.0.0.1:8080",
        "discovery": "127.0.0.1:8500",
        "seed": "8c1f30d27a5be964",
        "known": {
            "endpoints": [{"name": "s", "address": "127.0.0.1:1"}, {"name": "t", "address": "[::1]:2"}]
        },
        "settings": {key: [{} for _ in range(counts[key])] for key in ("grades", "plans")},
    }
    for key, kind in (("grades", NAMES), ("plans", NAMES.map(str.strip).filter(bool))):
        names = draw(st.lists(kind, min_size=counts[key], max_size=counts[key], unique=True))
        for row, name in zip(conf["settings"][key], names, strict=True):
            row["name"] = name
    for path, kind in DRAWN.items():
        for at in places(path, counts):
            if path in MUST or draw(st.integers(0, 4)) > 0:
                put(conf, at, draw(kind))
    for path, words in WORDS.items():
        for at in places(path, counts):
            if draw(st.integers(0, 4)) > 0:
                put(conf, at, draw(st.sampled_from(words)))
    for path in FLAGS:
        for at in places(path, counts):
            if draw(st.booleans()):
                put(conf, at, draw(st.sampled_from((True, False, "true", "false", 1, 0))))
    if draw(st.booleans()):
        fields = draw(st.sampled_from((["depth"], "depth,tps", [], "")))
        put(conf, ["settings", "loadReport", "fields"], fields)
    if draw(st.booleans()):
        conf["settings"]["azs"] = draw(st.sampled_from((["one"], ["a", "b", "c"])))
    if draw(st.booleans()):
        for path, value in UNREAD.items():
            put(conf, [*path.split(".")], copy.deepcopy(value))
    return conf


def load(conf: Any) -> configuration.Config:
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        file.write(conf if isinstance(conf, str) else json.dumps(conf))
        file.flush()
        return configuration.load({"EDGE_CONFIG": file.name})


def on_the_wire(told: dict[str, Any]) -> dict[str, str]:
    """The same settings in the form in which the simulator sends them."""

    def word(value: Any) -> str:
        if isinstance(value, list):
            return ",".join(map(word, value))
        return str(value).lower() if isinstance(value, bool) else str(value)

    def nested(value: Any) -> bool:
        return isinstance(value, dict) or isinstance(value, list) and any(map(nested, value))

    return {k: word(v) for k, v in configuration.flatten(told).items() if not nested(v)}


class Day:
    """The request lifecycle of one front in virtual time.

    The result of each attempt and the time at which it ends are random. Each attempt and each answer is
    checked when it occurs.
    """

    def __init__(self, made: configuration.Config, seed: int, zones: tuple[str, ...] = ("a", "b")) -> None:
        self.zones, self.s, self.loop, self.chance = zones, made.settings, Loop(), random.Random(seed)
        self.start_at, self.faults, loop = self.loop.now, list[str](), self.loop
        self.wheel = TimerWheel(lambda: loop.now, self._alarm, made.tick_us)
        self.engine = RequestLifecycle(
            made.settings,
            seed,
            lambda: loop.now,
            self.wheel,
            loop.soon,
            Counters(),
            lambda event, **told: self.faults.append(f"{event} {told}"),
        )
        self.engine.transport = self
        self.nodes: dict[str, Endpoint] = {}
        self.tries: dict[bytes, list[tuple[int, Endpoint, list[AttemptResult]]]] = defaultdict(
            list
        )  # by call id
        self.answers, self.gone = dict[bytes, AnswerKind](), set[bytes]()
        self.effects: dict[bytes, Repeatability] = {}
        self.resent: list[int] = []
        self.asked: list[int] = []
        self.spent: dict[str, tuple[float, int]] = {}

    def _alarm(self, delay: int, what: Any) -> Alarm:
        made = Alarm(what)
        self.loop.at(self.loop.now + delay, made)
        return made

    # Endpoint list

    def told(self, *nodes: Endpoint, whole: bool = False) -> None:
        self.nodes |= {n.name: n for n in nodes}
        self.engine.apply_endpoint_list(EndpointList(whole, nodes))

    # Transport

    def start(self, attempt: Attempt) -> None:
        ticket, now, s = attempt.request, self.loop.now, self.s
        cls, node = self.engine.classes[ticket.incoming.class_name], self.nodes[attempt.endpoint]
        tries = self.tries[ticket.incoming.call_id]
        assert (
            not ticket.answered and now < ticket.incoming.deadline_us
        ), "attempt after the answer or the deadline"
        assert len(tries) < s.max_attempts and all(
            end for *_, end in tries
        ), "too many attempts, or two at once"
        assert node.status is EndpointStatus.UP and ticket.incoming.shard in (
            -1,
            node.shard,
        ), "endpoint is not up or has another shard"
        ran = [(at, n) for at, n, end in tries if end[0] not in RESULTS_WITHOUT_EFFECT]
        if ran:
            at, first = ran[0]
            assert cls.repeatability is not Repeatability.AT_MOST_ONCE, "retried although it may have run"
            if cls.repeatability is Repeatability.IDEMPOTENT_BY_KEY:
                assert now - at < cls.deduplication_window_us, "retried after the deduplication window"
                assert (
                    cls.deduplication_scope != "zone" or node.zone == first.zone
                ), "retried in another zone, which does not deduplicate"
                assert (
                    cls.deduplication_scope != "cell" or node.shard == first.shard
                ), "retried in another cell, which does not deduplicate"
        if tries:
            self.resent.append(now)
            since = now - s.retry_budget_window_us
            most = s.retry_budget_min_retries + s.retry_budget_ratio * sum(at > since for at in self.asked)
            assert (
                not s.retry_budget_window_us or sum(at > since for at in self.resent) <= most
            ), "over the retry budget"
        elif (plan := next(p for p in s.plans if p.name == ticket.incoming.plan)).limit_units_per_second:
            have, at = self.spent.get(ticket.incoming.volume, (plan.limit_burst_units, self.start_at))
            have = (
                min(have + plan.limit_units_per_second * (now - at) / SECOND, plan.limit_burst_units)
                - ticket.incoming.units
            )
            assert have >= -plan.limit_slack_units - 1e-6, "over the rate limit"
            self.spent[ticket.incoming.volume] = have, now
        row: tuple[int, Endpoint, list[AttemptResult]] = (now, node, [])
        tries.append(row)
        attempt.transport_state = (now + self.chance.choice((0, 0, 5000, 300_000)), row)
        result = self.chance.choices(list(AttemptResult), weights=[50, 10, 8, 8, 8, 8, 0, 8])[0]
        if result is not AttemptResult.TIMEOUT:  # no response arrives: the lifecycle stops the attempt
            wait = int(self.chance.expovariate(1 / 60_000)) + 1
            self.loop.at(now + wait, lambda: self._end(attempt, result))

    def _end(self, attempt: Attempt, result: AttemptResult) -> None:
        if attempt.request.attempt is attempt:
            attempt.transport_state[1][2].append(result)
            ask = attempt.request.incoming
            if (
                result is AttemptResult.NOT_SENT and not attempt.number and ask.volume in self.spent
            ):  # the request never reached the endpoint
                have, at = self.spent[ask.volume]
                self.spent[ask.volume] = have + ask.units, at
            self.engine.attempt_ended(attempt, result)

    def stop(self, attempt: Attempt, why: AttemptResult) -> None:
        self.loop.soon(lambda: self._end(attempt, why))

    def cancel_if_unsent(self, attempt: Attempt) -> bool:
        if waits := self.loop.now < attempt.transport_state[0]:
            self.stop(attempt, AttemptResult.NOT_SENT)
        return waits

    # Clients

    def ask(self, class_name: str, plan: str, shard: int, leaves: bool) -> None:
        cls = self.engine.classes[class_name]
        budget = self.chance.choice((*[cls.timeout_us] * 6, cls.timeout_us // 3 + 1, 16_000)) / SECOND
        most = max(self.s.max_request_units, 1)
        units = self.chance.choice((most, *[min(most, self.s.mean_request_units)] * 3)) * self.chance.uniform(
            0.1, 1
        )
        self.ask_for(class_name, plan, shard, leaves, budget, f"{units:.4f}")

    def ask_for(
        self, class_name: str, plan: str, shard: int, leaves: bool, budget: float, units: str
    ) -> None:
        """Send a request with a budget in seconds and a size as written in the header."""
        name = b"r%d" % len(self.asked)
        cls = self.engine.classes[class_name]
        io = f"volume={[p.name for p in self.s.plans].index(plan):x},units={units}"
        headers = {
            b"x-call-id": name,
            b"x-plan": plan.encode(),
            b"x-budget": f"{budget:.6f}".encode(),
            b"x-io": f"{io},shard={shard},hosts={self.chance.randint(1, 4)}".encode(),
        }
        target = f"/{quote(class_name, safe=SEGMENT)}?block={self.chance.randrange(9):016x}"
        ask = parse_request(
            HttpRequest(b"PUT", target.encode(), headers, received_us=self.loop.now), self.engine, MARGIN
        )
        assert (ask.class_name, ask.plan) == (class_name, plan)
        self.asked.append(self.loop.now)
        self.effects[name] = cls.repeatability

        def done(answer: Answer) -> None:
            assert (
                name not in self.answers and name not in self.gone
            ), "answered twice, or after the client disconnected"
            self.answers[name] = answer.kind
            # The client waits longer than the front's deadline by the answer margin.
            assert self.loop.now <= ask.deadline_us + MARGIN, "answered late"
            ran = any(end and end[0] not in RESULTS_WITHOUT_EFFECT for *_, end in self.tries[name])
            assert (
                answer.kind is not AnswerKind.REJECTED
                or not ran
                or cls.repeatability is Repeatability.IDEMPOTENT
            ), "rejected although it may have run"

        ticket = self.engine.accept(ask, done)
        if leaves and not ticket.answered:
            self.loop.at(self.loop.now + self.chance.randrange(100_000), lambda: self._leave(ticket, name))

    def _leave(self, ticket: InFlightRequest, name: bytes) -> None:
        if not ticket.answered:
            self.gone.add(name)
            self.engine.client_left(ticket)

    def play(self) -> None:
        """Send requests of all classes and plans for 6 s while endpoints are added, drained and removed."""
        loop, chance, shards = self.loop, self.chance, min(self.s.shard_count or 3, 3)
        rooms = self.zones
        starts = (
            0,
            0,
            0,
            loop.now - 100_000,
            loop.now + 50_000,
        )  # long ago, shortly before, and in the future because clocks differ
        listed = [
            Endpoint(f"n{k}", EndpointStatus.UP, k % shards, chance.choice(starts), zone=chance.choice(rooms))
            for k in range(4)
        ]
        self.told(*listed, whole=True)
        for k, (cls, plan) in enumerate([*product(self.s.classes, self.s.plans)] * 3):
            at = loop.now + chance.randrange(6 * SECOND)
            words = cls.name, plan.name, chance.randrange(-1, shards), k % 9 == 8
            loop.at(at, lambda words=words: self.ask(*words))  # type: ignore[misc]

        def later(wait: int, node: Endpoint) -> None:
            loop.at(loop.now + wait, lambda: self.told(node))

        later(2_000_000, Endpoint("n0", EndpointStatus.DRAINING, 0))
        later(2_700_000, Endpoint("n9", EndpointStatus.UP, 0, loop.now + 2_690_000, zone=rooms[-1]))
        later(3_500_000, Endpoint("n0", EndpointStatus.GONE, 0))
        loop.run(loop.now + 7 * SECOND + max(c.timeout_us for c in self.s.classes))
        assert not self.faults, self.faults[0]
        assert len(self.asked) == 3 * len(self.s.classes) * len(self.s.plans)
        assert len(self.answers) + len(self.gone) == len(self.asked)
        assert not len(self.engine.open_requests) and not self.engine.scheduler.requests


EXAMPLES_PER_ROUND = 150
LEAST_ROUNDS, MOST_ROUNDS = 2, 8


def _covers_all_ends(seen: Counts[Any]) -> bool:
    """Return whether enough requests had each kind of answer, and enough of each effect were retried."""
    ends = all(seen[kind] > 500 for kind in AnswerKind)
    return ends and all(seen[effect, 1] > 200 and seen[effect, 2] > 50 for effect in Repeatability)


def test_any_valid_configuration_is_accepted_and_served() -> None:
    """Rounds with fixed seeds run until all outcomes are covered.

    The coverage of one round varies with the constants that hypothesis finds in the loaded modules.
    """
    seen: Counts[Any] = Counts()
    for round_number in range(MOST_ROUNDS):

        @with_seed(round_number)
        @settings(
            max_examples=EXAMPLES_PER_ROUND,
            database=None,
            deadline=None,  # the wall time depends on the load of the machine
            phases=(Phase.generate,),  # shrinking a failing example takes minutes
            suppress_health_check=list(HealthCheck),
        )
        @given(platforms(), st.integers(0, 1 << 32))
        def drawn(conf: dict[str, Any], seed: int) -> None:
            day = served_under(conf, seed)
            seen.update(day.answers.values())
            seen.update((day.effects[name], min(len(tries), 2)) for name, tries in day.tries.items())

        drawn()
        if round_number + 1 >= LEAST_ROUNDS and _covers_all_ends(seen):
            break
    assert _covers_all_ends(seen), dict(seen)


def served_under(conf: dict[str, Any], seed: int) -> Day:
    made = load(conf)
    told = conf["settings"]
    assert [(c.name, c.latency_objective_us, c.timeout_us) for c in made.settings.classes] == [
        (g["name"], int(float(g["aim"])), int(float(g["hardLimit"]))) for g in told["grades"]
    ]
    assert [(p.name, p.weight, p.limit_units_per_second) for p in made.settings.plans] == [
        (p["name"], float(p.get("weight", 1)), float(p.get("neverOver", 0))) for p in told["plans"]
    ]
    assert configuration.parse_settings(on_the_wire(told)) == made.settings
    day = Day(made, seed, tuple(told.get("azs", ("a", "b"))))
    day.play()
    for line in format_counters(day.engine).decode().splitlines():  # for any class name
        assert len(line.split(":")) == 2 and len(line.split("|")) == 2 and line.isascii()
    return day


# Invalid configurations

NO_FIGURE: tuple[Any, ...] = (
    "soon",
    "",
    [],
    {},
    [1],
    [{}],
    True,
    False,
    "nan",
    "inf",
    float("nan"),
    float("inf"),
    -float("inf"),
    -2,
    10**400,
)
NO_FLAG: tuple[Any, ...] = ("maybe", "", 2, -1, [], {}, [True], float("nan"))
NO_TEXT: tuple[Any, ...] = ([], {}, True, [""], [{}])
NO_WORD: tuple[Any, ...] = ("often", "", 5, *NO_TEXT)
NO_TABLE: tuple[Any, ...] = (5, 0, "", "x", [], [1], True)
NO_ADDRESS = (
    "here",
    "",
    ":80",
    "h:",
    "h:65536",
    "h:-1",
    "[]:80",
    "a b:80",
    "h:8 0",
    "é:80",
    5,
    f"h:{'9' * 5000}",
    *NO_TEXT,
)


def whole() -> dict[str, Any]:
    """A valid configuration with every key."""
    counts = {"grades": 2, "plans": 2, "endpoints": 2}
    rows = [{"name": "a", "address": "127.0.0.1:1"}, {"name": "b", "address": "127.0.0.1:2"}]
    conf: dict[str, Any] = {
        "name": "n3",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:8500",
        "seed": "8c",
        "management": "h:1",
        "known": {"endpoints": copy.deepcopy(rows)},
        "settings": {key: [{"name": "a"}, {"name": "b"}] for key in ("grades", "plans")},
    }
    for path, (low, high) in FIGURES.items():
        for at in places(path, counts):
            put(conf, at, (low + high) // 2)
    for path, words in WORDS.items():
        for at in places(path, counts):
            put(conf, at, words[0])
    for path in FLAGS:
        for at in places(path, counts):
            put(conf, at, True)
    put(conf, ["settings", "loadReport", "fields"], ["depth"])
    return conf


def broken() -> Iterator[tuple[str, Any]]:
    """Yield keys with an invalid value each; None stands for a missing key."""
    for path in FIGURES:
        yield from ((path, value) for value in NO_FIGURE)
        if path in ABOVE:
            yield path, 0
    yield from ((path, None) for path in MUST)
    yield "settings.plans.*.neverOver", 1e-320  # half of it would be 0
    yield from product(FLAGS, NO_FLAG)
    yield from product((p for p in WORDS if p != "settings.loadReport.how"), NO_WORD)
    names = "settings.grades.*.name", "settings.plans.*.name", "known.endpoints.*.name"
    yield from product(names, ("", None, *NO_TEXT))
    yield from product(("settings.grades.*.name", "settings.plans.*.name"), ("a",))  # the first one's name
    tables = ("bounds", "callers", "extra", "guarantees", "loadReport")
    yield from product((*(f"settings.{t}" for t in tables), "settings", "limits", "known"), NO_TABLE)
    yield from product(("settings.grades", "settings.plans"), (None, {}, *NO_TABLE))
    yield from product(("known.endpoints",), (5, 0, "", "x", {}, True))
    yield from product(("listen", "discovery", "known.endpoints.*.address"), (None, *NO_ADDRESS))
    yield from product(("management",), NO_ADDRESS)
    yield from product(("seed",), ("xyz", 1.5, *NO_TEXT))
    yield from product(("name",), NO_TEXT)
    yield from product(("settings.loadReport.fields",), (5, {}, True, [1], [[]], [{}]))


TEXTS = {
    "no json": b"{",
    "no object": b"[]",
    "too deep": b"[" * 100_000,
    "no text": b"\xff{}",
    "deep": b'{"a":' * 900 + b"1" + b"}" * 900,  # can be parsed, but lacks all required keys
}


def test_an_invalid_key_is_named_and_its_reload_changes_nothing(tmp_path: Path) -> None:
    path, loop, count, missed = tmp_path / "c.json", asyncio.new_event_loop(), 0, []
    with mock.patch.dict(os.environ, {"EDGE_CONFIG": str(path)}, clear=True):
        path.write_text(json.dumps(whole()))
        front = FrontProcess(configuration.load(), loop)
        front.log = mock.Mock()
        sound, before = front.config, front.pool.addresses.copy()
        cases = [(key, key.replace("*", "1"), value) for key, value in broken()]
        for _, key, value in cases:
            conf = whole()
            put(conf, [int(p) if p.isdigit() else p for p in key.split(".")], value)
            path.write_text(json.dumps(conf))
            front.reload()
            count += 1
            told = front.log.error.call_args
            if told is None or told.kwargs["key"] != key:
                missed.append((key, value, told and told.kwargs["why"]))
            front.log.error.reset_mock()
        for name, text in TEXTS.items():
            path.write_bytes(text)
            front.reload()
            count += 1
            if name != "deep" and front.log.error.call_args.kwargs["key"] != "EDGE_CONFIG":
                missed.append((name, text[:9], front.log.error.call_args))
        assert not missed, (len(missed), missed[:20])
        assert front.config is sound and front.pool.addresses == before and not front.listeners
        assert front.counters["reloads_refused"] == front.counters["reloads"] == count > 800
        new = whole()
        put(new, ["settings", "bounds", "keepalive"], 31_000_000)
        path.write_text(json.dumps(new))
        front.reload()  # a valid configuration is still applied afterwards
        assert front.config.keepalive_us == 31_000_000
        front.syslog.close()
    loop.close()


@pytest.mark.parametrize("plan", ['["gold"]', "7", '{ a = "gold" }', '"none"'])
def test_a_bucket_of_no_plan_is_named(tmp_path: Path, plan: str) -> None:
    text = (ROOT / "tests/exchanges/base.toml").read_text().replace('scans = "gold"', f"scans = {plan}")
    (tmp_path / "f.toml").write_text(text)
    with pytest.raises(configuration.ConfigError) as caught:
        configuration.load({"UMBERLEAD_CONFIG": str(tmp_path / "f.toml")})
    assert caught.value.key == "objects.buckets.scans"


def test_where_only_one_zone_drops_repeats_none_is_sent_to_another() -> None:
    """A retry in the same zone is not sent either, because the scheduler does not choose endpoints by zone.

    With exactly one zone, retries are allowed.
    """
    conf = whole()
    conf["settings"]["grades"][0] |= {"effect": "deduplicated", "group": "zone", "memorySpan": 5_000_000}
    memories = []
    for zones in (None, ["a", "b"], ["a"]):
        conf["settings"]["azs"] = zones
        memories.append(load(conf).settings.classes[0].deduplication_window_us)
    assert memories == [0, 0, 5_000_000]


def test_an_endpoint_that_starts_in_the_future_is_no_error_without_warm_up() -> None:
    """Guards against a division by a warm-up time of 0.

    Clocks differ, so an endpoint's start time may be in the future.
    """
    conf = whole()
    conf["settings"]["guarantees"]["warmUp"] = 0
    day = Day(load(conf), 1)
    day.told(Endpoint("n0", EndpointStatus.UP, 0, day.loop.now + 9 * SECOND), whole=True)
    day.ask("a", "a", 0, False)
    day.loop.run(day.loop.now + SECOND)
    assert not day.faults and "n0" in day.engine.scheduler.directory.endpoints
