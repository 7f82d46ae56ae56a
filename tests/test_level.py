"""The moving average with frequent, rare and missing samples."""

import pytest

from umberlead.scheduling.moving_average import MovingAverage

SMOOTH, MEMORY, MOST = 0.2, 2_000_000, 3.0


def _level(now: int = 0) -> MovingAverage:
    return MovingAverage(now, SMOOTH, MEMORY, MOST, MovingAverage(now, SMOOTH, MEMORY, MOST))


@pytest.mark.parametrize(("every", "learnt"), [(20_000, 0.95), (500_000, 0.75), (2_000_000, 0.7)])
def test_a_slow_server_is_learnt_however_seldom_it_is_seen(every: int, learnt: float) -> None:
    """One of 40 fronts sees a restarted endpoint once in a few seconds (scenario zone+vast). With a fixed
    weight, the mean was 1.7 target latencies where each answer took ten (which count as 3), and the front
    went on sending."""
    level, now = _level(), 0
    for _ in range(30):
        now += every
        level.add(now, 10.0)
    assert level.read(now) >= learnt * MOST


def test_frequent_news_weighs_as_before_and_one_outlier_does_not_carry() -> None:
    level, now = _level(), 0
    for _ in range(200):
        now += 10_000
        level.add(now, 0.5)
    level.add(now + 10_000, 3.0)
    assert level.read(now + 10_000) == pytest.approx(0.5 + SMOOTH * 2.5, abs=0.05)


def test_without_news_it_fades_to_the_fleets_and_that_to_nothing() -> None:
    fleet = MovingAverage(0, SMOOTH, MEMORY, MOST)
    one, other = (MovingAverage(0, SMOOTH, MEMORY, MOST, fleet) for _ in range(2))
    for k in range(100):
        one.add(k * 10_000, 3.0)
        other.add(k * 10_000 + 5_000, 0.5)
    now = 1_000_000
    assert one.read(now) > 2.5 and other.read(now) < 1.0 < fleet.read(now)
    assert one.read(now + 2 * MEMORY) - fleet.read(now + 2 * MEMORY) < 0.4
    assert one.read(now + 20 * MEMORY) < 0.001


def test_news_never_weighs_more_than_all_and_a_clock_that_stands_is_no_harm() -> None:
    level = _level()
    level.add(0, 1.0)
    level.add(0, 1.0)
    assert 0 < level.read(0) <= 1.0
    level.add(1 << 50, 2.0)
    assert level.read(1 << 50) == pytest.approx(2.0)


def test_with_a_fixed_weight_it_would_not_be_learnt() -> None:
    """With a fixed weight of samples, the first test would fail: at one answer in two seconds, the mean
    reaches less than 0.4 of the maximum."""
    mean = 0.0
    for _ in range(30):
        mean = mean * 0.37 + SMOOTH * (MOST - mean * 0.37)
    assert mean < 0.4 * MOST
