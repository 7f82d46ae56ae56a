"""Short ways to build settings, requests and heads for the tests."""

from typing import Any

from umberlead.scheduling.interface import (
    Action,
    Effect,
    Event,
    Node,
    NodeList,
    NodeState,
    Outcome,
    Plan,
    Request,
    RequestClass,
    Result,
    Send,
    SetTimer,
    Settings,
)
from umberlead.scheduling.scheduler import Head

T0 = 1_000_000
READ = RequestClass("read", aim=300_000, deadline=2_000_000, worth=2.0)
WRITE = RequestClass("write", 400_000, 2_000_000, Effect.KEYED, "cell", memory=1_000_000, worth=2.0)
ONCE = RequestClass("once", 400_000, 2_000_000, Effect.UNSAFE)
TURN = RequestClass("turn", 400_000, 2_000_000, Effect.KEYED, "cell", 1_000_000, ordered=True)


def settings(**more: Any) -> Settings:
    base: dict[str, Any] = {
        "classes": (READ, WRITE, ONCE, TURN),
        "plans": (Plan("gold", 2.0), Plan("plain", 1.0)),
        "max_attempts": 3,
        "mean_units": 2.0,
        "max_units": 8.0,
        "link_timeout": 250_000,
        "may_cancel": True,
    }
    return Settings(**(base | more))


def up(name: str = "n0", shard: int = 0, started: int = 0) -> Node:
    return Node(name, NodeState.UP, shard, started)


def nodes(*items: Node, whole: bool = True) -> NodeList:
    return NodeList(whole, items)


def ask(name: str, now: int = T0, cls: str = "read", **more: Any) -> Request:
    base: dict[str, Any] = {
        "key": None,
        "volume": "v",
        "give_up": now + 2_000_000,
        "shard": 0,
        "units": 2.0,
        "plan": "gold",
    }
    return Request(request=name, class_name=cls, **(base | more))


def end(
    name: str, result: Result = Result.OK, attempt: int = 0, node: str = "n0", elapsed: int = 20_000
) -> Outcome:
    return Outcome(name, node, attempt, result, elapsed, final=result is Result.OK)


def head(now: int = T0, *listed: Node, **more: Any) -> Head:
    made = Head(settings(**more), 7, now)
    made.handle(now, [nodes(*(listed or (up(),)))])
    return made


def sends(acts: list[Action]) -> list[str]:
    return [a.request for a in acts if isinstance(a, Send)]


def run_until(h: Head, acts: list[Action], now: int, until: int) -> list[tuple[int, Action]]:
    """Fire the head's timers up to `until`; the actions with their times."""
    log = [(now, a) for a in acts]
    due = sorted(now + a.delay for a in acts if isinstance(a, SetTimer))
    while due and due[0] <= until:
        now = due.pop(0)
        fresh = h.handle(now, [])
        log += [(now, a) for a in fresh]
        due = sorted(due + [now + a.delay for a in fresh if isinstance(a, SetTimer)])
    return log


def feed(h: Head, now: int, *events: Event) -> list[Action]:
    return h.handle(now, list(events))
