"""Backoff between calls to a service that a whole fleet calls, with a model of an overloaded service."""

import heapq
import random
from collections.abc import Callable
from functools import partial

import pytest

from umberlead.recovery.backoff import (
    FIRST_WINDOW_US,
    LAST_WINDOW_US,
    MAX_BACKLOG_US,
    MAX_CALL_GAP_US,
    SERVICE_CALLS_PER_SECOND,
    SERVICE_QUEUE_TIMEOUT_US,
    Backoff,
)

RATE = 7.0  # calls per second that the service answers
QUEUE_TIMEOUT_US = 2_000_000


def overloaded_service(delays: list[Callable[[int], int]], starts: list[int], until: int) -> list[int | None]:
    """Return when each caller gets its list, or None for one that gets none.

    The service works on calls in turn. A caller whose call queued for longer than the timeout is rejected and
    calls again after its delay, but the service still works through the rejected call at the full cost.
    """
    calls = [(at, k) for k, at in enumerate(starts)]
    heapq.heapify(calls)
    free, got = 0, [None] * len(starts)  # type: tuple[int, list[int | None]]
    while calls and calls[0][0] < until:
        at, k = heapq.heappop(calls)
        begun = max(at, free)
        free = begun + int(1_000_000 / RATE)
        if begun - at <= QUEUE_TIMEOUT_US:
            got[k] = free
        else:  # the call is rejected at its timeout, and the service still works through it
            heapq.heappush(calls, (at + QUEUE_TIMEOUT_US + delays[k](at + QUEUE_TIMEOUT_US), k))
    return got


def doubling(rng: random.Random) -> Callable[[int], int]:
    """Return a function whose delays double from 0.1 s to 2 s, whatever the fleet's size."""
    delay = FIRST_WINDOW_US

    def next_(_: int) -> int:
        nonlocal delay
        drawn = int(delay * (0.5 + 0.5 * rng.random()))
        delay = min(delay * 2, LAST_WINDOW_US)
        return drawn

    return next_


@pytest.mark.parametrize("seed", range(20))
def test_a_fleet_whose_watches_broke_at_once_gets_its_lists_from_a_slow_service(seed: int) -> None:
    """28 of 40 fronts restart at once while the watches of the others break. With delays that only double,
    rejected calls are repeated faster than the service works them off."""
    fronts = [Backoff(40, random.Random(f"{seed}/{k}")) for k in range(40)]
    delays: list[Callable[[int], int]] = [
        partial(
            f.next_delay_us, remaining_us=MAX_CALL_GAP_US - SERVICE_QUEUE_TIMEOUT_US, waited_in_queue=True
        )
        for f in fronts
    ]
    got = overloaded_service(delays, [f.first_delay_us() for f in fronts], 30_000_000)
    times = sorted(t for t in got if t is not None)
    assert len(times) == 40 and times[-1] < 10_000_000 and times[27] < 5_000_000
    old = [doubling(random.Random(f"{seed}/{k}")) for k in range(40)]
    before = overloaded_service(old, [p(0) for p in old], 30_000_000)
    assert sum(t is None for t in before) >= 15


@pytest.mark.parametrize("fleet", [1, 4, 40, 200, 100_000])
def test_windows_grow_with_the_fleet_and_with_each_failure_and_are_bounded(fleet: int) -> None:
    """Delays exceed the bound only after a queued call was rejected, and then grow with the fleet's size."""
    one = Backoff(fleet, random.Random(1))
    windows = []
    for k in range(30):
        windows.append(one.window_us())
        assert FIRST_WINDOW_US // 2 <= one.next_delay_us(k * 777_777) <= windows[-1]
    assert windows == sorted(windows) and windows[-1] <= MAX_CALL_GAP_US
    assert windows[-1] == (LAST_WINDOW_US if fleet <= 10 else MAX_CALL_GAP_US)
    delays = [one.next_delay_us(0, waited_in_queue=True) for _ in range(9)]
    if fleet * 1_000_000 // SERVICE_CALLS_PER_SECOND <= MAX_CALL_GAP_US + SERVICE_QUEUE_TIMEOUT_US:
        assert max(delays) <= MAX_CALL_GAP_US
    else:
        assert (
            delays == sorted(delays)
            and delays[0] >= LAST_WINDOW_US
            and MAX_BACKLOG_US <= delays[-1] <= 2 * MAX_BACKLOG_US
        )
        assert delays[0] >= min(
            fleet * 1_000_000 // SERVICE_CALLS_PER_SECOND - MAX_CALL_GAP_US - SERVICE_QUEUE_TIMEOUT_US,
            MAX_BACKLOG_US,
        )
    one.queue_emptied()
    assert one.next_delay_us(0) <= MAX_CALL_GAP_US
    one.record_success()
    assert one.window_us() == windows[0] == min(max(FIRST_WINDOW_US, fleet * 100_000), MAX_CALL_GAP_US)


def test_the_time_that_a_call_hung_is_part_of_the_bound() -> None:
    for fleet in (1, 5, 30, 200):
        for k in range(50):
            one = Backoff(fleet, random.Random(k))
            assert (
                one.next_delay_us(k, remaining_us=300_000) <= 300_000
                and one.next_delay_us(k, remaining_us=-1) <= FIRST_WINDOW_US
            )


def test_a_fleet_that_fails_together_calls_evenly_and_once_a_window() -> None:
    """No member calls twice in a window, and the calls are evenly spread over the window."""
    fronts, calls = [Backoff(200, random.Random(k)) for k in range(200)], list[int]()
    for one in fronts:
        now = 0
        while now < 10 * MAX_CALL_GAP_US:
            now += one.next_delay_us(now)
            calls.append(now)
    for begin in range(0, 9 * MAX_CALL_GAP_US, MAX_CALL_GAP_US):
        inside = [t for t in calls if begin <= t < begin + MAX_CALL_GAP_US]
        assert len(inside) <= 210
        assert max(sum(t // 500_000 == s for t in inside) for s in range(100)) <= 45  # 26 on average


def test_a_new_process_of_a_small_fleet_calls_at_once_and_one_of_a_large_fleet_somewhere_in_the_burst() -> (
    None
):
    assert {Backoff(4, random.Random(k)).first_delay_us() for k in range(9)} == {0}
    starts = [Backoff(40, random.Random(k)).first_delay_us() for k in range(400)]
    assert max(starts) <= 4_000_000 and min(starts) < 100_000
    assert 1.8 < sum(starts) / len(starts) / 1_000_000 < 2.2


def test_retry_after_is_respected_within_the_bound() -> None:
    assert Backoff(1, random.Random(1)).next_delay_us(0, retry_after_us=1_500_000) == 1_500_000
    assert Backoff(1, random.Random(1)).next_delay_us(0, retry_after_us=300_000_000) == MAX_CALL_GAP_US
    assert (
        Backoff(200, random.Random(1)).next_delay_us(0, remaining_us=1_000_000, retry_after_us=300_000_000)
        == 1_000_000
    )
