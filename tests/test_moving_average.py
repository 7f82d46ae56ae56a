"""The moving average with frequent, rare and missing samples."""

import pytest

from umberlead.scheduling.moving_average import MovingAverage

SAMPLE_WEIGHT, MEMORY_US, MAX_SAMPLE = 0.2, 2_000_000, 3.0


def _average(now_us: int = 0) -> MovingAverage:
    return MovingAverage(
        now_us,
        SAMPLE_WEIGHT,
        MEMORY_US,
        MAX_SAMPLE,
        MovingAverage(now_us, SAMPLE_WEIGHT, MEMORY_US, MAX_SAMPLE),
    )


@pytest.mark.parametrize(("interval_us", "min_ratio"), [(20_000, 0.95), (500_000, 0.75), (2_000_000, 0.7)])
def test_slow_endpoint_is_detected_from_rare_samples(interval_us: int, min_ratio: float) -> None:
    """One of 40 fronts sees a restarted endpoint once in a few seconds (scenario zone+vast). With a fixed
    weight, the mean is 1.7 target latencies where each answer takes ten (which count as 3), and the front
    goes on sending."""
    average, now_us = _average(), 0
    for _ in range(30):
        now_us += interval_us
        average.add(now_us, 10.0)
    assert average.read(now_us) >= min_ratio * MAX_SAMPLE


def test_frequent_samples_have_the_fixed_weight_and_one_outlier_does_not_dominate() -> None:
    average, now_us = _average(), 0
    for _ in range(200):
        now_us += 10_000
        average.add(now_us, 0.5)
    average.add(now_us + 10_000, 3.0)
    assert average.read(now_us + 10_000) == pytest.approx(0.5 + SAMPLE_WEIGHT * 2.5, abs=0.05)


def test_mean_without_samples_decays_to_the_fallback_and_that_to_zero() -> None:
    fleet = MovingAverage(0, SAMPLE_WEIGHT, MEMORY_US, MAX_SAMPLE)
    slow, fast = (MovingAverage(0, SAMPLE_WEIGHT, MEMORY_US, MAX_SAMPLE, fleet) for _ in range(2))
    for k in range(100):
        slow.add(k * 10_000, 3.0)
        fast.add(k * 10_000 + 5_000, 0.5)
    now_us = 1_000_000
    assert slow.read(now_us) > 2.5 and fast.read(now_us) < 1.0 < fleet.read(now_us)
    assert slow.read(now_us + 2 * MEMORY_US) - fleet.read(now_us + 2 * MEMORY_US) < 0.4
    assert slow.read(now_us + 20 * MEMORY_US) < 0.001


def test_sample_weight_is_at_most_one_and_equal_times_are_allowed() -> None:
    average = _average()
    average.add(0, 1.0)
    average.add(0, 1.0)
    assert 0 < average.read(0) <= 1.0
    average.add(1 << 50, 2.0)
    assert average.read(1 << 50) == pytest.approx(2.0)


def test_fixed_sample_weight_would_miss_a_slow_endpoint() -> None:
    """With a fixed weight of samples, the first test would fail: at one answer in two seconds, the mean
    reaches less than 0.4 of the maximum."""
    mean = 0.0
    for _ in range(30):
        mean = mean * 0.37 + SAMPLE_WEIGHT * (MAX_SAMPLE - mean * 0.37)
    assert mean < 0.4 * MAX_SAMPLE
