"""The units that one front may send to a warming endpoint in a window, served or not, and their sum over
all fronts."""

import math
from dataclasses import replace

import pytest

from tests.helpers import READ, T0, ask, end, feed, head, sends, settings, up
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
START = 1_000_000_000
COLD = {
    "initial_capacity_ratio": 0.2,
    "slow_start_overload_factor": 4.0,
    "slow_start_window_us": WINDOW_US,
    "warm_up_us": WARM_UP_US,
}


def _node() -> Endpoint:
    return Endpoint("n0", EndpointStatus.UP, 0, START)


def _bound_units(s: Settings, age_us: int) -> float:
    n = (
        s.slow_start_units
        / s.mean_request_units
        * (1 + (1 / s.initial_capacity_ratio - 1) * age_us / WARM_UP_US)
    )
    return s.mean_request_units * (n + 2 * math.sqrt(n) + 2)


def test_a_window_holds_what_was_sent_in_it_and_says_when_there_is_room() -> None:
    window = SendWindow(100)
    for at, units in ((0, 2.0), (10, 3.0), (20, 1.0)):
        assert window.available_at(at, units, 6.0) == at
        window.add(at, units)
    assert window.available_at(30, 2.0, 6.0) == 100
    assert window.available_at(30, 2.5, 6.0) == 110
    assert window.available_at(30, 6.0, 6.0) == 120
    assert window.available_at(30, 60.0, 6.0) == 120  # larger than the window: sent when the window is empty
    assert window.available_at(99, 2.0, 6.0) == 100
    assert window.available_at(100, 2.0, 6.0) == 100
    assert window.available_at(500, 60.0, 6.0) == 500


@pytest.mark.parametrize("age", [0, 4_000_000, 15_000_000])
@pytest.mark.parametrize("heads", [1, 5, 10])
def test_even_parts_of_few_heads_stay_below_the_bound(heads: int, age: int) -> None:
    s = settings(slow_start_units=60.0, front_count=heads, **COLD)
    whole = heads * max_window_units(s, _node(), START + age, 1 / heads)
    assert 0.8 * _bound_units(s, age) < whole < 0.9 * _bound_units(s, age)


def test_a_busy_head_has_a_fifth_at_most_and_one_of_many_two_requests() -> None:
    s = settings(slow_start_units=60.0, front_count=10, **COLD)
    even = max_window_units(s, _node(), START, 0.1)
    assert max_window_units(s, _node(), START, 0.15) == pytest.approx(1.5 * even)
    assert max_window_units(s, _node(), START, 0.33) == pytest.approx(2 * even)
    many = settings(slow_start_units=40.0, front_count=200, **COLD)
    assert max_window_units(many, _node(), START, 0.33) == pytest.approx(0.85 * 0.2 * _bound_units(many, 0))
    assert max_window_units(many, _node(), START, 0.005) == MIN_WINDOW_REQUESTS * many.mean_request_units


def _windows(heads: int, cold_units: float, result: AttemptResult) -> list[tuple[float, float]]:
    """Run all fronts under constant load; return the units in the window before each send, and its bound."""
    s = settings(slow_start_units=cold_units, front_count=heads, **COLD)
    began = T0 + WINDOW_US
    made = [
        head(T0, up("n0", started=began - 1), front_count=heads, slow_start_units=cold_units, **COLD)
        for _ in range(heads)
    ]
    sent = list[tuple[int, float]]()
    for at in range(began, began + 2 * WINDOW_US, 20_000):
        for k, h in enumerate(made):
            out = sends(feed(h, at, ask(f"{k}-{at}", at, deadline_us=at + 300_000)))
            while out:
                sent.append((at, s.mean_request_units))
                out += sends(feed(h, at + 5_000, end(out.pop(), result, elapsed=5_000)))
    return [
        (sum(units for t, units in sent if at - WINDOW_US < t <= at), _bound_units(s, at - began))
        for at, _ in sent
    ]


@pytest.mark.parametrize("heads, cold_units", [(1, 12.0), (5, 40.0), (10, 60.0), (30, 90.0)])
@pytest.mark.parametrize("result", [AttemptResult.OK, AttemptResult.REJECTED])
def test_windows_of_heads_that_are_asked_without_end_hold(
    heads: int, cold_units: float, result: AttemptResult
) -> None:
    """The endpoint serves quickly or rejects every request. In both cases, the units that all fronts send
    stay below the bound in the window before every send."""
    windows = _windows(heads, cold_units, result)
    assert windows
    assert all(got <= bound for got, bound in windows), max(got / bound for got, bound in windows)
    if result is AttemptResult.OK:
        assert max(got / bound for got, bound in windows) > 0.6


def test_an_allowance_of_next_to_nothing_is_paced_without_an_error() -> None:
    """`extra.coldUnits` may be the smallest float above 0; a front's share of it rounds to 0."""
    tiny = settings(slow_start_units=5e-324, **COLD)
    assert pacing_delay_us(tiny, _node(), START, 1.0, 0.1) > 0


def test_a_request_that_outlasts_the_warm_up_is_sent_as_the_endpoint_is_warm() -> None:
    """Pacing would send the request many seconds later, and it would be rejected at its objective. So pacing
    ends when the endpoint is warm."""
    now, warm_at = START, START + 1_000_000
    class_ = replace(READ, latency_objective_us=5_000_000, timeout_us=5_000_000)
    cold = {**COLD, "slow_start_units": 1.0, "front_count": 200}
    made = head(now, up("n0", started=warm_at - WARM_UP_US), classes=(class_,), **cold)
    assert not sends(feed(made, now, ask("r", now, deadline_us=now + 5_000_000)))
    sent = [at for at in range(now + 100_000, now + 6_000_000, 100_000) if sends(feed(made, at))]
    assert sent == [warm_at]
