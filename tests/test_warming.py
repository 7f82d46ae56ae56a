"""An endpoint during slow start: its capacity, and the load from all fronts together."""

import pytest

from benchmarks.cold_ramp import play
from tests.helpers import settings
from umberlead.scheduling.events import Endpoint, EndpointStatus
from umberlead.scheduling.slow_start import SERVED_IN_TIME_RATIO, available_capacity_ratio, pacing_delay_us

S = settings(
    slow_start_units=14.0,
    initial_capacity_ratio=0.17,
    slow_start_overload_factor=4.0,
    slow_start_window_us=3_000_000,
    warm_up_us=16_000_000,
)
START = 1_000_000_000


def _node(started: int = START) -> Endpoint:
    return Endpoint("n", EndpointStatus.UP, 0, started)


def test_capacity_grows_evenly_from_the_cold_share_and_is_whole_for_who_started_long_ago() -> None:
    assert available_capacity_ratio(S, _node(), START) == pytest.approx(0.17)
    assert available_capacity_ratio(S, _node(), START + 8_000_000) == pytest.approx(0.585)
    assert (
        available_capacity_ratio(S, _node(), START + 16_000_000)
        == available_capacity_ratio(S, _node(0), START)
        == 1.0
    )
    assert available_capacity_ratio(S, _node(), START - 5_000_000) == pytest.approx(
        0.17
    )  # the clock of the list may be ahead
    assert available_capacity_ratio(settings(), _node(), START) == 1.0  # no slow start in the settings


@pytest.mark.parametrize("age", [0, 4_000_000, 12_000_000])
@pytest.mark.parametrize("parts", [[1 / 40] * 40, [0.3, 0.3, 0.2, 0.1, 0.1], [1.0]])
def test_all_heads_together_ask_for_less_than_it_bears_and_no_more_than_it_serves(
    age: int, parts: list[float]
) -> None:
    """An endpoint serves 18 units per second at full capacity (as in scenario zone+vast). At each age, the
    load from all fronts is at most nine tenths of the capacity at that time. The whole load that a cold
    endpoint can take would be one and a half times that capacity."""
    now, full = START + age, 18.0
    rate = sum(1 / (pacing_delay_us(S, _node(), now, 1.0, part) / 1e6) for part in parts)
    bears = 14.0 / 3 * available_capacity_ratio(S, _node(), now) / 0.17
    assert rate == pytest.approx(SERVED_IN_TIME_RATIO * bears) and rate < full * available_capacity_ratio(
        S, _node(), now
    )
    assert bears > full * available_capacity_ratio(S, _node(), now)


def test_a_warm_node_rests_for_nobody_and_units_add_up() -> None:
    assert pacing_delay_us(S, _node(), START + 16_000_000, 6.0, 0.025) == 0.0
    assert pacing_delay_us(S, _node(), START, 6.0, 0.1) == pytest.approx(
        6 * pacing_delay_us(S, _node(), START, 1.0, 0.1)
    )


def test_cold_servers_hold_under_the_sum_of_all_processes() -> None:
    """The real schedulers of ten processes over 20 emulated endpoint starts, from benchmarks/cold_ramp.py. On
    the same two days, 5 of 20 endpoints were sent more than the bound when a served request got all of its
    pacing charge back."""
    got = play(10, 20)
    assert got.fell[1] == 0, got
    assert got.in_time > 0.4 * got.bearable, got
