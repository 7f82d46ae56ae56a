"""Sharing a rate limit between fronts and processes: large requests, fronts that serve a volume again, and
processes without a state folder."""

from dataclasses import replace
from pathlib import Path

from tests.helpers import (
    READ_CLASS,
    T0,
    handle_events,
    new_outcome,
    new_request,
    new_scheduler,
    sent_request_ids,
)
from umberlead.handover.shared_state import SharedState
from umberlead.scheduling.scheduler import Scheduler
from umberlead.scheduling.settings import Plan

RATE, BURST, SLACK = 10.0, 60.0, 4.0
GOLD = Plan("gold", limit_units_per_second=RATE, limit_burst_units=BURST, limit_slack_units=SLACK)
LONG_CLASS = replace(READ_CLASS, latency_objective_us=30_000_000, timeout_us=30_000_000)
DECREASE_DELAY_US = LONG_CLASS.timeout_us  # a front uses the larger number of fronts for so long
STEP_US = 100_000
SECOND_US = 1_000_000


def new_front_scheduler() -> Scheduler:
    return new_scheduler(T0, classes=(LONG_CLASS,), plans=(GOLD,), max_request_units=6.0)


def sent_units(
    scheduler: Scheduler, begin_us: int, until_us: int, units: float, front_count: int, prefix: str
) -> float:
    """Request `units` in each step for a volume that `front_count` fronts serve; return the units sent."""
    total = 0.0
    for number, now_us in enumerate(range(begin_us, until_us, STEP_US)):
        request = new_request(
            f"{prefix}{number}",
            now_us,
            units=units,
            deadline_us=now_us + LONG_CLASS.timeout_us,
            volume_front_count=front_count,
        )
        sent_ids = sent_request_ids(handle_events(scheduler, now_us, request))
        while sent_ids:
            total += units * len(sent_ids)
            sent_ids = sent_request_ids(
                handle_events(
                    scheduler, now_us + 1_000, *(new_outcome(id_, elapsed_us=1_000) for id_ in sent_ids)
                )
            )
    return total


def test_request_larger_than_a_front_s_share_of_the_burst_is_sent_in_time() -> None:
    """This front's share of the burst is a bucket of 5 units, which never holds the 6 units of the request.
    The request is rejected at the end of its objective."""
    scheduler = new_front_scheduler()
    request = new_request(
        "large", T0, units=6.0, deadline_us=T0 + LONG_CLASS.timeout_us, volume_front_count=12
    )  # the bucket over all fronts holds 60 units
    sent = sent_request_ids(handle_events(scheduler, T0, request))
    for now_us in range(T0, T0 + LONG_CLASS.timeout_us, STEP_US):
        sent += sent_request_ids(handle_events(scheduler, now_us))
    assert sent == ["large"]


def test_front_that_serves_a_volume_again_does_not_exceed_the_limit() -> None:
    """The front that serves the volume again starts with a full share of the burst, while the other front has
    already used the whole burst."""
    staying, returning = new_front_scheduler(), new_front_scheduler()
    sent_units(returning, T0, T0 + STEP_US, 1.0, 2, "first")
    sent_units(staying, T0, T0 + STEP_US, 1.0, 2, "first")
    # Now one front alone serves the volume. Its bucket gets the whole burst and fills.
    idle_until_us = T0 + DECREASE_DELAY_US + 10 * SECOND_US
    for now_us in range(T0 + STEP_US, idle_until_us, SECOND_US):
        sent_units(staying, now_us, now_us + STEP_US, 0.1, 1, f"alone{now_us}-")
    burst_until_us = idle_until_us + 12 * STEP_US
    return_until_us = burst_until_us + 6 * STEP_US
    units_sent = sent_units(staying, idle_until_us, burst_until_us, 5.0, 1, "burst")
    units_sent += sent_units(returning, burst_until_us, return_until_us, 5.0, 2, "back")
    assert units_sent <= BURST + RATE * (return_until_us - idle_until_us) / SECOND_US + SLACK


def test_processes_without_a_state_folder_do_not_exceed_the_limits(
    tmp_path: Path,
) -> None:
    """Without the folder, neither process sees the other, and each takes the whole share."""
    blocking_file = tmp_path / "umberlead"
    blocking_file.write_text("")
    processes = [SharedState(blocking_file) for _ in range(2)]
    for process in processes:
        process.count_siblings()
    assert sum(process.share() for process in processes) <= 1.0
