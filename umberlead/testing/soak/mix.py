"""Mixes of the soak test: how large a run is, which faults it has, how its clients behave. Free of I/O."""

import random
from collections.abc import Sequence
from dataclasses import dataclass

from umberlead.testing.soak.plan import SIGNAL_SERIES, Fault, Size

DEADLINES_SECONDS = (0.8, 1.5, 2.5, 4.0)  # the longest of a request; SIGKILL follows SIGTERM by it
FLEET_SIZE = Size(fronts=24, nodes=10, clients=6)
FLEET_FAULTS = (
    Fault.NODE_KILL,
    Fault.NODE_KILL,
    Fault.NODE_DRAIN,
    Fault.FRONT_RESTART,
    Fault.FRONT_HANDOVER,
    Fault.FRONT_RELOAD,
    Fault.LISTS_RESET,
    Fault.CLOCK_STEP_ALL,
)
LEAVER_FAULTS = (Fault.NODE_HANG, Fault.NODE_HANG, Fault.LINK_STALL, Fault.FRONT_PAUSE)
CROWD_FAULTS = (Fault.CROWD, Fault.CROWD, Fault.LISTS_SILENT)


@dataclass(frozen=True, slots=True)
class Mix:
    """What sets a run apart from others.

    Attributes:
        name: of the mix.
        size: how many processes it has.
        deadline_seconds: the longest time that a request may take.
        faults: drawn from; one that is named twice is drawn twice as often.
        impatient: whether most clients leave while their request is open.
    """

    name: str
    size: Size
    deadline_seconds: float
    faults: tuple[Fault, ...]
    impatient: bool = False


def mix_of(seed: int, size: Size, faults: Sequence[Fault]) -> Mix:
    """Return the mix of a seed: five kinds in turn, each over a drawn deadline.

    Args:
        seed: of the run.
        size: of a run of usual size.
        faults: those that a run of all faults draws from; the other mixes keep to those among them.
    """
    deadline_seconds = random.Random(f"mix/{seed}").choice(DEADLINES_SECONDS)
    allowed = tuple(faults)
    everything = Mix("all", size, deadline_seconds, allowed)
    mixes = (
        everything,
        Mix("signals", size, deadline_seconds, (*SIGNAL_SERIES, *SIGNAL_SERIES, *allowed)),
        Mix("crowd", size, deadline_seconds, (*CROWD_FAULTS, *SIGNAL_SERIES, *allowed)),
        Mix("leavers", size, deadline_seconds, (*LEAVER_FAULTS, *allowed), impatient=True),
        Mix("fleet", FLEET_SIZE, deadline_seconds, FLEET_FAULTS),
    )
    mix = mixes[seed % len(mixes)]
    kept = tuple(fault for fault in mix.faults if fault in allowed)
    return Mix(mix.name, mix.size, mix.deadline_seconds, kept or allowed, mix.impatient)
