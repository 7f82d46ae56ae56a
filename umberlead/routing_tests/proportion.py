"""Decides from a sample whether a share lies within a tolerance of the expected value."""

from dataclasses import dataclass
from enum import Enum

from scipy.stats import binomtest

CONFIDENCE_PROBABILITY = (
    0.99  # one interval in a hundred misses the true share; with a fixed seed such a miss is repeated
)


class IntervalPosition(Enum):
    """Position of the confidence interval relative to the tolerated range."""

    INSIDE = "inside"
    OUTSIDE = "outside"
    UNDECIDED = "untold"


@dataclass(frozen=True, slots=True)
class MeasuredShare:
    """A measured share with its confidence interval."""

    position: IntervalPosition
    measured: float
    low: float
    high: float
    sample_count: int

    def describe(self) -> str:
        """The share, the sample size and the interval as text."""
        interval = f"interval {self.low:.2%} to {self.high:.2%}"
        return f"measured {self.measured:.2%} of {self.sample_count} ({interval})"


def measure_share(hit_count: int, sample_count: int, expected: float, tolerance: float) -> MeasuredShare:
    """Compares the Wilson score interval of a sample with `expected` plus or minus `tolerance`.

    The interval lies inside or outside of that range, or overlaps its edge; then the result is undecided, and
    more requests or a wider tolerance are needed.
    """
    if not sample_count:
        return MeasuredShare(IntervalPosition.UNDECIDED, 0.0, 0.0, 1.0, 0)
    interval = binomtest(hit_count, sample_count).proportion_ci(CONFIDENCE_PROBABILITY, "wilson")
    low = float(interval.low)
    high = float(interval.high)
    if expected - tolerance <= low and high <= expected + tolerance:
        position = IntervalPosition.INSIDE
    elif high < expected - tolerance or low > expected + tolerance:
        position = IntervalPosition.OUTSIDE
    else:
        position = IntervalPosition.UNDECIDED
    return MeasuredShare(position, hit_count / sample_count, low, high, sample_count)


def required_sample_count(expected: float, tolerance: float) -> int:
    """About how many requests it takes to confirm a share that is exactly `expected`, within `tolerance`."""
    low = 1
    high = 1
    while (
        measure_share(round(expected * high), high, expected, tolerance).position
        is not IntervalPosition.INSIDE
        and high < 1 << 24
    ):
        low = high
        high = high * 2
    while low + 1 < high:
        middle = (low + high) // 2
        inside = (
            measure_share(round(expected * middle), middle, expected, tolerance).position
            is IntervalPosition.INSIDE
        )
        low, high = (low, middle) if inside else (middle, high)
    return high
