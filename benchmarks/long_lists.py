"""Measures loading long lists while the event loop runs, and the loop time to apply a change.

Run it with `make bench-long-lists`. A task that wakes up every millisecond measures how long the loop is
blocked; the same task without a reload shows the delay caused by the machine itself. A reload changes one
line; the whole change replaces the line of every server."""

import argparse
import asyncio
import gc
import os
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import uvloop

from umberlead.common.counters import Counters
from umberlead.common.timer_wheel import TimerWheel
from umberlead.membership.flap_damping import FlapDampingSettings
from umberlead.membership.integration import apply_change
from umberlead.membership.list_merge import MembershipSettings
from umberlead.membership.service import WatchedListService, WatchedListSettings
from umberlead.requests.lifecycle import RequestLifecycle
from umberlead.scheduling.settings import Plan, RequestClass, Settings

OUT = Path(__file__).parent.parent / "docs" / "measurements"
SIZES = (200, 2000, 20_000)


class NullLog:
    def __getattr__(self, level: str) -> Any:
        return lambda *_, **__: None


class PoolStub:
    """The part of a connection pool that applying a change uses."""

    def __init__(self) -> None:
        self.addresses: dict[str, Any] = {}
        self.endpoint_counts: Any = None

    def close_unlisted(self, addresses: Any) -> None: ...


def list_text(version: int, n: int, weight: str = "1", every: bool = False) -> str:
    rows = [
        f"server n{k} address 10.{k >> 16}.{k >> 8 & 255}.{k & 255}:80 shard {k} weight" for k in range(n)
    ]
    lines = ["format 1", f"version {version}", "network 10.0.0.0/8"]
    lines += [f"{row} {weight if every or k == n - 1 else '1'}" for k, row in enumerate(rows)]
    return "\n".join([*lines, f"end {len(lines)}", ""])


async def measure_blocking(done: asyncio.Event) -> list[float]:
    """Returns by how many ms each wake-up was late, ascending."""
    made = []
    while not done.is_set():
        before = time.perf_counter()
        await asyncio.sleep(0.001)
        made.append((time.perf_counter() - before) * 1000 - 1)
    return sorted(made)


async def beside(wait: Any) -> tuple[list[float], float]:
    done, began = asyncio.Event(), time.perf_counter()
    task = asyncio.create_task(measure_blocking(done))
    await wait()
    took = (time.perf_counter() - began) * 1000
    done.set()
    return await task, took


async def measure(n: int, rounds: int) -> dict[str, float]:
    loop = asyncio.get_running_loop()
    clock = lambda: time.monotonic_ns() // 1000  # noqa: E731
    wheel = TimerWheel(clock, lambda delay, fn: loop.call_later(delay / 1e6, fn), 2000)
    of = Settings((RequestClass("read", 300_000, 2_000_000),), (Plan("basic"),))
    engine = RequestLifecycle(of, 1, clock, wheel, loop.call_soon, Counters(), print)
    pool, turns = PoolStub(), list[float]()

    def take(change: Any) -> None:
        began = time.perf_counter()
        apply_change(change, engine, pool)  # type: ignore[arg-type]
        engine.decision_loop._decide()
        turns.append((time.perf_counter() - began) * 1000)

    gc.unfreeze()
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "list"
        path.write_text(list_text(1, n))
        rules = MembershipSettings(1.0, 10**9, FlapDampingSettings(100_000, 7000.0, 1000.0))
        made = WatchedListService(
            WatchedListSettings(path, None, 0.005, 0.25, rules), 0, loop, clock, Counters(), NullLog(), take
        )
        began = time.perf_counter()
        made.load_first_list()
        first = (time.perf_counter() - began) * 1000
        gc.set_threshold(10_000, 20, 20)  # the setting of a front after its start
        gc.collect()
        gc.freeze()
        made.start_watching()
        late, waits = list[float](), list[float]()
        turns.clear()
        for k in range(rounds):
            text, generation = list_text(2 + k, n, str(2 + k % 2)), made.membership.generation

            async def changed(text: str = text, generation: int = generation) -> None:
                path.with_name("next").write_text(text)
                os.replace(path.with_name("next"), path)
                while made.membership.generation == generation:
                    await asyncio.sleep(0.002)

            got, took = await beside(changed)
            late += got
            waits.append(took)
        one = max(turns)
        turns.clear()
        generation = made.membership.generation
        path.write_text(list_text(100, n, "7", every=True))
        while made.membership.generation == generation:
            await asyncio.sleep(0.002)
        whole = max(turns)
        idle, _ = await beside(lambda: asyncio.sleep(1.0))
        made.close()
    late.sort()
    return {
        "first": first,
        "reload": sorted(waits)[len(waits) // 2],
        "p99": late[len(late) * 99 // 100],
        "max": late[-1],
        "idle": idle[-1],
        "one": one,
        "whole": whole,
    }


def main() -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument("--rounds", type=int, default=20)
    parser.add_argument("--keep", action="store_true")
    words = parser.parse_args()
    rows = []
    for n in SIZES:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            of = runner.run(measure(n, words.rounds))
        rows.append(f"| {n} | " + " | ".join(f"{of[k]:.1f}" for k in of) + " |")
    text = "# Long lists beside a live loop\n\n"
    text += f"`make bench-long-lists`; {words.rounds} reloads with one line changed, ms.\n\n"
    text += "| servers | first load | reload to force, median | stop p99 | stop max | stop max, idle |"
    text += " turn of one change | turn that changes all |\n| --- |" + " --- |" * 7 + "\n"
    text += "\n".join(rows) + "\n"
    print(text)
    if words.keep:
        (OUT / "long-lists.md").write_text(text)
    return 0


if __name__ == "__main__":
    sys.exit(main())
