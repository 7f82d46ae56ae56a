"""Simulates how long discovery changes take to reach all fronts of a fleet after an outage, and how many
discovery calls that takes, in virtual time: `make bench-news`.

A discovery service answers calls one after the other at a fixed rate. A call that has waited
SERVICE_QUEUE_TIMEOUT_US is rejected, yet it keeps its turn in the queue and costs the service as much as an
answered one. A local discovery agent answers at once, or is silent while discovery is down. When discovery
goes down, the watch of each front ends or falls silent; a front that restarts during the outage opens a new
watch. The failure of a `World` says what happens to calls during the outage. The change is available when
discovery returns, at the latest."""

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
AGENT_RESPONSE_US = 2_000  # us until an agent answers a call
FAILURES = ("refused", "no", "hung dial", "hung", "half a list", "silent", "reset")


CHOSEN = """
## What is chosen

- The bound on the delay has priority. Until a call is rejected after waiting in the queue of the service,
  each front starts its next call at most 3.85 s after the last activity on its watch, whatever the failure
  and whatever Retry-After says; a call may then wait 2 s in the queue. Once the backoff windows have grown,
  each front makes one call in 3.85 s.
- If a call is rejected after waiting in the queue and the fleet has more than 29 fronts (5 calls a second in
  5.85 s), the service is overloaded, and earlier calls do not shorten the delay: the front waits until the
  queue must be empty at 5 calls a second and calls again within the same time. The wait doubles with each
  further such rejection, up to 60 s. Fleets of up to 29 fronts keep the bound in this case too.
- A service that answers slightly fewer calls than a large fleet makes within the bound therefore notifies
  that fleet later than before; one that answers far fewer notifies it sooner, or at all. The capacity of the
  service is not documented; about 7 calls a second were observed.
- An immediate rejection, a refused connection, a reset and silence are assumed to cost the service nothing;
  the bound holds for them at any fleet size.
- A front tells an agent from a service by the first response. A service that is mistaken for an agent
  rejects a call that has timed out; the front still reads that response for 2.5 s. In a fleet of more than 8
  fronts, a front that has never reached its agent waits 2.5 s for such a rejection before it concludes from
  silence that discovery is an agent.
"""


class PreviousPacing(WatchPacing):
    """The pacing of revision c66d2e7, for comparison. It saves no state for the next process."""

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
    """A fleet, its discovery and the failure of that discovery.

    Attributes:
        rate: Calls a second that the service answers; 0 if each front has a local agent instead.
        pushed: Whether a front assumes that the service is an agent until a response shows otherwise.
        down: Length of the outage, us.
        restarted: Fraction of the fleet that restarts during the outage.
        retry_after: Retry-After of a rejection, us.
    """

    fronts: int
    rate: float = 0.0
    pushed: bool = False
    failure: str = "refused"
    down: int = 8 * SECOND
    restarted: float = 0.0
    retry_after: int = 0
    known: bool = False  # a restarted process has saved state saying that an agent answers
    until: int = 300 * SECOND


class _Front:
    def __init__(self, pacing: WatchPacing) -> None:
        self.pacing = pacing
        self.call: WatchCall | None = None  # the call in progress
        self.late: WatchCall | None = None  # a timed-out call whose response is still read
        self.turn = 0  # number of the latest scheduled call; earlier ones are cancelled
        self.told: int | None = None


class Fleet:
    """Plays one failure for one fleet.

    Attributes:
        calls: Number of calls by second, counted from the moment when discovery is reachable again.
        downs: Number of calls during the outage, by second relative to the same moment (negative).
    """

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
                self._schedule(at + front.pacing.first_call_delay_us(), self._call_callback(front))
            else:
                self._start_established_watch(front)
        while self.queue and self.queue[0][0] < self.back + world.until:
            self.now, _, what = heapq.heappop(self.queue)
            what()

    def notification_delays_us(self) -> list[int]:
        """Returns the delay of each front, ascending, in us since discovery is reachable again.

        A front that never receives the change counts with the end of the simulated time.
        """
        end = self.back + self.world.until
        return sorted((end if f.told is None else f.told) - self.back for f in self.fronts)

    def _schedule(self, when: int, what: Callable[[], None]) -> None:
        self.number += 1
        heapq.heappush(self.queue, (when, self.number, what))

    def _call_callback(self, front: _Front) -> Callable[[], None]:
        front.turn += 1
        turn = front.turn
        return lambda: self._start_call(front) if turn == front.turn else None

    def _start_established_watch(self, front: _Front) -> None:
        """Starts a front with an established watch, which ends or falls silent when discovery goes down."""
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
            self._schedule(max(pacing.timeout_at_us(call), fell), lambda: self._check_timeout(front, call))
        else:
            call.last_activity_us = fell
            self._schedule(fell, lambda: self._end_call(front, call, silent=False))

    def _start_call(self, front: _Front) -> None:
        call = front.call = front.pacing.start_call(self.now)
        up = self.now >= self.back
        (self.calls if up else self.downs)[(self.now - self.back) // SECOND] += 1
        kind, at = self._service_response() if up else self._outage_response()
        if kind != "hung dial":
            call.connected_us = self.now
        if kind in ("list", "no", "refused"):
            self._schedule(at, lambda: self._receive_response(front, call, kind))
        self._schedule(front.pacing.timeout_at_us(call), lambda: self._check_timeout(front, call))

    def _service_response(self) -> tuple[str, int]:
        if not self.world.rate:
            return "list", self.now + AGENT_RESPONSE_US
        begun = max(self.now, self.free)
        self.free = begun + int(SECOND / self.world.rate)
        return (
            ("list", self.free)
            if begun - self.now <= SERVICE_QUEUE_TIMEOUT_US
            else ("no", self.now + SERVICE_QUEUE_TIMEOUT_US)
        )

    def _outage_response(self) -> tuple[str, int]:
        if self.world.failure in ("no", "refused", "hung dial") and self.world.rate:
            return self.world.failure, self.now + 1000
        return "hung", 0

    def _receive_response(self, front: _Front, call: WatchCall, kind: str) -> None:
        if call is not front.call and call is not front.late:
            return
        if kind == "refused":
            call.connected_us = None
            return self._end_call(front, call, silent=False)
        front.pacing.record_activity(call, self.now)
        call.retry_after_us = self.world.retry_after if kind == "no" else 0
        front.pacing.record_status(call, 200 if kind == "list" else 503)
        late, front.late = front.late, None
        if kind == "list":
            front.call, front.told = call, self.now
            front.turn += 1
            front.pacing.record_list(call)
        elif call is not late:
            self._end_call(front, call, silent=False)

    def _check_timeout(self, front: _Front, call: WatchCall) -> None:
        if call is not front.call or front.told is not None:
            return
        due = front.pacing.timeout_at_us(call)
        if self.now < due:
            return self._schedule(due, lambda: self._check_timeout(front, call))
        if front.late is None and front.pacing.is_still_read(call, self.now):
            front.late = call
            self._schedule(
                call.started_us + UNKNOWN_RESPONSE_TIMEOUT_US, lambda: self._stop_reading(front, call)
            )
        self._end_call(front, call, silent=True)

    def _stop_reading(self, front: _Front, call: WatchCall) -> None:
        if front.late is call:
            front.late = None
            front.pacing.record_no_response(call)

    def _end_call(self, front: _Front, call: WatchCall, silent: bool) -> None:
        front.call = None
        self._schedule(
            self.now + front.pacing.next_call_delay_us(call, self.now, silent), self._call_callback(front)
        )


def part(times: list[int], share: float) -> float:
    """Returns the time in s within which that share of the fleet has received the change."""
    return times[max(math.ceil(share * len(times)) - 1, 0)] / SECOND


def figures(world: World, made: Callable[..., WatchPacing], seeds: int) -> dict[str, float]:
    """Returns the figures over all seeds.

    These are p50, p99 and maximum of the delay over all fronts, in s; the number of calls in the busiest
    second since discovery is reachable again; and the fraction of plays in which every front receives the
    change within 6 s.
    """
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
    """Returns the lowest whole rate in calls a second at which every front receives the change within 6 s.

    This must hold in each play; None if it does not hold at 400 calls a second.
    """
    low, high = 0, 400
    if figures(World(fronts, high, failure=failing, until=20 * SECOND), made, seeds)["held"] < 1:
        return None
    while high - low > 1:
        middle = (low + high) // 2
        good = figures(World(fronts, middle, failure=failing, until=20 * SECOND), made, seeds)["held"] == 1
        low, high = (low, middle) if good else (middle, high)
    return high


def report(seeds: int) -> str:
    text = (
        f"# News of changes\n\n`make bench-news`; by simulation, {seeds} plays a row. Delays are in seconds "
    )
    text += (
        "since discovery has the change and is reachable, over all fronts and plays; calls are those of the "
    )
    text += "busiest second since then. Before: the program at c66d2e7. A rejected or timed-out call costs "
    text += "the service as much as an answered one.\n\n" + HEAD
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
    text += "\n## Where both can't hold\n\nThe lowest rate of calls at which every play notifies all fronts "
    text += "within 6 s. No pacing needs less than fronts / 6. Detecting a silent watch takes half of that "
    text += "time.\n\n| fronts | failing | before | after |\n|---|---|---|---|\n"
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
