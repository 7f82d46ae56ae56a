"""A chunk server after its start: what it has, and what all fronts together ask of it."""

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
    )  # the lists' clock may be ahead
    assert available_capacity_ratio(settings(), _node(), START) == 1.0  # where nothing is told of cold nodes


@pytest.mark.parametrize("age", [0, 4_000_000, 12_000_000])
@pytest.mark.parametrize("parts", [[1 / 40] * 40, [0.3, 0.3, 0.2, 0.1, 0.1], [1.0]])
def test_all_heads_together_ask_for_less_than_it_bears_and_no_more_than_it_serves(
    age: int, parts: list[float]
) -> None:
    """A node of 18 units a second at full power, as on zone+vast: at each age the heads' sum is at most nine
    tenths of what it can do, where the whole of what it bears would be one and a half times that."""
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
    """Real heads over emulated servers, as benchmarks/cold_ramp.py has them: two days of ten processes, on
    which 5 of 20 servers were sent more than the budget and chance, as serving gave all of it back."""
    got = play(10, 20)
    assert got.fell[1] == 0, got
    assert got.in_time > 0.4 * got.bearable, got
