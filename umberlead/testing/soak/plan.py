"""What happens in a run of the soak test: faults over intervals, drawn from a seed. Free of I/O."""

import random
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

WARM_UP_SECONDS = 2.0  # without a fault, at the start of a run
QUIET_SECONDS = 4.0  # without a fault, at its end
MIN_FAULT_SECONDS = 0.4
MAX_FAULT_SECONDS = 3.0
GAP_SECONDS = (0.6, 1.6)  # between the begins of two bundles of faults
BUNDLES = (2, 3)  # faults that overlap
# In which a front that was told to end, killed or replaced gets no second such fault.
FRONT_ENDS_SECONDS = 6.5


class Fault(Enum):
    """One kind of fault; the comment names what it befalls."""

    FRONT_RESTART = "front_restart"  # a front: SIGTERM, then a new process
    FRONT_KILL = "front_kill"  # a front: SIGKILL, then a new process
    FRONT_HANDOVER = "front_handover"  # a front: a new process beside it, then SIGTERM
    FRONT_RELOAD = "front_reload"  # a front: SIGHUP, and lists come from another address
    FRONT_PAUSE = "front_pause"  # a front: SIGSTOP for up to 0.15 s
    NODE_DRAIN = "node_drain"  # a chunk server drains, and its successor joins cold
    NODE_KILL = "node_kill"  # a chunk server is killed, and comes back cold
    NODE_HANG = "node_hang"  # a chunk server answers nothing
    NODE_ERRORS = "node_errors"  # a chunk server's answers are errors, spoilt, unsized or surplus
    NODE_BY_HAND = "node_by_hand"  # a chunk server is taken out by an operator at all fronts, and put back
    LINK_STALL = "link_stall"  # the way to a chunk server carries nothing
    LINK_RESET = "link_reset"  # connections on the way to a chunk server are reset
    LINK_PIECES = "link_pieces"  # messages on the way to a chunk server come in pieces
    LISTS_SILENT = "lists_silent"  # a front's agent says nothing
    LISTS_RESET = "lists_reset"  # a front's watch is reset
    ACCEPT_FAILS = "accept_fails"  # a front's accept fails
    CONNECT_FAILS = "connect_fails"  # a front's connect or socket fails
    SHORT_IO = "short_io"  # a front's reads and writes move little, or are interrupted
    CONNECTIONS_BREAK = "connections_break"  # a front's connections to chunk servers break
    FOLDER_FAILS = "folder_fails"  # a front's state folder takes no writes
    CLOCK_STEP = "clock_step"  # a front's wall clock steps
    CLOCK_STEP_ALL = "clock_step_all"  # the wall clock of all machines steps
    FRONT_TERM_TWICE = "front_term_twice"  # a front: SIGTERM three times within 0.1 s
    FRONT_RELOAD_BURST = "front_reload_burst"  # a front: SIGHUP six times, each with another configuration
    FRONT_RELOAD_AND_TERM = "front_reload_and_term"  # a front: SIGHUP before, with and after SIGTERM
    FRONT_TERM_EARLY = "front_term_early"  # a front: SIGTERM to a process that is not ready yet
    FRONT_TERM_BOTH = "front_term_both"  # a front: SIGTERM to both processes of a hand-over
    FRONT_HANDOVER_TWICE = "front_handover_twice"  # a front: a hand-over while the one before still ends
    CROWD = "crowd"  # a front: idle clients fill its descriptors, at times while its agent says nothing


SIGNAL_SERIES = (
    Fault.FRONT_TERM_TWICE,
    Fault.FRONT_RELOAD_BURST,
    Fault.FRONT_RELOAD_AND_TERM,
    Fault.FRONT_TERM_EARLY,
    Fault.FRONT_TERM_BOTH,
    Fault.FRONT_HANDOVER_TWICE,
)
FRONT_ENDS = (Fault.FRONT_RESTART, Fault.FRONT_KILL, Fault.FRONT_HANDOVER, *SIGNAL_SERIES)
AT_FRONTS = frozenset(
    (
        *FRONT_ENDS,
        Fault.CROWD,
        Fault.FRONT_RELOAD,
        Fault.FRONT_PAUSE,
        Fault.LISTS_SILENT,
        Fault.LISTS_RESET,
        Fault.ACCEPT_FAILS,
        Fault.CONNECT_FAILS,
        Fault.SHORT_IO,
        Fault.CONNECTIONS_BREAK,
        Fault.FOLDER_FAILS,
        Fault.CLOCK_STEP,
    )
)
CLOCK_STEPS_SECONDS = (-3600.0, -30.0, -3.0, 3.0, 30.0, 3600.0)


@dataclass(frozen=True, slots=True)
class Interval:
    """A fault from `begin` to `end`, in seconds from the start of the load.

    Attributes:
        target: the number of the front or chunk server that it befalls.
        variant: which of its forms it takes, from 0 to 1.
    """

    begin: float
    end: float
    fault: Fault
    target: int
    variant: float


@dataclass(frozen=True, slots=True)
class Size:
    """How many processes a run has; each chunk server has a shard and a proxy of its own."""

    fronts: int = 5
    nodes: int = 8
    clients: int = 5


def draw(seed: int, seconds: float, size: Size, faults: Sequence[Fault] = tuple(Fault)) -> list[Interval]:
    """Return the faults of a run by their begins: two or three overlap at any time."""
    chance = random.Random(f"soak/{seed}")
    at = WARM_UP_SECONDS
    found: list[Interval] = []
    free_from: dict[tuple[bool, int], float] = {}
    while at < seconds - QUIET_SECONDS:
        for _ in range(chance.randint(*BUNDLES)):
            made = _one(chance, at, size, faults)
            if made.fault in FRONT_ENDS:
                key = (True, made.target)
                if free_from.get(key, 0.0) > made.begin:
                    continue
                free_from[key] = made.begin + FRONT_ENDS_SECONDS
            elif made.fault in (Fault.NODE_DRAIN, Fault.NODE_KILL, Fault.NODE_BY_HAND):
                key = (False, made.target)
                if free_from.get(key, 0.0) > made.begin:
                    continue
                free_from[key] = made.end + FRONT_ENDS_SECONDS
            found.append(made)
        at += chance.uniform(*GAP_SECONDS)
    return sorted(found, key=lambda interval: interval.begin)


def _one(chance: random.Random, at: float, size: Size, faults: Sequence[Fault]) -> Interval:
    fault = chance.choice(list(faults))
    targets = size.fronts if fault in AT_FRONTS else size.nodes
    begin = at + chance.uniform(0.0, 0.4)
    end = begin + chance.uniform(MIN_FAULT_SECONDS, MAX_FAULT_SECONDS)
    return Interval(begin, end, fault, chance.randrange(targets), chance.random())
