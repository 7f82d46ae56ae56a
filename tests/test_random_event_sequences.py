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
FRONT_COUNT, ORDERING_PAUSE_US, GRACE_US = 3, 50_000, 100_000
SETTINGS = Settings(
    classes=CLASSES,
    plans=PLANS,
    front_count=FRONT_COUNT,
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
    ordering_pause_us=ORDERING_PAUSE_US,
    retry_budget_window_us=2_000_000,
    retry_budget_min_retries=2,
    retry_budget_ratio=0.1,
)
RESULTS_WITHOUT_RUN = (AttemptResult.REJECTED, AttemptResult.CONNECT_FAILED, AttemptResult.NOT_SENT)


class Checker:
    """Checks the scheduler's rules over its events and actions."""

    def __init__(self) -> None:
        self.requests: dict[str, tuple[int, Request]] = {}
        self.answers_us: dict[str, int] = {}
        self.attempts: dict[str, list[dict[str, Any]]] = defaultdict(list)
        self.listed_endpoints: dict[tuple[int, str], Endpoint] = {}
        self.buckets: dict[str, list[float]] = {}
        self.retries_us: dict[int, list[int]] = defaultdict(list)
        self.arrivals_us: dict[int, list[int]] = defaultdict(list)
        self.ordered_ids: dict[tuple[int, str], list[str]] = defaultdict(list)
        self.paused_until_us: dict[tuple[int, str], int] = {}
        self.cold_sends: dict[str, list[tuple[int, float]]] = defaultdict(list)

    def check_action(self, front: int, now_us: int, action: Action) -> None:
        if isinstance(action, Reject | Fail):
            _arrived_us, request = self.requests[action.request_id]
            assert (
                action.request_id not in self.answers_us and now_us <= request.deadline_us
            ), "answered twice or late"
            self.answers_us[action.request_id] = now_us
            ran_attempts = [
                attempt
                for attempt in self.attempts[action.request_id]
                if attempt["end"] not in RESULTS_WITHOUT_RUN
            ]
            class_repeatability = next(
                request_class.repeatability
                for request_class in CLASSES
                if request_class.name == request.class_name
            )
            assert not (
                isinstance(action, Reject)
                and ran_attempts
                and class_repeatability is not Repeatability.IDEMPOTENT
            ), "rejected a request that may have run"
        if isinstance(action, Send):
            self.check_send(front, now_us, action)

    def check_send(self, front: int, now_us: int, action: Send) -> None:
        _, request = self.requests[action.request_id]
        request_class = next(candidate for candidate in CLASSES if candidate.name == request.class_name)
        attempts, target = self.attempts[action.request_id], self.listed_endpoints[front, action.endpoint]
        assert action.request_id not in self.answers_us, "sent after its answer"
        assert (
            target.status is EndpointStatus.UP and target.shard == request.shard
        ), "sent to a draining or wrong endpoint"
        assert (
            all(attempt["end"] for attempt in attempts) and len(attempts) < 3
        ), "two attempts at once, or too many"
        ran_us = [attempt["at"] for attempt in attempts if attempt["end"] not in RESULTS_WITHOUT_RUN]
        if ran_us:
            assert request_class.repeatability is not Repeatability.AT_MOST_ONCE
            assert (
                request_class.repeatability is Repeatability.IDEMPOTENT
                or now_us - ran_us[0] < request_class.deduplication_window_us
            ), "after the deduplication window"
        if attempts:
            recent_retries_us = [
                sent_us for sent_us in self.retries_us[front] if sent_us > now_us - 2_000_000
            ] + [now_us]
            recent_arrivals_us = [
                arrived_us for arrived_us in self.arrivals_us[front] if arrived_us > now_us - 2_000_000
            ]
            assert len(recent_retries_us) <= 2 + 0.1 * len(recent_arrivals_us), "over the retry budget"
            self.retries_us[front].append(now_us)
        elif request.plan == "a":
            bucket = self.buckets.setdefault(request.volume, [48.0, 0.0])
            bucket[0] = min(48.0, bucket[0] + 30.0 * (now_us - bucket[1]) / 1e6) - request.units
            bucket[1] = now_us
            assert bucket[0] >= -8.0, "over the rate limit"
        if request_class.ordered and request.key:
            key_ids = self.ordered_ids[front, request.key]
            earlier_ids = key_ids[: key_ids.index(action.request_id)]
            unfinished_ids = [
                earlier_id
                for earlier_id in earlier_ids
                if earlier_id not in self.answers_us
                or any(not attempt["end"] for attempt in self.attempts[earlier_id])
            ]
            assert not unfinished_ids, "out of order"
            is_uncertain_retry = any(
                attempt["end"] in (AttemptResult.TIMEOUT, AttemptResult.RESET, AttemptResult.CANCELLED)
                for attempt in attempts
            )
            assert is_uncertain_retry or now_us >= self.paused_until_us.get(
                (front, request.key), 0
            ), "the key is paused"
        if target.started_us and now_us - target.started_us < 8_000_000:
            cold_log = self.cold_sends[action.endpoint]
            cold_log.append((now_us, request.units))
            growth = 1 + 4 * (now_us - target.started_us) / 8_000_000
            # Outcomes are random, so serving proves no capacity: the bound is the whole overload factor.
            assert (
                sum(sent_units for sent_us, sent_units in cold_log if sent_us > now_us - 1_000_000)
                <= 3 * 40.0 * growth
            ), "cold endpoint overloaded"
        attempts.append({"at": now_us, "end": None})

    def record_outcome(self, front: int, now_us: int, outcome: Outcome) -> None:
        self.attempts[outcome.request_id][outcome.attempt]["end"] = outcome.result
        if outcome.final:
            self.answers_us.setdefault(outcome.request_id, now_us)
        _, request = self.requests[outcome.request_id]
        if (
            request.key
            and request.class_name == "turn"
            and outcome.result in (AttemptResult.TIMEOUT, AttemptResult.RESET, AttemptResult.CANCELLED)
        ):
            self.paused_until_us[front, request.key] = now_us + ORDERING_PAUSE_US


@pytest.mark.parametrize("seed", range(12))
def test_rules_hold_for_random_event_sequences(seed: int) -> None:
    rng, checker = random.Random(seed), Checker()
    now_us, sequence_number = 1_000_000, 0
    schedulers: dict[int, Scheduler] = {}
    event_queue: list[tuple[int, int, int, Any]] = []
    sent: dict[str, list[int]] = defaultdict(list)
    cancelled: set[tuple[str, int]] = set()
    fleet = {f"n{k}": Endpoint(f"n{k}", EndpointStatus.UP, k) for k in range(3)}

    def schedule(when_us: int, front: int, item: Any) -> None:
        nonlocal sequence_number
        sequence_number += 1
        heapq.heappush(event_queue, (when_us, sequence_number, front, item))

    def start_front(front: int) -> list[Event]:
        schedulers[front] = Scheduler(SETTINGS, rng.randrange(2**40), now_us)
        checker.arrivals_us[front], checker.retries_us[front] = [], []
        for key in [k for k in checker.ordered_ids if k[0] == front]:
            del checker.ordered_ids[key]
        checker.paused_until_us = {k: v for k, v in checker.paused_until_us.items() if k[0] != front}
        for listed in fleet.values():
            checker.listed_endpoints[front, listed.name] = listed
        return [EndpointList(True, tuple(fleet.values()))]

    for front in range(FRONT_COUNT):
        schedule(now_us, front, "start")
    for k in range(900):
        due_us, front = now_us + rng.randrange(6_000_000), rng.randrange(FRONT_COUNT)
        volume = f"v{rng.randrange(4)}"
        request_class = rng.choice(CLASSES)
        time_left_us = rng.choice(
            [request_class.timeout_us, request_class.timeout_us, request_class.timeout_us // 2, 1]
        )
        key = rng.choice([None, "k1", "k2"])
        plan = "a" if volume in ("v0", "v1") else "b"
        schedule(
            due_us,
            front,
            Request(
                f"r{k}",
                key,
                volume,
                due_us + time_left_us,
                rng.randrange(4),
                rng.choice([1, 2, 2, 8]),
                request_class.name,
                plan,
                FRONT_COUNT,
            ),
        )
    for due_us in (2_000_000, 4_000_000):
        schedule(due_us, rng.randrange(FRONT_COUNT), "restart")
        schedule(due_us + 300_000, -1, Endpoint("n0", EndpointStatus.DRAINING, 0))
        schedule(due_us + 700_000, -1, Endpoint(f"m{due_us}", EndpointStatus.UP, 0, due_us + 600_000))
    while event_queue:
        now_us, _, front, item = heapq.heappop(event_queue)
        if front < 0:
            fleet[item.name] = item
            for other_front in range(FRONT_COUNT):
                schedule(now_us + rng.randrange(200_000), other_front, EndpointList(False, (item,)))
            continue
        events: list[Event] = []
        if item in ("start", "restart"):
            if item == "restart":  # clients retry the requests that the old process held
                for name in [id_ for id_, (owner, _) in checker.requests.items() if owner == front]:
                    checker.answers_us.setdefault(name, now_us)
                event_queue = [
                    entry
                    for entry in event_queue
                    if entry[2] != front or isinstance(entry[3], Request | EndpointList)
                ]
                heapq.heapify(event_queue)
            events = start_front(front)
        elif isinstance(item, Outcome):
            attempt_record = checker.attempts[item.request_id][item.attempt]
            if attempt_record["end"]:
                continue
            is_answered = item.request_id in checker.answers_us
            item = Outcome(
                item.request_id,
                item.endpoint,
                item.attempt,
                item.result,
                item.elapsed_us,
                is_answered or item.result is AttemptResult.OK,
            )
            checker.record_outcome(front, now_us, item)
            events = [item]
            if rng.random() < 0.05 and item.final:
                events.append(ClientDisconnected(item.request_id))
        else:
            events = [item]
            if isinstance(item, Request):
                checker.requests[item.request_id] = (front, item)
                checker.arrivals_us[front].append(now_us)
                if item.class_name == "turn" and item.key:
                    checker.ordered_ids[front, item.key].append(item.request_id)
            if isinstance(item, EndpointList):
                for listed in item.endpoints:
                    checker.listed_endpoints[front, listed.name] = listed
        for action in schedulers[front].handle(now_us, events):
            checker.check_action(front, now_us, action)
            if isinstance(action, SetTimer):
                schedule(now_us + action.delay_us, front, TimerExpired(action.label))
            elif isinstance(action, Send):
                number = len(sent[action.request_id])
                sent[action.request_id].append(now_us)
                limit_us = checker.requests[action.request_id][1].deadline_us
                result = rng.choices(list(AttemptResult), weights=[70, 5, 5, 6, 4, 5, 0, 2], k=1)[0]
                ended_us = min(now_us + int(rng.expovariate(1 / 60_000)) + 1, limit_us)
                schedule(
                    ended_us if result is not AttemptResult.TIMEOUT else limit_us,
                    front,
                    Outcome(
                        action.request_id,
                        action.endpoint,
                        number,
                        result if ended_us < limit_us else AttemptResult.TIMEOUT,
                        ended_us - now_us,
                        False,
                    ),
                )
            elif isinstance(action, Cancel) and (action.request_id, action.attempt) not in cancelled:
                cancelled.add((action.request_id, action.attempt))
                schedule(
                    now_us,
                    front,
                    Outcome(action.request_id, "", action.attempt, AttemptResult.CANCELLED, 0, False),
                )
        if now_us > 12_000_000:
            break
    assert set(checker.requests) == set(checker.answers_us)
    assert sum(len(request_attempts) for request_attempts in checker.attempts.values()) > 150
