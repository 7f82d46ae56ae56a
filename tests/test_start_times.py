"""The age of an endpoint when the wall clock steps, and the load that two processes of a front send it."""

from pathlib import Path
from unittest import mock

import pytest

from tests.helpers import T0, new_scheduler, settings, up_endpoint
from umberlead.handover.clock_anchors import MAX_ANCHOR_COUNT, ClockAnchors
from umberlead.recovery.start_times import MAX_REPORT_DELAY_US, MAX_STEPS_COUNT, StartTimes
from umberlead.scheduling.events import ProcessShare
from umberlead.scheduling.slow_start import max_window_units

SECOND = 1_000_000
HOUR = 3600 * SECOND
NOW = 1_700_000_000 * SECOND


def test_start_is_as_reported_without_a_clock_step() -> None:
    times = StartTimes()
    assert not times.observe(NOW, NOW + 1000)
    assert times.to_local_clock("a", NOW - 5 * SECOND, NOW) == NOW - 5 * SECOND - 1000
    assert times.to_local_clock("b", NOW - 2 * HOUR, NOW) == NOW - 2 * HOUR - 1000
    assert times.to_local_clock("c", 0, NOW) == 0


@pytest.mark.parametrize("step", [-HOUR, -30 * SECOND, 30 * SECOND, HOUR])
def test_start_after_a_clock_step_has_its_true_age(step: int) -> None:
    """By the stepped clock the endpoint would seem an hour old, or would stay in slow start for an hour."""
    times = StartTimes()
    assert times.observe(NOW, NOW + step)
    wall_us = NOW + step
    assert times.to_local_clock("a", wall_us - 2 * SECOND, NOW) == NOW - 2 * SECOND


@pytest.mark.parametrize("step", [-HOUR, -30 * SECOND, 30 * SECOND, HOUR])
def test_start_before_a_clock_step_reported_after_it_has_its_true_age(step: int) -> None:
    times = StartTimes()
    assert times.observe(NOW, NOW + step)
    assert times.to_local_clock("a", NOW - 2 * SECOND, NOW) == NOW - 2 * SECOND


def test_reported_start_keeps_its_age_through_further_clock_steps() -> None:
    times = StartTimes()
    first_us = times.to_local_clock("a", NOW - 5 * SECOND, NOW)
    for number in range(2 * MAX_STEPS_COUNT):
        now_us = NOW + (number + 1) * SECOND
        assert times.observe(now_us, now_us + HOUR * (-1) ** number)
        assert times.to_local_clock("a", NOW - 5 * SECOND, now_us) == first_us
    assert times.to_local_clock("a", NOW + HOUR, NOW + 60 * SECOND) != first_us  # the endpoint restarted


def test_start_in_the_future_counts_as_now() -> None:
    assert StartTimes().to_local_clock("a", NOW + HOUR, NOW) == NOW


def test_first_report_of_an_old_start_counts_as_now() -> None:
    """A process that started after the step knows only the offset after the step."""
    times = StartTimes()
    old_us = NOW - HOUR
    assert times.to_local_clock("a", old_us, NOW) == old_us  # the first list has endpoints of any age
    times.record_list()
    assert (
        times.to_local_clock("b", old_us - 1, NOW) == NOW and times.to_local_clock("a", old_us, NOW) == old_us
    )
    recent_us = NOW - MAX_REPORT_DELAY_US + 1
    assert times.to_local_clock("c", recent_us, NOW) == recent_us


@pytest.mark.parametrize("step", [-HOUR, -30 * SECOND, 30 * SECOND, HOUR])
def test_process_started_after_a_clock_step_uses_clock_anchors_of_its_predecessor(
    tmp_path: Path, step: int
) -> None:
    """Otherwise a start reported by the clock before its step would seem older, and the endpoint warm."""
    predecessor_anchors = ClockAnchors(tmp_path / "clock")
    assert predecessor_anchors.read() == []
    predecessor_anchors.add(5 * SECOND)
    own_anchor_us = 5 * SECOND + step
    times = StartTimes([anchor_us - own_anchor_us for anchor_us in ClockAnchors(tmp_path / "clock").read()])
    now_us = NOW + step  # by the process's own clock, which was set by the stepped wall clock
    assert times.to_local_clock("a", NOW - 2 * SECOND, now_us) == now_us - 2 * SECOND


def test_clock_anchors_that_are_partial_unwritable_or_of_another_boot_are_ignored(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    anchors = ClockAnchors(tmp_path / "clock")
    for anchor in range(MAX_ANCHOR_COUNT + 3):
        anchors.add(-anchor)
    stored = [-anchor for anchor in range(3, MAX_ANCHOR_COUNT + 3)]
    assert anchors.read() == stored
    data = (tmp_path / "clock").read_bytes()
    (tmp_path / "clock").write_bytes(data[:-2])
    assert anchors.read() == stored[:-1]
    (tmp_path / "clock").write_bytes(b"other boot\n7\n")
    assert anchors.read() == []
    monkeypatch.setattr(Path, "write_bytes", mock.Mock(side_effect=OSError(28, "")))
    anchors.add(1)
    ClockAnchors(None).add(1)
    assert anchors.read() == ClockAnchors(None).read() == []


@pytest.mark.parametrize("front_count", [1, 5, 40])
def test_two_processes_of_a_front_send_a_cold_endpoint_no_more_than_one_process(front_count: int) -> None:
    """If each process had the front's whole share, they would send twice what the endpoint can take."""
    options = {
        "front_count": front_count,
        "shard_count": 4,
        "slow_start_units": 200.0,
        "initial_capacity_ratio": 0.2,
        "slow_start_window_us": 2 * SECOND,
        "warm_up_us": 10 * SECOND,
    }
    single, one_of_two = (new_scheduler(T0, up_endpoint("n0", started_us=T0), **options) for _ in range(2))
    one_of_two.handle(T0, [ProcessShare(0.5)])
    endpoint = up_endpoint("n0", started_us=T0)
    limits = settings(**options)
    single_max_units = max_window_units(limits, endpoint, T0, single.directory.traffic_share(0))
    assert 2 * max_window_units(limits, endpoint, T0, one_of_two.directory.traffic_share(0)) <= max(
        single_max_units, 2 * 2 * limits.mean_request_units
    )
    assert one_of_two.directory.traffic_share(0) == single.directory.traffic_share(0) / 2
