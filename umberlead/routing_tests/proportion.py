"""Decides from a sample whether a share lies within a tolerance of the expected value."""

from dataclasses import dataclass
from enum import Enum

from scipy.stats import binomtest

CONFIDENCE_PROBABILITY = (
    0.99  # one interval in a hundred misses the true share; with a fixed seed such a miss is repeated
)


class Judged(Enum):
    """Position of the confidence interval relative to the tolerated range."""

    INSIDE = "inside"
    OUTSIDE = "outside"
    UNDECIDED = "untold"


@dataclass(frozen=True, slots=True)
class Share:
    """A measured share with its confidence interval."""

    judged: Judged
    measured: float
    low: float
    high: float
    sample_count: int

    def describe(self) -> str:
        """The share, the sample size and the interval as text."""
        interval = f"interval {self.low:.2%} to {self.high:.2%}"
        return f"measured {self.measured:.2%} of {self.sample_count} ({interval})"


def judge(hits: int, sample: int, want: float, tolerance: float) -> Share:
    """Compares the Wilson score interval of a sample with `want` plus or minus `tolerance`.

    The interval lies inside or outside of that range, or overlaps its edge; then the result is undecided, and
    more requests or a wider tolerance are needed.
    """
    if not sample:
        return Share(Judged.UNDECIDED, 0.0, 0.0, 1.0, 0)
    found = binomtest(hits, sample).proportion_ci(CONFIDENCE_PROBABILITY, "wilson")
    low = float(found.low)
    high = float(found.high)
    if want - tolerance <= low and high <= want + tolerance:
        judged = Judged.INSIDE
    elif high < want - tolerance or low > want + tolerance:
        judged = Judged.OUTSIDE
    else:
        judged = Judged.UNDECIDED
    return Share(judged, hits / sample, low, high, sample)


def required_sample_count(want: float, tolerance: float) -> int:
    """About how many requests it takes to confirm a share that is exactly `want`, within `tolerance`."""
    low = 1
    high = 1
    while judge(round(want * high), high, want, tolerance).judged is not Judged.INSIDE and high < 1 << 24:
        low = high
        high = high * 2
    while low + 1 < high:
        middle = (low + high) // 2
        inside = judge(round(want * middle), middle, want, tolerance).judged is Judged.INSIDE
        low, high = (low, middle) if inside else (middle, high)
    return high
