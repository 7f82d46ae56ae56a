"""The bound on the delay of watch events in whole fleets, by the simulation in `benchmarks/news.py`."""

import random

import pytest

from benchmarks.news import FAILURES, SECOND, Before, Fleet, World
from umberlead.recovery.backoff import MAX_CALL_GAP_US, MAX_NOTIFICATION_DELAY_US, SERVICE_QUEUE_TIMEOUT_US
from umberlead.recovery.discovery_pacing import SILENCE_TIMEOUT_US, WatchPacing

FLEETS = (1, 2, 5, 30, 200)
RATE = 7.0  # calls per second that a service answers


@pytest.mark.parametrize("failing", FAILURES)
@pytest.mark.parametrize("fronts", FLEETS)
def test_all_fronts_know_a_service_s_changes_in_6_s_where_it_can_answer_their_calls(
    fronts: int, failing: str
) -> None:
    """The detection of a silent watch takes 3 of the 6 s; in the rest the service must answer every front."""
    left = (
        MAX_NOTIFICATION_DELAY_US - SILENCE_TIMEOUT_US
        if failing in ("silent", "half a list")
        else MAX_NOTIFICATION_DELAY_US
    )
    rate = max(RATE, 1.25 * fronts * SECOND / left)
    for seed in range(3):
        told = Fleet(World(fronts, rate, failing=failing, until=20 * SECOND), seed=seed).told()
        assert told[-1] <= MAX_NOTIFICATION_DELAY_US, (seed, told[-1])


@pytest.mark.parametrize("failing", ["hung", "silent", "reset"])
@pytest.mark.parametrize("fronts", FLEETS)
def test_an_agent_s_changes_are_known_within_a_second(fronts: int, failing: str) -> None:
    """This includes processes that start meanwhile, which know of the agent from their predecessors."""
    world = World(fronts, failing=failing, restarted=0.5, known=True, until=20 * SECOND)
    for seed in range(3):
        told = Fleet(world, seed=seed).told()
        assert told[-1] <= (SILENCE_TIMEOUT_US if failing == "silent" else 0) + 1_000_000


@pytest.mark.parametrize("retry_after", [0, 30 * SECOND])
def test_rejected_calls_keep_the_bound(retry_after: int) -> None:
    world = World(5, RATE, failing="no", down=12 * SECOND, retry_after=retry_after, until=60 * SECOND)
    for seed in range(5):
        assert Fleet(world, seed=seed).told()[-1] <= MAX_NOTIFICATION_DELAY_US
        assert retry_after == 0 or Fleet(world, Before, seed).told()[-1] > MAX_NOTIFICATION_DELAY_US


@pytest.mark.parametrize("pushed", [False, True])
def test_a_service_that_answers_few_calls_recovers(pushed: bool) -> None:
    """At 7 calls per second 200 fronts need 28.6 s at least. All of them get a list, one after the other."""
    for seed in range(3):
        world = World(200, RATE, pushed, "refused", restarted=0.7 if pushed else 0.0)
        play = Fleet(world, seed=seed)
        assert play.told()[-1] < world.until
        late = [n for second, n in play.calls.items() if second >= 10]
        assert max(late, default=0) <= 3 * RATE


def test_a_service_taken_for_an_agent_is_recognized_by_its_rejection() -> None:
    """It answers one call within 60 ms, so it is taken for an agent, but it answers 200 calls only in turn.

    If rejections did not show that it is a service, the fronts would go on to call it without backoff.
    """
    for seed in range(3):
        world = World(200, 20.0, True, "hung dial", restarted=0.7)
        assert Fleet(world, seed=seed).told()[-1] < world.until
        assert Fleet(world, Before, seed).told()[-1] >= world.until


@pytest.mark.parametrize("fleet", FLEETS)
def test_whatever_fails_the_next_call_follows_the_last_activity_in_time(fleet: int) -> None:
    """Calls fail in any order and manner, except for a rejection after they queued."""
    rng = random.Random(fleet)
    pacing, now = WatchPacing(fleet, rng=rng), 10 * SECOND
    for _ in range(2_000):
        call, how = pacing.start_call(now), rng.choice(FAILURES)
        sign, silent = now, how in ("hung dial", "hung", "half a list", "silent")
        if how not in ("hung dial", "refused"):
            call.connected_us = now
        if how in ("no", "half a list", "silent"):
            sign = now = now + rng.randrange(900_000)
            pacing.record_activity(call, now)
            pacing.record_status(call, 503 if how == "no" else 200)
            call.partial = how == "half a list"
        if how in ("silent", "reset"):
            pacing.record_list(call)
        if how == "no":
            call.retry_after_us, sign = rng.choice([0, 30 * SECOND]), call.started_us
        if silent:
            now = max(now, pacing.gives_up_at_us(call))
        now += pacing.next_call_delay_us(call, now, silent)
        assert now - sign <= MAX_CALL_GAP_US, how
    assert MAX_CALL_GAP_US + SERVICE_QUEUE_TIMEOUT_US < MAX_NOTIFICATION_DELAY_US
