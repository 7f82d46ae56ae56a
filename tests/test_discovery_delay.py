"""The bound on the delay of watch events in whole fleets, by the simulation in `benchmarks/news.py`."""

import random

import pytest

from benchmarks.news import FAILURES, SECOND, Fleet, PreviousPacing, World
from umberlead.recovery.backoff import MAX_CALL_GAP_US, MAX_NOTIFICATION_DELAY_US, SERVICE_QUEUE_TIMEOUT_US
from umberlead.recovery.discovery_pacing import SILENCE_TIMEOUT_US, WatchPacing

FLEET_SIZES = (1, 2, 5, 30, 200)
CALLS_PER_SECOND = 7.0  # calls per second that a service answers


@pytest.mark.parametrize("failing", FAILURES)
@pytest.mark.parametrize("fronts", FLEET_SIZES)
def test_fronts_know_a_service_s_changes_within_6_s(fronts: int, failing: str) -> None:
    """The detection of a silent watch takes 3 of the 6 s; in the rest the service must answer every front."""
    remaining_us = (
        MAX_NOTIFICATION_DELAY_US - SILENCE_TIMEOUT_US
        if failing in ("silent", "half a list")
        else MAX_NOTIFICATION_DELAY_US
    )
    calls_per_second = max(CALLS_PER_SECOND, 1.25 * fronts * SECOND / remaining_us)
    for seed in range(3):
        delays_us = Fleet(
            World(fronts, calls_per_second, failure=failing, until=20 * SECOND), seed=seed
        ).notification_delays_us()
        assert delays_us[-1] <= MAX_NOTIFICATION_DELAY_US, (seed, delays_us[-1])


@pytest.mark.parametrize("failing", ["hung", "silent", "reset"])
@pytest.mark.parametrize("fronts", FLEET_SIZES)
def test_fronts_know_an_agent_s_changes_within_a_second(fronts: int, failing: str) -> None:
    """This includes processes that start meanwhile, which know of the agent from their predecessors."""
    world = World(fronts, failure=failing, restarted=0.5, known=True, until=20 * SECOND)
    for seed in range(3):
        delays_us = Fleet(world, seed=seed).notification_delays_us()
        assert delays_us[-1] <= (SILENCE_TIMEOUT_US if failing == "silent" else 0) + 1_000_000


@pytest.mark.parametrize("retry_after", [0, 30 * SECOND])
def test_rejected_calls_keep_the_bound(retry_after: int) -> None:
    world = World(
        5, CALLS_PER_SECOND, failure="no", down=12 * SECOND, retry_after=retry_after, until=60 * SECOND
    )
    for seed in range(5):
        assert Fleet(world, seed=seed).notification_delays_us()[-1] <= MAX_NOTIFICATION_DELAY_US
        assert (
            retry_after == 0
            or Fleet(world, PreviousPacing, seed).notification_delays_us()[-1] > MAX_NOTIFICATION_DELAY_US
        )


@pytest.mark.parametrize("pushed", [False, True])
def test_a_whole_fleet_gets_its_lists_from_a_slow_service(pushed: bool) -> None:
    """At 7 calls per second 200 fronts need 28.6 s at least. All of them get a list, one after the other."""
    for seed in range(3):
        world = World(200, CALLS_PER_SECOND, pushed, "refused", restarted=0.7 if pushed else 0.0)
        fleet = Fleet(world, seed=seed)
        assert fleet.notification_delays_us()[-1] < world.until
        late_call_counts = [call_count for second, call_count in fleet.calls.items() if second >= 10]
        assert max(late_call_counts, default=0) <= 3 * CALLS_PER_SECOND


def test_a_service_taken_for_an_agent_is_recognized_by_its_rejections() -> None:
    """It answers one call within 60 ms, so it is taken for an agent, but it answers 200 calls only in turn.

    If rejections did not show that it is a service, the fronts would go on to call it without backoff.
    """
    for seed in range(3):
        world = World(200, 20.0, True, "hung dial", restarted=0.7)
        assert Fleet(world, seed=seed).notification_delays_us()[-1] < world.until
        assert Fleet(world, PreviousPacing, seed).notification_delays_us()[-1] >= world.until


@pytest.mark.parametrize("fleet_size", FLEET_SIZES)
def test_gap_between_calls_is_bounded_after_any_failure(fleet_size: int) -> None:
    """Calls fail in any order and manner, except for a rejection after they queued."""
    rng = random.Random(fleet_size)
    pacing, now_us = WatchPacing(fleet_size, rng=rng), 10 * SECOND
    for _ in range(2_000):
        call, failure = pacing.start_call(now_us), rng.choice(FAILURES)
        counted_from_us, silent = now_us, failure in ("hung dial", "hung", "half a list", "silent")
        if failure not in ("hung dial", "refused"):
            call.connected_us = now_us
        if failure in ("no", "half a list", "silent"):
            counted_from_us = now_us = now_us + rng.randrange(900_000)
            pacing.record_activity(call, now_us)
            pacing.record_status(call, 503 if failure == "no" else 200)
            call.partial = failure == "half a list"
        if failure in ("silent", "reset"):
            pacing.record_list(call)
        if failure == "no":
            call.retry_after_us, counted_from_us = rng.choice([0, 30 * SECOND]), call.started_us
        if silent:
            now_us = max(now_us, pacing.timeout_at_us(call))
        now_us += pacing.next_call_delay_us(call, now_us, silent)
        assert now_us - counted_from_us <= MAX_CALL_GAP_US, failure
    assert MAX_CALL_GAP_US + SERVICE_QUEUE_TIMEOUT_US < MAX_NOTIFICATION_DELAY_US
