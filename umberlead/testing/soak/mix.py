"""Mixes of the soak test: size of a run, kinds of faults, behaviour of clients. Performs no I/O."""

import random
from collections.abc import Sequence
from dataclasses import dataclass, replace

from umberlead.testing.soak.plan import SIGNAL_SERIES, Fault, Size
from umberlead.testing.soak.scenario import DESCRIPTORS, MEMORY_MB

DEADLINES_SECONDS = (0.8, 1.5, 2.5, 4.0)  # longest request deadlines; the delay of SIGKILL follows from them
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
# Without hand-overs: two processes do not fit in the least memory of the platform.
LOAD_FAULTS = (
    *[Fault.LOAD] * 6,
    *[Fault.NODE_SLOW] * 4,
    Fault.CROWD,
    Fault.FRONT_RESTART,
    Fault.FRONT_KILL,
    Fault.FRONT_PAUSE,
    Fault.FRONT_TERM_TWICE,
    Fault.FRONT_RELOAD_BURST,
    Fault.FRONT_RELOAD_AND_TERM,
    Fault.NODE_DRAIN,
)
LEAST_MEMORY_MB = 64
LEAST_MEMORY_DESCRIPTORS = 1024


@dataclass(frozen=True, slots=True)
class Mix:
    """The size, deadline, faults and clients of a run.

    Attributes:
        name: name of the mix.
        size: number of processes.
        deadline_seconds: the longest time that a request may take.
        faults: faults to draw from; one that is listed twice is drawn twice as often.
        impatient: whether most clients disconnect while their request is open.
        memory_mb: memory limit of each front.
        descriptors: limit on the descriptors of each front.
    """

    name: str
    size: Size
    deadline_seconds: float
    faults: tuple[Fault, ...]
    impatient: bool = False
    memory_mb: int = MEMORY_MB
    descriptors: int = DESCRIPTORS


def mix_of(seed: int, size: Size, faults: Sequence[Fault]) -> Mix:
    """Return the mix of a seed: six mixes in rotation, each with a random deadline.

    Args:
        seed: seed of the run.
        size: number of processes, for mixes without a size of their own.
        faults: faults that the mix "all" draws from; other mixes use only faults among these.
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
        Mix(
            "load",
            size,
            deadline_seconds,
            LOAD_FAULTS,
            memory_mb=LEAST_MEMORY_MB,
            descriptors=LEAST_MEMORY_DESCRIPTORS,
        ),
    )
    mix = mixes[seed % len(mixes)]
    kept = tuple(fault for fault in mix.faults if fault in allowed)
    return replace(mix, faults=kept or allowed)
