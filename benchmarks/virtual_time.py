"""Measures the speed of routing tests and the cost of the observer on the serving path: `make bench-virtual`.

The speed is in requests a second of one core in virtual time, by number of servers and of collections. The
decision path is then measured alone, with the observer off and on alternately, so that drift of the machine
affects both alike."""

import argparse
import statistics
import sys
import time
from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("svg")
import matplotlib.pyplot as plt

from umberlead.common.counters import Counters
from umberlead.common.timer_wheel import TimerWheel
from umberlead.membership.model import CheckedList, EndpointSpec, FilePosition
from umberlead.requests.lifecycle import RequestLifecycle
from umberlead.requests.types import Attempt, IncomingRequest, Reply
from umberlead.routing_tests.model import Collection, Load, Scenario
from umberlead.routing_tests.world import World
from umberlead.scheduling.events import AttemptResult, Endpoint, EndpointList, EndpointStatus
from umberlead.scheduling.settings import Plan, RequestClass, Settings

OUT = Path(__file__).parent.parent / "docs" / "measurements"
SERVERS = (10, 50, 200, 500, 2000)
COLLECTIONS = (1, 10, 100, 1000)
REQUESTS, PAIRS, DECISIONS = 2000, 15, 4000


def settings(shards: int) -> Settings:
    classes = (
        RequestClass("read", 300_000, 2_000_000),
        RequestClass("bulk", 2_000_000, 6_000_000, priority_weight=0.5),
    )
    return Settings(classes, (Plan("basic"), Plan("standard", 2.0)), max_attempts=3, shard_count=shards)


def speed(servers: int, collections: int, new: bool) -> float:
    """Returns simulated requests per CPU second."""
    shards = max(servers // 2, 1)
    listed = {
        f"n{k}": EndpointSpec(f"n{k}", (f"10.0.{k >> 8}.{k & 255}", 80), k % shards) for k in range(servers)
    }
    world = World(settings(shards), CheckedList(1, "1" * 64, listed), 1)
    made = {
        f"c{k}": Collection(f"c{k}", "basic", tuple(range(k % shards, shards, max(shards // 4, 1))))
        for k in range(collections)
    }
    rate = min(40.0 * servers, 1000.0)
    until = int(REQUESTS / rate * 1e6)
    scenario = Scenario("speed", FilePosition("bench"), 1)
    scenario.loads += [Load(name, "read", rate / collections, 0, until, 1.0, new) for name in made]
    began = time.process_time()
    lives = world.play(scenario, made, {})
    return len(lives) / (time.process_time() - began)


class _CollectingTransport:
    """A transport that collects its attempts; the caller ends them in its next step."""

    def __init__(self) -> None:
        self.out: list[Attempt] = []

    def start(self, attempt: Attempt) -> None:
        self.out.append(attempt)

    def stop(self, attempt: Attempt, result: AttemptResult) -> None:
        raise AssertionError("no attempt is expected to be stopped")

    def cancel_if_unsent(self, attempt: Attempt) -> bool:
        return False


def decisions(observed: bool) -> float:
    """Returns the CPU time in us of one request through engine and module, including its outcome."""
    now, soon = [1_000_000], list[Any]()
    wheel = TimerWheel(lambda: now[0], lambda delay, fn: None, 2000)
    engine = RequestLifecycle(settings(8), 1, lambda: now[0], wheel, soon.append, Counters(), print)
    engine.transport = carrier = _CollectingTransport()
    if observed:
        seen: list[int] = []
        engine.decision_loop.action_observer = lambda at, acts: seen.append(len(acts))
    nodes = tuple(Endpoint(f"n{k}", EndpointStatus.UP, k % 8) for k in range(16))
    engine.apply_endpoint_list(EndpointList(True, nodes))
    reply, began = Reply(200), time.process_time()
    for k in range(DECISIONS):
        now[0] += 4000
        engine.accept(
            IncomingRequest("read", "basic", f"v{k % 40}", None, k % 8, 1.0, now[0] + 2_000_000, None),
            lambda _: None,
        )
        while soon:
            soon.pop(0)()
        now[0] += 1000
        for attempt in carrier.out:
            engine.attempt_ended(attempt, AttemptResult.OK, reply)
        carrier.out.clear()
        while soon:
            soon.pop(0)()
    return (time.process_time() - began) / DECISIONS * 1e6


def paired() -> tuple[list[float], list[float]]:
    off, on = list[float](), list[float]()
    for k in range(PAIRS):
        for observed in (False, True) if k % 2 else (True, False):
            (on if observed else off).append(decisions(observed))
    return off, on


def main() -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument("--keep", action="store_true")
    words = parser.parse_args()
    by_servers = [(n, speed(n, 10, False), speed(n, 10, True)) for n in SERVERS]
    by_collections = [(n, speed(50, n, False)) for n in COLLECTIONS]
    off, on = paired()
    ratios = sorted(b / a for a, b in zip(off, on, strict=True))
    text = "# Virtual time, and the observer's cost\n\n"
    text += f"`make bench-virtual`; about {REQUESTS} requests a figure, one core, seed 1.\n\n"
    text += (
        "| servers | requests a second, shards told | requests a second, new objects |\n| --- | --- | --- |\n"
    )
    text += "\n".join(f"| {n} | {a:.0f} | {b:.0f} |" for n, a, b in by_servers)
    text += "\n\n| collections, 50 servers | requests a second |\n| --- | --- |\n"
    text += "\n".join(f"| {n} | {a:.0f} |" for n, a in by_collections)
    text += f"\n\nThe decision path, {DECISIONS} requests a run, {PAIRS} pairs of alternate runs: "
    text += f"{statistics.median(off):.1f} us a"
    text += (
        f" request with the observer off, {statistics.median(on):.1f} with a counting one; ratio of a pair"
    )
    text += f" {statistics.median(ratios):.3f} in the median, {ratios[0]:.3f} to {ratios[-1]:.3f}.\n\n"
    text += "![requests a second by servers](virtual-time.svg)\n"
    print(text)
    if words.keep:
        (OUT / "virtual-time.md").write_text(text)
        matplotlib.rcParams["svg.hashsalt"] = "umberlead"
        figure, axes = plt.subplots(figsize=(6, 3.2))
        axes.loglog([n for n, _, _ in by_servers], [a for _, a, _ in by_servers], "o-", label="shards told")
        axes.loglog([n for n, _, _ in by_servers], [b for _, _, b in by_servers], "s--", label="new objects")
        axes.set_xlabel("servers")
        axes.set_ylabel("requests a second, one core")
        axes.legend()
        figure.tight_layout()
        figure.savefig(OUT / "virtual-time.svg", metadata={"Date": None})
    return 0


if __name__ == "__main__":
    sys.exit(main())
