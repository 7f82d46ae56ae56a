"""An exponentially weighted moving average over samples that come irregularly."""

import math


class MovingAverage:
    """A mean that decays, while no sample comes, to that of a fallback, else to nothing.

    A sample weighs `sample_weight` where samples are frequent. Where they are rare it weighs more, as the
    mean has decayed since the last: one of many fronts that sees an endpoint once in two seconds would else
    never learn that it is slow. It weighs what decays in half the time since the last sample; all of it would
    let single answers dominate.

    Attributes:
        mean: at `updated_us`.
        updated_us: when the last sample came.
        fallback: an average over more sources, which gets the samples too.
        sample_weight: least weight of a sample, to 1.
        memory_us: time constant of the decay.
        max_sample: what one sample counts for at most.
    """

    __slots__ = ("fallback", "max_sample", "mean", "memory_us", "sample_weight", "updated_us")

    def __init__(
        self,
        now_us: int,
        sample_weight: float,
        memory_us: int,
        max_sample: float,
        fallback: "MovingAverage | None" = None,
    ) -> None:
        """Begin at the fallback's mean, else at nothing."""
        self.mean = fallback.read(now_us) if fallback else 0.0
        self.updated_us = now_us
        self.fallback = fallback
        self.sample_weight = sample_weight
        self.memory_us = memory_us
        self.max_sample = max_sample

    def read(self, now_us: int) -> float:
        """Return the mean as it has decayed by now."""
        fallback_mean = self.fallback.read(now_us) if self.fallback else 0.0
        decay = math.exp((self.updated_us - now_us) / self.memory_us)
        return fallback_mean + (self.mean - fallback_mean) * decay

    def add(self, now_us: int, sample: float) -> None:
        """Take a sample."""
        if self.fallback:
            self.fallback.add(now_us, sample)
        decayed_mean = self.read(now_us)
        decayed_ratio = 1 - math.exp((self.updated_us - now_us) / (2 * self.memory_us))
        weight = max(self.sample_weight, decayed_ratio)
        self.mean = decayed_mean + weight * (min(sample, self.max_sample) - decayed_mean)
        self.updated_us = now_us
