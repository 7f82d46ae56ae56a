"""A mean of what was seen, over seen times that come as they come: many a second, or one in some seconds."""

import math


class MovingAverage:
    """A mean of answers' time over target that fades, with no news, to that of `base`, else to nothing.

    News weighs `smooth` where it comes often. Where it comes seldom it weighs more, as the last has faded:
    one of 40 fronts that sees a server once in two seconds would else never learn that it is slow, for what
    it learnt of one answer is gone with the next. It weighs what fades in half the time since: all of it made
    single answers carry (lbsim quick 0.765 for 0.774). `memory` is in us, `most` bounds what
    one answer counts."""

    def __init__(
        self, now: int, smooth: float, memory: int, most: float, base: "MovingAverage | None" = None
    ) -> None:
        self.mean, self.updated_us, self.fallback = base.read(now) if base else 0.0, now, base
        self.sample_weight, self.memory_us, self.max_sample = smooth, memory, most

    def read(self, now: int) -> float:
        base = self.fallback.read(now) if self.fallback else 0.0
        return base + (self.mean - base) * math.exp((self.updated_us - now) / self.memory_us)

    def add(self, now: int, news: float) -> None:
        if self.fallback:
            self.fallback.add(now, news)
        old = self.read(now)
        weight = max(self.sample_weight, 1 - math.exp((self.updated_us - now) / (2 * self.memory_us)))
        self.mean, self.updated_us = old + weight * (min(news, self.max_sample) - old), now
