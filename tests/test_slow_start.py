"""The units that one front may send to a warming endpoint in a window, served or not, and their sum over
all fronts."""

import math
from dataclasses import replace

import pytest

from tests.helpers import (
    READ_CLASS,
    T0,
    handle_events,
    new_outcome,
    new_request,
    new_scheduler,
    sent_request_ids,
    settings,
    up_endpoint,
)
from umberlead.scheduling.events import AttemptResult, Endpoint, EndpointStatus
from umberlead.scheduling.settings import Settings
from umberlead.scheduling.slow_start import (
    MIN_WINDOW_REQUESTS,
    SendWindow,
    max_window_units,
    pacing_delay_us,
)

WINDOW_US = 3_000_000
WARM_UP_US = 16_000_000
START_US = 1_000_000_000
COLD = {
    "initial_capacity_ratio": 0.2,
    "slow_start_overload_factor": 4.0,
    "slow_start_window_us": WINDOW_US,
    "warm_up_us": WARM_UP_US,
}


def _endpoint() -> Endpoint:
    return Endpoint("n0", EndpointStatus.UP, 0, START_US)


def _bound_units(cold_settings: Settings, age_us: int) -> float:
    allowed_requests = (
        cold_settings.slow_start_units
        / cold_settings.mean_request_units
        * (1 + (1 / cold_settings.initial_capacity_ratio - 1) * age_us / WARM_UP_US)
    )
    return cold_settings.mean_request_units * (allowed_requests + 2 * math.sqrt(allowed_requests) + 2)


def test_send_window_returns_when_units_fit() -> None:
    window = SendWindow(100)
    for now_us, units in ((0, 2.0), (10, 3.0), (20, 1.0)):
        assert window.available_at(now_us, units, 6.0) == now_us
        window.add(now_us, units)
    assert window.available_at(30, 2.0, 6.0) == 100
    assert window.available_at(30, 2.5, 6.0) == 110
    assert window.available_at(30, 6.0, 6.0) == 120
    assert window.available_at(30, 60.0, 6.0) == 120  # larger than the window: sent when the window is empty
    assert window.available_at(99, 2.0, 6.0) == 100
    assert window.available_at(100, 2.0, 6.0) == 100
    assert window.available_at(500, 60.0, 6.0) == 500


@pytest.mark.parametrize("age_us", [0, 4_000_000, 15_000_000])
@pytest.mark.parametrize("fronts", [1, 5, 10])
def test_even_shares_of_few_fronts_add_up_to_less_than_the_bound(fronts: int, age_us: int) -> None:
    cold_settings = settings(slow_start_units=60.0, front_count=fronts, **COLD)
    total_units = fronts * max_window_units(cold_settings, _endpoint(), START_US + age_us, 1 / fronts)
    assert 0.8 * _bound_units(cold_settings, age_us) < total_units < 0.9 * _bound_units(cold_settings, age_us)


def test_busy_front_gets_at_most_a_fifth_and_one_of_many_gets_two_requests() -> None:
    cold_settings = settings(slow_start_units=60.0, front_count=10, **COLD)
    even_units = max_window_units(cold_settings, _endpoint(), START_US, 0.1)
    assert max_window_units(cold_settings, _endpoint(), START_US, 0.15) == pytest.approx(1.5 * even_units)
    assert max_window_units(cold_settings, _endpoint(), START_US, 0.33) == pytest.approx(2 * even_units)
    many_fronts = settings(slow_start_units=40.0, front_count=200, **COLD)
    assert max_window_units(many_fronts, _endpoint(), START_US, 0.33) == pytest.approx(
        0.85 * 0.2 * _bound_units(many_fronts, 0)
    )
    assert (
        max_window_units(many_fronts, _endpoint(), START_US, 0.005)
        == MIN_WINDOW_REQUESTS * many_fronts.mean_request_units
    )


def _window_loads(fronts: int, cold_units: float, result: AttemptResult) -> list[tuple[float, float]]:
    """Run all fronts under constant load; return the units in the window before each send, and its bound."""
    cold_settings = settings(slow_start_units=cold_units, front_count=fronts, **COLD)
    start_us = T0 + WINDOW_US
    schedulers = [
        new_scheduler(
            T0,
            up_endpoint("n0", started_us=start_us - 1),
            front_count=fronts,
            slow_start_units=cold_units,
            **COLD,
        )
        for _ in range(fronts)
    ]
    sent = list[tuple[int, float]]()
    for now_us in range(start_us, start_us + 2 * WINDOW_US, 20_000):
        for k, scheduler in enumerate(schedulers):
            sent_ids = sent_request_ids(
                handle_events(
                    scheduler, now_us, new_request(f"{k}-{now_us}", now_us, deadline_us=now_us + 300_000)
                )
            )
            while sent_ids:
                sent.append((now_us, cold_settings.mean_request_units))
                sent_ids += sent_request_ids(
                    handle_events(
                        scheduler, now_us + 5_000, new_outcome(sent_ids.pop(), result, elapsed_us=5_000)
                    )
                )
    return [
        (
            sum(units for sent_us, units in sent if now_us - WINDOW_US < sent_us <= now_us),
            _bound_units(cold_settings, now_us - start_us),
        )
        for now_us, _ in sent
    ]


@pytest.mark.parametrize("fronts, cold_units", [(1, 12.0), (5, 40.0), (10, 60.0), (30, 90.0)])
@pytest.mark.parametrize("result", [AttemptResult.OK, AttemptResult.REJECTED])
def test_windows_of_fronts_under_constant_load_stay_below_the_bound(
    fronts: int, cold_units: float, result: AttemptResult
) -> None:
    """The endpoint serves quickly or rejects every request. In both cases, the units that all fronts send
    stay below the bound in the window before every send."""
    loads = _window_loads(fronts, cold_units, result)
    assert loads
    assert all(units <= bound_units for units, bound_units in loads), max(
        units / bound_units for units, bound_units in loads
    )
    if result is AttemptResult.OK:
        assert max(units / bound_units for units, bound_units in loads) > 0.6


def test_tiny_slow_start_units_are_paced_without_an_error() -> None:
    """`extra.coldUnits` may be the smallest float above 0; a front's share of it rounds to 0."""
    tiny_units = settings(slow_start_units=5e-324, **COLD)
    assert pacing_delay_us(tiny_units, _endpoint(), START_US, 1.0, 0.1) > 0


def test_waiting_request_is_sent_when_the_endpoint_is_warm() -> None:
    """Pacing would send the request many seconds later, and it would be rejected at its objective. So pacing
    ends when the endpoint is warm."""
    now_us, warm_at_us = START_US, START_US + 1_000_000
    long_class = replace(READ_CLASS, latency_objective_us=5_000_000, timeout_us=5_000_000)
    cold = {**COLD, "slow_start_units": 1.0, "front_count": 200}
    scheduler = new_scheduler(
        now_us, up_endpoint("n0", started_us=warm_at_us - WARM_UP_US), classes=(long_class,), **cold
    )
    assert not sent_request_ids(
        handle_events(scheduler, now_us, new_request("r", now_us, deadline_us=now_us + 5_000_000))
    )
    sent_us = [
        later_us
        for later_us in range(now_us + 100_000, now_us + 6_000_000, 100_000)
        if sent_request_ids(handle_events(scheduler, later_us))
    ]
    assert sent_us == [warm_at_us]
