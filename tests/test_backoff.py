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

CALLS_PER_SECOND = 7.0  # calls per second that the service answers
QUEUE_TIMEOUT_US = 2_000_000


def overloaded_service(
    delay_functions: list[Callable[[int], int]], started_us: list[int], until_us: int
) -> list[int | None]:
    """Return when each caller gets its list, or None for one that gets none.

    The service works on calls in turn. A caller whose call queued for longer than the timeout is rejected and
    calls again after its delay, but the service still works through the rejected call at the full cost.
    """
    calls = [(called_us, caller) for caller, called_us in enumerate(started_us)]
    heapq.heapify(calls)
    service_free_us, received_us = 0, [None] * len(started_us)  # type: tuple[int, list[int | None]]
    while calls and calls[0][0] < until_us:
        called_us, caller = heapq.heappop(calls)
        begun_us = max(called_us, service_free_us)
        service_free_us = begun_us + int(1_000_000 / CALLS_PER_SECOND)
        if begun_us - called_us <= QUEUE_TIMEOUT_US:
            received_us[caller] = service_free_us
        else:  # the call is rejected at its timeout, and the service still works through it
            heapq.heappush(
                calls,
                (
                    called_us + QUEUE_TIMEOUT_US + delay_functions[caller](called_us + QUEUE_TIMEOUT_US),
                    caller,
                ),
            )
    return received_us


def doubling_delay(rng: random.Random) -> Callable[[int], int]:
    """Return a function whose delays double from 0.1 s to 2 s, whatever the fleet's size."""
    delay_us = FIRST_WINDOW_US

    def next_delay_us(_: int) -> int:
        nonlocal delay_us
        drawn_us = int(delay_us * (0.5 + 0.5 * rng.random()))
        delay_us = min(delay_us * 2, LAST_WINDOW_US)
        return drawn_us

    return next_delay_us


@pytest.mark.parametrize("seed", range(20))
def test_fleet_recovers_after_all_watches_break_at_an_overloaded_service(seed: int) -> None:
    """28 of 40 fronts restart at once while the watches of the others break. With delays that only double,
    rejected calls are repeated faster than the service works them off."""
    fronts = [Backoff(40, random.Random(f"{seed}/{number}")) for number in range(40)]
    delay_functions: list[Callable[[int], int]] = [
        partial(
            front.next_delay_us, remaining_us=MAX_CALL_GAP_US - SERVICE_QUEUE_TIMEOUT_US, waited_in_queue=True
        )
        for front in fronts
    ]
    received_us = overloaded_service(
        delay_functions, [front.first_delay_us() for front in fronts], 30_000_000
    )
    times_us = sorted(time_us for time_us in received_us if time_us is not None)
    assert len(times_us) == 40 and times_us[-1] < 10_000_000 and times_us[27] < 5_000_000
    doubling_delays = [doubling_delay(random.Random(f"{seed}/{number}")) for number in range(40)]
    received_with_doubling_us = overloaded_service(
        doubling_delays, [delay_function(0) for delay_function in doubling_delays], 30_000_000
    )
    assert sum(time_us is None for time_us in received_with_doubling_us) >= 15


@pytest.mark.parametrize("fleet_size", [1, 4, 40, 200, 100_000])
def test_windows_grow_with_fleet_size_and_failures_up_to_the_bound(fleet_size: int) -> None:
    """Delays exceed the bound only after a queued call was rejected, and then grow with the fleet's size."""
    backoff = Backoff(fleet_size, random.Random(1))
    windows_us = []
    for number in range(30):
        windows_us.append(backoff.window_us())
        assert FIRST_WINDOW_US // 2 <= backoff.next_delay_us(number * 777_777) <= windows_us[-1]
    assert windows_us == sorted(windows_us) and windows_us[-1] <= MAX_CALL_GAP_US
    assert windows_us[-1] == (LAST_WINDOW_US if fleet_size <= 10 else MAX_CALL_GAP_US)
    delays_us = [backoff.next_delay_us(0, waited_in_queue=True) for _ in range(9)]
    if fleet_size * 1_000_000 // SERVICE_CALLS_PER_SECOND <= MAX_CALL_GAP_US + SERVICE_QUEUE_TIMEOUT_US:
        assert max(delays_us) <= MAX_CALL_GAP_US
    else:
        assert (
            delays_us == sorted(delays_us)
            and delays_us[0] >= LAST_WINDOW_US
            and MAX_BACKLOG_US <= delays_us[-1] <= 2 * MAX_BACKLOG_US
        )
        assert delays_us[0] >= min(
            fleet_size * 1_000_000 // SERVICE_CALLS_PER_SECOND - MAX_CALL_GAP_US - SERVICE_QUEUE_TIMEOUT_US,
            MAX_BACKLOG_US,
        )
    backoff.record_connect_failure()
    assert backoff.next_delay_us(0) <= MAX_CALL_GAP_US
    backoff.record_success()
    assert (
        backoff.window_us()
        == windows_us[0]
        == min(max(FIRST_WINDOW_US, fleet_size * 100_000), MAX_CALL_GAP_US)
    )


def test_delay_stays_within_the_remaining_time() -> None:
    for fleet_size in (1, 5, 30, 200):
        for seed in range(50):
            backoff = Backoff(fleet_size, random.Random(seed))
            assert (
                backoff.next_delay_us(seed, remaining_us=300_000) <= 300_000
                and backoff.next_delay_us(seed, remaining_us=-1) <= FIRST_WINDOW_US
            )


def test_calls_of_a_fleet_are_spread_evenly_over_each_window() -> None:
    """No member calls twice in a window, and the calls are evenly spread over the window."""
    fronts, calls_us = [Backoff(200, random.Random(seed)) for seed in range(200)], list[int]()
    for front in fronts:
        now_us = 0
        while now_us < 10 * MAX_CALL_GAP_US:
            now_us += front.next_delay_us(now_us)
            calls_us.append(now_us)
    for begin_us in range(0, 9 * MAX_CALL_GAP_US, MAX_CALL_GAP_US):
        calls_in_window_us = [
            call_us for call_us in calls_us if begin_us <= call_us < begin_us + MAX_CALL_GAP_US
        ]
        assert len(calls_in_window_us) <= 210
        # 26 on average
        assert (
            max(
                sum(call_us // 500_000 == half_second for call_us in calls_in_window_us)
                for half_second in range(100)
            )
            <= 45
        )


def test_first_call_is_immediate_in_a_small_fleet_and_spread_in_a_large_one() -> None:
    assert {Backoff(4, random.Random(seed)).first_delay_us() for seed in range(9)} == {0}
    delays_us = [Backoff(40, random.Random(seed)).first_delay_us() for seed in range(400)]
    assert max(delays_us) <= 4_000_000 and min(delays_us) < 100_000
    assert 1.8 < sum(delays_us) / len(delays_us) / 1_000_000 < 2.2


def test_retry_after_is_respected_within_the_bound() -> None:
    assert Backoff(1, random.Random(1)).next_delay_us(0, retry_after_us=1_500_000) == 1_500_000
    assert Backoff(1, random.Random(1)).next_delay_us(0, retry_after_us=300_000_000) == MAX_CALL_GAP_US
    assert (
        Backoff(200, random.Random(1)).next_delay_us(0, remaining_us=1_000_000, retry_after_us=300_000_000)
        == 1_000_000
    )
