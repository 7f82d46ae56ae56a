"""Mixes of the soak test: how large a run is, which faults it has, how its clients behave. Free of I/O."""

import random
from collections.abc import Sequence
from dataclasses import dataclass

from umberlead.testing.soak.plan import SIGNAL_SERIES, Size, Trouble

DEADLINES_SECONDS = (0.8, 1.5, 2.5, 4.0)  # the longest of a request; SIGKILL follows SIGTERM by it
FLEET_SIZE = Size(fronts=24, nodes=10, clients=6)
FLEET_TROUBLES = (
    Trouble.NODE_KILL,
    Trouble.NODE_KILL,
    Trouble.NODE_DRAIN,
    Trouble.FRONT_RESTART,
    Trouble.FRONT_HANDOVER,
    Trouble.FRONT_RELOAD,
    Trouble.LISTS_RESET,
    Trouble.CLOCK_STEP_ALL,
)
LEAVER_TROUBLES = (Trouble.NODE_HANG, Trouble.NODE_HANG, Trouble.LINK_STALL, Trouble.FRONT_PAUSE)
CROWD_TROUBLES = (Trouble.CROWD, Trouble.CROWD, Trouble.LISTS_SILENT)


@dataclass(frozen=True, slots=True)
class Mix:
    """What sets a run apart from others.

    Attributes:
        name: of the mix.
        size: how many processes it has.
        deadline_seconds: the longest time that a request may take.
        troubles: drawn from; one that is named twice is drawn twice as often.
        impatient: whether most clients leave while their request is open.
    """

    name: str
    size: Size
    deadline_seconds: float
    troubles: tuple[Trouble, ...]
    impatient: bool = False


def mix_of(seed: int, size: Size, troubles: Sequence[Trouble]) -> Mix:
    """Return the mix of a seed: five kinds in turn, each over a drawn deadline.

    Args:
        seed: of the run.
        size: of a run of usual size.
        troubles: those that a run of all faults draws from; the other mixes keep to those among them.
    """
    deadline_seconds = random.Random(f"mix/{seed}").choice(DEADLINES_SECONDS)
    allowed = tuple(troubles)
    everything = Mix("all", size, deadline_seconds, allowed)
    mixes = (
        everything,
        Mix("signals", size, deadline_seconds, (*SIGNAL_SERIES, *SIGNAL_SERIES, *allowed)),
        Mix("crowd", size, deadline_seconds, (*CROWD_TROUBLES, *SIGNAL_SERIES, *allowed)),
        Mix("leavers", size, deadline_seconds, (*LEAVER_TROUBLES, *allowed), impatient=True),
        Mix("fleet", FLEET_SIZE, deadline_seconds, FLEET_TROUBLES),
    )
    mix = mixes[seed % len(mixes)]
    kept = tuple(trouble for trouble in mix.troubles if trouble in allowed)
    return Mix(mix.name, mix.size, mix.deadline_seconds, kept or allowed, mix.impatient)
