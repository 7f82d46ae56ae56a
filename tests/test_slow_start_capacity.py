"""An endpoint during slow start: its capacity, and the load from all fronts together."""

import pytest

from benchmarks.cold_ramp import play
from tests.helpers import settings
from umberlead.scheduling.events import Endpoint, EndpointStatus
from umberlead.scheduling.slow_start import SERVED_IN_TIME_RATIO, available_capacity_ratio, pacing_delay_us

SETTINGS = settings(
    slow_start_units=14.0,
    initial_capacity_ratio=0.17,
    slow_start_overload_factor=4.0,
    slow_start_window_us=3_000_000,
    warm_up_us=16_000_000,
)
START_US = 1_000_000_000


def _endpoint(started_us: int = START_US) -> Endpoint:
    return Endpoint("n", EndpointStatus.UP, 0, started_us)


def test_capacity_grows_linearly_from_the_initial_ratio_to_one() -> None:
    assert available_capacity_ratio(SETTINGS, _endpoint(), START_US) == pytest.approx(0.17)
    assert available_capacity_ratio(SETTINGS, _endpoint(), START_US + 8_000_000) == pytest.approx(0.585)
    assert (
        available_capacity_ratio(SETTINGS, _endpoint(), START_US + 16_000_000)
        == available_capacity_ratio(SETTINGS, _endpoint(0), START_US)
        == 1.0
    )
    # The clock of the list may be ahead.
    assert available_capacity_ratio(SETTINGS, _endpoint(), START_US - 5_000_000) == pytest.approx(0.17)
    assert available_capacity_ratio(settings(), _endpoint(), START_US) == 1.0  # no slow start in the settings


@pytest.mark.parametrize("age_us", [0, 4_000_000, 12_000_000])
@pytest.mark.parametrize("front_shares", [[1 / 40] * 40, [0.3, 0.3, 0.2, 0.1, 0.1], [1.0]])
def test_load_of_all_fronts_stays_below_the_capacity_at_each_age(
    age_us: int, front_shares: list[float]
) -> None:
    """An endpoint serves 18 units per second at full capacity (as in scenario zone+vast). At each age, the
    load from all fronts is at most nine tenths of the capacity at that time. The whole load that a cold
    endpoint can take would be one and a half times that capacity."""
    now_us, full_rate = START_US + age_us, 18.0
    total_rate = sum(
        1 / (pacing_delay_us(SETTINGS, _endpoint(), now_us, 1.0, front_share) / 1e6)
        for front_share in front_shares
    )
    max_rate = 14.0 / 3 * available_capacity_ratio(SETTINGS, _endpoint(), now_us) / 0.17
    assert total_rate == pytest.approx(
        SERVED_IN_TIME_RATIO * max_rate
    ) and total_rate < full_rate * available_capacity_ratio(SETTINGS, _endpoint(), now_us)
    assert max_rate > full_rate * available_capacity_ratio(SETTINGS, _endpoint(), now_us)


def test_warm_endpoint_is_not_paced_and_pacing_is_linear_in_units() -> None:
    assert pacing_delay_us(SETTINGS, _endpoint(), START_US + 16_000_000, 6.0, 0.025) == 0.0
    assert pacing_delay_us(SETTINGS, _endpoint(), START_US, 6.0, 0.1) == pytest.approx(
        6 * pacing_delay_us(SETTINGS, _endpoint(), START_US, 1.0, 0.1)
    )


def test_cold_endpoints_are_not_overloaded_by_all_processes_together() -> None:
    """The real schedulers of ten processes over 20 emulated endpoint starts, from benchmarks/cold_ramp.py. If
    a served request gets all of its pacing charge back, 5 of 20 endpoints are sent more than the bound on
    these two days."""
    windows = play(10, 20)
    assert windows.fell[1] == 0, windows
    assert windows.in_time > 0.4 * windows.bearable, windows
