"""Short ways to build settings, requests and heads for the tests."""

from typing import Any

from umberlead.scheduling.actions import Action, Send, SetTimer
from umberlead.scheduling.events import (
    AttemptResult,
    Endpoint,
    EndpointList,
    EndpointStatus,
    Event,
    Outcome,
    Request,
)
from umberlead.scheduling.scheduler import Scheduler
from umberlead.scheduling.settings import Plan, Repeatability, RequestClass, Settings

T0 = 1_000_000
READ = RequestClass("read", latency_objective_us=300_000, timeout_us=2_000_000, priority_weight=2.0)
WRITE = RequestClass(
    "write",
    400_000,
    2_000_000,
    Repeatability.IDEMPOTENT_BY_KEY,
    "cell",
    deduplication_window_us=1_000_000,
    priority_weight=2.0,
)
ONCE = RequestClass("once", 400_000, 2_000_000, Repeatability.AT_MOST_ONCE)
TURN = RequestClass(
    "turn", 400_000, 2_000_000, Repeatability.IDEMPOTENT_BY_KEY, "cell", 1_000_000, ordered=True
)


def settings(**more: Any) -> Settings:
    base: dict[str, Any] = {
        "classes": (READ, WRITE, ONCE, TURN),
        "plans": (Plan("gold", 2.0), Plan("plain", 1.0)),
        "max_attempts": 3,
        "mean_request_units": 2.0,
        "max_request_units": 8.0,
        "connect_timeout_us": 250_000,
        "cancellation_allowed": True,
    }
    return Settings(**(base | more))


def up(name: str = "n0", shard: int = 0, started: int = 0) -> Endpoint:
    return Endpoint(name, EndpointStatus.UP, shard, started)


def nodes(*items: Endpoint, whole: bool = True) -> EndpointList:
    return EndpointList(whole, items)


def ask(name: str, now: int = T0, cls: str = "read", **more: Any) -> Request:
    base: dict[str, Any] = {
        "key": None,
        "volume": "v",
        "deadline_us": now + 2_000_000,
        "shard": 0,
        "units": 2.0,
        "plan": "gold",
    }
    return Request(request_id=name, class_name=cls, **(base | more))


def end(
    name: str,
    result: AttemptResult = AttemptResult.OK,
    attempt: int = 0,
    node: str = "n0",
    elapsed: int = 20_000,
) -> Outcome:
    return Outcome(name, node, attempt, result, elapsed, final=result is AttemptResult.OK)


def head(now: int = T0, *listed: Endpoint, **more: Any) -> Scheduler:
    made = Scheduler(settings(**more), 7, now)
    made.handle(now, [nodes(*(listed or (up(),)))])
    return made


def sends(acts: list[Action]) -> list[str]:
    return [a.request_id for a in acts if isinstance(a, Send)]


def run_until(h: Scheduler, acts: list[Action], now: int, until: int) -> list[tuple[int, Action]]:
    """Fire the head's timers up to `until`; the actions with their times."""
    log = [(now, a) for a in acts]
    due = sorted(now + a.delay_us for a in acts if isinstance(a, SetTimer))
    while due and due[0] <= until:
        now = due.pop(0)
        fresh = h.handle(now, [])
        log += [(now, a) for a in fresh]
        due = sorted(due + [now + a.delay_us for a in fresh if isinstance(a, SetTimer)])
    return log


def feed(h: Scheduler, now: int, *events: Event) -> list[Action]:
    return h.handle(now, list(events))
