"""Virtual time: the serving engine, module and membership machine over modelled servers. Nothing is copied of
their logic; the clock, the loop and the carrier are this file's.

A server has two cores, works on a unit for `UNIT`, and answers in turn of arrival. What an attempt's end
proves follows the platform's protocol, as `net/node_connection.py` has it: refused links and full queues
never ran."""

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial
from itertools import count
from typing import Any

from umberlead.common.counters import Counters
from umberlead.common.timer_wheel import Wheel
from umberlead.emulator.loop import START, Alarm, Loop
from umberlead.expect.model import Collection, Happening, Life, Load, Scenario, Step
from umberlead.membership.flap_damping import Damping
from umberlead.membership.list_merge import apply
from umberlead.membership.machine import Membership, Rules
from umberlead.membership.model import Change, Listing, Server, difference
from umberlead.requests.lifecycle import Engine
from umberlead.requests.types import Answer, Attempt, IncomingRequest
from umberlead.scheduling import interface as api
from umberlead.scheduling.interface import NodeState, Result

UNIT = 20_000  # us of work of a unit
CORES = 2
WAITING = 100
WIRE = 500  # us to a server and back
QUIET = 10_000_000  # us after the last load in which all must be answered
TICK = 2000
RESULTS = {
    "error": Result.ERROR, "full": Result.FULL, "timeout": Result.TIMEOUT, "no-link": Result.NO_LINK,
    "reset": Result.RESET, "astray": Result.MOOT, "half": Result.RESET, "spoilt": Result.ERROR,
    "surplus": Result.OK, "early": Result.NO_LINK, "silence": Result.TIMEOUT,
}  # fmt: skip


class NotListed(ValueError):
    """Something befalls a server that the list doesn't name at that time; the text tells which."""


@dataclass(slots=True)
class Modelled:
    """A server's state beside what the list says."""

    slow: float = 1.0
    mix: dict[str, float] = field(default_factory=dict)  # outcome and its part
    alive: bool = True
    busy: int = 0
    waiting: deque[Callable[[], None]] = field(default_factory=deque)


class World:
    """One front and its servers."""

    def __init__(self, settings: api.Settings, listing: Listing, seed: int, explain: bool = False) -> None:
        self.settings, self.loop, self.chance = settings, Loop(), random.Random(seed)
        loop = self.loop
        self.wheel = Wheel(lambda: loop.now, self._alarm, TICK)
        self.engine = Engine(
            settings, seed, lambda: loop.now, self.wheel, loop.soon, Counters(), self._log
        )  # fmt: skip
        self.engine.carrier = self
        self.addresses: dict[str, Any] = {}  # as a pool has them
        self.node_counts: set[Any] | None = None
        self.models: dict[str, Modelled] = {}
        self.names: dict[str, str] = {}  # of ids
        self.lives: list[Life] = []
        self._life: dict[int, Life] = {}  # by slot of the open ticket's payload
        self.faults: list[str] = []
        self.machine = Membership(Rules(1.0, 10**12, Damping(1, 7000.0, 1000.0)))
        self.told(self.machine.files(loop.now, listing))
        self._now: dict[str, Server] = dict(listing.servers)
        self._lists = 0
        if explain:
            self.engine.observer = self._observe
        self._notes: dict[str, str] = {}

    def _alarm(self, delay: int, what: Callable[[], None]) -> Alarm:
        made = Alarm(what)
        self.loop.at(self.loop.now + delay, made)
        return made

    def _log(self, event: str, **pairs: Any) -> None:
        if event == "module_error":
            self.faults.append(str(pairs.get("trace", event)))

    # The list

    def told(self, change: Change) -> None:
        apply(change, self.engine, self)  # type: ignore[arg-type]
        for member in change.came:
            self.names[member.id] = member.server.name

    def close_unlisted(self, addresses: set[Any]) -> None:
        """A pool would close its idle connections."""

    def relist(self, servers: dict[str, Server]) -> None:
        self._lists += 1
        self._now = servers
        listing = Listing(self._lists, f"{self._lists:064d}", dict(servers))
        old = self.machine.listing.servers if self.machine.listing else {}
        delta = difference(old, listing.servers)
        change = self.machine.files(self.loop.now, listing, delta, "")
        if self.machine.pending is not None:  # an expectation asks what happens then, not whether it may
            change = self.machine.confirm(self.loop.now, listing.digest)
        self.told(change)

    def happen(self, of: Happening, lists: dict[str, Listing]) -> None:
        if of.what == "list":
            return self.relist(dict(lists[of.word].servers))
        servers = dict(self._now)
        for name in of.servers:
            model = self.models.setdefault(name, Modelled())
            if name not in servers and (of.what != "back" or name not in self._first):
                raise NotListed(
                    f"{of.place}: {of.what} at {of.at / 1e6:g} s: no server {name} is listed then"
                )
            if of.what == "drain":
                servers[name] = replace(servers[name], state=NodeState.DRAINING)
            elif of.what == "back":
                model.alive, model.slow, model.mix = True, 1.0, {}
                servers[name] = replace(servers.get(name) or self._first[name], state=NodeState.UP)
            elif of.what == "leave":
                servers.pop(name, None)
            elif of.what == "cold":
                servers[name] = replace(servers[name], state=NodeState.UP, started=self.loop.now)
            elif of.what == "slow":
                model.slow = of.value
            elif of.what == "outcome":
                model.mix[of.word] = of.value
            elif of.what == "over":
                model.slow = 1.0 if of.word == "slow" else model.slow
                model.mix.pop(of.word, None)
            else:
                self.told(self.machine.mark(self.loop.now, name, of.what == "out", self.loop.now))
        if servers != self._now:
            self.relist(servers)

    # Requests

    def take(self, collection: Collection, volume: str, load: Load, shard: int, name: int, key: str) -> Life:
        cls = next(c for c in self.settings.classes if c.name == load.class_name)
        now = self.loop.now
        life = Life(
            f"{collection.name}/{name}", now - START, collection.name, load.class_name, collection.plan,
            shard, load.units, load.new,
        )  # fmt: skip
        life.steps.append(Step(now - START, "taken"))
        self.lives.append(life)
        ask = IncomingRequest(
            load.class_name, collection.plan, volume, key, shard, load.units, now + cls.deadline, life,
            collection.hosts,
        )  # fmt: skip
        self.engine.take(ask, lambda answer: self._answered(life, answer))
        return life

    def _answered(self, life: Life, answer: Answer) -> None:
        note = "" if answer.kind.value == "served" else self._notes.get(life.id, "")
        life.steps.append(Step(self.loop.now - START, "answered", "", answer.kind.value, note))

    def _observe(self, now: int, acts: list[api.Action]) -> None:
        """What the module saw of the candidates as it sent or refused."""
        for act in acts:
            if isinstance(act, api.Send | api.Refuse | api.Fail):
                ticket = self.engine.tickets.get(int(act.request.partition(".")[0]))
                if ticket is not None and isinstance(ticket.ask.payload, Life):
                    self._notes[ticket.ask.payload.id] = self._saw(ticket.ask.shard, ticket.ask.units)

    def _saw(self, shard: int, units: float) -> str:
        head, now = self.engine.head, self.loop.now
        made = []
        for node, view in list(head.nodes.items()):
            if shard >= 0 and view.info.shard != shard:
                continue
            why = []
            if node in head.taken_out:
                why.append("out by hand")
            if view.info.state is not NodeState.UP:
                why.append(view.info.state.value)
            if shard < 0 and view.info.weight == 0:
                why.append("weight 0")
            if view.rest_until > now:
                why.append(f"rests {(view.rest_until - now) / 1000:.0f} ms")
            if view.out and view.out + units > min(view.bound, view.cap()):
                why.append(f"{view.out:g} units out, bound {min(view.bound, view.cap()):.1f}")
            if view.cold_cost(now, units) and view.ready(now, units) > now:
                why.append("warming up")
            made.append(f"{node}: {', '.join(why) or 'free'}")
        return "; ".join(made[:6]) or f"no server of shard {shard} is listed"

    # The carrier

    def start(self, attempt: Attempt) -> None:
        life: Life = attempt.ticket.ask.payload
        name = self.names.get(attempt.node, attempt.node)
        note = self._notes.get(life.id, "")
        life.steps.append(Step(self.loop.now - START, "sent", name, str(attempt.number), note))
        model = self.models.setdefault(name, Modelled())
        attempt.carried = model
        end = self._drawn(model)
        if end in (Result.NO_LINK, Result.FULL, Result.MOOT):
            attempt.astray = end is Result.MOOT
            return self.loop.at(self.loop.now + WIRE, lambda: self._end(attempt, end))
        if end is Result.TIMEOUT:
            return None  # silence: the engine stops it
        job = lambda: self.loop.at(  # noqa: E731
            self.loop.now + int(UNIT * model.slow * attempt.ticket.ask.units) + WIRE,
            lambda: self._worked(attempt, model, end),
        )
        if model.busy < CORES:
            model.busy += 1
            job()
        elif len(model.waiting) < WAITING:
            model.waiting.append(job)
        else:
            self.loop.at(self.loop.now + WIRE, lambda: self._end(attempt, Result.FULL))

    def _drawn(self, model: Modelled) -> Result:
        draw = self.chance.random()
        for word, part in model.mix.items():
            if draw < part:
                return RESULTS[word]
            draw -= part
        return Result.OK

    def _worked(self, attempt: Attempt, model: Modelled, end: Result) -> None:
        """A cancel stops nothing: the work is done whoever waits for it."""
        if model.waiting:
            model.waiting.popleft()()
        else:
            model.busy -= 1
        self._end(attempt, end)

    def _end(self, attempt: Attempt, result: Result) -> None:
        if attempt.ticket.out is attempt:
            life: Life = attempt.ticket.ask.payload
            name = self.names.get(attempt.node, attempt.node)
            word = "astray" if attempt.astray else result.value
            life.steps.append(Step(self.loop.now - START, "ended", name, word))
            self.engine.ended(attempt, result)

    def stop(self, attempt: Attempt, why: Result) -> None:
        self.loop.soon(lambda: self._end(attempt, why))

    def unwanted(self, attempt: Attempt) -> bool:
        return False  # what is sent is there at once

    # A scenario

    _first: dict[str, Server] = {}

    def play(self, of: Scenario, collections: dict[str, Collection], lists: dict[str, Listing]) -> list[Life]:
        """All of a scenario's lives, to the last answer."""
        self._first = dict(self.machine.listing.servers) if self.machine.listing else {}
        for happening in of.happenings:
            self.loop.at(START + happening.at, partial(self.happen, happening, lists))
            if happening.until:
                word = happening.word or happening.what
                over = replace(happening, at=happening.until, what="over", word=word)
                self.loop.at(START + over.at, partial(self.happen, over, lists))
        last, number = 0, count()
        for load in of.loads:
            collection, at = collections[load.collection], float(load.begin)
            last = max(last, load.end)
            while (at := at + self.chance.expovariate(load.rate) * 1e6) < load.end:
                volume = f"{collection.name}.{self.chance.randrange(collection.volumes)}"
                shard = -1 if load.new else self.chance.choice(collection.shards)
                key = f"{self.chance.getrandbits(64):016x}"
                call = partial(self.take, collection, volume, load, shard, next(number), key)
                self.loop.at(START + int(at), call)
        last = max([last, *(h.at for h in of.happenings)])
        self.loop.run(START + last + QUIET)
        return self.lives
