"""Sharing a rate limit between fronts and processes: large requests, fronts that serve a volume again, and
processes without a state folder."""

from dataclasses import replace
from pathlib import Path

from tests.helpers import READ, T0, ask, end, feed, head, sends
from umberlead.handover.shared_state import SharedState
from umberlead.scheduling.scheduler import Scheduler
from umberlead.scheduling.settings import Plan

RATE, BURST, SLACK = 10.0, 60.0, 4.0
GOLD = Plan("gold", limit_units_per_second=RATE, limit_burst_units=BURST, limit_slack_units=SLACK)
PATIENT = replace(READ, latency_objective_us=30_000_000, timeout_us=30_000_000)
HOLD_US = PATIENT.timeout_us  # a front uses the larger number of fronts for so long
STEP_US = 100_000
SECOND_US = 1_000_000


def front() -> Scheduler:
    return head(T0, classes=(PATIENT,), plans=(GOLD,), max_request_units=6.0)


def sent_units(made: Scheduler, begin: int, until: int, units: float, fronts: int, name: str) -> float:
    """Request `units` in each step for a volume that `fronts` fronts serve; return the units sent."""
    total = 0.0
    for number, at in enumerate(range(begin, until, STEP_US)):
        request = ask(
            f"{name}{number}",
            at,
            units=units,
            deadline_us=at + PATIENT.timeout_us,
            volume_front_count=fronts,
        )
        went = sends(feed(made, at, request))
        while went:
            total += units * len(went)
            went = sends(feed(made, at + 1_000, *(end(id_, elapsed=1_000) for id_ in went)))
    return total


def test_a_request_larger_than_one_front_s_part_of_the_burst_is_sent_in_time() -> None:
    """This front's share of the burst is a bucket of 5 units, which never holds the 6 units of the request.
    The request is rejected at the end of its objective."""
    made = front()
    request = ask(
        "large", T0, units=6.0, deadline_us=T0 + PATIENT.timeout_us, volume_front_count=12
    )  # the bucket over all fronts holds 60 units
    sent = sends(feed(made, T0, request))
    for at in range(T0, T0 + PATIENT.timeout_us, STEP_US):
        sent += sends(feed(made, at))
    assert sent == ["large"]


def test_a_front_that_comes_back_to_a_volume_sends_no_more_than_the_rule_s_bucket_holds() -> None:
    """The front that serves the volume again starts with a full share of the burst, while the other front has
    already used the whole burst."""
    stays, leaves = front(), front()
    sent_units(leaves, T0, T0 + STEP_US, 1.0, 2, "first")
    sent_units(stays, T0, T0 + STEP_US, 1.0, 2, "first")
    # Now one front alone serves the volume. Its bucket gets the whole burst and fills.
    idle_until = T0 + HOLD_US + 10 * SECOND_US
    for at in range(T0 + STEP_US, idle_until, SECOND_US):
        sent_units(stays, at, at + STEP_US, 0.1, 1, f"alone{at}-")
    spends_until = idle_until + 12 * STEP_US
    back_until = spends_until + 6 * STEP_US
    spent = sent_units(stays, idle_until, spends_until, 5.0, 1, "burst")
    spent += sent_units(leaves, spends_until, back_until, 5.0, 2, "back")
    assert spent <= BURST + RATE * (back_until - idle_until) / SECOND_US + SLACK


def test_processes_whose_state_folder_can_t_be_made_send_no_more_than_one_front_s_limits(
    tmp_path: Path,
) -> None:
    """Without the folder, neither process sees the other, and each takes the whole share."""
    in_its_place = tmp_path / "umberlead"
    in_its_place.write_text("")
    processes = [SharedState(in_its_place) for _ in range(2)]
    for process in processes:
        process.count_siblings()
    assert sum(process.share() for process in processes) <= 1.0
