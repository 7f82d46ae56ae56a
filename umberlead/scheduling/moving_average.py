"""An exponentially weighted moving average of samples at irregular times."""

import math


class MovingAverage:
    """A mean that decays to the mean of a fallback, or to 0, while there are no samples.

    If samples are frequent, each has the weight `sample_weight`. If they are rare, the weight is higher,
    because the mean decays between them: with a fixed weight, one of many fronts that sees an endpoint once
    in two seconds would never notice that it is slow. The higher weight is the part of the mean that decays
    in half the time since the last sample. For the full time, single samples would dominate.

    Attributes:
        mean: mean at `updated_us`.
        updated_us: time of the last sample.
        fallback: an average over more sources, which is given the samples too.
        sample_weight: minimum weight of a sample, up to 1.
        memory_us: time constant of the decay.
        max_sample: larger samples count as this value.
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
        """Create an average that starts at the fallback's mean, or at 0."""
        self.mean = fallback.read(now_us) if fallback else 0.0
        self.updated_us = now_us
        self.fallback = fallback
        self.sample_weight = sample_weight
        self.memory_us = memory_us
        self.max_sample = max_sample

    def read(self, now_us: int) -> float:
        """Return the mean, decayed up to `now_us`."""
        fallback_mean = self.fallback.read(now_us) if self.fallback else 0.0
        decay = math.exp((self.updated_us - now_us) / self.memory_us)
        return fallback_mean + (self.mean - fallback_mean) * decay

    def add(self, now_us: int, sample: float) -> None:
        """Add a sample to the mean."""
        if self.fallback:
            self.fallback.add(now_us, sample)
        decayed_mean = self.read(now_us)
        decayed_ratio = 1 - math.exp((self.updated_us - now_us) / (2 * self.memory_us))
        weight = max(self.sample_weight, decayed_ratio)
        self.mean = decayed_mean + weight * (min(sample, self.max_sample) - decayed_mean)
        self.updated_us = now_us
