"""What a front holds of each room, from evidence, time, operators and peers; pure, times in us.

Losses are told by `evidence`. A lost room gets a trial now and then: a request that may be repeated, at a
time of each front's own. Servers that answer trials come back one by one, counted as started when they did,
so that the decision module feeds them as it feeds what is cold. Each loss soon after a return doubles the
time that the room is left alone."""

import math
import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from umberlead.scheduling.interface import NodeState
from umberlead.zones.evidence import Ratio, Track, grey, log_odds, lost
from umberlead.zones.model import Member, Met, Rules, State, Verdict

CLEAR = ""  # by hand: as the evidence has it
BY_HAND = ("evacuate", "forbid", CLEAR)


@dataclass(slots=True)
class Room:
    """One room's state."""

    name: str
    state: State = State.WELL
    since: int = 0  # of the state
    losses: int = 0  # that are not forgotten
    until: int = 0  # a lost room is left alone up to then
    trial: int = 0  # when one of its servers may be tried next
    hand: str = CLEAR
    peers: dict[str, tuple[State, int]] = field(
        default_factory=dict
    )  # what others hold, and when they said so


class Rooms:
    def __init__(self, rules: Rules, seed: int, now: int) -> None:
        self.rules, self.chance, self.now = rules, random.Random(f"{seed}/rooms"), now
        self.members: dict[str, Member] = {}
        self.tracks: dict[str, Track] = {}
        self.rooms: dict[str, Room] = {}
        self.back: dict[str, int] = {}  # servers that answered their trials, and when they came back
        self.passed: dict[str, int] = {}  # trials answered in a row
        self.isolated = False  # nothing at all is reached: that is this front's own doing
        self.verdicts: list[Verdict] = []

    # What comes in

    def listed(self, now: int, members: Iterable[Member]) -> None:
        """The whole list in force."""
        self.now = now
        self.members = {m.id: m for m in members}
        for m in self.members.values():
            self.tracks.setdefault(m.id, Track(ratio=Ratio(self.rules.window)))
            if m.room not in self.rooms:
                self.rooms[m.room] = Room(m.room, since=now)
        for of in (self.tracks, self.back, self.passed):
            for name in [n for n in of if n not in self.members]:
                del of[name]
        named = {m.room for m in self.members.values()}
        # A room whose servers the list has dropped meanwhile is still the one that was lost.
        for name in [n for n, r in self.rooms.items() if n not in named and not r.losses]:
            del self.rooms[name]

    def sent(self, now: int, server: str, request: str) -> None:
        if server in self.tracks:
            self.tracks[server].sent(now, request)

    def ended(self, now: int, server: str, request: str, met: Met, took: int = 0) -> None:
        """An attempt's outcome; `took` (us) of one that was answered."""
        track, member = self.tracks.get(server), self.members.get(server)
        if track is None or member is None:
            return
        before = track.silent
        track.ended(now, request, met)
        room = self.rooms[member.room]
        if met is not Met.NOTHING and not (before and met is Met.BROKEN):  # its silence was counted already
            track.ratio.add(now, met is Met.BROKEN, float(took))
        if room.state is State.LOST:
            self._tried(now, room, member, met)
        if met is Met.BROKEN:
            self.look(now, room)

    def tick(self, now: int) -> None:
        """At least every 100 ms: silence makes no event."""
        self.now = now
        for track in self.tracks.values():
            if track.look(now, self.rules.quiet):
                track.ratio.add(now, True)
        for room in self.rooms.values():
            self.look(now, room, True)
        self._isolated(now)

    def by_hand(self, now: int, room: str, word: str) -> bool:
        """`evacuate`: nothing goes there. `forbid`: nothing spills there from elsewhere. Empty: neither.
        False where there is no such room or word."""
        if room not in self.rooms or word not in BY_HAND:
            return False
        self.rooms[room].hand = word
        self.look(now, self.rooms[room])
        return True

    def peer(self, now: int, name: str, room: str, state: State) -> None:
        """What another front holds. It lowers what is needed to hold the same, and never decides alone."""
        if room in self.rooms:
            self.rooms[room].peers[name] = (state, now)

    # What follows

    def words(self, now: int, room: str) -> list[str]:
        """Its servers' words. What drains or has only just started says nothing of the room."""
        return [
            self.tracks[m.id].word(now, self.rules.window, self.rules.quiet)
            for m in self.members.values() if m.room == room and m.state is NodeState.UP
        ]  # fmt: skip

    def look(self, now: int, room: Room, ticked: bool = False) -> None:
        """One step of a room's state. Greyness is told on ticks alone: it passes over all servers."""
        self.now, rules = now, self.rules
        if room.state in (State.WELL, State.GREY, State.RETURN):
            words = self.words(now, room.name)
            if not self.isolated and self._lost(now, room, words):
                down, up = words.count("down"), words.count("up")
                odds = math.exp(min(log_odds(words, rules), 50.0))
                mute = words.count("mute")
                why = f"{down} of {len(words)} servers down, {mute} mute, {up} up, odds {odds:.3g}"
                if heard := self._peers(now, room):
                    why += f", {heard} peers say so"
                return self._lose(now, room, why)
        if room.state in (State.WELL, State.GREY) and ticked:
            well = [r for r in self.rooms.values() if r is not room and r.state is State.WELL]
            others = [x for r in well for x in self._ratios(r)]
            why = grey(self._ratios(room), others, now, rules) if others else ""
            if why and room.state is State.WELL:
                self._turn(now, room, State.GREY, why)
            elif not why and room.state is State.GREY and now - room.since >= rules.window:
                self._turn(now, room, State.WELL, "like the others again")
        if room.state is State.RETURN and now - room.since >= rules.back:
            self._turn(now, room, State.WELL, f"back for {rules.back / 1e6:g} s")
        if room.state is State.WELL and room.losses and now - room.since >= rules.forget:
            room.losses = 0

    def _lost(self, now: int, room: Room, words: list[str]) -> bool:
        if lost(words, self.rules):
            return True
        # Peers that agree count as one more server down each, two at most, beside own evidence of some kind.
        more = min(self._peers(now, room), 2)
        return bool(more) and words.count("down") >= 1 and lost(words + ["down"] * more, self.rules)

    def _peers(self, now: int, room: Room) -> int:
        fresh = [s for s, at in room.peers.values() if now - at <= self.rules.window]
        return fresh.count(State.LOST) if 2 * fresh.count(State.LOST) > len(fresh) else 0

    def _lose(self, now: int, room: Room, why: str) -> None:
        rules = self.rules
        hold = min(rules.hold * 2**room.losses, rules.hold_most)
        room.losses = min(room.losses + 1, 16)
        room.until = now + int(hold * self.chance.uniform(0.75, 1.25))
        room.trial = room.until + int(self.chance.uniform(0, rules.trial))
        for m in self._of(room):
            self.back.pop(m.id, None)
            self.passed.pop(m.id, None)
        self._turn(now, room, State.LOST, why)

    def _of(self, room: Room) -> list[Member]:
        return [m for m in self.members.values() if m.room == room.name]

    def _ratios(self, room: Room) -> list[Ratio]:
        return [self.tracks[m.id].ratio for m in self._of(room) if m.state is NodeState.UP]

    def _turn(self, now: int, room: Room, state: State, why: str) -> None:
        room.state, room.since = state, now
        self.verdicts.append(Verdict(now, room.name, state, why))

    def _tried(self, now: int, room: Room, member: Member, met: Met) -> None:
        """The outcome of a trial, or of what was out when the room was lost."""
        if met is Met.BROKEN:
            self.passed.pop(member.id, None)
        if met is not Met.ANSWERED or now < room.until:
            return
        self.passed[member.id] = self.passed.get(member.id, 0) + 1
        room.trial = now  # something lives there: the next may follow at once
        if self.passed[member.id] < self.rules.trials:
            return
        self.back.setdefault(member.id, now)
        up = [m for m in self._of(room) if m.state is NodeState.UP]
        if 2 * sum(m.id in self.back for m in up) >= len(up):
            # The rest come back with them: what is still down shows as such, server by server.
            for m in up:
                self.back.setdefault(m.id, now)
            self._turn(now, room, State.RETURN, f"{len(up)} servers, after trials that were answered")

    def _isolated(self, now: int) -> None:
        """Where no server of any room answers, nothing is known of rooms: the fault is nearer. Rooms that
        were held lost in that time are held well again."""
        rooms = [words for name in self.rooms if (words := self.words(now, name))]
        silent = [words for words in rooms if "up" not in words and ("down" in words or "mute" in words)]
        alone = len(rooms) > 1 and len(silent) == len(rooms)
        if alone and not self.isolated:
            for room in self.rooms.values():
                if room.state is State.LOST:
                    room.losses = max(room.losses - 1, 0)
                    self._turn(now, room, State.WELL, "no room answers at all: this front is cut off itself")
        self.isolated = alone

    # What is asked of it

    def state(self, room: str) -> State:
        """As it acts: an evacuated room is a lost one whatever the evidence."""
        of = self.rooms.get(room)
        if of is None:
            return State.WELL
        return State.LOST if of.hand == "evacuate" else of.state

    def may_try(self, now: int, server: str, wait: int = 0) -> bool:
        """Whether a request that may be repeated may go to a server of a lost room, as a trial. True once:
        the next is due a while later, at a time of this front's own. `wait` (us) is what it is to be overdue
        by."""
        member = self.members.get(server)
        room = self.rooms.get(member.room) if member is not None else None
        if room is None or room.hand == "evacuate" or now < max(room.until, room.trial) + wait:
            return False
        room.trial = now + int(self.rules.trial * self.chance.uniform(0.5, 1.5))
        return True

    def next_try(self, now: int, server: str) -> int:
        """us until that may be so."""
        member = self.members.get(server)
        room = self.rooms.get(member.room) if member is not None else None
        return max(max(room.until, room.trial) - now, 0) if room is not None else 0

    def taken(self) -> list[Verdict]:
        made, self.verdicts = self.verdicts, []
        return made
