"""The age of an endpoint when the wall clock steps, and the load that two processes of a front send it."""

from pathlib import Path
from unittest import mock

import pytest

from tests.helpers import T0, head, settings, up
from umberlead.handover.clock_anchors import MAX_ANCHORS_COUNT, ClockAnchors
from umberlead.recovery.start_times import MAX_REPORT_DELAY_US, MAX_STEPS_COUNT, StartTimes
from umberlead.scheduling.events import ProcessShare
from umberlead.scheduling.slow_start import max_window_units

SECOND = 1_000_000
HOUR = 3600 * SECOND
NOW = 1_700_000_000 * SECOND


def test_without_a_step_a_start_is_as_reported() -> None:
    times = StartTimes()
    assert not times.observe(NOW, NOW + 1000)
    assert times.to_local_clock("a", NOW - 5 * SECOND, NOW) == NOW - 5 * SECOND - 1000
    assert times.to_local_clock("b", NOW - 2 * HOUR, NOW) == NOW - 2 * HOUR - 1000
    assert times.to_local_clock("c", 0, NOW) == 0


@pytest.mark.parametrize("step", [-HOUR, -30 * SECOND, 30 * SECOND, HOUR])
def test_a_start_after_a_step_has_its_true_age(step: int) -> None:
    """By the stepped clock the endpoint would seem an hour old, or would stay in slow start for an hour."""
    times = StartTimes()
    assert times.observe(NOW, NOW + step)
    wall = NOW + step
    assert times.to_local_clock("a", wall - 2 * SECOND, NOW) == NOW - 2 * SECOND


@pytest.mark.parametrize("step", [-HOUR, -30 * SECOND, 30 * SECOND, HOUR])
def test_a_start_before_a_step_that_is_reported_after_it_has_its_true_age(step: int) -> None:
    times = StartTimes()
    assert times.observe(NOW, NOW + step)
    assert times.to_local_clock("a", NOW - 2 * SECOND, NOW) == NOW - 2 * SECOND


def test_a_reported_start_keeps_its_age_through_all_steps_and_lists() -> None:
    times = StartTimes()
    first = times.to_local_clock("a", NOW - 5 * SECOND, NOW)
    for number in range(2 * MAX_STEPS_COUNT):
        now = NOW + (number + 1) * SECOND
        assert times.observe(now, now + HOUR * (-1) ** number)
        assert times.to_local_clock("a", NOW - 5 * SECOND, now) == first
    assert times.to_local_clock("a", NOW + HOUR, NOW + 60 * SECOND) != first  # the endpoint restarted


def test_a_start_ahead_of_all_clocks_is_now() -> None:
    assert StartTimes().to_local_clock("a", NOW + HOUR, NOW) == NOW


def test_a_first_report_of_an_old_start_is_by_a_clock_that_stepped() -> None:
    """A process that started after the step knows only the offset after the step."""
    times = StartTimes()
    old = NOW - HOUR
    assert times.to_local_clock("a", old, NOW) == old  # the first list has endpoints of any age
    times.record_list()
    assert times.to_local_clock("b", old - 1, NOW) == NOW and times.to_local_clock("a", old, NOW) == old
    late = NOW - MAX_REPORT_DELAY_US + 1
    assert times.to_local_clock("c", late, NOW) == late


@pytest.mark.parametrize("step", [-HOUR, -30 * SECOND, 30 * SECOND, HOUR])
def test_a_process_that_starts_after_a_step_knows_its_predecessors_anchors(tmp_path: Path, step: int) -> None:
    """Otherwise a start reported by the clock before its step would seem older, and the endpoint warm."""
    first = ClockAnchors(tmp_path / "clock")
    assert first.read() == []
    first.add(5 * SECOND)
    own = 5 * SECOND + step
    times = StartTimes([anchor - own for anchor in ClockAnchors(tmp_path / "clock").read()])
    now = NOW + step  # by the process's own clock, which was set by the stepped wall clock
    assert times.to_local_clock("a", NOW - 2 * SECOND, now) == now - 2 * SECOND


def test_anchors_of_another_boot_partial_or_unwritable_are_not_known(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    anchors = ClockAnchors(tmp_path / "clock")
    for anchor in range(MAX_ANCHORS_COUNT + 3):
        anchors.add(-anchor)
    stored = [-anchor for anchor in range(3, MAX_ANCHORS_COUNT + 3)]
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
def test_two_processes_of_a_front_send_an_endpoint_in_slow_start_no_more_than_one(front_count: int) -> None:
    """If each process had the front's whole share, they would send twice what the endpoint can take."""
    options = {
        "front_count": front_count,
        "shard_count": 4,
        "slow_start_units": 200.0,
        "initial_capacity_ratio": 0.2,
        "slow_start_window_us": 2 * SECOND,
        "warm_up_us": 10 * SECOND,
    }
    alone, beside = (head(T0, up("n0", started=T0), **options) for _ in range(2))
    beside.handle(T0, [ProcessShare(0.5)])
    endpoint = up("n0", started=T0)
    limits = settings(**options)
    alone_units = max_window_units(limits, endpoint, T0, alone.directory.traffic_share(0))
    assert 2 * max_window_units(limits, endpoint, T0, beside.directory.traffic_share(0)) <= max(
        alone_units, 2 * 2 * limits.mean_request_units
    )
    assert beside.directory.traffic_share(0) == alone.directory.traffic_share(0) / 2
