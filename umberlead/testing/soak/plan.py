"""The schedule of faults of a soak run: intervals drawn from a seed. Performs no I/O."""

import random
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

WARM_UP_SECONDS = 2.0  # without a fault, at the start of a run
QUIET_SECONDS = 4.0  # without a fault, at its end
MIN_FAULT_SECONDS = 0.4
MAX_FAULT_SECONDS = 3.0
GAP_SECONDS = (0.6, 1.6)  # between the starts of two groups of faults
BUNDLES = (2, 3)  # minimum and maximum number of faults in a group; they overlap
# After a front was stopped, killed or replaced, it gets no second fault of that sort for this long.
FRONT_ENDS_SECONDS = 6.5
CROWD_ENDS_SECONDS = 1.0  # after its end, until a front has closed the last connection of a crowd


class Fault(Enum):
    """The kind of a fault; each comment names the affected component."""

    FRONT_RESTART = "front_restart"  # a front: SIGTERM, then a new process
    FRONT_KILL = "front_kill"  # a front: SIGKILL, then a new process
    FRONT_HANDOVER = "front_handover"  # a front: a new process beside it, then SIGTERM
    FRONT_RELOAD = "front_reload"  # a front: SIGHUP, after which it reads endpoint lists from another address
    FRONT_PAUSE = "front_pause"  # a front: SIGSTOP for up to 0.15 s
    NODE_DRAIN = "node_drain"  # a chunk server drains, and its successor joins cold
    NODE_KILL = "node_kill"  # a chunk server is killed, and restarts cold
    NODE_HANG = "node_hang"  # a chunk server sends no answers
    NODE_ERRORS = "node_errors"  # a chunk server sends errors, and malformed, unsized or surplus answers
    NODE_SLOW = "node_slow"  # a chunk server sends sound answers slowly, many of them long
    NODE_BY_HAND = "node_by_hand"  # an operator drains a chunk server at all fronts, and later restores it
    LINK_STALL = "link_stall"  # the link to a chunk server carries no data
    LINK_RESET = "link_reset"  # connections on the link to a chunk server are reset
    LINK_PIECES = "link_pieces"  # messages on the link to a chunk server arrive in pieces
    LISTS_SILENT = "lists_silent"  # a front's discovery agent sends nothing
    LISTS_RESET = "lists_reset"  # a front's watch is reset
    ACCEPT_FAILS = "accept_fails"  # a front's accept fails
    CONNECT_FAILS = "connect_fails"  # a front's connect or socket fails
    SHORT_IO = "short_io"  # a front's reads and writes are short, or fail with EINTR
    CONNECTIONS_BREAK = "connections_break"  # a front's connections to chunk servers break
    FOLDER_FAILS = "folder_fails"  # writes to a front's state folder fail
    CLOCK_STEP = "clock_step"  # a front's wall clock steps
    CLOCK_STEP_ALL = "clock_step_all"  # the wall clock of all machines steps
    FRONT_TERM_TWICE = "front_term_twice"  # a front: SIGTERM three times within 0.1 s
    FRONT_RELOAD_BURST = "front_reload_burst"  # a front: six times a new configuration and SIGHUP
    FRONT_RELOAD_AND_TERM = "front_reload_and_term"  # a front: SIGHUP before, with and after SIGTERM
    FRONT_TERM_EARLY = "front_term_early"  # a front: SIGTERM to a process that is not ready yet
    FRONT_TERM_BOTH = "front_term_both"  # a front: SIGTERM to both processes of a hand-over
    FRONT_HANDOVER_TWICE = "front_handover_twice"  # a front: a hand-over before the previous one is complete
    CROWD = "crowd"  # a front: idle clients use up its descriptors, sometimes while its agent is silent
    LOAD = "load"  # a front: hundreds of partial, slow or unread exchanges, or a flood of small requests


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
        Fault.LOAD,
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
CLIENT_CROWDS = (Fault.CROWD, Fault.LOAD)
CLOCK_STEPS_SECONDS = (-3600.0, -30.0, -3.0, 3.0, 30.0, 3600.0)


@dataclass(frozen=True, slots=True)
class Interval:
    """A fault from `begin` to `end`, in seconds from the start of the load.

    Attributes:
        target: number of the affected front or chunk server.
        variant: from 0 to 1; selects among the forms of the fault.
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
    """Return the faults of a run in order of their starts; two or three overlap at any time."""
    chance = random.Random(f"soak/{seed}")
    at = WARM_UP_SECONDS
    found: list[Interval] = []
    free_from: dict[tuple[bool, int], float] = {}
    crowded_until: dict[int, float] = {}
    while at < seconds - QUIET_SECONDS:
        for _ in range(chance.randint(*BUNDLES)):
            made = _draw_interval(chance, at, size, faults)
            if made.fault in FRONT_ENDS:
                key = (True, made.target)
                if free_from.get(key, 0.0) > made.begin:
                    continue
                free_from[key] = made.begin + FRONT_ENDS_SECONDS
            elif made.fault in CLIENT_CROWDS:
                # Two at once would be more clients than a front has places for.
                if crowded_until.get(made.target, 0.0) > made.begin and Fault.LOAD in faults:
                    continue
                crowded_until[made.target] = made.end + CROWD_ENDS_SECONDS
            elif made.fault in (Fault.NODE_DRAIN, Fault.NODE_KILL, Fault.NODE_BY_HAND):
                key = (False, made.target)
                if free_from.get(key, 0.0) > made.begin:
                    continue
                free_from[key] = made.end + FRONT_ENDS_SECONDS
            found.append(made)
        at += chance.uniform(*GAP_SECONDS)
    return sorted(found, key=lambda interval: interval.begin)


def _draw_interval(chance: random.Random, at: float, size: Size, faults: Sequence[Fault]) -> Interval:
    fault = chance.choice(list(faults))
    targets = size.fronts if fault in AT_FRONTS else size.nodes
    begin = at + chance.uniform(0.0, 0.4)
    end = begin + chance.uniform(MIN_FAULT_SECONDS, MAX_FAULT_SECONDS)
    return Interval(begin, end, fault, chance.randrange(targets), chance.random())
