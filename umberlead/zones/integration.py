"""A director beside an engine: hooks on the requests' way, a watcher of list and sendings, and what an
operator sees. No I/O; the clock and a tick every 100 ms are the owner's."""

import random
from collections.abc import Callable
from dataclasses import fields
from typing import Any

from umberlead import config
from umberlead.requests.lifecycle import Engine
from umberlead.requests.types import Answer, Attempt, Hooks, InFlightRequest, Kind, Refused
from umberlead.scheduling import interface as api
from umberlead.scheduling.interface import Result
from umberlead.zones.model import Rules, State, Verdict
from umberlead.zones.router import Director, Refusal

TICK = 100_000  # us


def rules_of(of: config.Rooms) -> Rules:
    shared = {f.name for f in fields(Rules)} & {f.name for f in fields(config.Rooms)} - {"near", "spill"}
    near = {name: n + 1 for n, name in enumerate(of.near)}
    return Rules(near=near, mode=of.spill, spill=of.spill_part, **{n: getattr(of, n) for n in shared})


def bounded(settings: api.Settings, part: float) -> api.Settings:
    """Settings with a bound on attempts beyond the first, over all rooms together, where they have none: a
    lost room's requests must not come down twice on what is left."""
    from dataclasses import replace

    if not part or settings.budget_window:
        return settings
    return replace(settings, budget_window=10_000_000, budget_share=part, budget_free=10)


class Joined:
    """The engine's hooks and watcher; `inner` are hooks that stood there before, and go first."""

    def __init__(
        self,
        rules: Rules,
        engine: Engine,
        seed: int,
        clock: Callable[[], int],
        inner: Hooks | None,
        log: Callable[..., Any],
    ) -> None:
        self.engine, self.clock, self.inner, self.log = engine, clock, inner, log
        self.director = Director(rules, engine.settings, seed, clock())
        self.director.log = self._verdict
        self.chance = random.Random(f"{seed}/joined")
        self._lost: set[str] = set()  # rooms just lost, whose attempts are still out
        self.heard: Callable[[Verdict], None] = lambda verdict: None
        engine.hooks, engine.watcher = self, self

    # The watcher

    def listed(self, news: api.NodeList) -> api.NodeList:
        return self.director.listed(self.clock(), news)

    def sent(self, ticket: InFlightRequest, node: str) -> None:
        if self.director.sent(self.clock(), ticket.id, node):
            self.engine.soon(self._tell)  # not now: the attempt is not with its carrier yet

    # The hooks

    def taken(self, ticket: InFlightRequest) -> str | Refused | None:
        reason = self.inner.taken(ticket) if self.inner else None
        if reason is not None:
            return reason
        ask, now = ticket.ask, self.clock()
        got = self.director.taken(
            now, ticket.id, ask.class_name, ask.plan, ask.volume, ask.writers, ask.shard, ask.units
        )  # fmt: skip
        if isinstance(got, Refusal):
            self.engine.counters.add("rooms_refused")
            return Refused(got.reason, got.retry_after)
        if got.trial:
            self.engine.counters.add("rooms_trials")
            self._tell()  # before the request comes to the module: it finds its server open
        self.engine.counters.add("rooms_spilled", int(got.spill))
        return None

    def outcome(self, ticket: InFlightRequest, node: str, result: Result, elapsed: int) -> None:
        if self.inner:
            self.inner.outcome(ticket, node, result, elapsed)
        self.director.ended(
            self.clock(), ticket.id, node, result, elapsed, ticket.ask.class_name, False
        )  # fmt: skip
        self._tell()

    def answer(self, ticket: InFlightRequest, answer: Answer) -> None:
        if self.inner:
            self.inner.answer(ticket, answer)
        self.director.answered(
            self.clock(), ticket.id, ticket.taken, answer.kind is Kind.SERVED, ticket.ask.class_name
        )

    def tick(self) -> None:
        """At least every 100 ms."""
        self.director.tick(self.clock())
        self._tell()

    def _tell(self) -> None:
        news = self.director.changes(self.clock())
        if news is None:
            return
        self.engine.tell(news)
        rooms, self._lost = self._lost, set()
        if rooms:
            self._leave({name for name, node in self.director.nodes.items() if node.room in rooms})

    def _leave(self, lost: set[str]) -> None:
        """Reads that are out there may try their other servers; what waits for nothing else is refused
        now."""
        dark: set[int] = {self.director.nodes[n].shard for n in lost}
        dark = {shard for shard in dark if self.director.dark(shard)}

        def waits(ticket: InFlightRequest) -> bool:
            return ticket.ask.shard in dark

        wait = self.director.rules.come_back + self.director.rules.hold
        away = self.engine.turn_away(waits, "its room is lost", int(wait * self.chance.uniform(1.0, 2.0)))
        self.engine.counters.add("rooms_refused", away)

        def elsewhere(out: Attempt) -> bool:
            return out.node in lost and out.ticket.ask.shard not in dark

        self.engine.counters.add("rooms_withdrawn", self.engine.withdraw(elsewhere))

    def _verdict(self, verdict: Verdict) -> None:
        self.engine.counters.add(f"rooms_{verdict.state.value}")
        if verdict.state is State.LOST:
            self._lost.add(verdict.room)
        self.log("room_verdict", room=verdict.room, state=verdict.state.value, evidence=verdict.evidence)
        self.heard(verdict)

    # Operators

    def by_hand(self, room: str, word: str) -> bool:
        """False where there is no such room or word."""
        done = self.director.rooms.by_hand(self.clock(), room, word)
        if done:
            self._lost |= {room} if word == "evacuate" else set()
            self.log("room_by_hand", room=room, word=word or "clear")
            self._tell()
        return done

    def shown(self) -> dict[str, Any]:
        """All that is held of rooms, as the door tells it; times in s."""
        now, of = self.clock(), self.director
        rooms = {}
        for name, room in sorted(of.rooms.rooms.items()):
            members = [m for m in of.rooms.members.values() if m.room == name]
            rooms[name or "-"] = {
                "state": of.rooms.state(name).value,
                "since_s": round((now - room.since) / 1e6, 1),
                "by_hand": room.hand,
                "losses": room.losses,
                "servers": len(members),
                "servers_down": [
                    m.id
                    for m in members
                    if of.rooms.tracks[m.id].word(now, of.rules.window, of.rules.quiet) == "down"
                ],
                "coming_back": {
                    m.id: round(min((now - of.rooms.back[m.id]) / of.rules.back, 1.0), 2)
                    for m in members
                    if m.id in of.rooms.back and now - of.rooms.back[m.id] < of.rules.back
                },
                "peers": {
                    p: s.value for p, (s, at) in sorted(room.peers.items()) if now - at <= of.rules.window
                },
            }
        budget = of.budget
        return {
            "own": of.rules.own, "isolated": of.rooms.isolated, "rooms": rooms,
            "spill": {
                "mode": of.rules.mode, "units_a_second": round(budget.rate, 1), "let_through": budget.spilled,
                "refused": budget.refused,
            },
        }  # fmt: skip


def join(
    of: config.Rooms, engine: Engine, seed: int, clock: Callable[[], int], log: Callable[..., Any]
) -> Joined:
    return Joined(rules_of(of), engine, seed, clock, engine.hooks, log)
