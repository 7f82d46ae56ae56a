"""How much of its capacity a chunk server has after a start, and what all fronts together may ask of it."""

from umberlead.scheduling import interface as api

SERVED = 0.6  # of what a cold node always bears: that keeps it up, this much it also serves in time
LEAST = 0.02  # a cold share below that is taken for that


def warm(s: api.Settings, node: api.Node, now: int) -> float:
    """The part of its capacity, to 1, that `node` is sure to have at `now` (us)."""
    age = now - node.started
    if node.started <= 0 or age >= s.warm_up or s.cold_units <= 0:
        return 1.0
    low = max(s.cold_share, LEAST)
    return low + (1 - low) * max(age, 0) / s.warm_up


def grown(s: api.Settings, node: api.Node, now: int) -> float:
    """The capacity that `node` is sure to have at `now` (us), over that of its start."""
    return warm(s, node, now) / max(s.cold_share, LEAST)


def rest(s: api.Settings, node: api.Node, now: int, units: float, part: float) -> float:
    """How long (us) `units` take of the `part` that one head has of a warming node; 0 of a warm one.

    All heads may ask for what the node always bears in a window, less what it would not serve in time; that
    grows as slowly as a node may warm up."""
    if warm(s, node, now) == 1:
        return 0.0
    return units * s.cold_window / (SERVED * s.cold_units * grown(s, node, now) * part)
