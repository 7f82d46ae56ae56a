"""The age of a chunk server while the wall clock steps, and what it is sent by two processes of a front."""

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


def test_without_a_step_a_start_is_what_it_is_told_to_be() -> None:
    times = StartTimes()
    assert not times.observe(NOW, NOW + 1000)
    assert times.to_local_clock("a", NOW - 5 * SECOND, NOW) == NOW - 5 * SECOND - 1000
    assert times.to_local_clock("b", NOW - 2 * HOUR, NOW) == NOW - 2 * HOUR - 1000
    assert times.to_local_clock("c", 0, NOW) == 0


@pytest.mark.parametrize("step", [-HOUR, -30 * SECOND, 30 * SECOND, HOUR])
def test_a_start_behind_a_step_is_as_young_as_it_is(step: int) -> None:
    """By the stepped clock it seemed an hour old, or to lie an hour ahead and to stay cold for that long."""
    times = StartTimes()
    assert times.observe(NOW, NOW + step)
    wall = NOW + step
    assert times.to_local_clock("a", wall - 2 * SECOND, NOW) == NOW - 2 * SECOND


@pytest.mark.parametrize("step", [-HOUR, -30 * SECOND, 30 * SECOND, HOUR])
def test_a_start_before_a_step_that_is_told_behind_it_is_as_young_as_it_is(step: int) -> None:
    times = StartTimes()
    assert times.observe(NOW, NOW + step)
    assert times.to_local_clock("a", NOW - 2 * SECOND, NOW) == NOW - 2 * SECOND


def test_what_was_told_keeps_its_age_through_all_steps_and_lists() -> None:
    times = StartTimes()
    first = times.to_local_clock("a", NOW - 5 * SECOND, NOW)
    for number in range(2 * MAX_STEPS_COUNT):
        now = NOW + (number + 1) * SECOND
        assert times.observe(now, now + HOUR * (-1) ** number)
        assert times.to_local_clock("a", NOW - 5 * SECOND, now) == first
    assert times.to_local_clock("a", NOW + HOUR, NOW + 60 * SECOND) != first  # started anew


def test_a_start_ahead_of_all_clocks_is_now() -> None:
    assert StartTimes().to_local_clock("a", NOW + HOUR, NOW) == NOW


def test_news_of_a_start_long_ago_is_by_a_clock_that_is_off() -> None:
    """A process that began behind the step knows only the one anchor."""
    times = StartTimes()
    old = NOW - HOUR
    assert times.to_local_clock("a", old, NOW) == old  # the first list has servers of any age
    times.record_list()
    assert times.to_local_clock("b", old - 1, NOW) == NOW and times.to_local_clock("a", old, NOW) == old
    late = NOW - MAX_REPORT_DELAY_US + 1
    assert times.to_local_clock("c", late, NOW) == late


@pytest.mark.parametrize("step", [-HOUR, -30 * SECOND, 30 * SECOND, HOUR])
def test_a_process_that_begins_behind_a_step_knows_the_anchors_of_those_before_it(
    tmp_path: Path, step: int
) -> None:
    """A start told by the unstepped clock seemed older by the step, and the server warm."""
    first = ClockAnchors(tmp_path / "clock")
    assert first.read() == []
    first.add(5 * SECOND)
    own = 5 * SECOND + step
    times = StartTimes([anchor - own for anchor in ClockAnchors(tmp_path / "clock").read()])
    now = NOW + step  # by its own clock, which is anchored to the stepped one
    assert times.to_local_clock("a", NOW - 2 * SECOND, now) == now - 2 * SECOND


def test_anchors_of_another_boot_half_written_or_unwritable_are_none(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    anchors = ClockAnchors(tmp_path / "clock")
    for anchor in range(MAX_ANCHORS_COUNT + 3):
        anchors.add(-anchor)
    kept = [-anchor for anchor in range(3, MAX_ANCHORS_COUNT + 3)]
    assert anchors.read() == kept
    whole = (tmp_path / "clock").read_bytes()
    (tmp_path / "clock").write_bytes(whole[:-2])
    assert anchors.read() == kept[:-1]
    (tmp_path / "clock").write_bytes(b"other boot\n7\n")
    assert anchors.read() == []
    monkeypatch.setattr(Path, "write_bytes", mock.Mock(side_effect=OSError(28, "")))
    anchors.add(1)
    ClockAnchors(None).add(1)
    assert anchors.read() == ClockAnchors(None).read() == []


@pytest.mark.parametrize("heads", [1, 5, 40])
def test_two_processes_of_a_front_send_a_cold_server_no_more_than_one(heads: int) -> None:
    """Each had its front's whole part, so all fronts in a hand-over sent twice what the server bears."""
    made = {
        "front_count": heads,
        "shard_count": 4,
        "cold_start_units": 200.0,
        "cold_capacity_ratio": 0.2,
        "cold_window_us": 2 * SECOND,
        "warm_up_us": 10 * SECOND,
    }
    alone, beside = (head(T0, up("n0", started=T0), **made) for _ in range(2))
    beside.handle(T0, [ProcessShare(0.5)])
    node, limits = up("n0", started=T0), settings(**made)
    whole = max_window_units(limits, node, T0, alone.directory.traffic_share(0))
    assert 2 * max_window_units(limits, node, T0, beside.directory.traffic_share(0)) <= max(
        whole, 2 * 2 * limits.mean_request_units
    )
    assert beside.directory.traffic_share(0) == alone.directory.traffic_share(0) / 2
