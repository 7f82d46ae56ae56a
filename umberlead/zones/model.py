"""Rooms and what is said of them: plain records."""

from dataclasses import dataclass, field
from enum import Enum

from umberlead.scheduling.interface import NodeState

SECOND = 1_000_000


class State(Enum):
    """What a front holds of a room."""

    WELL = "well"
    GREY = "grey"  # answers come, but too few or too late: leave it what can go nowhere else
    LOST = "lost"  # nothing goes there but a trial now and then
    RETURN = "return"  # it answers again, and is fed little by little


class Met(Enum):
    """What an attempt's end says of the way to its server, not of the request."""

    ANSWERED = "answered"
    BROKEN = "broken"
    NOTHING = "nothing"


@dataclass(frozen=True, slots=True)
class Member:
    """A server as the list in force has it."""

    id: str
    room: str
    shard: int
    state: NodeState = NodeState.UP
    started: int = 0


@dataclass(frozen=True, slots=True)
class Rules:
    """Times in us. `docs/rooms.md` tells what each is for."""

    own: str = ""  # this front's room; empty: none is nearer than another
    near: dict[str, int] = field(default_factory=dict)  # tier by room; unnamed rooms stand in the last one
    quiet: int = 700_000  # no word from a server with work out: longer than a pause and a full room
    window: int = 5 * SECOND  # evidence older than that tells nothing
    server_down: float = 0.02  # how often a server is down by itself
    prior: float = 1e-3  # that a room is lost, before any evidence
    sure: float = 20.0  # odds at which it counts as lost
    hold: int = 2 * SECOND  # a room is lost at least so long; doubled by each loss soon after a return
    hold_most: int = 60 * SECOND
    trial: int = SECOND  # between two trials of a room, in the mean, while none is answered
    trials: int = 2  # answered ones, in a row, that bring a server back
    back: int = (
        4 * SECOND
    )  # in which a returning server counts as just started: the list tells late of those that were
    forget: int = 120 * SECOND  # well for so long, earlier losses are forgotten
    grey_part: float = 0.2  # of attempts that break, against the other rooms'
    grey_slow: float = 4.0  # times the other rooms' answers take
    grey_least: int = 30  # attempts in the window below which nothing is grey
    far: float = 1.25  # how much dearer an answer counts a tier further away
    mode: str = "learnt"  # what may spill: by a learnt budget, "all", or "never"
    spill: float = 8.0  # times the plans' usual rate, what may spill a second at first
    late: float = 0.8  # of the aim: answers beyond it shrink the spill
    come_back: int = SECOND  # what a client is told at least where its only server is dark


@dataclass(frozen=True, slots=True)
class Verdict:
    """A change of what is held of a room, and what it rests on."""

    at: int
    room: str
    state: State
    evidence: str


def tier_of(rules: Rules, room: str) -> int:
    """0: the front's own, or no matter."""
    if not rules.own or room == rules.own:
        return 0
    return rules.near.get(room, 1 + max(rules.near.values(), default=0))
