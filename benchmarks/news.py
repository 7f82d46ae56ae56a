"""How soon all fronts of a fleet know a change once discovery has it and can be reached, and how many calls
that takes, by simulation in virtual time: `make bench-news`.

A service takes so many calls a second, one after the other. What waited TURN is turned away then; its turn
comes all the same and costs as much. An agent of the front's own answers at once, or is silent while
discovery is down. Every front's watch ends or falls silent as discovery goes down, or is opened by a
process that starts meanwhile; what happens to calls until discovery is back is a way to fail. The change is
there at its return at the latest."""

import argparse
import heapq
import math
import random
import sys
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from umberlead.recovery.backoff import SERVICE_QUEUE_TIMEOUT_US
from umberlead.recovery.discovery_pacing import UNKNOWN_RESPONSE_TIMEOUT_US, WatchCall, WatchPacing

ROOT = Path(__file__).parent.parent
OUT = ROOT / "docs" / "measurements" / "news.md"
SECOND = 1_000_000
AGENT = 2_000  # us an agent takes
FAILURES = ("refused", "no", "hung dial", "hung", "half a list", "silent", "reset")


CHOSEN = """
## What is chosen

- The bound goes first. Until a call is turned away after it waited its turn, each front calls so that its
  next call begins 3.85 s after its last sign of life at the latest, whatever failed and whatever Retry-After
  says; a call may then wait 2 s for its turn. Once windows have grown, that is one call a front in 3.85 s.
- Where a call was turned away after its wait and the fleet is larger than 29 (5 calls a second in 5.85 s),
  the service gets more than it takes and nobody is told by calling sooner: the front waits until the queue
  must have been worked off at 5 calls a second, calls again within as long, and twice that with each further
  such no, to 60 s at most. Up to 29 fronts keep to the bound all the same.
- So a service that takes a little less than a large fleet's calls within the bound has it told later than
  before, and one that takes far less has it told sooner, or at all. How many calls it takes is told nowhere;
  some 7 a second were seen.
- A no that comes at once, a refused connection, a reset and silence are taken to cost a service nothing, and
  the bound holds for them at any size.
- An agent is told from a service by its first word; a service taken for an agent says no to a call that was
  given up, which is listened to for 2.5 s. Of more than 8 fronts one that never met its agent waits 2.5 s for
  that no before it takes silence for an agent's.
"""


class PreviousPacing(WatchPacing):
    """The pacing as it was at c66d2e7, for comparison. It kept nothing for the next process."""

    def __init__(
        self, fleet_size: int, expects_agent: bool, is_agent: bool | None, rng: random.Random
    ) -> None:
        super().__init__(fleet_size, expects_agent, None, rng)

    def first_call_delay_us(self) -> int:
        window = min(self.backoff.fleet_size * SECOND // 10, 5 * SECOND)
        return 0 if self.expects_agent or window <= 500_000 else int(window * self.backoff.rng.random())

    def _timeout_us(self, call: WatchCall) -> int:
        if call.answered:
            return 3_000_000
        if self.is_agent is None:
            return 600_000 if call.connected_us is None else 2_500_000
        return 600_000 if self.is_agent else 5_000_000

    def is_still_read(self, call: WatchCall, now_us: int) -> bool:
        return False

    def next_call_delay_us(self, call: WatchCall, now_us: int, silent: bool) -> int:
        chance, of = self.backoff.rng, self.backoff
        if silent and not call.answered and self.is_agent is None:
            self.is_agent = True
        if self.is_agent:
            return max(int(100_000 * (0.5 + 0.5 * chance.random())), min(call.retry_after_us, 30 * SECOND))
        first = max(100_000, min(of.fleet_size * SECOND // 10, 5 * SECOND))
        window = min(
            first << min(of.failures_in_a_row, 16), max(2 * SECOND, of.fleet_size * SECOND // 5), 60 * SECOND
        )
        low = 0.5 if of.failures_in_a_row or of.fleet_size == 1 else 0.0
        of.failures_in_a_row += 1
        wait = max(int(window * (low + (1 - low) * chance.random())), min(call.retry_after_us, 30 * SECOND))
        return min(wait, 2_500_000) if silent and call.answered else wait


@dataclass(frozen=True)
class World:
    """A fleet, who answers it, and how it fails. `rate`, calls a second the service takes (0: agents of the
    fronts' own); `pushed`, whether a front takes it for an agent until it learns better; `down`, us;
    `restarted`, the part of the fleet that starts while discovery is down; `retry_after`, us, said with a
    no."""

    fronts: int
    rate: float = 0.0
    pushed: bool = False
    failure: str = "refused"
    down: int = 8 * SECOND
    restarted: float = 0.0
    retry_after: int = 0
    known: bool = False  # a new process knows from the one before that an agent answers
    until: int = 300 * SECOND


class _Front:
    def __init__(self, pacing: WatchPacing) -> None:
        self.pacing = pacing
        self.call: WatchCall | None = None  # what it waits for
        self.late: WatchCall | None = None  # given up, and listened to
        self.turn = 0  # of its next call: an earlier one is called off
        self.told: int | None = None


class Fleet:
    """One fleet through one failure. `notification_delays_us`: us after discovery could be reached; `calls`:
    by second since then; `downs`: by second before it."""

    def __init__(self, world: World, made: Callable[..., WatchPacing] = WatchPacing, seed: int = 0) -> None:
        self.world, self.chance = world, random.Random(seed)
        self.queue: list[tuple[int, int, Callable[[], None]]] = []
        self.number = self.now = self.free = 0
        self.back = 10 * SECOND + (0 if world.failure in ("reset", "silent") else world.down)
        self.calls = Counter[int]()
        self.downs = Counter[int]()
        ours = world.pushed or not world.rate
        self.fronts = [
            _Front(made(world.fronts, ours, world.known or None, random.Random(f"{seed}/{k}")))
            for k in range(world.fronts)
        ]
        for front in self.fronts:
            if self.chance.random() < world.restarted:
                at = self.back - min(SECOND, world.down) + self.chance.randrange(SECOND // 2)
                self._at(at + front.pacing.first_call_delay_us(), self._caller(front))
            else:
                self._stood(front)
        while self.queue and self.queue[0][0] < self.back + world.until:
            self.now, _, what = heapq.heappop(self.queue)
            what()

    def notification_delays_us(self) -> list[int]:
        """Ascending; one never told counts as the end of the time that was looked at."""
        end = self.back + self.world.until
        return sorted((end if f.told is None else f.told) - self.back for f in self.fronts)

    def _at(self, when: int, what: Callable[[], None]) -> None:
        self.number += 1
        heapq.heappush(self.queue, (when, self.number, what))

    def _caller(self, front: _Front) -> Callable[[], None]:
        front.turn += 1
        turn = front.turn
        return lambda: self._calls(front) if turn == front.turn else None

    def _stood(self, front: _Front) -> None:
        """A watch that stands, and whose end comes as discovery goes down."""
        pacing, fell = front.pacing, 10 * SECOND
        if not self.world.rate and pacing.is_agent is None:
            pacing.is_agent = True
        call = front.call = pacing.start_call(fell)
        call.connected_us = call.started_us = 0
        call.answered = call.list_received = True
        call.status = 200
        if self.world.failure in ("silent", "half a list"):
            call.partial = self.world.failure == "half a list"
            call.last_activity_us = fell - (0 if call.partial else self.chance.randrange(2 * SECOND))
            self._at(max(pacing.timeout_at_us(call), fell), lambda: self._due(front, call))
        else:
            call.last_activity_us = fell
            self._at(fell, lambda: self._ends(front, call, silent=False))

    def _calls(self, front: _Front) -> None:
        call = front.call = front.pacing.start_call(self.now)
        up = self.now >= self.back
        (self.calls if up else self.downs)[(self.now - self.back) // SECOND] += 1
        kind, at = self._served() if up else self._failed()
        if kind != "hung dial":
            call.connected_us = self.now
        if kind in ("list", "no", "refused"):
            self._at(at, lambda: self._comes(front, call, kind))
        self._at(front.pacing.timeout_at_us(call), lambda: self._due(front, call))

    def _served(self) -> tuple[str, int]:
        if not self.world.rate:
            return "list", self.now + AGENT
        begun = max(self.now, self.free)
        self.free = begun + int(SECOND / self.world.rate)
        return (
            ("list", self.free)
            if begun - self.now <= SERVICE_QUEUE_TIMEOUT_US
            else ("no", self.now + SERVICE_QUEUE_TIMEOUT_US)
        )

    def _failed(self) -> tuple[str, int]:
        if self.world.failure in ("no", "refused", "hung dial") and self.world.rate:
            return self.world.failure, self.now + 1000
        return "hung", 0

    def _comes(self, front: _Front, call: WatchCall, kind: str) -> None:
        if call is not front.call and call is not front.late:
            return
        if kind == "refused":
            call.connected_us = None
            return self._ends(front, call, silent=False)
        front.pacing.record_activity(call, self.now)
        call.retry_after_us = self.world.retry_after if kind == "no" else 0
        front.pacing.record_status(call, 200 if kind == "list" else 503)
        late, front.late = front.late, None
        if kind == "list":
            front.call, front.told = call, self.now
            front.turn += 1
            front.pacing.record_list(call)
        elif call is not late:
            self._ends(front, call, silent=False)

    def _due(self, front: _Front, call: WatchCall) -> None:
        if call is not front.call or front.told is not None:
            return
        due = front.pacing.timeout_at_us(call)
        if self.now < due:
            return self._at(due, lambda: self._due(front, call))
        if front.late is None and front.pacing.is_still_read(call, self.now):
            front.late = call
            self._at(call.started_us + UNKNOWN_RESPONSE_TIMEOUT_US, lambda: self._left(front, call))
        self._ends(front, call, silent=True)

    def _left(self, front: _Front, call: WatchCall) -> None:
        if front.late is call:
            front.late = None
            front.pacing.record_no_response(call)

    def _ends(self, front: _Front, call: WatchCall, silent: bool) -> None:
        front.call = None
        self._at(self.now + front.pacing.next_call_delay_us(call, self.now, silent), self._caller(front))


def part(times: list[int], share: float) -> float:
    """In s, the time by which that share of the fleet is told."""
    return times[max(math.ceil(share * len(times)) - 1, 0)] / SECOND


def figures(world: World, made: Callable[..., WatchPacing], seeds: int) -> dict[str, float]:
    """Over all seeds: p50 and p99 of all fronts, the last of all; the busiest second's calls since discovery
    could be reached; the part of plays with every front told in 6 s."""
    plays = [Fleet(world, made, seed) for seed in range(seeds)]
    times = sorted(t for play in plays for t in play.notification_delays_us())
    return {
        "p50": part(times, 0.5),
        "p99": part(times, 0.99),
        "last": times[-1] / SECOND,
        "calls": max(max(play.calls.values(), default=0) for play in plays),
        "held": sum(play.notification_delays_us()[-1] <= 6 * SECOND for play in plays) / seeds,
    }


def cell(got: dict[str, float], until: int) -> str:
    last = "never" if got["last"] >= until / SECOND else f"{got['last']:.2f}"
    words = [f"{got['p50']:.2f}", f"{got['p99']:.2f}", last, f"{got['calls']:.0f}"]
    return " | ".join(words)


HEAD = (
    "| fronts | way | a second | failing | down for | before: p50 | p99 | last | calls "
    "| after: p50 | p99 | last | calls |\n|---|---|---|---|---|---|---|---|---|---|---|---|---|\n"
)


def row(world: World, seeds: int) -> str:
    way = "agent" if not world.rate else "service, pushed" if world.pushed else "service"
    failing = world.failure + (", Retry-After 30 s" if world.retry_after else "")
    failing += f", {world.restarted:.0%} restarted" if world.restarted else ""
    failing += ", met an agent before" if world.known else ""
    down = "-" if world.failure in ("reset", "silent") else f"{world.down / SECOND:g} s"
    text = f"| {world.fronts} | {way} | {f'{world.rate:g}' if world.rate else '-'} | {failing} | {down} | "
    text += f"{cell(figures(world, PreviousPacing, seeds), world.until)} | "
    return text + f"{cell(figures(world, WatchPacing, seeds), world.until)} |\n"


def least(fronts: int, failing: str, seeds: int, made: Callable[..., WatchPacing]) -> float | None:
    """The least rate, in whole calls a second, at which each play has every front told in 6 s."""
    low, high = 0, 400
    if figures(World(fronts, high, failure=failing, until=20 * SECOND), made, seeds)["held"] < 1:
        return None
    while high - low > 1:
        middle = (low + high) // 2
        good = figures(World(fronts, middle, failure=failing, until=20 * SECOND), made, seeds)["held"] == 1
        low, high = (low, middle) if good else (middle, high)
    return high


def report(seeds: int) -> str:
    text = f"# News of changes\n\n`make bench-news`; by simulation, {seeds} plays a row. Seconds after "
    text += "discovery had the change and could be reached, over all fronts and plays; calls in the busiest "
    text += "second since then; before: the program at c66d2e7. A call turned away or given up costs "
    text += "the service as much as one that it answers.\n\n" + HEAD
    base = World(1)
    for fronts in (1, 30, 200):
        for failing in ("hung", "silent"):
            text += row(replace(base, fronts=fronts, failure=failing), seeds)
        for known in (False, True):
            text += row(replace(base, fronts=fronts, failure="hung", restarted=0.7, known=known), seeds)
    for fronts, rate in ((1, 7), (2, 7), (5, 7), (30, 7), (40, 7), (200, 7), (200, 25), (200, 40), (200, 80)):
        for failing in FAILURES:
            text += row(replace(base, fronts=fronts, rate=rate, failure=failing), seeds)
    for fronts, rate in ((5, 7), (30, 7), (200, 80)):
        text += row(World(fronts, rate, failure="no", retry_after=30 * SECOND), seeds)
        text += row(World(fronts, rate, down=60 * SECOND), seeds)
    text += row(World(200, 3, until=900 * SECOND), 2)
    for fronts, rate in ((5, 7), (28, 7), (40, 7), (200, 20), (200, 80)):
        for failing in ("refused", "hung dial", "hung"):
            text += row(World(fronts, rate, True, failing, restarted=0.7), max(seeds // 2, 1))
    text += "\n## Where both can't hold\n\nThe least rate of calls at which every play had all fronts "
    text += "told in 6 s; no pacing can do with less than fronts / 6, and half of that time is gone where a "
    text += "watch fell silent.\n\n| fronts | failing | before | after |\n|---|---|---|---|\n"
    for fronts in (1, 2, 5, 30, 40, 100, 200):
        for failing in ("refused", "hung", "silent", "reset"):
            rates = [
                least(fronts, failing, max(seeds // 2, 1), made) for made in (PreviousPacing, WatchPacing)
            ]
            told = ["none up to 400" if rate is None else f"{rate:g}" for rate in rates]
            text += f"| {fronts} | {failing} | {told[0]} | {told[1]} |\n"
    return text + CHOSEN


def main() -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--keep", action="store_true")
    words: Any = parser.parse_args()
    text = report(words.seeds)
    print(text)
    if words.keep:
        OUT.write_text(text)
    return 0


if __name__ == "__main__":
    sys.exit(main())
