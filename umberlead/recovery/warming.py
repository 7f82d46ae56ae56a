"""How much of its capacity a chunk server has after a start, and what each process may send there.

It falls by the sum of what all processes send, served or not: where N requests of mean work are what the
settings allow in a window (`cold_units` at the start, growing as slowly as a server may warm up),
2 root N + 2 more are put down to chance. No process sees what the others send. So each has a part, all parts
are about one, and a part is sent evenly from a first moment that is drawn."""

import math

from umberlead.core import interface as api

SERVED = 0.6  # of what a cold node always bears: that keeps it up, this much it also serves in time
LEAST = 0.02  # a cold share below that is taken for that
SURE = 3.5  # standard deviations between the mean of a window and the bound
BUSY = 1.5  # most that a head takes over the even part among those that ask there
EVEN = 0.5  # variance, in squared requests, that one evenly spaced sender has in a window at most
ROUGH = 0.1  # variance a request of its work against its units
PRIOR = 0.1  # units that a head counts as asked of every shard before it has seen any


def _grown(s: api.Settings, node: api.Node, at: float) -> tuple[float, float]:
    """The capacity at `at` over that of the start, and how much that gains a us."""
    per = (1 / max(s.cold_share, LEAST) - 1) / max(s.warm_up, 1)
    return 1 + per * max(at - node.started, 0), per


def warm(s: api.Settings, node: api.Node, now: int) -> float:
    """The part of its capacity, to 1, that `node` is sure to have at `now` (us)."""
    if node.started <= 0 or now - node.started >= s.warm_up or s.cold_units <= 0:
        return 1.0
    return max(s.cold_share, LEAST) * _grown(s, node, now)[0]


def rest(s: api.Settings, node: api.Node, at: float, units: float, rate: float) -> float:
    """How long from `at` (us) `units` take at the part `rate` of what the settings allow all heads in a
    window, which grows meanwhile; at most until the node is warm, 0 of a warm one."""
    left = node.started + s.warm_up - at
    if node.started <= 0 or left <= 0 or s.cold_units <= 0:
        return 0.0
    has, per = _grown(s, node, at)
    cost = units * s.cold_window / (s.cold_units * rate)  # at the start's pace
    return min(2 * cost / (has + math.sqrt(has * has + 2 * per * cost)), left)


def most(s: api.Settings, node: api.Node, at: float) -> float:
    """The part of N that all heads may send in the mean, if each uses its own part whole.

    Few heads send evenly, each at its pace: what chance adds is bounded by their number, and they may take
    the rest up to the bound. Many send as chance has it, and have N: they were seen to use half of that."""
    if s.cold_units <= 0:
        return 1.0
    n = s.cold_units * _grown(s, node, at)[0] / s.mean_units
    bound = n + 2 * math.sqrt(n) + 2
    return max(1.0, (bound - SURE * math.sqrt(EVEN * s.heads + ROUGH * n)) / n)


class Asked:
    """Units that a head was asked for of late, by shard."""

    def __init__(self) -> None:
        self.units: dict[int, float] = {}
        self.sum = 0.0

    def add(self, shard: int, units: float) -> None:
        self.units[shard] = self.units.get(shard, 0.0) + units
        self.sum += units

    def fade(self) -> None:
        self.units = {k: units / 2 for k, units in self.units.items() if units > PRIOR}
        self.sum = sum(self.units.values())

    def part(self, s: api.Settings, shard: int) -> float:
        """This head's part, 0 to 1, of what all may send to a shard's warming server: its own share of units
        that go there, over the even share, is the head's even part in the mean of all. Who seldom asks leaves
        its part to others. Where one shard is asked much of by all, all have a large share: so none takes
        much over the even part among those that ask there, counted as if all used as many shards as this
        head does."""
        if not 0 <= shard < s.shards:
            return 1 / s.heads
        share = (self.units.get(shard, 0.0) + PRIOR) / (self.sum + PRIOR * s.shards)
        usual = BUSY / max(len(self.units), 1)
        return min(max(min(share, usual) * s.shards, 1 / s.heads) / s.heads, 1.0)
