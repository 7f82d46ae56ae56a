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
# Allowed unescaped in a path segment, besides letters and digits (RFC 3986).
SEGMENT_PUNCTUATION = "-._~!$&'()*+,;=:@"
NAMES = st.text("abXY019 %/?é|" + SEGMENT_PUNCTUATION, min_size=1, max_size=9)
ANSWER_MARGIN_US = 15_000
SECOND_US = 1_000_000

# The smallest and the largest number drawn, by path. `*` stands for each item of a list.
NUMBER_RANGES: dict[str, tuple[float, float]] = {
    "settings.instances": (1, 200),
    "settings.tick": (1, 250_000),
    "settings.bounds.maxAttempts": (1, 5),
    "settings.bounds.dialTimeout": (0, 2 * SECOND_US),
    "settings.bounds.keepalive": (50_000, 120 * SECOND_US),
    "settings.bounds.maxRetryAfter": (0, 30 * SECOND_US),
    "settings.extra.meanUnits": (0.5, 9.0),
    "settings.extra.maxUnits": (1, 64),
    "settings.extra.nShards": (0, 40),
    "settings.extra.fairWorth": (0.0, 1.0),
    "settings.extra.idleWorth": (0.0, 1.0),
    "settings.extra.coldUnits": (0.0, 300.0),
    "settings.guarantees.graceToAnswer": (0, SECOND_US),
    "settings.guarantees.coldShare": (0.0, 1.0),
    "settings.guarantees.fallMultiple": (1.0, 9.0),
    "settings.guarantees.overloadFor": (0, 5 * SECOND_US),
    "settings.guarantees.warmUp": (0, 30 * SECOND_US),
    "settings.guarantees.orderPause": (0, SECOND_US),
    "settings.guarantees.resendSpan": (0, 10 * SECOND_US),
    "settings.guarantees.freeResends": (0, 10),
    "settings.guarantees.resendRatio": (0.0, 0.5),
    "settings.grades.*.aim": (50_000, 60 * SECOND_US),
    "settings.grades.*.hardLimit": (50_000, 60 * SECOND_US),
    "settings.grades.*.memorySpan": (0, 9 * SECOND_US),
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
NONZERO_PATHS = {  # numbers that must not be 0
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
REQUIRED_PATHS = {"settings.grades.*.aim", "settings.grades.*.hardLimit"}
CHOICES = {
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
IGNORED_VALUES = {  # keys that the platform sends and the program ignores
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


def expand_path(path: str, counts: dict[str, int]) -> Iterator[list[str | int]]:
    parts = path.split(".")
    if "*" not in parts:
        yield [*parts]
        return
    wildcard_index = parts.index("*")
    for index in range(counts[parts[wildcard_index - 1]]):
        yield [*parts[:wildcard_index], index, *parts[wildcard_index + 1 :]]


def set_value(document: Any, keys: list[str | int], value: Any) -> None:
    for key in keys[:-1]:
        document = document.setdefault(key, {}) if isinstance(document, dict) else document[key]
    document[keys[-1]] = value


def any_spelling(numbers: st.SearchStrategy[Any]) -> st.SearchStrategy[Any]:
    return st.tuples(st.sampled_from((lambda number: number, float, str)), numbers).map(
        lambda drawn: drawn[0](drawn[1])
    )


def number_strategy(low: float, high: float) -> st.SearchStrategy[Any]:
    is_integer = isinstance(low, int) and isinstance(high, int)
    return any_spelling(st.integers(int(low), int(high)) if is_integer else st.floats(low, high))


NUMBER_STRATEGIES = {path: number_strategy(*span) for path, span in NUMBER_RANGES.items()}


@st.composite
def platform_configurations(draw: st.DrawFn) -> dict[str, Any]:
    """A random valid configuration, with some of the optional keys missing."""
    counts = {"grades": draw(st.integers(1, 6)), "plans": draw(st.integers(1, 8)), "endpoints": 2}
    document: dict[str, Any] = {
        "name": "n3",
        "listen": "127.0.0.1:8080",
        "discovery": "127.0.0.1:8500",
        "seed": "8c1f30d27a5be964",
        "known": {
            "endpoints": [{"name": "s", "address": "127.0.0.1:1"}, {"name": "t", "address": "[::1]:2"}]
        },
        "settings": {key: [{} for _ in range(counts[key])] for key in ("grades", "plans")},
    }
    for key, strategy in (("grades", NAMES), ("plans", NAMES.map(str.strip).filter(bool))):
        names = draw(st.lists(strategy, min_size=counts[key], max_size=counts[key], unique=True))
        for row, name in zip(document["settings"][key], names, strict=True):
            row["name"] = name
    for path, strategy in NUMBER_STRATEGIES.items():
        for keys in expand_path(path, counts):
            if path in REQUIRED_PATHS or draw(st.integers(0, 4)) > 0:
                set_value(document, keys, draw(strategy))
    for path, choices in CHOICES.items():
        for keys in expand_path(path, counts):
            if draw(st.integers(0, 4)) > 0:
                set_value(document, keys, draw(st.sampled_from(choices)))
    for path in FLAGS:
        for keys in expand_path(path, counts):
            if draw(st.booleans()):
                set_value(document, keys, draw(st.sampled_from((True, False, "true", "false", 1, 0))))
    if draw(st.booleans()):
        fields = draw(st.sampled_from((["depth"], "depth,tps", [], "")))
        set_value(document, ["settings", "loadReport", "fields"], fields)
    if draw(st.booleans()):
        document["settings"]["azs"] = draw(st.sampled_from((["one"], ["a", "b", "c"])))
    if draw(st.booleans()):
        for path, value in IGNORED_VALUES.items():
            set_value(document, [*path.split(".")], copy.deepcopy(value))
    return document


def load(document: Any) -> configuration.Config:
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        file.write(document if isinstance(document, str) else json.dumps(document))
        file.flush()
        return configuration.load({"EDGE_CONFIG": file.name})


def simulator_settings(values: dict[str, Any]) -> dict[str, str]:
    """The same settings in the form in which the simulator sends them."""

    def as_text(value: Any) -> str:
        if isinstance(value, list):
            return ",".join(map(as_text, value))
        return str(value).lower() if isinstance(value, bool) else str(value)

    def contains_table(value: Any) -> bool:
        return isinstance(value, dict) or isinstance(value, list) and any(map(contains_table, value))

    return {
        path: as_text(setting)
        for path, setting in configuration.flatten(values).items()
        if not contains_table(setting)
    }


class FrontUnderTest:
    """The request lifecycle of one front in virtual time.

    The result of each attempt and the time at which it ends are random. Each attempt and each answer is
    checked when it occurs.
    """

    def __init__(self, config: configuration.Config, seed: int, zones: tuple[str, ...] = ("a", "b")) -> None:
        self.zones, self.settings, self.loop, self.rng = zones, config.settings, Loop(), random.Random(seed)
        self.start_us, self.logged_errors, loop = self.loop.now, list[str](), self.loop
        self.wheel = TimerWheel(lambda: loop.now, self._alarm, config.tick_us)
        self.engine = RequestLifecycle(
            config.settings,
            seed,
            lambda: loop.now,
            self.wheel,
            loop.soon,
            Counters(),
            lambda event, **fields: self.logged_errors.append(f"{event} {fields}"),
        )
        self.engine.transport = self
        self.endpoints: dict[str, Endpoint] = {}
        self.attempts: dict[bytes, list[tuple[int, Endpoint, list[AttemptResult]]]] = defaultdict(
            list
        )  # by call id
        self.answers, self.disconnected = dict[bytes, AnswerKind](), set[bytes]()
        self.repeatabilities: dict[bytes, Repeatability] = {}
        self.retried_at_us: list[int] = []
        self.sent_at_us: list[int] = []
        self.token_buckets: dict[str, tuple[float, int]] = {}

    def _alarm(self, delay_us: int, callback: Any) -> Alarm:
        alarm = Alarm(callback)
        self.loop.at(self.loop.now + delay_us, alarm)
        return alarm

    # Endpoint list

    def apply_endpoints(self, *endpoints: Endpoint, complete: bool = False) -> None:
        self.endpoints |= {endpoint.name: endpoint for endpoint in endpoints}
        self.engine.apply_endpoint_list(EndpointList(complete, endpoints))

    # Transport

    def start(self, attempt: Attempt) -> None:
        request, now_us, settings = attempt.request, self.loop.now, self.settings
        request_class, endpoint = (
            self.engine.classes[request.incoming.class_name],
            self.endpoints[attempt.endpoint],
        )
        attempts = self.attempts[request.incoming.call_id]
        assert (
            not request.answered and now_us < request.incoming.deadline_us
        ), "attempt after the answer or the deadline"
        assert len(attempts) < settings.max_attempts and all(
            results for *_, results in attempts
        ), "too many attempts, or two at once"
        assert endpoint.status is EndpointStatus.UP and request.incoming.shard in (
            -1,
            endpoint.shard,
        ), "endpoint is not up or has another shard"
        possibly_run = [
            (at_us, earlier_endpoint)
            for at_us, earlier_endpoint, results in attempts
            if results[0] not in RESULTS_WITHOUT_EFFECT
        ]
        if possibly_run:
            at_us, first_endpoint = possibly_run[0]
            assert (
                request_class.repeatability is not Repeatability.AT_MOST_ONCE
            ), "retried although it may have run"
            if request_class.repeatability is Repeatability.IDEMPOTENT_BY_KEY:
                assert (
                    now_us - at_us < request_class.deduplication_window_us
                ), "retried after the deduplication window"
                assert (
                    request_class.deduplication_scope != "zone" or endpoint.zone == first_endpoint.zone
                ), "retried in another zone, which does not deduplicate"
                assert (
                    request_class.deduplication_scope != "cell" or endpoint.shard == first_endpoint.shard
                ), "retried in another cell, which does not deduplicate"
        if attempts:
            self.retried_at_us.append(now_us)
            window_start_us = now_us - settings.retry_budget_window_us
            max_retries = settings.retry_budget_min_retries + settings.retry_budget_ratio * sum(
                at_us > window_start_us for at_us in self.sent_at_us
            )
            assert (
                not settings.retry_budget_window_us
                or sum(at_us > window_start_us for at_us in self.retried_at_us) <= max_retries
            ), "over the retry budget"
        elif (
            plan := next(candidate for candidate in settings.plans if candidate.name == request.incoming.plan)
        ).limit_units_per_second:
            available_units, at_us = self.token_buckets.get(
                request.incoming.volume, (plan.limit_burst_units, self.start_us)
            )
            available_units = (
                min(
                    available_units + plan.limit_units_per_second * (now_us - at_us) / SECOND_US,
                    plan.limit_burst_units,
                )
                - request.incoming.units
            )
            assert available_units >= -plan.limit_slack_units - 1e-6, "over the rate limit"
            self.token_buckets[request.incoming.volume] = available_units, now_us
        record: tuple[int, Endpoint, list[AttemptResult]] = (now_us, endpoint, [])
        attempts.append(record)
        attempt.transport_state = (now_us + self.rng.choice((0, 0, 5000, 300_000)), record)
        result = self.rng.choices(list(AttemptResult), weights=[50, 10, 8, 8, 8, 8, 0, 8])[0]
        if result is not AttemptResult.TIMEOUT:  # no response arrives: the lifecycle stops the attempt
            delay_us = int(self.rng.expovariate(1 / 60_000)) + 1
            self.loop.at(now_us + delay_us, lambda: self._end(attempt, result))

    def _end(self, attempt: Attempt, result: AttemptResult) -> None:
        if attempt.request.attempt is attempt:
            attempt.transport_state[1][2].append(result)
            incoming = attempt.request.incoming
            if (
                result is AttemptResult.NOT_SENT
                and not attempt.number
                and incoming.volume in self.token_buckets
            ):  # the request never reached the endpoint
                available_units, updated_us = self.token_buckets[incoming.volume]
                self.token_buckets[incoming.volume] = available_units + incoming.units, updated_us
            self.engine.attempt_ended(attempt, result)

    def stop(self, attempt: Attempt, result: AttemptResult) -> None:
        self.loop.soon(lambda: self._end(attempt, result))

    def cancel_if_unsent(self, attempt: Attempt) -> bool:
        if is_unsent := self.loop.now < attempt.transport_state[0]:
            self.stop(attempt, AttemptResult.NOT_SENT)
        return is_unsent

    # Clients

    def send_random_request(self, class_name: str, plan: str, shard: int, disconnects: bool) -> None:
        request_class = self.engine.classes[class_name]
        budget_seconds = (
            self.rng.choice((*[request_class.timeout_us] * 6, request_class.timeout_us // 3 + 1, 16_000))
            / SECOND_US
        )
        max_units = max(self.settings.max_request_units, 1)
        units = self.rng.choice(
            (max_units, *[min(max_units, self.settings.mean_request_units)] * 3)
        ) * self.rng.uniform(0.1, 1)
        self.send_request(class_name, plan, shard, disconnects, budget_seconds, f"{units:.4f}")

    def send_request(
        self, class_name: str, plan: str, shard: int, disconnects: bool, budget_seconds: float, units: str
    ) -> None:
        """Send a request with a budget in seconds and a size as written in the header."""
        call_id = b"r%d" % len(self.sent_at_us)
        request_class = self.engine.classes[class_name]
        io_fields = f"volume={[p.name for p in self.settings.plans].index(plan):x},units={units}"
        headers = {
            b"x-call-id": call_id,
            b"x-plan": plan.encode(),
            b"x-budget": f"{budget_seconds:.6f}".encode(),
            b"x-io": f"{io_fields},shard={shard},hosts={self.rng.randint(1, 4)}".encode(),
        }
        target = f"/{quote(class_name, safe=SEGMENT_PUNCTUATION)}?block={self.rng.randrange(9):016x}"
        incoming = parse_request(
            HttpRequest(b"PUT", target.encode(), headers, received_us=self.loop.now),
            self.engine,
            ANSWER_MARGIN_US,
        )
        assert (incoming.class_name, incoming.plan) == (class_name, plan)
        self.sent_at_us.append(self.loop.now)
        self.repeatabilities[call_id] = request_class.repeatability

        def on_answer(answer: Answer) -> None:
            assert (
                call_id not in self.answers and call_id not in self.disconnected
            ), "answered twice, or after the client disconnected"
            self.answers[call_id] = answer.kind
            # The client waits longer than the front's deadline by the answer margin.
            assert self.loop.now <= incoming.deadline_us + ANSWER_MARGIN_US, "answered late"
            may_have_run = any(
                results and results[0] not in RESULTS_WITHOUT_EFFECT for *_, results in self.attempts[call_id]
            )
            assert (
                answer.kind is not AnswerKind.REJECTED
                or not may_have_run
                or request_class.repeatability is Repeatability.IDEMPOTENT
            ), "rejected although it may have run"

        request = self.engine.accept(incoming, on_answer)
        if disconnects and not request.answered:
            self.loop.at(
                self.loop.now + self.rng.randrange(100_000), lambda: self._disconnect(request, call_id)
            )

    def _disconnect(self, request: InFlightRequest, call_id: bytes) -> None:
        if not request.answered:
            self.disconnected.add(call_id)
            self.engine.on_client_disconnected(request)

    def run_requests(self) -> None:
        """Send requests of all classes and plans for 6 s while endpoints are added, drained and removed."""
        loop, rng, shard_count = self.loop, self.rng, min(self.settings.shard_count or 3, 3)
        zones = self.zones
        start_times_us = (
            0,
            0,
            0,
            loop.now - 100_000,
            loop.now + 50_000,
        )  # long ago, shortly before, and in the future because clocks differ
        endpoints = [
            Endpoint(
                f"n{number}",
                EndpointStatus.UP,
                number % shard_count,
                rng.choice(start_times_us),
                zone=rng.choice(zones),
            )
            for number in range(4)
        ]
        self.apply_endpoints(*endpoints, complete=True)
        for number, (request_class, plan) in enumerate(
            [*product(self.settings.classes, self.settings.plans)] * 3
        ):
            at_us = loop.now + rng.randrange(6 * SECOND_US)
            arguments = request_class.name, plan.name, rng.randrange(-1, shard_count), number % 9 == 8
            loop.at(at_us, lambda arguments=arguments: self.send_random_request(*arguments))  # type: ignore[misc]

        def update_later(delay_us: int, endpoint: Endpoint) -> None:
            loop.at(loop.now + delay_us, lambda: self.apply_endpoints(endpoint))

        update_later(2_000_000, Endpoint("n0", EndpointStatus.DRAINING, 0))
        update_later(2_700_000, Endpoint("n9", EndpointStatus.UP, 0, loop.now + 2_690_000, zone=zones[-1]))
        update_later(3_500_000, Endpoint("n0", EndpointStatus.GONE, 0))
        loop.run(loop.now + 7 * SECOND_US + max(c.timeout_us for c in self.settings.classes))
        assert not self.logged_errors, self.logged_errors[0]
        assert len(self.sent_at_us) == 3 * len(self.settings.classes) * len(self.settings.plans)
        assert len(self.answers) + len(self.disconnected) == len(self.sent_at_us)
        assert not len(self.engine.open_requests) and not self.engine.scheduler.requests


EXAMPLES_PER_ROUND = 150
MIN_ROUNDS, MAX_ROUNDS = 2, 8


def _covers_all_outcomes(seen: Counts[Any]) -> bool:
    """Return whether enough requests had each kind of answer, and enough of each effect were retried."""
    all_kinds_seen = all(seen[kind] > 500 for kind in AnswerKind)
    return all_kinds_seen and all(seen[effect, 1] > 200 and seen[effect, 2] > 50 for effect in Repeatability)


def test_any_valid_configuration_is_accepted_and_served() -> None:
    """Rounds with fixed seeds run until all outcomes are covered.

    The coverage of one round varies with the constants that hypothesis finds in the loaded modules.
    """
    seen: Counts[Any] = Counts()
    for round_number in range(MAX_ROUNDS):

        @with_seed(round_number)
        @settings(
            max_examples=EXAMPLES_PER_ROUND,
            database=None,
            deadline=None,  # the wall time depends on the load of the machine
            phases=(Phase.generate,),  # shrinking a failing example takes minutes
            suppress_health_check=list(HealthCheck),
        )
        @given(platform_configurations(), st.integers(0, 1 << 32))
        def drawn(document: dict[str, Any], seed: int) -> None:
            front = check_served(document, seed)
            seen.update(front.answers.values())
            seen.update(
                (front.repeatabilities[name], min(len(attempts), 2))
                for name, attempts in front.attempts.items()
            )

        drawn()
        if round_number + 1 >= MIN_ROUNDS and _covers_all_outcomes(seen):
            break
    assert _covers_all_outcomes(seen), dict(seen)


def check_served(document: dict[str, Any], seed: int) -> FrontUnderTest:
    config = load(document)
    settings_table = document["settings"]
    assert [
        (request_class.name, request_class.latency_objective_us, request_class.timeout_us)
        for request_class in config.settings.classes
    ] == [
        (grade["name"], int(float(grade["aim"])), int(float(grade["hardLimit"])))
        for grade in settings_table["grades"]
    ]
    assert [(plan.name, plan.weight, plan.limit_units_per_second) for plan in config.settings.plans] == [
        (plan["name"], float(plan.get("weight", 1)), float(plan.get("neverOver", 0)))
        for plan in settings_table["plans"]
    ]
    assert configuration.parse_settings(simulator_settings(settings_table)) == config.settings
    front = FrontUnderTest(config, seed, tuple(settings_table.get("azs", ("a", "b"))))
    front.run_requests()
    for line in format_counters(front.engine).decode().splitlines():  # for any class name
        assert len(line.split(":")) == 2 and len(line.split("|")) == 2 and line.isascii()
    return front


# Invalid configurations

INVALID_NUMBERS: tuple[Any, ...] = (
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
INVALID_FLAGS: tuple[Any, ...] = ("maybe", "", 2, -1, [], {}, [True], float("nan"))
INVALID_TEXTS: tuple[Any, ...] = ([], {}, True, [""], [{}])
INVALID_CHOICES: tuple[Any, ...] = ("often", "", 5, *INVALID_TEXTS)
INVALID_TABLES: tuple[Any, ...] = (5, 0, "", "x", [], [1], True)
INVALID_ADDRESSES = (
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
    *INVALID_TEXTS,
)


def whole() -> dict[str, Any]:
    """A valid configuration with every key."""
    counts = {"grades": 2, "plans": 2, "endpoints": 2}
    rows = [{"name": "a", "address": "127.0.0.1:1"}, {"name": "b", "address": "127.0.0.1:2"}]
    document: dict[str, Any] = {
        "name": "n3",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:8500",
        "seed": "8c",
        "management": "h:1",
        "known": {"endpoints": copy.deepcopy(rows)},
        "settings": {key: [{"name": "a"}, {"name": "b"}] for key in ("grades", "plans")},
    }
    for path, (low, high) in NUMBER_RANGES.items():
        for keys in expand_path(path, counts):
            set_value(document, keys, (low + high) // 2)
    for path, choices in CHOICES.items():
        for keys in expand_path(path, counts):
            set_value(document, keys, choices[0])
    for path in FLAGS:
        for keys in expand_path(path, counts):
            set_value(document, keys, True)
    set_value(document, ["settings", "loadReport", "fields"], ["depth"])
    return document


def invalid_values() -> Iterator[tuple[str, Any]]:
    """Yield keys with an invalid value each; None stands for a missing key."""
    for path in NUMBER_RANGES:
        yield from ((path, value) for value in INVALID_NUMBERS)
        if path in NONZERO_PATHS:
            yield path, 0
    yield from ((path, None) for path in REQUIRED_PATHS)
    yield "settings.plans.*.neverOver", 1e-320  # half of it would be 0
    yield from product(FLAGS, INVALID_FLAGS)
    yield from product((p for p in CHOICES if p != "settings.loadReport.how"), INVALID_CHOICES)
    names = "settings.grades.*.name", "settings.plans.*.name", "known.endpoints.*.name"
    yield from product(names, ("", None, *INVALID_TEXTS))
    yield from product(("settings.grades.*.name", "settings.plans.*.name"), ("a",))  # the first one's name
    tables = ("bounds", "callers", "extra", "guarantees", "loadReport")
    yield from product((*(f"settings.{t}" for t in tables), "settings", "limits", "known"), INVALID_TABLES)
    yield from product(("settings.grades", "settings.plans"), (None, {}, *INVALID_TABLES))
    yield from product(("known.endpoints",), (5, 0, "", "x", {}, True))
    yield from product(("listen", "discovery", "known.endpoints.*.address"), (None, *INVALID_ADDRESSES))
    yield from product(("management",), INVALID_ADDRESSES)
    yield from product(("seed",), ("xyz", 1.5, *INVALID_TEXTS))
    yield from product(("name",), INVALID_TEXTS)
    yield from product(("settings.loadReport.fields",), (5, {}, True, [1], [[]], [{}]))


INVALID_FILES = {
    "no json": b"{",
    "no object": b"[]",
    "too deep": b"[" * 100_000,
    "no text": b"\xff{}",
    "deep": b'{"a":' * 900 + b"1" + b"}" * 900,  # can be parsed, but lacks all required keys
}


def test_error_names_the_invalid_key_and_reload_changes_nothing(tmp_path: Path) -> None:
    path, loop, reload_count, missed_cases = tmp_path / "c.json", asyncio.new_event_loop(), 0, []
    with mock.patch.dict(os.environ, {"EDGE_CONFIG": str(path)}, clear=True):
        path.write_text(json.dumps(whole()))
        front = FrontProcess(configuration.load(), loop)
        front.log = mock.Mock()
        valid_config, addresses_before = front.config, front.pool.addresses.copy()
        cases = [(key, key.replace("*", "1"), value) for key, value in invalid_values()]
        for _, key, value in cases:
            document = whole()
            set_value(document, [int(p) if p.isdigit() else p for p in key.split(".")], value)
            path.write_text(json.dumps(document))
            front.reload()
            reload_count += 1
            error_call = front.log.error.call_args
            if error_call is None or error_call.kwargs["key"] != key:
                missed_cases.append((key, value, error_call and error_call.kwargs["why"]))
            front.log.error.reset_mock()
        for name, text in INVALID_FILES.items():
            path.write_bytes(text)
            front.reload()
            reload_count += 1
            if name != "deep" and front.log.error.call_args.kwargs["key"] != "EDGE_CONFIG":
                missed_cases.append((name, text[:9], front.log.error.call_args))
        assert not missed_cases, (len(missed_cases), missed_cases[:20])
        assert (
            front.config is valid_config and front.pool.addresses == addresses_before and not front.listeners
        )
        assert front.counters["reloads_refused"] == front.counters["reloads"] == reload_count > 800
        changed_document = whole()
        set_value(changed_document, ["settings", "bounds", "keepalive"], 31_000_000)
        path.write_text(json.dumps(changed_document))
        front.reload()  # a valid configuration is still applied afterwards
        assert front.config.keepalive_us == 31_000_000
        front.syslog.close()
    loop.close()


@pytest.mark.parametrize("plan", ['["gold"]', "7", '{ a = "gold" }', '"none"'])
def test_error_names_a_bucket_without_a_known_plan(tmp_path: Path, plan: str) -> None:
    text = (ROOT / "tests/exchanges/base.toml").read_text().replace('scans = "gold"', f"scans = {plan}")
    (tmp_path / "f.toml").write_text(text)
    with pytest.raises(configuration.ConfigError) as caught:
        configuration.load({"UMBERLEAD_CONFIG": str(tmp_path / "f.toml")})
    assert caught.value.key == "objects.buckets.scans"


def test_no_retry_after_possible_execution_if_deduplication_is_per_zone() -> None:
    """A retry in the same zone is not sent either, because the scheduler does not choose endpoints by zone.

    With exactly one zone, retries are allowed.
    """
    document = whole()
    document["settings"]["grades"][0] |= {"effect": "deduplicated", "group": "zone", "memorySpan": 5_000_000}
    deduplication_windows_us = []
    for zones in (None, ["a", "b"], ["a"]):
        document["settings"]["azs"] = zones
        deduplication_windows_us.append(load(document).settings.classes[0].deduplication_window_us)
    assert deduplication_windows_us == [0, 0, 5_000_000]


def test_endpoint_start_time_in_the_future_is_accepted_without_warm_up() -> None:
    """Guards against a division by a warm-up time of 0.

    Clocks differ, so an endpoint's start time may be in the future.
    """
    document = whole()
    document["settings"]["guarantees"]["warmUp"] = 0
    front = FrontUnderTest(load(document), 1)
    front.apply_endpoints(Endpoint("n0", EndpointStatus.UP, 0, front.loop.now + 9 * SECOND_US), complete=True)
    front.send_random_request("a", "a", 0, False)
    front.loop.run(front.loop.now + SECOND_US)
    assert not front.logged_errors and "n0" in front.engine.scheduler.directory.endpoints
